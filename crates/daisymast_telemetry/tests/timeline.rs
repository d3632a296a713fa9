//! The timeline buffer.

use daisymast_protocol::timeline::TimelineEvent;
use daisymast_telemetry::timeline::Timeline;
use daisymast_types::time::UnixMillis;

fn event(at: u64, detail: &str) -> TimelineEvent {
    TimelineEvent {
        at: UnixMillis(at),
        source: "entry-1".to_owned(),
        step: "step".to_owned(),
        subject: "subject".to_owned(),
        detail: detail.to_owned(),
    }
}

/// Guards against memory that grows with the uptime of a process, and against pages that repeat or
/// skip events.
#[test]
fn pages_contain_each_retained_event_once() {
    let mut timeline = Timeline::default();
    for at in 1..=5_000 {
        timeline.push(event(at, ""));
    }
    let (mut after, mut seen) = (0, Vec::new());
    loop {
        let page = timeline.after(after);
        let Some((last, _)) = page.last() else {
            break;
        };
        after = *last;
        seen.extend(page.into_iter().map(|(number, event)| (number, event.at.0)));
    }
    let expected: Vec<(u64, u64)> = (905..=5_000).map(|number| (number, number)).collect();
    assert_eq!(seen, expected);
}

/// Guards against details of unlimited length, and against a panic when a detail is truncated
/// inside a multi-byte character.
#[test]
fn long_details_are_truncated_at_a_character_boundary() {
    let mut timeline = Timeline::new(1);
    timeline.push(event(1, &"é".repeat(1_000)));
    timeline.push(event(2, &format!("a{}", "é".repeat(1_000))));
    let page = timeline.after(0);
    assert_eq!(
        (page.len(), page[0].0, page[0].1.detail.len()),
        (1, 2, 1_023)
    );
}

/// Guards against a follower of the timeline that receives no more events after an instance was
/// restarted.
#[test]
fn number_from_before_a_restart_returns_all_events() {
    let mut timeline = Timeline::default();
    timeline.push(event(1, ""));
    timeline.push(event(2, ""));
    assert_eq!(timeline.after(2).len(), 0);
    assert_eq!(timeline.after(900).len(), 2);
}
