//! Waits on conditions with a bound.

use std::time::{Duration, Instant};

use smol::Timer;

/// Time between two looks at a condition.
pub const LOOK: Duration = Duration::from_millis(20);

/// Looks until `seen` gives a value, at most for `bound`.
///
/// # Panics
/// The condition is not met within `bound`.
pub async fn until<T>(bound: Duration, what: &str, seen: impl AsyncFnMut() -> Option<T>) -> T {
    match within(bound, seen).await {
        Some(value) => value,
        None => panic!("not seen within {bound:?}: {what}"),
    }
}

/// Like [`until`], without the panic.
pub async fn within<T>(bound: Duration, mut seen: impl AsyncFnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + bound;
    loop {
        // Read first, so that a look that began in time counts.
        let late = Instant::now() >= end;
        if let Some(value) = seen().await {
            return Some(value);
        }
        if late {
            return None;
        }
        Timer::after(LOOK).await;
    }
}
