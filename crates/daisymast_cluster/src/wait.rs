//! Polls conditions with a timeout.

use std::time::{Duration, Instant};

use smol::Timer;

/// Time between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `check` until it returns a value, at most for `timeout`. `condition` describes it in the
/// panic message.
///
/// # Panics
/// The condition is not met within `timeout`.
pub async fn until<T>(
    timeout: Duration,
    condition: &str,
    check: impl AsyncFnMut() -> Option<T>,
) -> T {
    match within(timeout, check).await {
        Some(value) => value,
        None => panic!("condition not met within {timeout:?}: {condition}"),
    }
}

/// Like [`until`], but returns `None` on a timeout.
pub async fn within<T>(timeout: Duration, mut check: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + timeout;
    loop {
        // Read the clock before the check, so that a check that began in time counts.
        let timed_out = Instant::now() >= end;
        if let Some(value) = check().await {
            return Some(value);
        }
        if timed_out {
            return None;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
