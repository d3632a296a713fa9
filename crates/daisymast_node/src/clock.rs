//! Clocks of a node.

use std::time::Duration;

use daisymast_http::client;
use daisymast_types::time;
use nix::time::{ClockId, clock_gettime};

/// Time since the boot of the machine. It goes on while the machine is suspended, so that leases
/// that expired meanwhile are seen as expired.
pub fn now() -> time::Monotonic {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    let millis = reading.map_or(0, |since| since.as_millis());
    time::Monotonic::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Readings of both clocks.
pub fn timestamp() -> time::Timestamp {
    time::Timestamp {
        mono: now(),
        wall: client::wall_clock(),
    }
}
