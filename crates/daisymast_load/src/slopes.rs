//! Measures the resource usage of an instance as a function of the number of workers and instances.
//!
//! The instances run in the simulated cluster of `daisymast_matrix`, on a virtual clock and without
//! a network, so the number and size of messages do not depend on the machine. Processor time is
//! the real time spent in `on_event`.

pub mod fit;
pub mod report;
pub mod sample;
pub mod scene;
