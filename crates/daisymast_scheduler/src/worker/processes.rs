//! Tells the processes apart that run under the ID of a worker one after another.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Worker;
use crate::constants;
use crate::lease;
use crate::report;
use crate::run;

/// A start that got no answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnansweredStart {
    task: spec::TaskId,
    run: u32,
    sent_at: time::Monotonic,
}

impl Worker {
    /// Records that a start got no answer.
    pub fn on_start_unanswered(&mut self, task: spec::TaskId, run: u32, now: time::Monotonic) {
        self.unanswered_starts
            .retain(|start| now - start.sent_at < constants::MAX_ORDER_AGE);
        self.unanswered_starts.push(UnansweredStart {
            task,
            run,
            sent_at: now,
        });
    }

    /// Returns the runs that are no longer assigned to the worker, but of which a start may still be
    /// carried out by a process that has started since.
    pub fn take_late_runs(&mut self, now: time::Monotonic) -> Vec<(spec::TaskId, u32)> {
        std::mem::take(&mut self.unanswered_starts)
            .into_iter()
            .filter(|start| now - start.sent_at < constants::MAX_ORDER_AGE)
            .filter(|start| !self.runs.contains_key(&start.task))
            .map(|start| (start.task, start.run))
            .collect()
    }

    /// Returns an order that is sent now.
    pub fn order_at(&self, now: time::Monotonic) -> run::SentOrder {
        run::SentOrder {
            at: now,
            incarnation: self.incarnation,
        }
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
        now: time::Monotonic,
    ) -> bool {
        let is_ahead = |clock: lease::WorkerClock| reading_ms > clock.latest_reading(now);
        if order.incarnation != self.incarnation || self.clock.is_some_and(is_ahead) {
            return false;
        }
        let is_past = |clock: lease::WorkerClock| reading_ms < clock.earliest_reading(order.at);
        if self.clock.is_some_and(is_past) {
            self.begin_incarnation();
            self.awaits_report = true;
            self.reconciled = false;
            // The poll that is open may have been sent to the former process.
            self.polling = false;
            self.next_poll = now;
        }
        self.update_clock(reading_ms, now);
        true
    }

    /// Handles what a report says of its process. Returns `None` if the report is one of a former
    /// process, which a later answer has overtaken, and otherwise whether it is the first of its
    /// process.
    pub fn on_process_reported(
        &mut self,
        report: &report::Report,
        now: time::Monotonic,
    ) -> Option<bool> {
        if self.incarnation > 0 && self.started_at == report.started_at {
            // The process whose restart was inferred from its clock reports as the former one: either
            // this is a late report of that one, or its clock had stood still.
            let is_late = self.awaits_report
                && self
                    .clock
                    .is_some_and(|clock| report.clock_ms > clock.latest_reading(now));
            return (!is_late).then(|| std::mem::take(&mut self.awaits_report));
        }
        // Processes start one after another, but their clocks may be set back. The present process
        // answers again before a late report of an earlier one can arrive.
        let is_earlier = report.started_at < self.started_at;
        if is_earlier && self.has_recent_reading(now) {
            return None;
        }
        self.started_at = report.started_at;
        if !std::mem::take(&mut self.awaits_report) {
            self.begin_incarnation();
        }
        self.health.on_success();
        Some(true)
    }

    /// Forgets what is only true of the former process.
    fn begin_incarnation(&mut self) {
        self.incarnation += 1;
        self.lease_end = self.lease_end.max(self.restart_lease_end);
        self.clock = None;
        self.handled_end = 0;
        self.stored_end = 0;
        self.acked_end = 0;
    }
}
