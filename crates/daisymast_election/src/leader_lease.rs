//! How long an elected scheduler may act.

use std::time::Duration;

use daisymast_types::time;

/// Leader lease of one term. It is measured on a clock that keeps running while the process is
/// suspended.
///
/// ```
/// use std::time::Duration;
/// use daisymast_election::leader_lease;
/// use daisymast_types::time;
/// let begun = time::Monotonic::from_millis(1_000);
/// let mut authority = leader_lease::LeaderLease::new(begun, Duration::from_secs(7));
/// assert!(authority.is_valid(time::Monotonic::from_millis(7_900)));
/// assert!(!authority.is_valid(time::Monotonic::from_millis(8_000)));
/// authority.renew(time::Monotonic::from_millis(7_900));
/// assert!(authority.is_valid(time::Monotonic::from_millis(14_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    renewed_at: time::Monotonic,
    duration: Duration,
}

impl LeaderLease {
    /// Creates a lease that starts when the winning write was sent.
    pub fn new(sent: time::Monotonic, duration: Duration) -> Self {
        Self {
            renewed_at: sent,
            duration,
        }
    }

    /// Renews the lease from the time at which a successful commit of this term was sent.
    pub fn renew(&mut self, sent: time::Monotonic) {
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// Whether the scheduler may still act.
    pub fn is_valid(&self, now: time::Monotonic) -> bool {
        now - self.renewed_at < self.duration
    }

    /// Returns the time since the last confirmed commit was sent.
    pub fn age(&self, now: time::Monotonic) -> Duration {
        now - self.renewed_at
    }
}
