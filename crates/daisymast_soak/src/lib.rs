//! Randomized soak tests of real node processes under externally injected faults.
//!
//! A seed determines the jobs and the faults. Nodes are separate processes. The store and the
//! workers are stand-ins in this process, and their links and those between nodes go through
//! loopback relays. Afterwards the events on workers and the responses to callers are checked
//! against the guarantees of the design page.

pub mod cell;
pub mod check;
pub mod clients;
pub mod node;
pub mod plan;
pub mod recut;
pub mod relay;
pub mod run;
