//! Daemon of every machine on the users' platform: callers' front and, if elected, the scheduler.

pub mod clock;
pub mod configuration;
pub mod constants;
pub mod context;
pub mod follow;
pub mod front;
pub mod lead;
pub mod metrics;
pub mod pace;
pub mod peers;
pub mod process;
