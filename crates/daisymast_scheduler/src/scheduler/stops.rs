//! Stop orders, and the handling of their outcomes.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use super::orders;
use crate::action;
use crate::constants;
use crate::decision;
use crate::report;
use crate::run;

impl Scheduler {
    /// Stops a run. A run that was not sent yet is released.
    pub(super) fn request_stop(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        reason: decision::StopReason,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        let id = worker.id.clone();
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        match assigned_run.state {
            run::RunState::Journaling => self.release(worker_index, task, now),
            run::RunState::Stopping { .. } | run::RunState::Unsettled => {}
            run::RunState::Starting | run::RunState::Running { .. } | run::RunState::Inherited => {
                assigned_run.on_stopped_while_open(now);
                assigned_run.state = run::RunState::Stopping { accepted_at: None };
                assigned_run.retry_at = now;
                let stopping = decision::Decision::Stopping {
                    job: task.step.job,
                    step: task.step.step,
                    task: task.index,
                    run: assigned_run.run,
                    worker: id,
                    reason,
                    others: 0,
                };
                // The stop of a gang is logged once, not for each member.
                if reason != decision::StopReason::GangBroken {
                    self.log(stopping);
                }
                self.send_stop(worker_index, task, now);
                if matches!(
                    reason,
                    decision::StopReason::StartUnknown | decision::StopReason::Hung
                ) {
                    self.abort_if_gang(task.step, now);
                }
            }
        }
    }

    /// Sends a stop that was not answered yet.
    pub(super) fn send_stop(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        now: time::Monotonic,
    ) {
        let fence = self.fencing.token();
        let worker = self.fleet.at_mut(worker_index);
        // The worker must know the fencing token first, which it learns from the first poll.
        if !worker.reconciled {
            return;
        }
        let Some(target) = worker.target(worker_index, fence, now) else {
            return;
        };
        worker.on_call(fence);
        let incarnation = worker.incarnation;
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        assigned_run.stop_incarnation.get_or_insert(incarnation);
        assigned_run.retry_at = now + constants::STOP_RETRY_DELAY * 2;
        self.actions.push(action::Action::Stop {
            target,
            task,
            run: assigned_run.run,
        });
    }

    /// Handles the outcome of a stop that was sent to `target`.
    pub fn on_stop(
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
        if let report::OrderOutcome::Refused(report::Refusal::WrongWorker, _) = outcome {
            worker.reconciled = false;
            worker.next_poll = now;
        }
        let Some(assigned_run) = worker.runs.get(&task) else {
            return;
        };
        if assigned_run.run != run || !matches!(assigned_run.state, run::RunState::Stopping { .. })
        {
            return;
        }
        let order = run::SentOrder {
            at: time::Monotonic::ZERO,
            incarnation: assigned_run.stop_incarnation.unwrap_or_default(),
        };
        let reading = orders::reading(outcome);
        let is_present = self.is_from_present_process(worker_index, order, reading, now);
        let worker = self.fleet.at_mut(worker_index);
        let incarnation = worker.incarnation;
        let Some(assigned_run) = worker.runs.get_mut(&task) else {
            return;
        };
        assigned_run.stop_incarnation = None;
        match outcome {
            report::OrderOutcome::Accepted(_)
            | report::OrderOutcome::Refused(report::Refusal::OldRun, Some(_))
                if is_present =>
            {
                assigned_run.state = run::RunState::Stopping {
                    accepted_at: reading,
                };
                assigned_run.confirmed_by = incarnation;
                assigned_run.closed_in = Some(incarnation);
            }
            // A former process has answered.
            report::OrderOutcome::Accepted(_) => assigned_run.retry_at = now,
            report::OrderOutcome::Refused(..) => {
                assigned_run.retry_at = now + constants::STOP_RETRY_DELAY;
            }
            report::OrderOutcome::NoEffect | report::OrderOutcome::Unknown => {
                assigned_run.retry_at = now + constants::STOP_RETRY_DELAY;
                self.suspect(worker_index, now);
            }
        }
    }
}
