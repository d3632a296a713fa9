//! Partitioned ledger of claims with group commit and epoch fencing.
//!
//! [`partition::Partition`] is one partition as one instance sees it. It makes at most one store call
//! at a time and never reads a clock; the caller hands in time, requests and replies.

pub mod claim_file;
pub mod effect;
pub mod entry;
pub mod keys;
pub mod partition;
pub mod record;
pub mod segment;

mod commit;
mod identity;
mod merge;
mod owned;
mod search;
mod state;
mod status_queries;
mod sweep;
mod takeover;
mod write;
