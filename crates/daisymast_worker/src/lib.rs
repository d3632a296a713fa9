//! Worker: model, client and stand-in daemon.

pub mod client;
pub mod daemon;
pub mod model;
pub mod settings;
