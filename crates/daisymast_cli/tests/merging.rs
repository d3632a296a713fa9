//! Tests of the merged timeline.

use daisymast_cli::timeline;
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_types::time::UnixMillis;

fn event(at: u64, source: &str, step: &str) -> TimelineEvent {
    TimelineEvent {
        at: UnixMillis(at),
        source: source.to_owned(),
        step: step.to_owned(),
        subject: "worker-1".to_owned(),
        detail: String::new(),
    }
}

/// Guards against a merged timeline that reorders events of one instance.
#[test]
fn events_are_ordered_by_time_and_keep_the_order_of_their_instance() {
    let first = vec![
        (1, event(1_780_000_000_010, "entry-1", "lease.acquired")),
        (2, event(1_780_000_000_010, "entry-1", "task.started")),
        (3, event(1_780_000_000_030, "entry-1", "task.ended")),
    ];
    let second = vec![(1, event(1_780_000_000_020, "entry-2", "lease.acquired"))];
    let merged = timeline::merge(vec![second, first]);
    let lines: Vec<String> = merged.iter().map(timeline::line).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
