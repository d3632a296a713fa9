//! Health of a worker, as its failures show it: quarantine after repeated ones, then probation.

use daisymast_types::time;

use crate::constants;

/// Failures of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Consecutive failures.
    failures: u32,
    last_failure: time::Monotonic,
    quarantined_until: time::Monotonic,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            last_failure: time::Monotonic::ZERO,
            quarantined_until: time::Monotonic::ZERO,
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
    /// assert_eq!(health.on_failure(now), None);
    /// assert_eq!(health.on_failure(now), None);
    /// assert_eq!(health.on_failure(now), Some(3));
    /// assert!(health.is_quarantined(now) && health.is_on_probation());
    /// health.on_success();
    /// assert!(!health.is_on_probation());
    /// ```
    pub fn on_failure(&mut self, now: time::Monotonic) -> Option<u32> {
        self.failures += 1;
        self.last_failure = now;
        if !self.is_on_probation() {
            return None;
        }
        self.quarantine(now + constants::QUARANTINE_DURATION);
        Some(self.failures)
    }

    /// Handles proof that the worker is sound.
    pub fn on_success(&mut self) {
        self.failures = 0;
    }

    /// Excludes the worker from placement for a while.
    pub fn quarantine(&mut self, until: time::Monotonic) {
        self.quarantined_until = self.quarantined_until.max(until);
    }

    /// Whether no task may be placed on the worker at present.
    pub fn is_quarantined(&self, now: time::Monotonic) -> bool {
        now < self.quarantined_until
    }

    /// Whether the worker takes one task at a time, to find out whether it is sound again.
    pub fn is_on_probation(&self) -> bool {
        self.failures >= constants::QUARANTINE_THRESHOLD
    }

    /// Whether a run that was placed at `placed_at` and works shows that the worker is sound: it was
    /// placed after the last failure.
    pub fn is_newer_than_failures(&self, placed_at: time::Monotonic) -> bool {
        self.failures > 0 && placed_at > self.last_failure
    }
}
