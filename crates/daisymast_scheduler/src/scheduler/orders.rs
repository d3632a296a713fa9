//! Start orders, and the handling of the outcomes of orders.

use std::sync::Arc;

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::lease;
use crate::report;
use crate::run;

impl Scheduler {
    /// Sends the start of a run whose placement is stored. Releases the task if the worker can no
    /// longer be used.
    pub(super) fn send_start(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        let Some(job) = self.job_table.job(task.step.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let checkpoint_owner = if is_gang { task.step.task(0) } else { task };
        let checkpoint = job
            .task(checkpoint_owner)
            .and_then(|task| task.checkpoint.clone());
        let ticket_expired = self
            .steps
            .get(&task.step)
            .is_some_and(|step| step.advice.is_some() && !step.has_ticket(worker_index, now));
        let fence = self.fencing.token();
        // The cap may have been lowered while the placement was stored.
        let exceeds_cap = self
            .fleet
            .at(worker_index)
            .runs
            .get(&task)
            .is_some_and(|run| self.exceeds_cap(run));
        let worker = self.fleet.at_mut(worker_index);
        let takes_tasks = worker.takes_tasks(now);
        let Some(assigned_run) = worker.runs.get(&task) else {
            return;
        };
        let is_unsent = assigned_run.state == run::RunState::Journaling;
        let is_fenced = worker.fenced;
        if assigned_run.run != run
            || !matches!(
                assigned_run.state,
                run::RunState::Journaling | run::RunState::Starting
            )
        {
            return;
        }
        let target = worker.target(worker_index, fence, now);
        let deadline = worker.extend_lease(now);
        let (Some(target), Some(deadline_ms)) = (target, deadline) else {
            self.release(worker_index, task, now);
            return;
        };
        if is_unsent && (!takes_tasks || ticket_expired || !is_fenced || exceeds_cap) {
            self.release(worker_index, task, now);
            return;
        }
        if !is_fenced {
            self.await_report(worker_index, task, now);
            return;
        }
        let worker = self.fleet.at_mut(worker_index);
        worker.on_call(fence);
        let order = worker.order_at(now);
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        assigned_run.state = run::RunState::Starting;
        assigned_run.send_count += 1;
        assigned_run.start_unknown = false;
        assigned_run.start_order = order;
        assigned_run.lease_end = now + lease::longest_granted(self.max_lease);
        assigned_run.last_progress = now;
        let ticket = assigned_run.ticket.clone();
        self.actions.push(action::Action::Start(action::Start {
            target,
            task,
            run,
            spec,
            deadline_ms,
            checkpoint,
            ticket,
        }));
    }

    /// Lets the next report decide whether a start has taken effect.
    fn await_report(&mut self, worker_index: usize, task: spec::TaskId, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        worker.poll_soon(now);
        if let Some(run) = worker.runs.get_mut(&task) {
            run.start_unknown = true;
            run.unknown_at = now;
        }
    }

    /// Removes a run that is certainly not on its worker any more, and queues its task again.
    pub(super) fn release(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        now: time::Monotonic,
    ) {
        if let Some(run) = self.fleet.unassign(worker_index, task) {
            self.remove_placed(worker_index, task, run.run);
            self.requeue(worker_index, task, run, now);
        }
    }

    /// Handles the outcome of a start that was sent to `target`.
    pub fn on_start(
        &mut self,
        target: &action::Target,
        task: spec::TaskId,
        run: u32,
        outcome: report::OrderOutcome,
        now: time::Monotonic,
    ) {
        let worker_index = target.index;
        if self.is_deposed_by(target, outcome) {
            return;
        }
        let worker = self.fleet.at_mut(worker_index);
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        if assigned_run.run != run {
            return;
        }
        if assigned_run.state != run::RunState::Starting {
            let is_answered = outcome != report::OrderOutcome::Unknown;
            assigned_run.on_late_outcome(is_answered, now);
            return;
        }
        let order = assigned_run.start_order;
        let reading = reading(outcome);
        let is_present = self.is_from_present_process(worker_index, order, reading, now);
        let worker = self.fleet.at_mut(worker_index);
        // A run that a former process has accepted is not listed by reports from now on.
        let since = reading.filter(|_| is_present);
        let since = since.unwrap_or(worker.latest_reading(now));
        let incarnation = worker.incarnation;
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        if is_present && order.incarnation == incarnation {
            assigned_run.lease_end = now;
        }
        let sent_once = assigned_run.send_count <= 1;
        match outcome {
            report::OrderOutcome::Accepted(_)
            | report::OrderOutcome::Refused(report::Refusal::OldRun, Some(_)) => {
                // `OldRun`: the run ended before its start was repeated; the next report lists it.
                if !matches!(outcome, report::OrderOutcome::Accepted(_)) {
                    assigned_run.closed_in = Some(incarnation);
                }
                assigned_run.on_start_answered();
                assigned_run.state = run::RunState::Running { since };
                assigned_run.confirmed_by = incarnation;
                self.mark_start_confirmed(task.step.job);
            }
            // A poll with a higher token has overtaken the start.
            report::OrderOutcome::Refused(report::Refusal::Fenced, _) => {
                self.await_report(worker_index, task, now);
            }
            report::OrderOutcome::Refused(refusal, _) => {
                self.on_refused(worker_index, task, refusal, now);
                self.release_or_stop(worker_index, task, sent_once, now);
            }
            report::OrderOutcome::NoEffect => {
                self.suspect(worker_index, now);
                self.release_or_stop(worker_index, task, sent_once, now);
            }
            report::OrderOutcome::Unknown => {
                assigned_run.on_start_unanswered(now);
                let unanswered = decision::Decision::StartUnanswered {
                    job: task.step.job,
                    step: task.step.step,
                    task: task.index,
                    run,
                    worker: target.id.clone(),
                    incarnation,
                    sends: assigned_run.send_count,
                };
                // Otherwise the next report shows whether the start has taken effect.
                let is_last = assigned_run.has_no_sends_left();
                self.log(unanswered);
                self.record_open_start(worker_index, task);
                self.suspect(worker_index, now);
                if is_last {
                    self.request_stop(worker_index, task, decision::StopReason::StartUnknown, now);
                }
            }
        }
    }

    /// Handles the reading of the worker's clock in the answer to an order, if there is one. Returns
    /// whether the process that uses the worker's ID at present gave it.
    pub(super) fn is_from_present_process(
        &mut self,
        worker_index: usize,
        order: run::SentOrder,
        reading: Option<u64>,
        now: time::Monotonic,
    ) -> bool {
        let Some(reading) = reading else {
            return false;
        };
        let max_lease = self.max_lease;
        let worker = self.fleet.at_mut(worker_index);
        let known = worker.incarnation;
        let is_present = worker.on_order_reading(order, reading, max_lease, now);
        if worker.incarnation != known {
            let restarted = decision::Decision::WorkerRestarted {
                worker: worker.id.clone(),
                clock_ms: reading,
            };
            self.log(restarted);
        }
        is_present
    }

    /// Whether the worker has seen a later term. It may also have seen a higher token of this one.
    pub(super) fn is_deposed_by(
        &mut self,
        target: &action::Target,
        outcome: report::OrderOutcome,
    ) -> bool {
        let is_fenced = matches!(
            outcome,
            report::OrderOutcome::Refused(report::Refusal::Fenced, _)
        );
        let is_deposed = is_fenced && target.fence >= self.fencing.token();
        if is_deposed {
            self.actions.push(action::Action::Deposed);
        }
        is_deposed
    }

    /// Records that a worker has accepted a task of the job.
    pub(super) fn mark_start_confirmed(&mut self, id: spec::JobId) {
        if let Some(job) = self.job_table.job_mut(id) {
            job.start_confirmed = true;
        }
    }

    /// Handles a start without effect: releases the task if the start was sent only once, and
    /// otherwise stops the run, as an earlier start may have taken effect.
    fn release_or_stop(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        sent_once: bool,
        now: time::Monotonic,
    ) {
        if sent_once {
            self.release(worker_index, task, now);
        } else {
            self.request_stop(worker_index, task, decision::StopReason::StartUnknown, now);
        }
    }

    fn on_refused(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        refusal: report::Refusal,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        match refusal {
            report::Refusal::Ticket => {
                if let Some(step) = self.steps.get_mut(&task.step) {
                    step.permissions.remove(&worker_index);
                }
            }
            report::Refusal::WrongWorker => {
                worker.reconciled = false;
                worker.next_poll = now;
            }
            report::Refusal::Unhealthy => self.count_worker_failure(worker_index, None, now),
            report::Refusal::NoRoom => worker.health.exclude(now + constants::POLL_WAIT),
            report::Refusal::Fenced
            | report::Refusal::OldRun
            | report::Refusal::Expired
            | report::Refusal::Malformed => {}
        }
    }
}

/// Returns the reading of the worker's clock in the answer to an order.
pub(super) fn reading(outcome: report::OrderOutcome) -> Option<u64> {
    match outcome {
        report::OrderOutcome::Accepted(reading) => Some(reading),
        report::OrderOutcome::Refused(_, reading) => reading,
        report::OrderOutcome::NoEffect | report::OrderOutcome::Unknown => None,
    }
}
