//! Ids, quantities, time and collections that every daisymast crate shares.

pub mod collections;
pub mod hashing;
pub mod ids;
pub mod quantities;
pub mod time;
