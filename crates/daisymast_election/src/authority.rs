//! How long an elected scheduler may act.

use std::time::Duration;

use daisymast_types::time;

/// Authority of one term. It counts on a clock that goes on while the process is suspended.
///
/// ```
/// use std::time::Duration;
/// use daisymast_election::authority;
/// use daisymast_types::time;
/// let begun = time::Monotonic::from_millis(1_000);
/// let mut authority = authority::Authority::new(begun, Duration::from_secs(7));
/// assert!(authority.holds(time::Monotonic::from_millis(7_900)));
/// assert!(!authority.holds(time::Monotonic::from_millis(8_000)));
/// authority.confirm(time::Monotonic::from_millis(7_900));
/// assert!(authority.holds(time::Monotonic::from_millis(14_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Authority {
    confirmed_at: time::Monotonic,
    duration: Duration,
}

impl Authority {
    /// Authority that began when the winning write was sent.
    pub fn new(sent: time::Monotonic, duration: Duration) -> Self {
        Self {
            confirmed_at: sent,
            duration,
        }
    }

    /// A commit of this term that was sent at a time took effect.
    pub fn confirm(&mut self, sent: time::Monotonic) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Whether the scheduler may still act.
    pub fn holds(&self, now: time::Monotonic) -> bool {
        now - self.confirmed_at < self.duration
    }

    /// Time since the last confirmed commit.
    pub fn age(&self, now: time::Monotonic) -> Duration {
        now - self.confirmed_at
    }
}
