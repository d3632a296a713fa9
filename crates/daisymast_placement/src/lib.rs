//! Placement of tasks on workers by CPU, memory and accelerators.

pub mod baseline;
pub mod learning;
pub mod pool;
pub mod reclaim;

mod gang;
mod grid;
mod spread;
