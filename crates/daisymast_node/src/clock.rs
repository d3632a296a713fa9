//! Clocks used by a node.

use std::time::Duration;

use daisymast_http::client;
use daisymast_types::time;
use nix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted. The clock advances while the machine is suspended, so
/// leases that expire in the meantime count as expired.
pub fn now() -> time::Monotonic {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    let millis = reading.map_or(0, |since| since.as_millis());
    time::Monotonic::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Returns readings of the monotonic clock and the wall clock.
pub fn timestamp() -> time::Timestamp {
    time::Timestamp {
        mono: now(),
        wall: client::wall_clock(),
    }
}
