//! Which workers the tasks of a step go to.

use std::cmp::Ordering;

use daisymast_jobs::spec;
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

/// What one pass needs to know of a worker, kept close together: a pass reads all workers for each
/// waiting step.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) place: usize,
    /// Room that is left in this pass.
    pub(super) room: quantities::Resources,
    pub(super) capacity: quantities::Resources,
    /// Processors that are kept for urgent steps, in thousandths of a core.
    kept: u32,
    band: i32,
    /// The worker is on probation, with one step's tasks at a time.
    probation: bool,
    /// Gang that keeps room free here.
    pub(super) reserved: Option<spec::StepId>,
}

impl Row {
    /// Room that a step may use.
    pub(super) fn room_for(&self, step: &steps::ReadyStep) -> quantities::Resources {
        if step.priority == 0 {
            return self.room;
        }
        quantities::Resources {
            millicores: self.room.millicores.saturating_sub(self.kept),
            ..self.room
        }
    }
}

/// The workers that take tasks in one pass.
#[derive(Clone, Debug)]
pub(super) struct Table {
    pub(super) rows: Vec<Row>,
    /// Position of the row of each place, if it has one.
    positions: Vec<Option<u32>>,
    /// No worker has more processors left than this, in thousandths of a core.
    most: u32,
    /// Whether the fleet is so full that room has to be kept for urgent steps.
    pub(super) scarce: bool,
}

impl Table {
    /// Takes room for a task off a worker.
    pub(super) fn take(&mut self, place: usize, size: quantities::Resources) {
        let position = self.positions.get(place).copied().flatten();
        if let Some(row) = position.and_then(|position| self.rows.get_mut(position as usize)) {
            row.room = if row.probation {
                quantities::Resources::ZERO
            } else {
                row.room.saturating_sub(size)
            };
        }
    }
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
    /// The workers as they are when a pass begins.
    pub(super) fn table(&self, now: time::Monotonic) -> Table {
        let usable = || {
            let workers = self.fleet.iter().enumerate();
            workers.filter(|(_, worker)| worker.is_usable(now))
        };
        let mut speeds: Vec<f64> = usable().map(|(_, worker)| worker.speed).collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or(1.0);
        let any_fast = speeds.last().is_some_and(|&speed| speed > median * FAST);
        let cores = |room: quantities::Resources| u64::from(room.millicores);
        let capacity: u64 = usable().map(|(_, worker)| cores(worker.capacity())).sum();
        let used: u64 = usable().map(|(_, worker)| cores(worker.used)).sum();
        let scarce = used * 100 >= capacity * constants::SCARCE_PERCENT;
        let kept = |worker: &worker::Worker| {
            let permille = if !scarce {
                0
            } else if !any_fast {
                constants::URGENT_PERMILLE / EVEN_DIVISOR
            } else if worker.speed > median * FAST {
                constants::URGENT_PERMILLE
            } else {
                0
            };
            worker.capacity().millicores / 1_000 * permille
        };
        let mut positions = vec![None; self.fleet.len()];
        let mut rows = Vec::with_capacity(speeds.len());
        let mut most = 0;
        for (place, worker) in usable() {
            positions[place] = u32::try_from(rows.len()).ok();
            let room = worker.room();
            most = most.max(room.millicores);
            rows.push(Row {
                place,
                room,
                capacity: worker.capacity(),
                kept: kept(worker),
                band: worker.band,
                probation: worker.strikes >= constants::STRIKES,
                reserved: None,
            });
        }
        Table {
            rows,
            positions,
            most,
            scarce,
        }
    }

    /// Workers with room for a task of the step, the best first.
    pub(super) fn candidates(&self, step: &steps::ReadyStep, table: &Table) -> Vec<Candidate> {
        let size = step.size();
        if size.millicores > table.most {
            return Vec::new();
        }
        let is_open = |row: &Row| {
            let free = |by: spec::StepId| by == step.id || step.priority == 0 || !table.scarce;
            row.reserved.is_none_or(free)
        };
        let mut candidates: Vec<Candidate> = table
            .rows
            .iter()
            .filter_map(|row| {
                let room = row.room_for(step);
                // Most rows of a full fleet end here, before any division.
                if room.millicores < size.millicores || room.memory_mib < size.memory_mib {
                    return None;
                }
                let fits = fits(room, size);
                (fits > 0 && is_open(row)).then_some((row, room, fits))
            })
            .filter_map(|(row, room, fits)| {
                let worker = self.fleet.at(row.place);
                if !may_run(worker, step) || step.is_denied(row.place) {
                    return None;
                }
                let fits = fits.min(spread_left(step, row.place));
                (fits > 0).then(|| Candidate {
                    place: row.place,
                    fits,
                    band: row.band,
                    near: is_near(worker, step),
                    free: room.millicores,
                })
            })
            .collect();
        let fast_first = step.priority == 0 || step.content().gang;
        candidates.sort_unstable_by(|a, b| compare(a, b, fast_first));
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
