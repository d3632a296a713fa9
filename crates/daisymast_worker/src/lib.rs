//! Client of workers, and a stand-in worker for tests: a model without I/O and a daemon that serves
//! it over HTTP.

pub mod client;
pub mod daemon;
pub mod model;
pub mod settings;
