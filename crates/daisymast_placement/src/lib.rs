//! Placement of tasks on workers over processors, memory and accelerators.

pub mod baseline;
pub mod learning;
pub mod pool;

mod gang;
mod grid;
mod spread;
