//! One entry instance as a state machine without I/O.
//!
//! [`instance::Instance`] takes events and returns actions. Its components talk to each other by the
//! same messages as to other instances, so it makes no difference to them whether the holder of a
//! worker or the owner of a partition is local.

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
