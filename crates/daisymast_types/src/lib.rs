//! Ids, quantities, time and collections shared by all daisymast crates.

pub mod collections;
pub mod hashing;
pub mod ids;
pub mod quantities;
pub mod time;
