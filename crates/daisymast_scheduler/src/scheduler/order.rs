//! Order in which a pass tries the waiting steps.
//!
//! On a fleet that cannot serve everything in time, the order by latest start alone serves most jobs
//! late. Large steps are therefore ranked as if they had to start later, which lets several small ones
//! go first. So that the large ones are not starved, a few of the largest gangs go before all others
//! that are not urgent.

use std::cmp::Reverse;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::time;

use crate::constants;
use crate::steps;

#[cfg(test)]
mod tests;

/// Returns the IDs of the steps that wait for workers, in the order in which they are tried.
pub(super) fn waiting_steps(
    steps: &collections::FastMap<spec::StepId, steps::ReadyStep>,
    workers: usize,
    now: time::Monotonic,
) -> Vec<spec::StepId> {
    let mut ranked: Vec<Ranked> = steps
        .values()
        .filter(|step| !step.waiting.is_empty() && !step.aborting && now >= step.not_before)
        .map(|step| Ranked::new(step, now))
        .collect();
    prefer_largest_gangs(&mut ranked, workers);
    ranked.sort_unstable_by_key(|step| (step.tier, step.preference, step.start_by, step.id));
    ranked.into_iter().map(|step| step.id).collect()
}

/// Preference of a step that does not go before the others of its tier.
const NOT_PREFERRED: usize = usize::MAX;

/// A waiting step and what determines its place.
struct Ranked {
    id: spec::StepId,
    tier: steps::Tier,
    /// Place among the steps that go before the others of their tier, lowest first;
    /// [`NOT_PREFERRED`] for all others.
    preference: usize,
    /// Latest start, later for a large step.
    start_by: time::Monotonic,
    is_gang: bool,
    core_ms: u64,
}

impl Ranked {
    fn new(step: &steps::ReadyStep, now: time::Monotonic) -> Self {
        let step_spec = step.step_spec();
        let core_ms = core_ms(step_spec);
        Self {
            id: step.id,
            tier: step.tier(now),
            preference: NOT_PREFERRED,
            start_by: step.deadlines.latest_start + size_delay(core_ms),
            is_gang: step_spec.gang,
            core_ms,
        }
    }
}

/// Marks the largest gangs that are on time, as many as the fleet can hold workers for, and fewer of
/// those that are late: all would be late one day, and none served, on a fleet that stays full.
fn prefer_largest_gangs(ranked: &mut [Ranked], workers: usize) {
    let on_time = (workers / constants::WORKERS_PER_LARGE_GANG).max(1);
    let late = on_time.saturating_sub(constants::LARGE_GANGS_ON_TIME);
    let mut preference = 0;
    for (tier, count) in [(steps::Tier::InTime, on_time), (steps::Tier::Late, late)] {
        let mut gangs: Vec<&mut Ranked> = ranked
            .iter_mut()
            .filter(|step| step.is_gang && step.tier == tier)
            .collect();
        gangs.sort_unstable_by_key(|step| (Reverse(step.core_ms), step.id));
        for gang in gangs.into_iter().take(count) {
            gang.preference = preference;
            gang.tier = steps::Tier::InTime;
            preference += 1;
        }
    }
}

/// Processor time that a step is declared to take, in core-milliseconds.
fn core_ms(step: &spec::Step) -> u64 {
    let millicores = u64::from(step.tasks) * u64::from(step.size.millicores);
    millicores.saturating_mul(u64::from(step.estimate_ms)) / 1_000
}

/// Returns how much later a step is ranked because of its size.
fn size_delay(core_ms: u64) -> Duration {
    Duration::from_micros(core_ms.saturating_mul(constants::SIZE_DELAY_PER_CORE_MS_US))
}
