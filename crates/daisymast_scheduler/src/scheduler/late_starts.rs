//! Starts that got no answer, and may be carried out late by a process that has started under the
//! worker's ID since.
//!
//! While such a start is open, its task may run only on that worker: there the present process refuses
//! the run once it has ended, and a new process runs nothing else.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use super::placement;
use crate::action;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::run;
use crate::steps;

impl Scheduler {
    /// Records that the start of a run may have been sent twice, and only one of them is answered. The
    /// worker may have reported the run meanwhile, or the run may have been stopped.
    pub fn on_start_repeated(
        &mut self,
        target: &action::Target,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(target.index);
        if let Some(assigned_run) = worker.runs.get_mut(&task)
            && assigned_run.run == run
            && assigned_run.state != run::RunState::Journaling
        {
            assigned_run.send_count = assigned_run.send_count.saturating_add(1);
            assigned_run.add_open_start(now + constants::MAX_DELIVERY_TIME);
            // One record for each of the two starts.
            self.record_open_start(target.index, task);
            self.record_open_start(target.index, task);
        }
    }

    /// Handles a run whose start has not taken effect by now: sends it again, or stops the run if the
    /// worker has left it unanswered too often.
    pub(super) fn on_start_lost(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at(worker_index);
        let Some(run) = worker.runs.get(&task) else {
            return;
        };
        if run.start_order.incarnation != worker.incarnation {
            self.on_absent(worker_index, task, now);
        } else if run.has_no_sends_left() || self.exceeds_cap(run) {
            let reason = decision::StopReason::StartUnknown;
            self.request_stop(worker_index, task, reason, now);
        } else {
            self.repeat_start(worker_index, task, now);
        }
    }

    /// Handles a run that is not on its worker. While a start of it may be carried out late, it starts
    /// again in place if the worker can take it, and its task waits otherwise.
    pub(super) fn on_absent(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        now: time::Monotonic,
    ) {
        let is_ticketed = self
            .steps
            .get(&task.step)
            .is_some_and(|step| step.advice.is_some());
        let former_starts_end = self.former_starts_end();
        let worker = self.fleet.at_mut(worker_index);
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        if run.state == run::RunState::Inherited && !is_ticketed {
            run.late_until = former_starts_end;
        }
        let was_unsettled = run.state == run::RunState::Unsettled;
        if !run.may_start_late(now) {
            self.release(worker_index, task, now);
        } else if self.can_start_in_place(worker_index, task, now) {
            let worker = self.fleet.at_mut(worker_index);
            if let Some(run) = worker.runs.get_mut(&task) {
                run.begin_again();
            }
            self.record_open_start(worker_index, task);
            self.repeat_start(worker_index, task, now);
        } else if !was_unsettled {
            self.release(worker_index, task, now);
        }
    }

    /// Returns until when a start that a former scheduler sent may be carried out.
    pub(super) fn former_starts_end(&self) -> time::Monotonic {
        self.former_orders_end + constants::MAX_ORDER_AGE
    }

    /// Whether a run that is not on its worker can start there again under its number.
    fn can_start_in_place(
        &self,
        worker_index: usize,
        task: spec::TaskId,
        now: time::Monotonic,
    ) -> bool {
        let worker = self.fleet.at(worker_index);
        let is_open = worker.runs.get(&task).is_some_and(|run| {
            run.closed_in != Some(worker.incarnation)
                && self.is_current_run(worker_index, task, run.run)
                && !self.exceeds_cap(run)
        });
        let may_run = self.steps.get(&task.step).is_some_and(|step| {
            let is_alone = !step.step_spec().gang && step.advice.is_none();
            is_alone && placement::may_run(worker, step)
        });
        is_open
            && may_run
            && worker.reconciled
            && worker.takes_tasks(now)
            && !worker.health.is_quarantined(now)
            && worker.used.fits_in(worker.capacity())
    }

    /// Sends a start again. If an earlier one may be carried out late, the journal has to say so first,
    /// for the next scheduler.
    fn repeat_start(&mut self, worker_index: usize, task: spec::TaskId, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        let Some(run) = worker.runs.get_mut(&task) else {
            return;
        };
        let number = run.run;
        if !run.may_start_late(now) {
            self.send_start(worker_index, task, number, now);
            return;
        }
        // The start waits for its record, not for the next report.
        run.start_unknown = false;
        self.record_open_start(worker_index, task);
        let start = journal::Effect::Start(worker_index, task, number);
        self.after_commit(start, now);
    }

    /// Records for the next scheduler that one more start of a run may be carried out late.
    pub(super) fn record_open_start(&mut self, worker_index: usize, task: spec::TaskId) {
        let Some(run) = self.fleet.at(worker_index).runs.get(&task) else {
            return;
        };
        if run.ticket.is_some() {
            return;
        }
        let run = run.run;
        let placed = vec![(task.index, self.fleet.at(worker_index).id.clone())];
        self.job_table.place(task.step, run, placed.clone());
        self.journal.append(record::Record::Placed {
            step: task.step,
            run,
            tasks: placed,
        });
    }

    /// Marks the runs whose start is not answered yet, as a checkpoint replaces their placement records.
    pub(super) fn mark_open_starts(&mut self) {
        for worker in self.fleet.iter() {
            let is_open = |run: &run::Run| {
                let states = [run::RunState::Journaling, run::RunState::Starting];
                states.contains(&run.state) && run.ticket.is_none()
            };
            for (task, run) in worker.runs.iter().filter(|(_, run)| is_open(run)) {
                let placed = vec![(task.index, worker.id.clone())];
                self.job_table
                    .mark_recent_placement(task.step, run.run, placed);
            }
        }
    }

    /// Keeps the room of a run on its worker, as a start of it may still be carried out late.
    pub(super) fn keep_room(&mut self, worker_index: usize, task: spec::TaskId, mut run: run::Run) {
        run.state = run::RunState::Unsettled;
        self.fleet.assign(worker_index, task, run);
    }

    /// Leaves a task with the worker of its last run, of which a start may still be carried out late.
    pub(super) fn hold_back(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: run::Run,
        now: time::Monotonic,
    ) {
        self.keep_room(worker_index, task, run);
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        *step.placed.entry(worker_index).or_default() += 1;
        if step.step_spec().gang {
            self.abort_gang(task.step, now);
        }
    }

    /// Whether a run that was given up may go on if it is carried out after all: its task has not ended,
    /// and it is of no gang, whose other members were stopped.
    pub(super) fn is_wanted(&self, worker_index: usize, task: spec::TaskId, run: u32) -> bool {
        let is_alone = |step: &steps::ReadyStep| !step.step_spec().gang;
        self.steps.get(&task.step).is_some_and(is_alone)
            && self.is_current_run(worker_index, task, run)
    }

    /// Withholds the acknowledgement of a run that ended in an earlier term, if another start of it may
    /// still be carried out late.
    pub(super) fn withhold_former_ack(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        number: u64,
        now: time::Monotonic,
    ) {
        let until = self.former_starts_end();
        let job = self.job_table.job(task.step.job);
        let is_repeated = job
            .and_then(|job| job.task(task))
            .is_some_and(|task| task.open_start == job::OpenStart::Repeated);
        if is_repeated && now < until {
            self.fleet.at_mut(worker_index).withhold_ack(number, until);
        }
    }
}
