//! Handling of run ends that workers report.

use std::sync::Arc;

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use super::place_waits;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::lease;
use crate::report;
use crate::run;

impl Scheduler {
    /// Handles an ended run that a worker reports. Runs that are not assigned to the worker are
    /// ignored: their tasks were released only after the lease had expired.
    pub(super) fn on_run_end(
        &mut self,
        worker_index: usize,
        ended: &report::Ended,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        let incarnation = worker.incarnation;
        if worker
            .runs
            .get(&ended.task)
            .is_none_or(|run| run.run != ended.run)
        {
            self.withhold_former_ack(worker_index, ended.task, ended.number, now);
            return;
        }
        let Some(mut run) = self.fleet.unassign(worker_index, ended.task) else {
            return;
        };
        let worker = self.fleet.at_mut(worker_index);
        run.on_reported();
        run.closed_in = Some(incarnation);
        let counts = matches!(ended.end, report::End::Done | report::End::Failed);
        if counts && run.may_start_late(now) {
            worker.withhold_ack(ended.number, run.late_until);
        }
        self.dirty = true;
        if let Some(checkpoint) = &ended.checkpoint {
            self.save_checkpoint(ended.task, checkpoint);
        }
        self.remove_placed(worker_index, ended.task, ended.run);
        if ended.end != report::End::Done {
            let worker = self.fleet.at(worker_index).id.clone();
            self.log(decision::Decision::Ended {
                job: ended.task.step.job,
                step: ended.task.step.step,
                task: ended.task.index,
                run: ended.run,
                worker,
                end: ended.end,
                after_ms: lease::millis(now - run.placed_at),
            });
        }
        match ended.end {
            report::End::Done if run.may_start_late(now) => {
                self.keep_room(worker_index, ended.task, run.clone());
                self.on_done(worker_index, ended.task, run, now);
            }
            report::End::Done => self.on_done(worker_index, ended.task, run, now),
            report::End::Failed => self.on_failed(worker_index, ended.task, run, now),
            report::End::Stopped
            | report::End::Lapsed
            | report::End::Broken
            | report::End::Alone => self.requeue(worker_index, ended.task, run, now),
        }
    }

    /// Saves the latest checkpoint of a task. The checkpoint of a gang is saved with its first
    /// task.
    pub(super) fn save_checkpoint(&mut self, task: spec::TaskId, checkpoint: &Arc<str>) {
        let Some(job) = self.job_table.job_mut(task.step.job) else {
            return;
        };
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let checkpoint_owner = if is_gang { task.step.task(0) } else { task };
        if let Some(task) = job.task_mut(checkpoint_owner) {
            task.checkpoint = Some(Arc::clone(checkpoint));
        }
    }

    fn on_done(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: run::Run,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        worker.health.on_success();
        self.failing_jobs.remove(task.step.job);
        let Some(job) = self.job_table.job_mut(task.step.job) else {
            return;
        };
        if job.state().is_final() {
            // The task no longer counts as placed.
            self.requeue(worker_index, task, run, now);
            return;
        }
        let Some(step) = job.step(task.step) else {
            return;
        };
        let is_gang = step.gang;
        if step.lasting {
            self.requeue(worker_index, task, run, now);
            return;
        }
        let mut declared = f64::from(step.estimate_ms);
        if !place_waits::is_near(worker.rack(), step) {
            // Distance makes the run slow, not the worker.
            declared *= self.locality.far_factor();
        }
        let mut speed_change = None;
        if !is_gang && job.task(task).is_some_and(|task| task.checkpoint.is_none()) {
            let took = (now - run.placed_at).as_secs_f64() * 1_000.0;
            worker.learn_speed(declared, took);
            let changed = worker.take_speed_change();
            speed_change = changed.map(|permille| (worker.id.clone(), permille));
        }
        if is_gang {
            if job.tasks(task.step).is_some_and(job::StepTasks::is_done) {
                return;
            }
            self.journal
                .append(record::Record::GangDone { step: task.step });
            self.job_table.mark_gang_done(task.step);
        } else {
            if !job.mark_task_done(task) {
                return;
            }
            self.journal.append(record::Record::Done { task });
        }
        if let Some((worker, permille)) = speed_change {
            self.job_table.set_speed(worker.clone(), permille);
            self.journal
                .append(record::Record::Speed { worker, permille });
        }
        self.on_task_done(task.step, now);
    }

    /// Handles a completed task: if its step is done, activates further steps or completes the job.
    fn on_task_done(&mut self, id: spec::StepId, now: time::Monotonic) {
        let Some(job) = self.job_table.job(id.job) else {
            return;
        };
        if !job.tasks(id).is_some_and(job::StepTasks::is_done) {
            return;
        }
        let state = job.state();
        self.steps.remove(&id);
        if state == job::State::Completed {
            self.log_finished(id.job);
            self.after_commit(journal::Effect::Publish(id.job, state), now);
        } else {
            self.activate_occurrence(id.job, id.occurrence, now);
        }
    }

