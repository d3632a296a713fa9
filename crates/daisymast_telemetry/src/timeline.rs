//! Bounded buffer of the latest timeline events.

use std::collections::VecDeque;

use daisymast_protocol::limits;
use daisymast_protocol::timeline::TimelineEvent;

/// Maximum length of an event's detail, in bytes. Longer details are truncated, which bounds the
/// memory of the buffer.
const MAX_DETAIL_BYTES: usize = 1_024;
/// Maximum number of events per page, so that a reply stays within the maximum message size.
const MAX_PAGE_EVENTS: usize = 1_000;

/// Buffer of the latest events. Events have consecutive sequence numbers starting from 1.
#[derive(Debug)]
pub struct Timeline {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
    /// Sequence number of the oldest event in the buffer.
    first_number: u64,
}

impl Default for Timeline {
    fn default() -> Self {
        Self::new(limits::TIMELINE_CAPACITY)
    }
}

impl Timeline {
    /// Creates a buffer of the latest `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            first_number: 1,
        }
    }

    /// Adds an event, and removes the oldest one if the buffer is full.
    pub fn push(&mut self, mut event: TimelineEvent) {
        let mut end = event.detail.len().min(MAX_DETAIL_BYTES);
        while !event.detail.is_char_boundary(end) {
            end -= 1;
        }
        event.detail.truncate(end);
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.first_number += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the next page of events after a sequence number, in order. A gap at its start shows
    /// that events were removed from the buffer. An empty page means that there are no later events
    /// yet. A number above the last one dates from before a restart of the process, so the page
    /// starts at the oldest event in the buffer.
    ///
    /// ```
    /// use daisymast_protocol::timeline::TimelineEvent;
    /// use daisymast_telemetry::timeline;
    /// use daisymast_types::time::UnixMillis;
    /// let mut timeline = timeline::Timeline::new(2);
    /// for at in [10, 20, 30] {
    ///     timeline.push(TimelineEvent {
    ///         at: UnixMillis(at),
    ///         source: "entry-1".to_owned(),
    ///         step: "lease.acquired".to_owned(),
    ///         subject: "worker-1".to_owned(),
    ///         detail: String::new(),
    ///     });
    /// }
    /// let numbers: Vec<u64> = timeline.after(0).iter().map(|(number, _)| *number).collect();
    /// assert_eq!(numbers, [2, 3]);
    /// ```
    pub fn after(&self, number: u64) -> Vec<(u64, TimelineEvent)> {
        let last = self.first_number - 1 + self.events.len() as u64;
        let number = if number > last { 0 } else { number };
        (self.first_number..)
            .zip(&self.events)
            .filter(|(own, _)| *own > number)
            .take(MAX_PAGE_EVENTS)
            .map(|(own, event)| (own, event.clone()))
            .collect()
    }
}
