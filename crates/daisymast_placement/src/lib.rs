//! Placement of tasks on workers over processors, memory and accelerators.

pub mod pool;
