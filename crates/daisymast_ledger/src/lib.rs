//! Partitioned ledger of claims with group commit and epoch fencing.
//!
//! [`partition::Partition`] is the state machine that one instance runs for one partition. It
//! performs no I/O and never reads a clock: the caller passes in the time, the requests and the
//! store replies, and carries out the returned effects. At most one store call is open at a time.

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
