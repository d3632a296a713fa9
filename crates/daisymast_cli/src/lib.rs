//! Operator command line: manages manifests, queries status and the timeline, and sends requests.

pub mod command;
pub mod retire;
pub mod run;
pub mod timeline;

mod client;
mod output;
