//! Bounds of a wait for near places.

use std::time::Duration;

use daisymast_types::time;

use super::{Choice, MAX_WAIT, MIN_SAVING};

/// Time before the latest start at which a wait ends. The placement is stored and the start is sent
/// after the wait.
const START_MARGIN: Duration = Duration::from_millis(100);

/// What a wait can save, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    /// Time that a near place saves a task.
    pub(super) saving: Duration,
    /// Longest wait for one.
    pub(super) longest: Duration,
}

impl Bounds {
    /// Returns the bounds for a task that takes `far` or `near`; `None` if no wait pays.
    ///
    /// A wait ends early enough for the job to be on time far away. If it would be late there, and on
    /// time near its data, the wait ends at the latest start near the data.
    pub(super) fn new(
        choice: &Choice,
        far: Duration,
        near: Duration,
        now: time::Monotonic,
    ) -> Option<Self> {
        let saving = far.saturating_sub(near);
        let slack = (choice.latest_start - now).saturating_sub(START_MARGIN);
        let extra = far.saturating_sub(choice.estimate);
        let until_late = if slack > extra { slack - extra } else { slack };
        let until_limit = choice.limit.map_or(MAX_WAIT, |limit| limit - now);
        let longest = saving.min(until_late).min(MAX_WAIT).min(until_limit);
        (saving >= MIN_SAVING && longest > Duration::ZERO).then_some(Self { saving, longest })
    }
}

/// Returns how long a task takes that is slowed down by `factor` on a worker of a learned speed.
pub(super) fn run_time(estimate: Duration, factor: f64, speed: f64) -> Duration {
    scale(estimate, factor / speed.clamp(0.01, 100.0))
}

/// Multiplies a span of time, within the range of plausible spans.
pub(super) fn scale(span: Duration, factor: f64) -> Duration {
    Duration::from_secs_f64((span.as_secs_f64() * factor).clamp(0.0, 1e6))
}
