//! What follows from the end of a run.

use std::sync::Arc;

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::lease;
use crate::report;
use crate::worker;

impl Scheduler {
    /// Handles an end that a worker lists. Ends of runs that are not expected there are ignored:
    /// their task was given up only after the lease had expired.
    pub(super) fn on_end(&mut self, place: usize, ended: &report::Ended, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        if worker
            .runs
            .get(&ended.task)
            .is_none_or(|run| run.run != ended.run)
        {
            return;
        }
        let Some(run) = worker.remove(ended.task) else {
            return;
        };
        self.dirty = true;
        if let Some(checkpoint) = &ended.checkpoint {
            self.save_checkpoint(ended.task, checkpoint);
        }
        self.take_off(place, ended.task, ended.run);
        if ended.end != report::End::Done {
            let worker = self.fleet.at(place).id.clone();
            self.log(decision::Decision::Ended {
                job: ended.task.step.job,
                step: ended.task.step.step,
                task: ended.task.index,
                run: ended.run,
                worker,
                end: ended.end,
                after_ms: lease::millis(now - run.placed),
            });
        }
        match ended.end {
            report::End::Done => self.on_done(place, ended.task, &run, now),
            report::End::Failed => self.on_failed(place, ended.task, ended.run, now),
            report::End::Stopped
            | report::End::Lapsed
            | report::End::Broken
            | report::End::Alone => self.requeue(place, ended.task, ended.run, now),
        }
    }

    /// Keeps the latest checkpoint of a task; that of a gang is kept with its first task.
    pub(super) fn save_checkpoint(&mut self, task: spec::TaskId, checkpoint: &Arc<str>) {
        let Some(job) = self.book.job_mut(task.step.job) else {
            return;
        };
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let keeper = if is_gang { task.step.task(0) } else { task };
        if let Some(task) = job.task_mut(keeper) {
            task.checkpoint = Some(Arc::clone(checkpoint));
        }
    }

    fn on_done(
        &mut self,
        place: usize,
        task: spec::TaskId,
        run: &worker::Run,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(place);
        worker.strikes = 0;
        let Some(job) = self.book.job_mut(task.step.job) else {
            return;
        };
        if job.state().is_final() {
            return;
        }
        let Some(step) = job.step(task.step) else {
            return;
        };
        let is_gang = step.gang;
        if step.lasting {
            self.requeue(place, task, run.run, now);
            return;
        }
        let declared = f64::from(step.estimate_ms);
        let mut learned = None;
        if !is_gang && job.task(task).is_some_and(|task| task.checkpoint.is_none()) {
            let took = (now - run.placed).as_secs_f64() * 1_000.0;
            worker.learn_speed(declared, took);
            let changed = worker.changed_speed();
            learned = changed.map(|permille| (worker.id.clone(), permille));
        }
        if is_gang {
            if job.tasks(task.step).is_some_and(job::StepTasks::is_done) {
                return;
            }
            self.journal
                .record(record::Record::GangDone { step: task.step });
            self.book.mark_gang_done(task.step);
        } else {
            if !job.mark_task_done(task) {
                return;
            }
            self.journal.record(record::Record::Done { task });
        }
        if let Some((worker, permille)) = learned {
            self.book.set_speed(worker.clone(), permille);
            self.journal
                .record(record::Record::Speed { worker, permille });
        }
        self.on_progress(task.step, now);
    }

    /// A task of a step is done: the step, its followers or the job may go on.
    fn on_progress(&mut self, id: spec::StepId, now: time::Monotonic) {
        let Some(job) = self.book.job(id.job) else {
            return;
        };
        if !job.tasks(id).is_some_and(job::StepTasks::is_done) {
            return;
        }
        let state = job.state();
        self.steps.remove(&id);
        if state == job::State::Completed {
            self.log_finished(id.job);
            self.after_commit(journal::Effect::Show(id.job, state), now);
        } else {
            self.activate_occurrence(id.job, id.occurrence, now);
        }
    }

    fn on_failed(&mut self, place: usize, task: spec::TaskId, run: u32, now: time::Monotonic) {
        self.strike(place, now);
        let Some(job) = self.book.job_mut(task.step.job) else {
            return;
        };
        if job.state().is_final() {
            return;
        }
        let Some(step) = job.step(task.step) else {
            return;
        };
        let lasting = step.lasting;
        // Attempts of a gang are counted once, at its first task.
        let counted = if step.gang { task.step.task(0) } else { task };
        let queue = job.queue.clone();
        let failures = job.record_failure(counted, run);
        let attempts = self.queue(&queue).map_or(u32::MAX, |queue| queue.attempts);
        if let Some(failures) = failures {
            self.journal
                .record(record::Record::Failed { task: counted, run });
            if failures >= attempts && !lasting {
                self.give_up(task.step.job, now);
                return;
            }
        }
        self.requeue(place, task, run, now);
    }

    fn give_up(&mut self, id: spec::JobId, now: time::Monotonic) {
        if let Some(job) = self.book.job_mut(id) {
            job.failed = true;
        }
        self.log_finished(id);
        self.journal.record(record::Record::GaveUp { job: id });
        self.after_commit(journal::Effect::Show(id, job::State::Failed), now);
        self.end_job(id, now);
    }

    /// Counts a failure against a worker.
    pub(super) fn strike(&mut self, place: usize, now: time::Monotonic) {
        let worker = self.fleet.at_mut(place);
        worker.strikes += 1;
        if worker.strikes >= constants::STRIKES {
            worker.quarantined = now + constants::QUARANTINE;
            let quarantined = decision::Decision::Quarantined {
                worker: worker.id.clone(),
                strikes: worker.strikes,
            };
            self.log(quarantined);
        }
    }

    /// Whether a run on a worker is the one that its task was last placed for, and no stray.
    fn is_placed(&self, place: usize, task: spec::TaskId, run: u32) -> bool {
        let worker = &self.fleet.at(place).id;
        let job = self.book.job(task.step.job);
        job.and_then(|job| job.task(task)).is_some_and(|entry| {
            let is_here = matches!(&entry.phase, job::Phase::Placed { worker: at } if at == worker);
            is_here && entry.run == run
        })
    }

    /// A run has left a worker, so its step may use the place again.
    pub(super) fn take_off(&mut self, place: usize, task: spec::TaskId, run: u32) {
        if self.is_placed(place, task, run)
            && let Some(step) = self.steps.get_mut(&task.step)
        {
            step.take_off(place);
        }
    }

    /// A run is surely over and its task is not done: the task waits again, unless the run was a stray
    /// while the task waits or runs elsewhere.
    pub(super) fn requeue(
        &mut self,
        place: usize,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        self.dirty = true;
        if !self.is_placed(place, task, run) {
            return;
        }
        let Some(job) = self.book.job_mut(task.step.job) else {
            return;
        };
        let is_final = job.state().is_final();
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.phase = job::Phase::Waiting;
        if is_final {
            return;
        }
        let Some(step) = self.steps.get_mut(&task.step) else {
            return;
        };
        step.waiting.push(task.index);
        if step.content().lasting {
            step.not_before = now + constants::LASTING_PAUSE;
        }
        if step.content().gang {
            self.abort_gang(task.step, now);
        }
    }
}
