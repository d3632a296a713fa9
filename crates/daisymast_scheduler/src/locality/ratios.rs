//! Learned ratio of actual to expected waits, by rack.

use std::time::Duration;

use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

/// Weight of a new wait in the learned ratio of actual to expected waits.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Bounds of that ratio. A rack where waits fail is tried again when the expected wait is short.
const RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.5..=8.0;
/// Ratio that is assumed before the first wait on a rack.
const INITIAL_RATIO: f64 = 1.0;
/// Time after which half of a learned difference from it is forgotten. Otherwise a rack where waits
/// failed would not be tried again, as nothing is learned without waits.
pub(super) const RATIO_HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of racks whose ratio is remembered. Callers may name any rack.
const MAX_RACKS: usize = 4_096;

/// Ratio of actual to expected waits, by rack, and when it was learned.
#[derive(Clone, Debug, Default)]
pub(super) struct Ratios(collections::FastMap<ids::WorkerLabel, (f64, time::Monotonic)>);

impl Ratios {
    /// Returns the ratio on a rack.
    pub(super) fn get(&self, rack: &ids::WorkerLabel, now: time::Monotonic) -> f64 {
        let Some(&(ratio, learned_at)) = self.0.get(rack) else {
            return INITIAL_RATIO;
        };
        let half_lives = (now - learned_at).as_secs_f64() / RATIO_HALF_LIFE.as_secs_f64();
        INITIAL_RATIO + (ratio - INITIAL_RATIO) * 0.5_f64.powf(half_lives)
    }

    /// Learns from a wait that was expected to last a time, and did last another one.
    pub(super) fn learn(
        &mut self,
        rack: &ids::WorkerLabel,
        expected: Duration,
        actual: Duration,
        now: time::Monotonic,
    ) {
        if !self.0.contains_key(rack) && self.0.len() >= MAX_RACKS {
            return;
        }
        // The expected wait holds the ratio of that time already.
        let ratio = self.get(rack, now);
        let sample = ratio * actual.as_secs_f64() / expected.as_secs_f64();
        let learned = ratio + (sample - ratio) * SAMPLE_WEIGHT;
        let learned = learned.clamp(*RATIO_BOUNDS.start(), *RATIO_BOUNDS.end());
        self.0.insert(rack.clone(), (learned, now));
    }
}
