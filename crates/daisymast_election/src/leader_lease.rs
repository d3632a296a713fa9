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
/// let sent = time::Monotonic::from_millis(1_000);
/// let mut lease = leader_lease::LeaderLease::new(sent, Duration::from_secs(7));
/// assert!(lease.is_valid(time::Monotonic::from_millis(7_900)));
/// assert!(!lease.is_valid(time::Monotonic::from_millis(8_000)));
/// lease.renew(time::Monotonic::from_millis(7_900));
/// assert!(lease.is_valid(time::Monotonic::from_millis(14_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LeaderLease {
    /// When the last confirmed write was sent; `None` before the first.
    renewed_at: Option<time::Monotonic>,
    duration: Duration,
}

impl LeaderLease {
    /// Creates a lease that starts when the winning write was sent.
    pub fn new(sent: time::Monotonic, duration: Duration) -> Self {
        Self {
            renewed_at: Some(sent),
            duration,
        }
    }

    /// Creates a lease that is not valid until a write of this term is confirmed. For a node that
    /// learns that it was elected some time ago, as the answer to its winning write was lost: by now
    /// another node may have been elected.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_election::leader_lease;
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let mut lease = leader_lease::LeaderLease::unconfirmed(Duration::from_secs(7));
    /// assert!(!lease.is_valid(now));
    /// lease.renew(now);
    /// assert!(lease.is_valid(now));
    /// ```
    pub fn unconfirmed(duration: Duration) -> Self {
        Self {
            renewed_at: None,
            duration,
        }
    }

    /// Renews the lease from the time at which a successful commit of this term was sent.
    pub fn renew(&mut self, sent: time::Monotonic) {
        self.renewed_at = self.renewed_at.max(Some(sent));
    }

    /// Whether the scheduler may still act.
    pub fn is_valid(&self, now: time::Monotonic) -> bool {
        self.renewed_at
            .is_some_and(|renewed_at| now - renewed_at < self.duration)
    }

    /// Returns the time from which on the scheduler may no longer act, `None` before the first confirmed
    /// write.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_election::leader_lease;
    /// use daisymast_types::time;
    /// let sent = time::Monotonic::from_millis(1_000);
    /// let lease = leader_lease::LeaderLease::new(sent, Duration::from_secs(7));
    /// assert_eq!(lease.end(), Some(time::Monotonic::from_millis(8_000)));
    /// ```
    pub fn end(&self) -> Option<time::Monotonic> {
        Some(self.renewed_at? + self.duration)
    }

    /// Returns the time since the last confirmed commit was sent, [`Duration::MAX`] before the first.
    pub fn age(&self, now: time::Monotonic) -> Duration {
        self.renewed_at
            .map_or(Duration::MAX, |renewed_at| now - renewed_at)
    }
}
