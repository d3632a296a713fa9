//! Typed messages between the processes of daisymast, and the limits that they share.
//!
//! Messages with callers, operators, the platform and workers are encoded as JSON. Messages between
//! instances are encoded as MessagePack. The same types serve both encodings.

pub mod caller;
pub mod limits;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod store;
pub mod task;
pub mod timeline;
pub mod worker;
