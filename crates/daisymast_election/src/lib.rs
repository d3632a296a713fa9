//! Leader election: leader leases, failure detection and candidacy.
//!
//! The store decides an election by a compare-and-swap on one key. This crate decides when a node
//! becomes a candidate, and how long an elected scheduler may act without a confirmed write to the
//! store.

pub mod candidate;
pub mod former_leases;
pub mod leader_lease;
pub mod record;
