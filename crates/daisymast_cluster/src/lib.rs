//! Failure tests with real processes on loopback, and the harness that runs them.
//!
//! A [`cell::Cell`] starts the built binaries, knows their process ids, and ends only these when it
//! is dropped. Tests are serial: each waits for a lock that other test processes share.

pub mod cell;
pub mod checks;
pub mod load;
pub mod process;
pub mod programs;
pub mod relay;
pub mod wait;

mod clients;
mod settings;
