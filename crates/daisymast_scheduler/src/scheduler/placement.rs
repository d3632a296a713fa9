//! Which workers the tasks of a step go to.

use std::cmp::Ordering;

use daisymast_types::quantities;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::steps;
use crate::worker;

/// A worker is fast if its speed exceeds the median by this factor.
const FAST: f64 = 1.2;
/// Part of [`constants::URGENT_PERMILLE`] that applies to all workers while none is fast.
const EVEN_DIVISOR: u32 = 3;

/// How fast workers differ from others, for one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speeds {
    median: f64,
    any_fast: bool,
    /// Whether the fleet is so full that room has to be kept for urgent steps.
    pub(super) scarce: bool,
}

/// A worker that could take tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) place: usize,
    /// Number of tasks that fit.
    pub(super) fits: u32,
    band: i32,
    near: bool,
    free: u32,
}

impl Scheduler {
    pub(super) fn speeds(&self, now: time::Monotonic) -> Speeds {
        let mut speeds: Vec<f64> = self
            .fleet
            .iter()
            .filter(|worker| worker.is_usable(now))
            .map(|worker| worker.speed)
            .collect();
        speeds.sort_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or(1.0);
        let usable = || self.fleet.iter().filter(|worker| worker.is_usable(now));
        let cores = |room: quantities::Resources| u64::from(room.millicores);
        let capacity: u64 = usable().map(|worker| cores(worker.capacity())).sum();
        let used: u64 = usable().map(|worker| cores(worker.used)).sum();
        Speeds {
            median,
            scarce: used * 100 >= capacity * constants::SCARCE_PERCENT,
            any_fast: speeds.iter().any(|&speed| speed > median * FAST),
        }
    }

    /// Workers with room for a task of the step, the best first.
    pub(super) fn candidates(
        &self,
        step: &steps::ReadyStep,
        speeds: Speeds,
        now: time::Monotonic,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .fleet
            .iter()
            .enumerate()
            .filter(|(place, worker)| {
                worker.is_usable(now)
                    && may_run(worker, step)
                    && !step.is_denied(*place)
                    && worker
                        .reserved
                        .is_none_or(|by| by == step.id || step.priority == 0 || !speeds.scarce)
            })
            .filter_map(|(place, worker)| {
                let room = usable_room(worker, step, speeds);
                let fits = fits(room, step.size()).min(spread_left(step, place));
                (fits > 0).then(|| Candidate {
                    place,
                    fits,
                    band: band(worker.speed),
                    near: is_near(worker, step),
                    free: room.millicores,
                })
            })
            .collect();
        let fast_first = step.priority == 0 || step.content().gang;
        candidates.sort_by(|a, b| compare(a, b, fast_first));
        candidates
    }
}

fn compare(a: &Candidate, b: &Candidate, fast_first: bool) -> Ordering {
    let speed = if fast_first {
        b.band.cmp(&a.band)
    } else {
        a.band.cmp(&b.band)
    };
    b.near
        .cmp(&a.near)
        .then(speed)
        .then(a.free.cmp(&b.free))
        .then(a.place.cmp(&b.place))
}

/// Speeds in one band count as equal: small differences of what was learned are noise. Bands keep
/// the order total, which a comparison with a tolerance would not.
fn band(speed: f64) -> i32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a cast from a float saturates"
    )]
    let band = (speed.ln() / FAST.ln()).round() as i32;
    band
}

/// Whether the worker belongs to the step's service and has the label that it requires.
pub(super) fn may_run(worker: &worker::Worker, step: &steps::ReadyStep) -> bool {
    let Some(entry) = &worker.entry else {
        return false;
    };
    let labelled = step
        .content()
        .requires
        .as_ref()
        .is_none_or(|label| entry.labels.contains(label));
    entry.service == step.service && labelled
}

fn is_near(worker: &worker::Worker, step: &steps::ReadyStep) -> bool {
    let rack = worker.entry.as_ref().and_then(|entry| entry.rack.as_ref());
    match &step.content().rack {
        Some(wanted) => rack == Some(wanted),
        None => true,
    }
}

/// Room that a step may use: some is kept for urgent steps, on the fast workers if there are any.
pub(super) fn usable_room(
    worker: &worker::Worker,
    step: &steps::ReadyStep,
    speeds: Speeds,
) -> quantities::Resources {
    let room = worker.room();
    if step.priority == 0 || !speeds.scarce {
        return room;
    }
    let permille = if !speeds.any_fast {
        constants::URGENT_PERMILLE / EVEN_DIVISOR
    } else if worker.speed > speeds.median * FAST {
        constants::URGENT_PERMILLE
    } else {
        0
    };
    let kept = worker.capacity().millicores / 1_000 * permille;
    quantities::Resources {
        millicores: room.millicores.saturating_sub(kept),
        ..room
    }
}

/// Number of tasks of a size that fit into some room.
pub(super) fn fits(room: quantities::Resources, size: quantities::Resources) -> u32 {
    let times = |room: u32, size: u32| room.checked_div(size).unwrap_or(u32::MAX);
    times(room.millicores, size.millicores)
        .min(times(room.memory_mib, size.memory_mib))
        .min(times(
            u32::from(room.accelerators),
            u32::from(size.accelerators),
        ))
        .min(u32::from(u16::MAX))
}

/// Tasks of the step that its spread still allows on a worker.
fn spread_left(step: &steps::ReadyStep, place: usize) -> u32 {
    match step.content().spread {
        0 => u32::MAX,
        limit => limit.saturating_sub(step.placed.get(&place).copied().unwrap_or(0)),
    }
}
