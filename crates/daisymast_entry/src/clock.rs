//! Monotonic and wall clock readings for engine events.

use std::time::Instant;

use daisymast_http::client;
use daisymast_types::time::{Monotonic, Timestamp};

/// Clock whose monotonic time is zero at process start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp {
            mono: Monotonic::ZERO + self.start.elapsed(),
            wall: client::wall_clock(),
        }
    }
}
