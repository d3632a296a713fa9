//! Health of a worker, as its failures show it: quarantine after repeated ones, then probation.

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::time;

use crate::constants;

/// Failures of a worker.
#[derive(Clone, Debug)]
pub struct Health {
    /// Consecutive failures by the job whose run failed; `None` for those that belong to no job.
    failures: collections::FastMap<Option<spec::JobId>, JobFailures>,
    last_failure: time::Monotonic,
    /// End of the quarantine that follows from the failures.
    quarantined_until: time::Monotonic,
    /// End of an exclusion for lack of capacity.
    excluded_until: time::Monotonic,
    /// Steps of which runs stood still, each with the end of the exclusion that follows.
    stalls: collections::FastMap<spec::StepId, time::Monotonic>,
}

/// Failures of the runs of a job on a worker.
#[derive(Clone, Copy, Debug, Default)]
struct JobFailures {
    count: u32,
    /// Until when no task of the job is placed on the worker.
    excluded_until: time::Monotonic,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: collections::FastMap::default(),
            last_failure: time::Monotonic::ZERO,
            quarantined_until: time::Monotonic::ZERO,
            excluded_until: time::Monotonic::ZERO,
            stalls: collections::FastMap::default(),
        }
    }
}

impl Health {
    /// Counts a failure, and quarantines the worker after too many. Returns their number if it does.
    ///
    /// ```
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let mut health = health::Health::default();
    /// assert_eq!(health.on_failure(None, now), None);
    /// assert_eq!(health.on_failure(None, now), None);
    /// assert_eq!(health.on_failure(None, now), Some(3));
    /// assert!(health.is_quarantined(now) && health.is_on_probation());
    /// health.on_success();
    /// assert!(!health.is_on_probation());
    /// ```
    pub fn on_failure(&mut self, job: Option<spec::JobId>, now: time::Monotonic) -> Option<u32> {
        self.failures.entry(job).or_default().count += 1;
        self.last_failure = now;
        if !self.is_on_probation() {
            return None;
        }
        self.quarantined_until = now + constants::QUARANTINE_DURATION;
        Some(self.total())
    }

    /// Counts a failed run of a job's long-running step, which starts again however often it fails.
    /// On probation, it excludes the job, and not other work, for a while: several such jobs would
    /// otherwise keep everything else from the worker.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let (service, other) = (spec::JobId(1), spec::JobId(2));
    /// let mut health = health::Health::default();
    /// let start = time::Monotonic::from_millis(1_000);
    /// for _ in 0..3 {
    ///     health.on_lasting_failure(service, start);
    /// }
    /// assert!(health.is_quarantined(start) && health.has_failed(service));
    /// let later = time::Monotonic::from_millis(9_000);
    /// assert_eq!(health.on_lasting_failure(service, later), None);
    /// assert!(health.is_excluded(service, later) && !health.is_quarantined(later));
    /// assert!(!health.is_excluded(other, later));
    /// ```
    pub fn on_lasting_failure(&mut self, job: spec::JobId, now: time::Monotonic) -> Option<u32> {
        if !self.is_on_probation() {
            return self.on_failure(Some(job), now);
        }
        let failures = self.failures.entry(Some(job)).or_default();
        failures.count += 1;
        failures.excluded_until = now + constants::QUARANTINE_DURATION;
        self.last_failure = now;
        None
    }

    /// Whether a run has failed on the worker since it was last known to be sound.
    ///
    /// ```
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let mut health = health::Health::default();
    /// health.on_failure(None, time::Monotonic::from_millis(1_000));
    /// assert!(health.has_failures());
    /// health.on_success();
    /// assert!(!health.has_failures());
    /// ```
    pub fn has_failures(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Whether a run of the job has failed on the worker since it was last known to be sound.
    pub fn has_failed(&self, job: spec::JobId) -> bool {
        self.failures.contains_key(&Some(job))
    }

    /// Whether no task of the job's long-running steps may be placed on the worker at present.
    pub fn is_excluded(&self, job: spec::JobId, now: time::Monotonic) -> bool {
        let failures = self.failures.get(&Some(job));
        failures.is_some_and(|failures| now < failures.excluded_until)
    }

    /// Counts all failures of a job that fails on other workers as well as one. Those of several
    /// such jobs still speak against the worker.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let mut health = health::Health::default();
    /// let job = spec::JobId(1);
    /// for _ in 0..5 {
    ///     health.on_failure(Some(job), now);
    /// }
    /// assert!(health.is_quarantined(now));
    /// health.count_once(job);
    /// assert!(!health.is_quarantined(now));
    /// ```
    pub fn count_once(&mut self, job: spec::JobId) {
        if let Some(failures) = self.failures.get_mut(&Some(job)) {
            failures.count = 1;
        }
    }

    /// Forgets the failures of a job that is their cause.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let job = spec::JobId(1);
    /// let mut health = health::Health::default();
    /// for _ in 0..3 {
    ///     health.on_failure(Some(job), time::Monotonic::from_millis(1_000));
    /// }
    /// health.forgive(job);
    /// assert!(!health.is_on_probation());
    /// ```
    pub fn forgive(&mut self, job: spec::JobId) {
        self.failures.remove(&Some(job));
    }

    /// Excludes the worker for a while, because runs of a step stood still.
    pub fn on_stall(&mut self, step: spec::StepId, now: time::Monotonic) {
        self.stalls.retain(|_, end| now < *end);
        self.stalls
            .insert(step, now + constants::QUARANTINE_DURATION);
    }

    /// Takes back a stall whose cause was the step, and the failure that was counted for it.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// use daisymast_scheduler::health;
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let mut health = health::Health::default();
    /// let step = spec::StepId { job: spec::JobId(1), occurrence: 0, step: 0 };
    /// health.on_stall(step, now);
    /// assert!(health.is_quarantined(now));
    /// health.forgive_stall(step);
    /// assert!(!health.is_quarantined(now));
    /// ```
    pub fn forgive_stall(&mut self, step: spec::StepId) {
        if self.stalls.remove(&step).is_some() {
            self.failures.remove(&Some(step.job));
        }
    }

    /// Handles proof that the worker is sound.
    pub fn on_success(&mut self) {
        self.failures.clear();
    }

    /// Excludes the worker from placement for a while.
    pub fn exclude(&mut self, until: time::Monotonic) {
        self.excluded_until = self.excluded_until.max(until);
    }

    /// Whether no task may be placed on the worker at present.
    pub fn is_quarantined(&self, now: time::Monotonic) -> bool {
        now < self.excluded_until
            || self.stalls.values().any(|&end| now < end)
            || (self.is_on_probation() && now < self.quarantined_until)
    }

    /// Whether the worker takes one task at a time, to find out whether it is sound again.
    pub fn is_on_probation(&self) -> bool {
        self.total() >= constants::QUARANTINE_THRESHOLD
    }

    fn total(&self) -> u32 {
        self.failures.values().map(|failures| failures.count).sum()
    }

    /// Whether a run that was placed at `placed_at` and works shows that the worker is sound: it was
    /// placed after the last failure.
    pub fn is_newer_than_failures(&self, placed_at: time::Monotonic) -> bool {
        !self.failures.is_empty() && placed_at > self.last_failure
    }
}
