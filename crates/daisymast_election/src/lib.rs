//! Who schedules: authority by the own clock, suspicion and candidacy.
//!
//! The store decides an election by a compare-and-swap on one key. This crate decides when a node
//! tries, and for how long an elected one may act without hearing from the store.

pub mod authority;
pub mod candidate;
pub mod record;
