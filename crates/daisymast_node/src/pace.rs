//! How long a commit waits for its answer before it is sent again.

use std::time::Duration;

use crate::constants;

/// Weight of a new sample in the usual time of an answer, as a divisor.
const DIVISOR: u32 = 8;

/// How long answers to commits usually take.
///
/// A try without an answer says nothing of the store's speed: where answers are lost, longer waits would
/// only delay each commit more. So only the tries of one commit wait longer and longer, and a store that
/// has become slow is noticed when an answer comes.
///
/// ```
/// use std::time::Duration;
/// use daisymast_node::pace;
/// let mut pace = pace::Pace::default();
/// let first = pace.timeout(0);
/// assert_eq!(pace.timeout(1), first * 2);
/// pace.answered(Duration::from_millis(300));
/// assert!(pace.timeout(0) > Duration::from_millis(300));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    usual: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            usual: constants::COMMIT_TIMEOUT_MIN / constants::COMMIT_TIMEOUT_FACTOR,
        }
    }
}

impl Pace {
    /// Time for a try of a commit of which some tries were not answered.
    pub fn timeout(self, failures: u32) -> Duration {
        let first = (self.usual * constants::COMMIT_TIMEOUT_FACTOR)
            .clamp(constants::COMMIT_TIMEOUT_MIN, constants::STORE_TIMEOUT);
        (first * 2_u32.saturating_pow(failures.min(8))).min(constants::STORE_TIMEOUT)
    }

    /// An answer took a time.
    pub fn answered(&mut self, took: Duration) {
        if took > self.usual * constants::COMMIT_TIMEOUT_FACTOR {
            self.usual = took;
        } else {
            self.usual = self.usual - self.usual / DIVISOR + took / DIVISOR;
        }
    }
}
