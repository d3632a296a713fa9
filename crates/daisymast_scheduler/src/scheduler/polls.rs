//! Polling of workers, which renews their leases and reads their running and ended runs.

use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::report;
use crate::run;
use crate::worker;

impl Scheduler {
    /// Sends the polls that are due.
    pub(super) fn poll_workers(&mut self, now: time::Monotonic) {
        let is_open_initial_poll =
            |worker: &&worker::Worker| worker.polling && is_initial_poll(worker);
        let mut initial_polls = self.fleet.iter().filter(is_open_initial_poll).count();
        for worker_index in 0..self.fleet.len() {
            let worker = self.fleet.at_mut(worker_index);
            if worker.polling || now < worker.next_poll || !needs_poll(worker, now) {
                continue;
            }
            if is_initial_poll(worker) {
                if initial_polls >= constants::MAX_INITIAL_POLLS {
                    continue;
                }
                initial_polls += 1;
            }
            let needs_fence = worker.needs_fence();
            if needs_fence {
                self.fencing.raise_above(worker.call_fence());
            }
            let fence = self.fencing.token();
            let Some(target) = worker.target(worker_index, fence, now) else {
                continue;
            };
            if !needs_fence {
                worker.on_call(fence);
            }
            let idle = worker.runs.is_empty();
            // A poll that is not answered may still arrive. It must not renew the lease of a lost
            // worker, or the tasks there would never start elsewhere.
            let deadline_ms = if idle || worker.missed_replies > 0 || needs_fence {
                None
            } else {
                worker.extend_lease(now)
            };
            let has_unstored_run_ends = worker.stored_end < worker.handled_end;
            let may_wait = worker.reconciled
                && worker.missed_replies == 0
                && !idle
                && !worker.poll_now
                && !has_unstored_run_ends
                && !worker.withholds_acks(now);
            let acked_end = worker.take_ack(now);
            worker.polling = true;
            worker.last_poll = now;
            worker.poll_now = false;
            self.actions.push(action::Action::PollWorker {
                target,
                deadline_ms,
                acked_end,
                wait: if may_wait {
                    constants::POLL_WAIT
                } else {
                    std::time::Duration::ZERO
                },
            });
        }
    }

    /// Handles the outcome of a poll that was sent to `target`.
    pub fn on_poll_outcome(
        &mut self,
        target: &action::Target,
        outcome: report::PollOutcome,
        now: time::Monotonic,
    ) {
        let worker_index = target.index;
        let worker = self.fleet.at_mut(worker_index);
        let is_overtaken = target.sent_at < worker.last_poll;
        if outcome == report::PollOutcome::Failed
            && is_overtaken
            && worker.is_former_poll(target.fence)
        {
            return;
        }
        worker.polling = false;
        match outcome {
            report::PollOutcome::Report(report) => self.on_report(target, &report, now),
            report::PollOutcome::Fenced if target.fence >= self.fencing.token() => {
                self.actions.push(action::Action::Deposed);
            }
            // A call with a higher token of this term has overtaken the poll.
            report::PollOutcome::Fenced => worker.poll_soon(now),
            report::PollOutcome::WrongWorker | report::PollOutcome::Failed => {
                if outcome == report::PollOutcome::WrongWorker {
                    // Another worker has the address, so this worker and all its runs have ended.
                    worker.lease_end = now;
                    for run in worker.runs.values_mut() {
                        run.lease_end = now;
                    }
                }
                worker.acked_end = 0;
                let is_first_miss = worker.missed_replies == 0;
                worker.missed_replies += 1;
                if is_first_miss {
                    self.on_suspected(worker_index, now);
                }
                self.fleet.at_mut(worker_index).next_poll = now + constants::POLL_RETRY_DELAY;
            }
        }
    }

    /// Suspects a worker that did not answer an order: nothing is placed there until a poll
    /// succeeds.
    pub(super) fn suspect(&mut self, worker_index: usize, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        if worker.missed_replies > 0 {
            return;
        }
        worker.missed_replies = 1;
        // The open poll may take long; its answer still counts when it arrives.
        worker.polling = false;
        worker.next_poll = now;
        self.on_suspected(worker_index, now);
    }

    fn on_suspected(&mut self, worker_index: usize, now: time::Monotonic) {
        let worker = self.fleet.at(worker_index);
        let suspected = decision::Decision::WorkerSuspected {
            worker: worker.id.clone(),
            runs: worker.runs.len(),
        };
        let zone = worker
            .registration
            .as_ref()
            .map(|registration| registration.zone.clone());
        self.log(suspected);
        let Some(zone) = zone else {
            return;
        };
        let in_zone = |worker: &worker::Worker| {
            worker.registered
                && worker
                    .registration
                    .as_ref()
                    .is_some_and(|registration| registration.zone == zone)
        };
        let suspects = self
            .fleet
            .iter()
            .filter(|worker| in_zone(worker) && worker.missed_replies > 0);
        let suspects = suspects.count();
        // The zone may be cut off, which the open polls of its other workers would show only much
        // later. The first suspect leads to immediate polls of some of them, the second stops
        // placement on all.
        let probe_count = match suspects {
            1 => constants::ZONE_PROBE_WORKERS,
            constants::ZONE_SUSPECT_THRESHOLD => usize::MAX,
            _ => return,
        };
        let others = self
            .fleet
            .iter_mut()
            .filter(|worker| in_zone(worker) && worker.missed_replies == 0);
        for worker in others.take(probe_count) {
            worker.poll_now = true;
            worker.polling = false;
            worker.next_poll = now;
            if suspects == constants::ZONE_SUSPECT_THRESHOLD {
                worker.missed_replies = 1;
            }
        }
    }
}

/// Whether a worker needs a poll: its runs are unknown, it has active runs, it was suspected, the
/// reading of its clock is old, or it has to be told which ended runs are stored. While ended runs are not stored yet, each poll would
/// return at once with the same ones, so polls are limited to the rate that keeps the lease.
fn needs_poll(worker: &worker::Worker, now: time::Monotonic) -> bool {
    if !worker.registered && worker.runs.is_empty() {
        return false;
    }
    let active = worker
        .runs
        .values()
        .any(|run| run.state != run::RunState::Journaling);
    if worker.withholds_acks(now) && worker.reconciled && worker.missed_replies == 0 {
        return active && now >= worker.last_poll + constants::WITHHELD_ACK_POLL_INTERVAL;
    }
    if worker.stored_end < worker.handled_end {
        return active && now >= worker.last_poll + constants::UNSTORED_RUN_ENDS_POLL_INTERVAL;
    }
    worker.poll_now
        || !worker.reconciled
        || active
        || worker.acked_end < worker.ackable_end(now)
        || worker.missed_replies > 0
        || worker.has_old_clock(now)
}

/// Whether this is the first poll of a worker in this term. A worker that did not answer does not
/// count, as its polls are spaced by the retry delay.
fn is_initial_poll(worker: &worker::Worker) -> bool {
    worker.incarnation == 0 && worker.missed_replies == 0
}
