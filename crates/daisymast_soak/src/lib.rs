//! Randomized soak: real node processes under faults that are injected from outside.
//!
//! A seed decides jobs and faults. Nodes are separate processes; the store and the workers are
//! stand-ins in this process, and relays on loopback carry the links. What callers and workers saw is
//! checked afterwards against the promises of the design page.

pub mod cell;
pub mod check;
pub mod clients;
pub mod node;
pub mod plan;
pub mod relay;
pub mod run;
