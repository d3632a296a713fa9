//! Estimates of task sizes, run times and worker speeds from the reports of running tasks.
//!
//! Declared sizes and run times can be far off. Each estimate is smoothed and bounded, so that a
//! single outlier changes little.

use std::time::Duration;

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{JobName, WorkerId};
use daisymast_types::quantities::Resources;

/// Minimum number of usage reports before a job's estimated size replaces its declared size.
const MIN_REPORTS: u32 = 8;
/// Maximum number of jobs with estimates; further jobs are placed by their declared size.
const MAX_JOBS: usize = 16_384;
/// Maximum number of workers with a speed estimate; further workers get the nominal speed.
const MAX_WORKERS: usize = 8_192;
/// Reserved CPU in percent of the estimated use. A task with too little CPU only slows down.
const CPU_HEADROOM_PERCENT: u64 = 110;
/// Reserved memory in percent of the estimated use. A task with too little memory is killed, so the
/// headroom is larger than for CPU.
const MEMORY_HEADROOM_PERCENT: u64 = 125;
/// Lower bound on the reserved CPU, in percent of the declared CPU.
const CPU_FLOOR_PERCENT: u64 = 25;
/// Lower bound on the reserved memory, in percent of the declared memory.
const MEMORY_FLOOR_PERCENT: u64 = 50;
/// Lower and upper bound on the estimated speed of a worker, in thousandths of the nominal speed.
const SPEED_BOUNDS_PERMILLE: (u64, u64) = (250, 4_000);

/// Estimates for all jobs and workers.
///
/// ```
/// use daisymast_placement::estimates::Estimates;
/// use daisymast_types::{ids::JobName, quantities::Resources};
/// let mut estimates = Estimates::default();
/// let (job, declared) = (JobName::from("survey"), Resources::new(4_000, 8_192, 0));
/// for _ in 0..100 {
///     estimates.on_usage(&job, Resources::new(1_000, 2_048, 0));
/// }
/// let largest = Resources::new(32_000, 65_536, 0);
/// let size = estimates.placement_size(&job, declared, largest);
/// assert_eq!(size, Resources::new(1_100, 4_096, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    jobs: FastMap<JobName, JobEstimate>,
    workers: FastMap<WorkerId, u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct JobEstimate {
    reports: u32,
    millicores: u64,
    memory_mib: u64,
    runs: u32,
    run_ms: u64,
}

impl Estimates {
    /// Records the measured use of one running task of a job. The estimate rises by half of the
    /// difference and falls by a sixteenth of it, since reserving too little is worse than
    /// reserving too much.
    pub fn on_usage(&mut self, job: &JobName, used: Resources) {
        if let Some(job) = self.job(job) {
            let first = job.reports == 0;
            job.millicores = update_usage(first, job.millicores, used.millicores.into());
            job.memory_mib = update_usage(first, job.memory_mib, used.memory_mib.into());
            job.reports = job.reports.saturating_add(1);
        }
    }

    /// Records the run time of a task that succeeded, and updates the estimates of its job's run
    /// time and its worker's speed.
    pub fn on_run(&mut self, job: &JobName, worker: &WorkerId, elapsed: Duration) {
        let elapsed = u64::try_from(elapsed.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let speed = self.speed(worker).into();
        let Some(job) = self.job(job) else {
            return;
        };
        // The time that a worker of nominal speed would have taken.
        let nominal_ms = (elapsed.saturating_mul(speed) / 1_000).max(1);
        let expected = if job.runs == 0 {
            nominal_ms
        } else {
            job.run_ms
        };
        job.run_ms = update_mean(expected, nominal_ms.min(expected.saturating_mul(8)));
        job.runs = job.runs.saturating_add(1);
        let observed_speed = (expected.saturating_mul(1_000) / elapsed)
            .clamp(SPEED_BOUNDS_PERMILLE.0, SPEED_BOUNDS_PERMILLE.1);
        if self.workers.contains_key(worker) || self.workers.len() < MAX_WORKERS {
            let known = self.workers.entry(worker.clone()).or_insert(1_000);
            *known = update_mean(*known, observed_speed)
                .clamp(SPEED_BOUNDS_PERMILLE.0, SPEED_BOUNDS_PERMILLE.1);
        }
    }

    /// Size to reserve for a task: the estimated use plus headroom, at least a quarter of the
    /// declared CPU and half of the declared memory, at most the capacity of the largest worker. It
    /// may exceed the declared size. Accelerators are reserved as declared.
    pub fn placement_size(
        &self,
        job: &JobName,
        declared: Resources,
        largest: Resources,
    ) -> Resources {
        let Some(known) = self.jobs.get(job).filter(|job| job.reports >= MIN_REPORTS) else {
            return declared;
        };
        let size = |used: u64, headroom: u64, declared: u32, floor: u64, largest: u32| {
            let least = (u64::from(declared) * floor).div_ceil(100);
            let size = (used.saturating_mul(headroom) / 100).max(least);
            // A declared size above the largest worker is kept: the task fits nowhere.
            let most = u64::from(largest.max(declared));
            u32::try_from(size.min(most)).unwrap_or(u32::MAX)
        };
        Resources::new(
            size(
                known.millicores,
                CPU_HEADROOM_PERCENT,
                declared.millicores,
                CPU_FLOOR_PERCENT,
                largest.millicores,
            ),
            size(
                known.memory_mib,
                MEMORY_HEADROOM_PERCENT,
                declared.memory_mib,
                MEMORY_FLOOR_PERCENT,
                largest.memory_mib,
            ),
            declared.accelerators,
        )
    }

    /// Estimated run time of a job on a worker, `None` until one of its tasks has succeeded.
    pub fn run_time(&self, job: &JobName, worker: &WorkerId) -> Option<Duration> {
        let known = self.jobs.get(job).filter(|job| job.runs > 0)?;
        let speed = u64::from(self.speed(worker));
        Some(Duration::from_millis(
            known.run_ms.saturating_mul(1_000) / speed,
        ))
    }

    /// Estimated speed of a worker in thousandths of the nominal speed.
    pub fn speed(&self, worker: &WorkerId) -> u32 {
        let speed = self.workers.get(worker).copied().unwrap_or(1_000);
        u32::try_from(speed).unwrap_or(1_000)
    }

    /// Drops the estimates of jobs for which `declared` returns `false`.
    pub fn retain_jobs(&mut self, declared: impl Fn(&JobName) -> bool) {
        self.jobs.retain(|job, _| declared(job));
    }

    /// Drops the estimates of workers for which `known` returns `false`.
    pub fn retain_workers(&mut self, known: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| known(worker));
    }

    /// Estimate of a job, created if absent. `None` if the maximum number of jobs is reached.
    fn job(&mut self, job: &JobName) -> Option<&mut JobEstimate> {
        if !self.jobs.contains_key(job) && self.jobs.len() >= MAX_JOBS {
            return None;
        }
        Some(self.jobs.entry(job.clone()).or_default())
    }
}

fn update_usage(first: bool, known: u64, seen: u64) -> u64 {
    if first || seen > known {
        known + (seen - known).div_ceil(if first { 1 } else { 2 })
    } else {
        known - (known - seen) / 16
    }
}

fn update_mean(known: u64, seen: u64) -> u64 {
    (known.saturating_mul(7).saturating_add(seen) / 8).max(1)
}
