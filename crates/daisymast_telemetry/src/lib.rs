//! Metrics registry, timeline ring and log setup.

pub mod decisions;
pub mod logging;
pub mod metrics;
pub mod timeline;
