//! Partitioned ledger of claims with group commit and epoch fencing.
//!
//! [`partition::Partition`] is one partition as one instance sees it. It makes at most one store call
//! at a time and never reads a clock; the caller hands in time, requests and replies.

pub mod entry;
pub mod keys;
pub mod partition;
pub mod record;
pub mod segment;

mod commit;
mod memory;
mod owned;
mod takeover;
mod write;
