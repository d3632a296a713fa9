//! Conversion of lease times to and from a worker's clock.

use std::time::Duration;

use daisymast_types::time;

use crate::constants;

/// What is known of a worker's clock from its readings.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    /// Latest reading, in milliseconds.
    pub reading_ms: u64,
    /// Local time at which it arrived.
    pub received_at: time::Monotonic,
    /// The reading that arrived with the least delay, as far as can be told.
    prompt: (u64, time::Monotonic),
}

impl WorkerClock {
    /// Creates a clock from its first reading, which arrives now.
    pub fn new(reading_ms: u64, now: time::Monotonic) -> Self {
        Self {
            reading_ms,
            received_at: now,
            prompt: (reading_ms, now),
        }
    }

    /// Handles a later reading.
    pub fn update(&mut self, reading_ms: u64, now: time::Monotonic) {
        self.reading_ms = reading_ms;
        self.received_at = now;
        if reading_ms >= self.earliest_reading(now) {
            self.prompt = (reading_ms, now);
        }
    }

    /// Returns the age of the latest reading, as far as can be told from those that took less time to
    /// arrive.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::lease;
    /// use daisymast_types::time;
    /// let mut clock = lease::WorkerClock::new(50, time::Monotonic::from_millis(1_000));
    /// let now = time::Monotonic::from_millis(1_300);
    /// clock.update(50, now);
    /// assert!(clock.reading_age(now) > Duration::from_millis(290));
    /// ```
    pub fn reading_age(&self, now: time::Monotonic) -> Duration {
        let delay_ms = self
            .earliest_reading(self.received_at)
            .saturating_sub(self.reading_ms);
        now - self.received_at + Duration::from_millis(delay_ms)
    }

    /// Returns the time on the worker's clock, in milliseconds, at which a lease of `lease` from
    /// `now` ends.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::lease;
    /// use daisymast_types::time;
    /// let received_at = time::Monotonic::from_millis(1_000);
    /// let clock = lease::WorkerClock::new(50, received_at);
    /// let now = time::Monotonic::from_millis(1_400);
    /// assert_eq!(clock.deadline(now, Duration::from_secs(5)), 5_450);
    /// ```
    pub fn deadline(self, now: time::Monotonic, lease: Duration) -> u64 {
        let elapsed_ms = millis((now - self.received_at).saturating_add(lease));
        self.reading_ms.saturating_add(elapsed_ms)
    }

    /// Returns the reading that the clock has reached at a local time at the earliest, even if it runs
    /// slow.
    ///
    /// ```
    /// use daisymast_scheduler::lease;
    /// use daisymast_types::time;
    /// let received_at = time::Monotonic::from_millis(1_000);
    /// let clock = lease::WorkerClock::new(5_000, received_at);
    /// assert_eq!(clock.earliest_reading(time::Monotonic::from_millis(900)), 4_900);
    /// assert!(clock.earliest_reading(time::Monotonic::from_millis(11_000)) < 15_000);
    /// ```
    pub fn earliest_reading(self, at: time::Monotonic) -> u64 {
        let (reading_ms, received_at) = self.prompt;
        let before_ms = millis(received_at - at);
        let since_ms = millis(at - received_at) * 1_000 / constants::SLOW_CLOCK_PERMILLE;
        reading_ms
            .saturating_add(since_ms)
            .saturating_sub(before_ms)
    }

    /// Returns the reading that the clock has reached by now at the latest.
    ///
    /// ```
    /// use daisymast_scheduler::{constants, lease};
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let clock = lease::WorkerClock::new(5_000, now);
    /// assert_eq!(clock.latest_reading(now), 5_000 + lease::millis(constants::MAX_ANSWER_AGE));
    /// ```
    pub fn latest_reading(self, now: time::Monotonic) -> u64 {
        let age = now - self.received_at + constants::MAX_ANSWER_AGE;
        self.reading_ms.saturating_add(millis(age))
    }

    /// Returns the local time at which a deadline on the worker's clock has passed with certainty,
    /// even if that clock runs slow.
    pub fn passed_at(self, deadline: u64) -> time::Monotonic {
        let remaining_ms = deadline.saturating_sub(self.reading_ms);
        let local_ms = remaining_ms.saturating_mul(constants::SLOW_CLOCK_PERMILLE) / 1_000;
        self.received_at + Duration::from_millis(local_ms) + constants::WORKER_LEASE_MARGIN
    }
}

/// Returns the longest local time that a lease on a worker's clock can last.
///
/// ```
/// use std::time::Duration;
/// use daisymast_scheduler::lease;
/// assert!(lease::longest(Duration::from_secs(5)) > Duration::from_secs(5));
/// ```
pub fn longest(lease: Duration) -> Duration {
    let local_ms = millis(lease) * constants::SLOW_CLOCK_PERMILLE / 1_000;
    Duration::from_millis(local_ms) + constants::WORKER_LEASE_MARGIN * 2
}

/// Returns how long after the last order of a scheduler the worker that it was sent to may hold a
/// lease, if workers accept leases of up to `max_lease`.
///
/// The deadline of the order is a time on the clock of the process that the scheduler knew. For a
/// process that has started under the same ID since, it is far in the future, so that this process
/// holds the longest lease that it accepts.
///
/// ```
/// use std::time::Duration;
/// use daisymast_scheduler::lease;
/// let max_lease = Duration::from_secs(6);
/// assert!(lease::longest_granted(max_lease) > lease::longest(max_lease));
/// ```
pub fn longest_granted(max_lease: Duration) -> Duration {
    longest(max_lease.max(constants::WORKER_LEASE)) + constants::MAX_DELIVERY_TIME
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
