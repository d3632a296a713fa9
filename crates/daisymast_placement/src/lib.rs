//! Placement of tasks on workers by CPU, memory and accelerators.

pub mod baseline;
pub mod estimates;
pub mod pool;
pub mod reclaim;

mod gang;
mod grid;
mod spread;
