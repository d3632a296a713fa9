//! Runs that make no progress.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::decision;
use crate::progress;
use crate::report;
use crate::run;

impl Scheduler {
    /// Records the progress that a worker reports of one of its assigned runs.
    pub(super) fn record_progress(
        &mut self,
        worker_index: usize,
        running: &report::Running,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        let Some(run) = worker.runs.get_mut(&running.task) else {
            return;
        };
        if run.percent == running.percent {
            return;
        }
        let advanced = running.percent.saturating_sub(run.percent);
        let took = now - run.last_progress;
        run.percent = running.percent;
        run.last_progress = now;
        let is_at_work = run.is_at_work();
        if let Some(step) = self.steps.get_mut(&running.task.step) {
            step.progress.on_progress(advanced, took, now);
            if is_at_work && step.step_spec().lasting {
                self.failing_jobs.remove(running.task.step.job);
            }
        }
    }

    /// Stops runs that make no progress, so that their tasks start elsewhere.
    pub(super) fn stop_hung(&mut self, worker_index: usize, now: time::Monotonic) {
        let mut hung_steps = Vec::new();
        for id in self.stalled_steps(worker_index, now) {
            let Some(step) = self.steps.get_mut(&id) else {
                continue;
            };
            match step.progress.on_stalled(worker_index, now) {
                progress::StallCause::Worker => hung_steps.push(id),
                progress::StallCause::SlowTasks(earlier) => {
                    self.fleet.at_mut(earlier).health.forgive_stall(id);
                }
            }
        }
        // What stands still at the same time counts as one failure.
        if let Some(first) = hung_steps.first() {
            self.count_worker_failure(worker_index, Some(first.job), now);
        }
        for id in hung_steps {
            self.stop_hung_runs(worker_index, id, now);
        }
    }

    /// Returns the steps with runs on a worker that have made no progress for too long.
    fn stalled_steps(&self, worker_index: usize, now: time::Monotonic) -> Vec<spec::StepId> {
        let mut stalled: Vec<spec::StepId> = self
            .stalled_runs(worker_index, now)
            .map(|task| task.step)
            .collect();
        stalled.sort_unstable();
        stalled.dedup();
        stalled
    }

    fn stalled_runs(
        &self,
        worker_index: usize,
        now: time::Monotonic,
    ) -> impl Iterator<Item = spec::TaskId> {
        let runs = self.fleet.at(worker_index).runs.iter();
        runs.filter(move |(task, run)| {
            matches!(run.state, run::RunState::Running { .. })
                && run.percent < constants::GANG_WAIT_PERCENT
                && now - run.last_progress > constants::HUNG_TIMEOUT
                && self.steps.get(&task.step).is_some_and(|step| {
                    !step.step_spec().lasting
                        && !step.aborting
                        && now - run.last_progress > step.progress.timeout()
                })
        })
        .map(|(&task, _)| task)
    }

    /// Stops the hung runs of a step on a worker, and excludes the worker for a while.
    fn stop_hung_runs(&mut self, worker_index: usize, step: spec::StepId, now: time::Monotonic) {
        let hung_tasks: Vec<spec::TaskId> = self
            .stalled_runs(worker_index, now)
            .filter(|task| task.step == step)
            .collect();
        let worker = self.fleet.at_mut(worker_index);
        worker.health.on_stall(step, now);
        for task in hung_tasks {
            self.request_stop(worker_index, task, decision::StopReason::Hung, now);
        }
    }
}
