//! Metric names and the logging setup.

use daisymast_telemetry::{logging, metrics::Metrics};

/// Guards against renamed metrics and labels, on which dashboards depend.
#[test]
fn metric_names_are_stable() {
    let metrics = Metrics::default();
    metrics.count_event("tick");
    metrics.count_action("record");
    metrics.count_call("store", "unknown");
    metrics.count_answer("caller", "not_run");
    metrics.count_refusal("callers", "queue");
    metrics.generation.set(7);
    metrics.timeline_events.inc();
    insta::assert_snapshot!(metrics.encode());
}

/// Guards against a total of another counter that is added again on each scrape.
#[test]
fn external_totals_are_not_added_twice() {
    let metrics = Metrics::default();
    metrics.set_refusal_total("callers", "connections", 3);
    metrics.set_refusal_total("callers", "connections", 5);
    assert_eq!(metrics.refusal_count("callers", "connections"), 5);
}

/// Guards against a logging setup without an appender, and against ignoring a missing configuration
/// file.
#[test]
fn log_configuration_has_one_appender() {
    let config = logging::config(log::LevelFilter::Info).expect("a configuration");
    assert_eq!(config.root().appenders(), ["console"]);
    assert!(logging::start_from_file("no-such-file.json".as_ref()).is_err());
}
