//! Lease time on the clock of a worker.

use std::time::Duration;

use daisymast_types::time;

use crate::constants;

/// A reading of a worker's clock and when it arrived here.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    /// The reading, in milliseconds.
    pub reading_ms: u64,
    /// Local time of its arrival.
    pub received_at: time::Monotonic,
}

impl WorkerClock {
    /// Deadline on the worker's clock that is `lease` from now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::lease;
    /// use daisymast_types::time;
    /// let received_at = time::Monotonic::from_millis(1_000);
    /// let clock = lease::WorkerClock { reading_ms: 50, received_at };
    /// let now = time::Monotonic::from_millis(1_400);
    /// assert_eq!(clock.deadline(now, Duration::from_secs(5)), 5_450);
    /// ```
    pub fn deadline(self, now: time::Monotonic, lease: Duration) -> u64 {
        self.reading_ms + millis(now - self.received_at) + millis(lease)
    }

    /// Local time at which a deadline on the worker's clock has surely passed.
    pub fn passed_at(self, deadline: u64) -> time::Monotonic {
        let left = deadline.saturating_sub(self.reading_ms);
        let slow = left * constants::SLOW_CLOCK_PERMILLE / 1_000;
        self.received_at + Duration::from_millis(slow) + constants::LEASE_MARGIN
    }
}

/// Whole milliseconds of a duration.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
