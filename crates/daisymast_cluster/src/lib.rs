//! Failure tests with real processes on loopback, and the harness that runs them.
//!
//! A [`cell::Cell`] starts the built binaries and, when it is dropped, kills only the processes
//! that it started. Tests run one at a time, serialized by a file lock across test processes.

pub mod cell;
pub mod checks;
pub mod load;
pub mod process;
pub mod programs;
pub mod relay;
pub mod wait;

mod clients;
mod settings;
