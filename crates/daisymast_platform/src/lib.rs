//! Client of the platform's key-value store and member list, and a stand-in platform for tests: a
//! model without I/O and a daemon that serves it over HTTP.

pub mod client;
pub mod daemon;
pub mod model;
pub mod settings;
