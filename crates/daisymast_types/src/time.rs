//! Time types for the decision logic, which does not read clocks itself: the process passes both
//! readings in.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Monotonic time since the start of the process, for leases and timeouts.
///
/// ```
/// use std::time::Duration;
/// use daisymast_types::time::Monotonic;
/// let start = Monotonic::ZERO;
/// let later = start + Duration::from_secs(2);
/// assert_eq!(later - start, Duration::from_secs(2));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Monotonic(Duration);

impl Monotonic {
    /// Start of the process.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Time of `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Milliseconds since the start of the process.
    pub fn as_millis(self) -> u64 {
        u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Add<Duration> for Monotonic {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

/// Duration between two times, zero if `other` is later.
impl Sub for Monotonic {
    type Output = Duration;

    fn sub(self, other: Self) -> Duration {
        self.0.saturating_sub(other.0)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for schedules and the timeline only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// Simultaneous reading of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamp {
    /// Monotonic time, for leases and timeouts.
    pub mono: Monotonic,
    /// Wall-clock time, for schedules and the timeline.
    pub wall: UnixMillis,
}

impl Timestamp {
    /// Creates a reading of both clocks from milliseconds.
    pub const fn new(mono_millis: u64, wall_millis: u64) -> Self {
        Self {
            mono: Monotonic::from_millis(mono_millis),
            wall: UnixMillis(wall_millis),
        }
    }
}
