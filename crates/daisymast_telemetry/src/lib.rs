//! Metrics, timeline buffer, decision log and logging setup.

pub mod decisions;
pub mod logging;
pub mod metrics;
pub mod timeline;
