//! Daemon of every machine on the users' platform: callers' front and, if elected, the scheduler.

pub mod api;
pub mod clock;
pub mod commit_timeout;
pub mod configuration;
pub mod constants;
pub mod context;
pub mod follower;
pub mod leadership;
pub mod metrics;
pub mod peers;
pub mod process;
