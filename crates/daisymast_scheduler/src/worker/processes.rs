//! Tells the processes apart that run under the ID of a worker one after another.
//!
//! A call that got no answer may be carried out up to [`constants::MAX_ORDER_AGE`] later, by the process
//! that uses the ID then. A deadline that was reckoned from the clock of a former process is far in the
//! future for a new one, and grants the longest lease that it accepts. A new process has seen no fencing
//! token, so it is polled with one that is higher than those of all calls that were meant for former
//! processes. Once it has answered, it refuses them.

use std::time::Duration;

use daisymast_types::time;

use super::Worker;
use crate::constants;
use crate::lease;
use crate::report;
use crate::run;

impl Worker {
    /// Returns an order that is sent now.
    pub fn order_at(&self, now: time::Monotonic) -> run::SentOrder {
        run::SentOrder {
            at: now,
            incarnation: self.incarnation,
        }
    }

    /// Whether another process has started under the ID, or has registered, that still obeys calls
    /// which were meant for a former one.
    pub fn needs_fence(&self) -> bool {
        let registered_at = self.registration.as_ref().and_then(|at| at.started_at);
        let is_replaced = self.incarnation > 0
            && registered_at.is_some()
            && self.started_at.is_some()
            && registered_at != self.started_at;
        !self.fenced || is_replaced
    }

    /// Returns the highest fencing token of a call that was meant for the known process.
    pub fn call_fence(&self) -> u64 {
        self.call_fence
    }

    /// Records the fencing token of a call that is meant for the known process.
    pub fn on_call(&mut self, fence: u64) {
        self.call_fence = self.call_fence.max(fence);
    }

    /// Handles a report that answers a poll with a fencing token. Returns whether the process refuses
    /// the calls of former processes.
    pub fn on_fence_reported(
        &mut self,
        fence: u64,
        max_lease: Duration,
        now: time::Monotonic,
    ) -> bool {
        if !self.fenced && fence >= self.min_fence {
            self.fenced = true;
            // A call of a former scheduler, or to a former process, may have granted a lease just before.
            self.lease_end = now + lease::longest(max_lease);
        }
        self.fenced
    }

    /// Whether the outcome of a poll with a fencing token says nothing of the present process.
    pub fn is_former_poll(&self, fence: u64) -> bool {
        !self.fenced && fence < self.min_fence
    }

    /// Handles the reading in the answer to an order. Returns whether the present process gave it.
    ///
    /// If another process has reported since the order was sent, it is not known which one answered,
    /// and a reading that the present process cannot have reached is one of a former process. One that
    /// the known process had passed when the order was sent shows that another has started since.
    pub fn on_order_reading(
        &mut self,
        order: run::SentOrder,
        reading_ms: u64,
        max_lease: Duration,
        now: time::Monotonic,
    ) -> bool {
        let is_ahead = |clock: lease::WorkerClock| reading_ms > clock.latest_reading(now);
        if order.incarnation != self.incarnation || self.clock.is_some_and(is_ahead) {
            return false;
        }
        let is_past = |clock: lease::WorkerClock| reading_ms < clock.earliest_reading(order.at);
        if self.clock.is_some_and(is_past) {
            self.begin_incarnation(max_lease);
            self.awaits_report = Some(now);
            // The poll that is open may have been sent to the former process.
            self.polling = false;
            self.next_poll = now;
        }
        self.update_clock(reading_ms, now);
        true
    }

    /// Handles what the answer to a poll of a given time says of its process. Returns `None` if the
    /// report is one of a former process, which a later answer has overtaken, and otherwise whether it
    /// is the first of its process.
    pub fn on_process_reported(
        &mut self,
        report: &report::Report,
        polled_at: time::Monotonic,
        max_lease: Duration,
        now: time::Monotonic,
    ) -> Option<bool> {
        if self.incarnation > 0 && self.started_at == report.started_at {
            // The process whose restart was inferred from its clock reports as the former one. This is a
            // late report of that one if the poll was sent before. Otherwise its clock had stood still.
            let is_late = self.awaits_report.is_some_and(|since| polled_at < since);
            return (!is_late).then(|| self.awaits_report.take().is_some());
        }
        // Processes start one after another, but their clocks may be set back. The present process
        // answers again before a late report of an earlier one can arrive.
        let is_earlier = report.started_at < self.started_at;
        if is_earlier && self.has_recent_reading(now) {
            return None;
        }
        self.started_at = report.started_at;
        if self.awaits_report.take().is_none() {
            self.begin_incarnation(max_lease);
        }
        self.health.on_success();
        Some(true)
    }

    /// Forgets what is only true of the former process.
    fn begin_incarnation(&mut self, max_lease: Duration) {
        if self.incarnation > 0 {
            self.fenced = false;
            self.min_fence = self.call_fence + 1;
            let last_call = self.last_lease_call + constants::MAX_ORDER_AGE;
            let late_lease_end = last_call + lease::longest_granted(max_lease);
            self.lease_end = self.lease_end.max(late_lease_end);
        }
        self.incarnation += 1;
        self.clock = None;
        self.reconciled = false;
        self.handled_end = 0;
        self.stored_end = 0;
        self.acked_end = 0;
        self.withheld_ends.clear();
    }
}
