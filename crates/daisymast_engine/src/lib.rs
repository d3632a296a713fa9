//! An entry instance as a deterministic state machine without I/O.
//!
//! [`instance::Instance`] handles events and returns actions. Its components call each other with
//! the messages that instances exchange, so the same code path serves a worker's holder or a
//! partition's owner whether it is local or remote.

pub mod config;
pub mod event;
pub mod instance;
pub mod outbox;

mod configuration;
mod control;
mod heartbeat;
mod operator;
mod partitions;
mod requests;
mod runs;
mod services;
mod shared;
#[cfg(test)]
mod testing;
