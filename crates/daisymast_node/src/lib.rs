//! Node daemon: accepts requests of callers and, if elected, runs the scheduler.

pub mod api;
pub mod authentication;
pub mod batch;
pub mod clock;
pub mod commit_timeout;
pub mod configuration;
pub mod confirmation;
pub mod constants;
pub mod context;
pub mod explain;
pub mod follower;
pub mod forwarding;
pub mod leadership;
pub mod metrics;
pub mod peers;
pub mod probing;
pub mod process;
pub mod reach;
pub mod relay;
pub mod submission;
