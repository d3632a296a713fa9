//! Typed messages of every edge of daisymast.
//!
//! Callers, operators, the platform and workers speak JSON; instances speak MessagePack with each
//! other. The same types serve both encodings.

pub mod caller;
pub mod limits;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod store;
pub mod task;
pub mod timeline;
pub mod worker;
