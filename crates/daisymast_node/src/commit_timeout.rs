//! How long a commit waits for its answer before it is sent again.

use std::time::Duration;

use crate::constants;

/// Weight of a new sample in the usual time of an answer, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// How long answers to commits usually take.
///
/// A try without an answer says nothing of the store's speed: where answers are lost, longer waits would
/// only delay each commit more. So only the tries of one commit wait longer and longer, and a store that
/// has become slow is noticed when an answer comes.
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
    /// Time for a try of a commit of which some tries were not answered.
    pub fn timeout(self, failures: u32) -> Duration {
        let first = (self.smoothed * constants::COMMIT_TIMEOUT_FACTOR)
            .clamp(constants::COMMIT_TIMEOUT_MIN, constants::STORE_TIMEOUT);
        (first * 2_u32.saturating_pow(failures.min(8))).min(constants::STORE_TIMEOUT)
    }

    /// An answer took a time.
    pub fn record_response_time(&mut self, took: Duration) {
        if took > self.smoothed * constants::COMMIT_TIMEOUT_FACTOR {
            self.smoothed = took;
        } else {
            self.smoothed =
                self.smoothed - self.smoothed / SMOOTHING_DIVISOR + took / SMOOTHING_DIVISOR;
        }
    }
}
