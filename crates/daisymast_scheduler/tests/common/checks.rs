//! What the workers observed, and the checks of each start.

use std::collections::BTreeMap;

use daisymast_jobs::spec;
use daisymast_scheduler::report;

use super::{ObservedStart, Rig, capacity};

impl Rig {
    /// Checks a start from the workers' view: the capacity is not exceeded, the task does not run
    /// elsewhere, its completion was not acknowledged before, and the previous steps are done.
    pub(super) fn check_start(&self, number: usize, task: spec::TaskId, spec: &spec::JobSpec) {
        let size = spec.steps[usize::from(task.step.step)].size;
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
        let is_acknowledged = |start: &&ObservedStart| start.done && start.is_noted;
        // Tasks of a long-running step start again however they end.
        let lasting = self.is_lasting(task);
        assert!(
            lasting
                || !self
                    .starts
                    .iter()
                    .filter(|start| start.task == task)
                    .any(|start| is_acknowledged(&start)),
            "{} ms: {task:?} starts again although its completion was acknowledged: {:?}",
            self.now,
            self.starts
                .iter()
                .filter(|start| start.task == task)
                .collect::<Vec<_>>()
        );
        for &before in &spec.steps[usize::from(task.step.step)].after {
            let count = spec.steps[usize::from(before)].tasks;
            let before = spec::StepId {
                step: before,
                ..task.step
            };
            for index in 0..count {
                let done = self
                    .starts
                    .iter()
                    .any(|start| start.task == before.task(index) && start.done);
                assert!(done, "{} ms: {task:?} starts before {before:?}", self.now);
            }
        }
    }

    /// Lets a worker forget its ended runs up to a number. Checks that no completed task was started
    /// again since: a completion that is acknowledged must not have been ignored, unless the lease
    /// of the worker expired between the two.
    pub(super) fn note_ends(&mut self, number: usize, acked_end: u64) {
        let noted = self.workers[number].ended.clone();
        self.workers[number]
            .ended
            .retain(|ended| ended.number > acked_end);
        for ended in noted.iter().filter(|ended| ended.number <= acked_end) {
            let start = self.starts.iter_mut().rfind(|start| {
                start.task == ended.task && start.run == ended.run && start.worker == number
            });
            let Some(start) = start else { continue };
            let ended_at = start.ended_at.expect("the end");
            if self.workers[number].lapsed_at >= ended_at {
                continue;
            }
            start.is_noted = true;
            let starts_again =
                |start: &&ObservedStart| start.task == ended.task && start.started_at > ended_at;
            let again = self.starts.iter().find(starts_again);
            assert!(
                ended.end != report::End::Done || self.is_lasting(ended.task) || again.is_none(),
                "{} ms: the completion of {:?} at {ended_at} ms is acknowledged after {again:?}",
                self.now,
                ended.task
            );
        }
    }

    fn is_lasting(&self, task: spec::TaskId) -> bool {
        let job = self.scheduler.job_table().job(task.step.job);
        job.and_then(|job| job.step(task.step))
            .is_some_and(|step| step.lasting)
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
