//! Merging and formatting of timelines.

use daisymast_protocol::timeline::TimelineEvent;

/// Merges the events of several instances, ordered by wall-clock time. Events of one instance with
/// equal times keep their order. The clocks of the instances differ, so the order across instances
/// is approximate.
///
/// ```
/// use daisymast_cli::timeline;
/// assert!(timeline::merge(vec![vec![], vec![]]).is_empty());
/// ```
pub fn merge(pages: Vec<Vec<(u64, TimelineEvent)>>) -> Vec<TimelineEvent> {
    let mut events: Vec<(u64, TimelineEvent)> = pages.into_iter().flatten().collect();
    events.sort_by(|(a_number, a), (b_number, b)| {
        (a.at, &a.source, a_number).cmp(&(b.at, &b.source, b_number))
    });
    events.into_iter().map(|(_, event)| event).collect()
}

/// Formats an event as one line: time of day in UTC, source, step, subject, detail.
pub fn line(event: &TimelineEvent) -> String {
    let millis = event.at.0 % 86_400_000;
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let text = format!(
        "{hours:02}:{minutes:02}:{:02}.{millis:03} {} {} {} {}",
        seconds % 60,
        event.source,
        event.step,
        event.subject,
        event.detail
    );
    text.trim_end().to_owned()
}
