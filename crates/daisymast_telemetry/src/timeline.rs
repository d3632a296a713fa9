//! Ring of the latest timeline events.

use std::collections::VecDeque;

use daisymast_protocol::limits;
use daisymast_protocol::timeline::TimelineEvent;

/// Longest detail of a kept event, in bytes; bounds the memory of the ring.
const MAX_DETAIL_BYTES: usize = 1_024;
/// Most events of one page, so that a reply stays within the size of a message.
const MAX_PAGE_EVENTS: usize = 1_000;

/// The latest events with sequence numbers from 1.
#[derive(Debug)]
pub struct Timeline {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
    /// Sequence number of the first kept event.
    first_number: u64,
}

impl Default for Timeline {
    fn default() -> Self {
        Self::new(limits::TIMELINE_EVENTS)
    }
}

impl Timeline {
    /// A ring that keeps the latest `limit` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            first_number: 1,
        }
    }

    /// Adds an event and drops the oldest one if the ring is full.
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

    /// The next page of events after a sequence number, in order. A gap at its start shows that
    /// events were dropped. An empty page means that there are no later events yet. A number above
    /// the last one comes from an earlier start of the process and gets all kept events.
    ///
    /// ```
    /// use daisymast_protocol::timeline::TimelineEvent;
    /// use daisymast_telemetry::timeline;
    /// use daisymast_types::time::UnixMillis;
    /// let mut ring = timeline::Timeline::new(2);
    /// for at in [10, 20, 30] {
    ///     ring.push(TimelineEvent {
    ///         at: UnixMillis(at),
    ///         source: "entry-1".to_owned(),
    ///         step: "lease.acquired".to_owned(),
    ///         subject: "worker-1".to_owned(),
    ///         detail: String::new(),
    ///     });
    /// }
    /// let numbers: Vec<u64> = ring.after(0).iter().map(|(number, _)| *number).collect();
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
