//! Adaptive timeout after which an unanswered commit is sent again.

use std::time::Duration;

use crate::constants;

/// Divisor for the weight of a new sample in the smoothed response time.
const SMOOTHING_DIVISOR: u32 = 8;

/// Smoothed response time of commits, and the timeouts derived from it.
///
/// An attempt without a response tells nothing about the store's speed: where responses are lost, a
/// higher timeout would only delay each commit further. Therefore the timeout backs off only across
/// the attempts of one commit, and the smoothed time changes only when a response arrives.
///
/// ```
/// use std::time::Duration;
/// use daisymast_node::commit_timeout;
/// let mut commit_timeout = commit_timeout::CommitTimeout::default();
/// let first = commit_timeout.timeout(0);
/// assert_eq!(commit_timeout.timeout(1), first * 2);
/// commit_timeout.record_response_time(Duration::from_millis(300));
/// assert!(commit_timeout.timeout(0) > Duration::from_millis(300));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct CommitTimeout {
    smoothed: Duration,
}

impl Default for CommitTimeout {
    fn default() -> Self {
        Self {
            smoothed: constants::COMMIT_TIMEOUT_MIN / constants::COMMIT_TIMEOUT_FACTOR,
        }
    }
}

impl CommitTimeout {
    /// Timeout of the next attempt at a commit after `failures` attempts without a response.
    pub fn timeout(self, failures: u32) -> Duration {
        let first = (self.smoothed * constants::COMMIT_TIMEOUT_FACTOR)
            .clamp(constants::COMMIT_TIMEOUT_MIN, constants::STORE_TIMEOUT);
        (first * 2_u32.saturating_pow(failures.min(8))).min(constants::STORE_TIMEOUT)
    }

    /// Records the response time of a commit. A sample far above the smoothed time replaces it at
    /// once.
    pub fn record_response_time(&mut self, took: Duration) {
        if took > self.smoothed * constants::COMMIT_TIMEOUT_FACTOR {
            self.smoothed = took;
        } else {
            self.smoothed =
                self.smoothed - self.smoothed / SMOOTHING_DIVISOR + took / SMOOTHING_DIVISOR;
        }
    }
}
