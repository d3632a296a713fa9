//! Metrics registry, time-line ring and log setup.
