//! Starts and stops, and what their outcomes mean.

use std::sync::Arc;

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::report;
use crate::worker;

impl Scheduler {
    /// Sends the start of a run whose placement is stored.
    pub(super) fn send_start(
        &mut self,
        place: usize,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        let Some(job) = self.book.job(task.step.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let keeper = if is_gang { task.step.task(0) } else { task };
        let checkpoint = job.task(keeper).and_then(|task| task.checkpoint.clone());
        let ticket_ends = self
            .steps
            .get(&task.step)
            .is_some_and(|step| step.advice.is_some() && step.ticket(place, now).is_none());
        let worker = self.fleet.at_mut(place);
        let usable = (worker.listed || now < worker.gone_at)
            && !worker.entry.as_ref().is_some_and(|entry| entry.draining);
        let Some(entry) = worker.runs.get(&task) else {
            return;
        };
        let unsent = entry.state == worker::RunState::Journaling;
        if entry.run != run
            || !matches!(
                entry.state,
                worker::RunState::Journaling | worker::RunState::Starting
            )
        {
            return;
        }
        let target = worker.target(place);
        let deadline = worker.extend(now);
        let (Some(target), Some(deadline_ms)) = (target, deadline) else {
            self.release(place, task, now);
            return;
        };
        if unsent && (!usable || ticket_ends) {
            self.release(place, task, now);
            return;
        }
        let worker = self.fleet.at_mut(place);
        let Some(entry) = worker.runs.get_mut(&task) else {
            return;
        };
        entry.state = worker::RunState::Starting;
        entry.tries += 1;
        entry.progressed = now;
        let ticket = entry.ticket.clone();
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

    /// A run is surely not on its worker any more: frees its room and queues its task again.
    pub(super) fn release(&mut self, place: usize, task: spec::TaskId, now: time::Monotonic) {
        if let Some(run) = self.fleet.at_mut(place).remove(task) {
            self.take_off(place, task, run.run);
            self.requeue(place, task, run.run, now);
        }
    }

    /// Outcome of a start.
    pub fn on_start(
        &mut self,
        place: usize,
        task: spec::TaskId,
        run: u32,
        outcome: report::OrderOutcome,
        now: time::Monotonic,
    ) {
        let Some(worker) = self.answered(place, outcome, now) else {
            return;
        };
        let Some(entry) = worker.runs.get_mut(&task) else {
            return;
        };
        if entry.run != run || entry.state != worker::RunState::Starting {
            return;
        }
        let sent_once = entry.tries <= 1;
        match outcome {
            report::OrderOutcome::Taken(since)
            | report::OrderOutcome::Refused(report::Refusal::OldRun, Some(since)) => {
                // A run that had ended before its start was repeated is in the next report.
                entry.state = worker::RunState::Running { since };
                self.note_begun(task.step.job);
            }
            report::OrderOutcome::Refused(refusal, _) => {
                self.on_refused(place, task, refusal, now);
                self.settle(place, task, sent_once, now);
            }
            report::OrderOutcome::NoEffect => {
                self.suspect(place, now);
                self.settle(place, task, sent_once, now);
            }
            report::OrderOutcome::Unknown => {
                let again = entry.tries < constants::START_TRIES;
                self.suspect(place, now);
                if again {
                    self.send_start(place, task, run, now);
                } else {
                    self.request_stop(place, task, decision::StopReason::StartUnknown, now);
                }
            }
        }
    }

    /// The worker that gave an outcome, with its clock read; none if it has seen a later term.
    fn answered(
        &mut self,
        place: usize,
        outcome: report::OrderOutcome,
        now: time::Monotonic,
    ) -> Option<&mut worker::Worker> {
        if let report::OrderOutcome::Refused(report::Refusal::Fenced, _) = outcome {
            self.actions.push(action::Action::Deposed);
            return None;
        }
        let worker = self.fleet.at_mut(place);
        if let report::OrderOutcome::Taken(clock) | report::OrderOutcome::Refused(_, Some(clock)) =
            outcome
        {
            worker.read_clock(clock, now);
        }
        Some(worker)
    }

    /// A worker surely has or had a task of the job.
    pub(super) fn note_begun(&mut self, id: spec::JobId) {
        if let Some(job) = self.book.job_mut(id) {
            job.start_confirmed = true;
        }
    }

    /// A start was refused. If it was sent once, it is surely not there; an earlier one may be.
    fn settle(&mut self, place: usize, task: spec::TaskId, sent_once: bool, now: time::Monotonic) {
        if sent_once {
            self.release(place, task, now);
        } else {
            self.request_stop(place, task, decision::StopReason::StartUnknown, now);
        }
    }

    fn on_refused(
        &mut self,
        place: usize,
        task: spec::TaskId,
        refusal: report::Refusal,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(place);
        match refusal {
            report::Refusal::Ticket => {
                if let Some(step) = self.steps.get_mut(&task.step) {
                    step.verdicts.remove(&place);
                }
            }
            report::Refusal::WrongWorker => {
                worker.adopted = false;
                worker.next_look = now;
            }
            report::Refusal::Unhealthy => self.strike(place, now),
            report::Refusal::NoRoom => worker.quarantined = now + constants::LOOK_WAIT,
            report::Refusal::Fenced
            | report::Refusal::OldRun
            | report::Refusal::Expired
            | report::Refusal::Malformed => {}
        }
    }

    /// Ends a run. One that was not sent yet is dropped.
    pub(super) fn request_stop(
        &mut self,
        place: usize,
        task: spec::TaskId,
        reason: decision::StopReason,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(place);
        let id = worker.id.clone();
        let Some(entry) = worker.runs.get_mut(&task) else {
            return;
        };
        match entry.state {
            worker::RunState::Journaling => self.release(place, task, now),
            worker::RunState::Stopping { .. } => {}
            worker::RunState::Starting
            | worker::RunState::Running { .. }
            | worker::RunState::Adopting => {
                entry.state = worker::RunState::Stopping { taken: None };
                entry.retry_at = now;
                let stopping = decision::Decision::Stopping {
                    job: task.step.job,
                    step: task.step.step,
                    task: task.index,
                    run: entry.run,
                    worker: id,
                    reason,
                    others: 0,
                };
                // A broken gang is told once, not for each of its members.
                if reason != decision::StopReason::GangBroken {
                    self.log(stopping);
                }
                self.send_stop(place, task, now);
                if matches!(
                    reason,
                    decision::StopReason::StartUnknown | decision::StopReason::Hung
                ) {
                    self.abort_if_gang(task.step, now);
                }
            }
        }
    }

    /// Sends a stop that has no answer yet.
    pub(super) fn send_stop(&mut self, place: usize, task: spec::TaskId, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        // The token has to be known to the worker first, which the first look does.
        if !worker.adopted {
            return;
        }
        let Some(target) = worker.target(place) else {
            return;
        };
        let Some(entry) = worker.runs.get_mut(&task) else {
            return;
        };
        entry.retry_at = now + constants::STOP_RETRY * 2;
        self.actions.push(action::Action::Stop {
            target,
            task,
            run: entry.run,
        });
    }

    /// Outcome of a stop.
    pub fn on_stop(
        &mut self,
        place: usize,
        task: spec::TaskId,
        run: u32,
        outcome: report::OrderOutcome,
        now: time::Monotonic,
    ) {
        let Some(worker) = self.answered(place, outcome, now) else {
            return;
        };
        if let report::OrderOutcome::Refused(report::Refusal::WrongWorker, _) = outcome {
            worker.adopted = false;
            worker.next_look = now;
        }
        let Some(entry) = worker.runs.get_mut(&task) else {
            return;
        };
        if entry.run != run || !matches!(entry.state, worker::RunState::Stopping { .. }) {
            return;
        }
        match outcome {
            report::OrderOutcome::Taken(clock)
            | report::OrderOutcome::Refused(report::Refusal::OldRun, Some(clock)) => {
                entry.state = worker::RunState::Stopping { taken: Some(clock) };
            }
            report::OrderOutcome::Refused(..) => entry.retry_at = now + constants::STOP_RETRY,
            report::OrderOutcome::NoEffect | report::OrderOutcome::Unknown => {
                entry.retry_at = now + constants::STOP_RETRY;
                self.suspect(place, now);
            }
        }
    }
}
