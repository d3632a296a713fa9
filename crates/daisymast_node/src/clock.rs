//! Clocks used by a node.

use daisymast_http::client;
use daisymast_types::time;

/// Returns the time since the machine booted. The clock advances while the machine is suspended, so
/// leases that expire in the meantime count as expired.
pub fn now() -> time::Monotonic {
    client::boot_clock()
}

/// Returns readings of the monotonic clock and the wall clock.
pub fn timestamp() -> time::Timestamp {
    time::Timestamp {
        mono: now(),
        wall: client::wall_clock(),
    }
}
