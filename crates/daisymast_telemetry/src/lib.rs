//! Metrics registry, timeline ring and log setup.

pub mod logging;
pub mod metrics;
pub mod timeline;
