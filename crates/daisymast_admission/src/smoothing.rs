//! Exponentially smoothed durations.

use std::time::Duration;

/// Inverse weight of a sample in the mean.
const SMOOTHING_DIVISOR: u64 = 8;
/// Largest ratio of a sample to the mean; larger samples are clamped.
const MAX_SAMPLE_FACTOR: u64 = 8;

/// Exponential moving average of durations, robust against outliers: samples far above the mean are
/// clamped.
///
/// ```
/// use std::time::Duration;
/// use daisymast_admission::smoothing::Smoothed;
/// let mut time = Smoothed::new(Duration::from_millis(8));
/// time.add(Duration::from_millis(16));
/// assert_eq!(time.value(), Duration::from_millis(9));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Smoothed {
    micros: u64,
}

impl Smoothed {
    /// Starts with an assumed mean, raised to at least one microsecond.
    pub fn new(assumed: Duration) -> Self {
        Self {
            micros: micros(assumed).max(1),
        }
    }

    /// Adds a sample to the mean.
    pub fn add(&mut self, sample: Duration) {
        let sample = micros(sample).min(self.micros.saturating_mul(MAX_SAMPLE_FACTOR));
        let kept = self.micros - self.micros / SMOOTHING_DIVISOR;
        self.micros = (kept + sample / SMOOTHING_DIVISOR).max(1);
    }

    /// The current mean.
    pub fn value(&self) -> Duration {
        Duration::from_micros(self.micros)
    }

    /// The current mean in microseconds, at least one.
    pub fn micros(&self) -> u64 {
        self.micros
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