    fn on_failed(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: run::Run,
        now: time::Monotonic,
    ) {
        let job = self.job_table.job(task.step.job);
        if job.is_none_or(|job| job.state().is_final()) {
            self.requeue(worker_index, task, run, now);
            return;
        }
        self.count_failed_run(worker_index, task.step, now);
        let Some(job) = self.job_table.job_mut(task.step.job) else {
            return;
        };
        let Some(step) = job.step(task.step) else {
            return;
        };
        let lasting = step.lasting;
        // Failures of a gang are counted once, at its first task.
        let counted_task = if step.gang { task.step.task(0) } else { task };
        let queue = job.queue.clone();
        let failures = job.record_failure(counted_task, run.run);
        let attempts = self.queue(&queue).map_or(u32::MAX, |queue| queue.attempts);
        if let Some(failures) = failures {
            self.journal.append(record::Record::Failed {
                task: counted_task,
                run: run.run,
            });
            if failures >= attempts && !lasting {
                self.fail_job(task.step.job, now);
            }
        }
        self.requeue(worker_index, task, run, now);
    }

    fn fail_job(&mut self, id: spec::JobId, now: time::Monotonic) {
        if let Some(job) = self.job_table.job_mut(id) {
            job.failed = true;
        }
        self.log_finished(id);
        self.journal.append(record::Record::GaveUp { job: id });
        self.after_commit(journal::Effect::Publish(id, job::State::Failed), now);
        self.stop_job(id, now);
    }

    /// Counts a failed run. A job that fails on several workers does not speak against each as often
    /// as it fails there. Several such jobs do, as bad workers fail whatever they run, but not services
    /// of which nothing is at work: they start again forever, and three of them would keep all workers
    /// on probation.
    fn count_failed_run(&mut self, worker_index: usize, step: spec::StepId, now: time::Monotonic) {
        let job = step.job;
        let is_lasting = self
            .steps
            .get(&step)
            .is_some_and(|step| step.step_spec().lasting);
        let is_at_work = is_lasting && self.is_at_work(step);
        self.failing_jobs.on_failed(job, worker_index);
        let failed_on = self.failing_jobs.workers(job).unwrap_or_default();
        if is_lasting && !is_at_work && !failed_on.is_empty() {
            for &failed_on in failed_on {
                self.fleet.at_mut(failed_on).health.forgive(job);
            }
            return;
        }
        let health = &mut self.fleet.at_mut(worker_index).health;
        let strikes = if is_lasting {
            health.on_lasting_failure(job, now)
        } else {
            health.on_failure(Some(job), now)
        };
        for &failed_on in failed_on {
            self.fleet.at_mut(failed_on).health.count_once(job);
        }
        if failed_on.is_empty() {
            self.log_quarantine(worker_index, strikes);
        }
    }

    /// Whether a task of a long-running step is at work.
    fn is_at_work(&self, step: spec::StepId) -> bool {
        let Some(placed) = self.steps.get(&step).map(|step| &step.placed) else {
            return false;
        };
        placed.keys().any(|&worker_index| {
            let mut runs = self.fleet.at(worker_index).runs.iter();
            runs.any(|(task, run)| task.step == step && run.is_at_work())
        })
    }

    /// Counts a failure of a worker and quarantines it after too many.
    pub(super) fn count_worker_failure(
        &mut self,
        worker_index: usize,
        job: Option<spec::JobId>,
        now: time::Monotonic,
    ) {
        let strikes = self.fleet.at_mut(worker_index).health.on_failure(job, now);
        self.log_quarantine(worker_index, strikes);
    }

    fn log_quarantine(&mut self, worker_index: usize, strikes: Option<u32>) {
        let Some(strikes) = strikes else {
            return;
        };
        let quarantined = decision::Decision::Quarantined {
            worker: self.fleet.at(worker_index).id.clone(),
            strikes,
        };
        self.log(quarantined);
    }

    /// Whether a run on a worker is the current run of its task, and not a stray.
    pub(super) fn is_current_run(&self, worker_index: usize, task: spec::TaskId, run: u32) -> bool {
        let worker = &self.fleet.at(worker_index).id;
        let job = self.job_table.job(task.step.job);
        job.and_then(|job| job.task(task))
            .is_some_and(|task_state| {
                let is_here =
                    matches!(&task_state.phase, job::Phase::Placed { worker: at } if at == worker);
                is_here && task_state.run == run
            })
    }

    /// Updates the step's task count on a worker after a run has left it.
    pub(super) fn remove_placed(&mut self, worker_index: usize, task: spec::TaskId, run: u32) {
        if self.is_current_run(worker_index, task, run)
            && let Some(step) = self.steps.get_mut(&task.step)
        {
            step.remove_placed(worker_index);
        }
    }

    /// Queues a task again after its run has ended without completing it, once no start of the run can
    /// be carried out late any more. Does nothing if the run was a stray, as the task then waits already
    /// or runs elsewhere.
    pub(super) fn requeue(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: run::Run,
        now: time::Monotonic,
    ) {
        self.dirty = true;
        if !self.is_current_run(worker_index, task, run.run) {
            return;
        }
        if run.may_start_late(now) {
            self.hold_back(worker_index, task, run, now);
            return;
        }
        let Some(job) = self.job_table.job_mut(task.step.job) else {
            return;
        };
        let is_final = job.state().is_final();
        let Some(task_state) = job.task_mut(task) else {
            return;
        };
        task_state.phase = job::Phase::Waiting;
        if is_final {
            return;
        }
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.waiting.push(task.index);
        if step.step_spec().lasting {
            step.not_before = now + constants::LASTING_RESTART_DELAY;
        }
        if step.step_spec().gang {
            self.abort_gang(task.step, now);
        }
    }
}
