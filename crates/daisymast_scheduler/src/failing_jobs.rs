//! Jobs whose tasks fail on several workers, which tells the fault of a job from that of a worker.

use daisymast_jobs::spec;
use daisymast_types::collections;

/// Number of workers on which runs of a job have to fail, without one that completes, before the
/// job counts as the cause.
const MIN_WORKERS: usize = 2;

/// Workers on which runs of each job have failed since one of its tasks completed.
#[derive(Clone, Debug, Default)]
pub struct FailingJobs {
    workers: collections::FastMap<spec::JobId, Vec<usize>>,
}

impl FailingJobs {
    /// Records that a run of a job has failed on a worker.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// use daisymast_scheduler::failing_jobs;
    /// let mut failing = failing_jobs::FailingJobs::default();
    /// let job = spec::JobId(1);
    /// failing.on_failed(job, 4);
    /// assert_eq!(failing.workers(job), None);
    /// failing.on_failed(job, 7);
    /// assert_eq!(failing.workers(job), Some(&[4, 7][..]));
    /// failing.remove(job);
    /// assert_eq!(failing.workers(job), None);
    /// ```
    pub fn on_failed(&mut self, job: spec::JobId, worker_index: usize) {
        let workers = self.workers.entry(job).or_default();
        if !workers.contains(&worker_index) {
            workers.push(worker_index);
        }
    }

    /// Returns the workers on which the job has failed if the job counts as the cause.
    pub fn workers(&self, job: spec::JobId) -> Option<&[usize]> {
        let workers = self.workers.get(&job)?;
        (workers.len() >= MIN_WORKERS).then_some(workers)
    }

    /// Forgets the failures of a job: one of its tasks has completed or is at work, or the job has
    /// ended.
    pub fn remove(&mut self, job: spec::JobId) {
        self.workers.remove(&job);
    }
}
