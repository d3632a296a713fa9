//! Measures what an instance costs as a function of the number of workers and of instances.
//!
//! The instances run in the world of the fault matrix, on a virtual clock and without network, so
//! messages and their lengths do not depend on the machine. Processor time is real time in
//! `on_event`.

pub mod fit;
pub mod report;
pub mod sample;
pub mod scene;
