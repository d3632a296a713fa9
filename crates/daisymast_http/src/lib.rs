//! HTTP server and pooled client over hyper and smol.

pub mod auth;
pub mod client;
pub mod executor;
pub mod json;
pub mod msgpack;
pub mod server;
