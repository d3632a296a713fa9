//! How long leaders of earlier terms may still act.
//!
//! A leader that is cut off from the store acts until its leader lease ends. Leaders may change
//! several times within that lease, so its remaining time is passed on in the leader key.

use std::time::Duration;

use daisymast_types::time;

use crate::record;

/// The leader of the term before, as far as a newly elected leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Former {
    /// There was none.
    None,
    /// Its record is known.
    Known {
        /// Leader and term.
        elected: record::Elected,
        /// When this node learned of the record, which was stored before.
        since: time::Monotonic,
    },
    /// It is not known.
    Unknown,
}

impl Former {
    /// Returns the longest time, from a record that is sent at `now`, for which leaders of terms
    /// before that record may act if leader leases last for `lease`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_election::former_leases::Former;
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let lease = Duration::from_secs(7);
    /// assert_eq!(Former::None.remaining(now, lease), Duration::ZERO);
    /// assert_eq!(Former::Unknown.remaining(now, lease), lease);
    /// ```
    pub fn remaining(&self, now: time::Monotonic, lease: Duration) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::Known { elected, since } if elected.leader.resigned => {
                *since + earlier_lease(elected, lease) - now
            }
            Self::Known { .. } | Self::Unknown => lease,
        }
    }
}

/// Until when leaders of earlier terms may act.
#[derive(Clone, Copy, Debug)]
pub struct FormerLeases {
    /// End of the lease of the last of them.
    last_end: time::Monotonic,
    /// End of the leases of all leaders before that one.
    earlier_end: time::Monotonic,
}

impl FormerLeases {
    /// Creates the leases that a leader has to wait for whose winning write was answered at
    /// `elected_at`. A former leader may have renewed its lease of `lease` until that write took
    /// effect.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_election::former_leases::{Former, FormerLeases};
    /// use daisymast_types::time;
    /// let elected_at = time::Monotonic::from_millis(1_000);
    /// let leases = FormerLeases::new(&Former::Unknown, elected_at, Duration::from_secs(7));
    /// assert_eq!(leases.end(), time::Monotonic::from_millis(8_000));
    /// ```
    pub fn new(former: &Former, elected_at: time::Monotonic, lease: Duration) -> Self {
        match former {
            Former::None => Self {
                last_end: elected_at,
                earlier_end: elected_at,
            },
            Former::Unknown => Self {
                last_end: elected_at + lease,
                earlier_end: elected_at + lease,
            },
            Former::Known { elected, since } => Self {
                last_end: if elected.leader.resigned {
                    *since
                } else {
                    elected_at + lease
                },
                earlier_end: *since + earlier_lease(elected, lease),
            },
        }
    }

    /// Handles the news that the last former leader no longer acts. Leaders before it still may.
    pub fn on_last_stopped(&mut self, now: time::Monotonic) {
        self.last_end = self.last_end.min(now);
    }

    /// Returns the time from which on no former leader acts.
    pub fn end(&self) -> time::Monotonic {
        self.last_end.max(self.earlier_end)
    }

    /// Returns the time for which a former leader may still act.
    pub fn remaining(&self, now: time::Monotonic) -> Duration {
        self.end() - now
    }
}

/// Returns the time, from the record of a leader, for which leaders before it may act.
fn earlier_lease(elected: &record::Elected, lease: Duration) -> Duration {
    elected
        .leader
        .former_ms
        .map_or(lease, Duration::from_millis)
}
