//! What the workers observed, and the checks of each start.

use std::collections::BTreeMap;

use daisymast_jobs::spec;
use daisymast_types::quantities;

use super::{ObservedStart, Rig, capacity};

impl Rig {
    /// Checks a start from the workers' view: the capacity is not exceeded, the task does not run
    /// elsewhere, its completion was not acknowledged before, and the previous steps are done.
    pub(super) fn check_start(
        &self,
        number: usize,
        task: spec::TaskId,
        size: quantities::Resources,
    ) {
        let used = self.workers[number]
            .runs
            .values()
            .fold(size, |sum, run| sum + run.size);
        assert!(
            used.fits_in(capacity()),
            "{} ms: capacity of {} exceeded by {task:?}: {used:?}",
            self.now,
            self.workers[number].id
        );
        for (other, worker) in self.workers.iter().enumerate() {
            assert!(
                worker.is_down || !worker.runs.contains_key(&task),
                "{} ms: {task:?} starts on worker {number} and runs on worker {other}",
                self.now
            );
        }
        let is_acknowledged = |start: &&ObservedStart| {
            start.done
                && !self.workers[start.worker]
                    .ended
                    .iter()
                    .any(|end| end.task == task)
        };
        // Tasks of a long-running step start again however they end.
        let lasting = self
            .scheduler
            .job_table()
            .job(task.step.job)
            .and_then(|job| job.step(task.step))
            .is_some_and(|step| step.lasting);
        assert!(
            lasting
                || !self
                    .starts
                    .iter()
                    .filter(|start| start.task == task)
                    .any(|start| is_acknowledged(&start)),
            "{} ms: {task:?} starts again although its completion was acknowledged",
            self.now
        );
        let job = self
            .scheduler
            .job_table()
            .job(task.step.job)
            .expect("a known job");
        for &before in &job.spec.steps[usize::from(task.step.step)].after {
            let before = spec::StepId {
                step: before,
                ..task.step
            };
            let count = job.tasks(before).map_or(0, |tasks| tasks.tasks.len());
            for index in 0..u32::try_from(count).expect("a count") {
                let done = self
                    .starts
                    .iter()
                    .any(|start| start.task == before.task(index) && start.done);
                assert!(done, "{} ms: {task:?} starts before {before:?}", self.now);
            }
        }
    }

    /// Returns the tasks whose last run ended more than `limit` milliseconds ago.
    pub(crate) fn waiting_since(&self, limit: u64) -> Vec<spec::TaskId> {
        let mut last_runs: BTreeMap<spec::TaskId, &ObservedStart> = BTreeMap::new();
        for start in &self.starts {
            last_runs.insert(start.task, start);
        }
        last_runs
            .values()
            .filter(|start| start.ended_at.is_some_and(|end| self.now - end > limit))
            .map(|start| start.task)
            .collect()
    }

    pub(crate) fn starts_of(&self, id: u64) -> Vec<&ObservedStart> {
        let job = spec::JobId(id);
        self.starts
            .iter()
            .filter(|start| start.task.step.job == job)
            .collect()
    }
}
