//! Selection of candidate workers for the tasks of a step.

use std::cmp::Ordering;

use daisymast_jobs::spec;
use daisymast_types::quantities;
use daisymast_types::time;

use super::Scheduler;
use super::availability;
use super::place_waits;
use crate::constants;
use crate::steps;
use crate::worker;

/// A worker counts as fast if its speed exceeds the median by this factor.
const FAST_FACTOR: f64 = 1.2;
/// Divisor of [`constants::URGENT_RESERVE_PERMILLE`] that applies to all workers if none is fast.
const NO_FAST_WORKER_DIVISOR: u32 = 3;

/// The data of a worker that a pass needs. They are kept close together in memory, because a pass
/// reads all workers for each waiting step.
#[derive(Clone, Debug)]
pub(super) struct WorkerSnapshot {
    pub(super) worker_index: usize,
    /// Resources that are free at this point of the pass.
    pub(super) available: quantities::Resources,
    pub(super) capacity: quantities::Resources,
    /// Processors that are kept free for urgent steps, in thousandths of a core.
    urgent_reserve: u32,
    band: i32,
    /// Whether the worker is much faster than most.
    is_fast: bool,
    /// Whether the worker takes tasks of only one step at a time, after repeated failures.
    on_probation: bool,
    /// Gang that has reserved the worker.
    pub(super) reserved_for: Option<spec::StepId>,
}

impl WorkerSnapshot {
    /// Returns the resources that a step may use.
    pub(super) fn available_for(&self, step: &steps::ReadyStep) -> quantities::Resources {
        if step.uses_reserve() {
            return self.available;
        }
        quantities::Resources {
            millicores: self.unreserved_millicores(),
            ..self.available
        }
    }

    /// Whether the worker takes tasks of only one step at a time, after repeated failures.
    pub(super) fn is_on_probation(&self) -> bool {
        self.on_probation
    }

    /// Free processors that are not kept for urgent steps, in thousandths of a core.
    fn unreserved_millicores(&self) -> u32 {
        self.available
            .millicores
            .saturating_sub(self.urgent_reserve)
    }
}

/// The usable workers at the start of a pass.
#[derive(Clone, Debug)]
pub(super) struct FleetSnapshot {
    pub(super) rows: Vec<WorkerSnapshot>,
    /// Position in `rows`, by worker index; `None` if the worker is not usable.
    positions: Vec<Option<u32>>,
    /// Rows by what urgent steps may use.
    urgent_index: availability::AvailabilityIndex,
    /// Rows by what other steps may use.
    index: availability::AvailabilityIndex,
    /// Whether the fleet is so full that capacity is kept free for urgent steps.
    pub(super) high_utilisation: bool,
    taken_at: time::Monotonic,
}

impl FleetSnapshot {
    /// Subtracts the resources of a placed task from a worker. A run that repeats a failure leaves
    /// the place of a worker on probation to other tasks.
    pub(super) fn take(
        &mut self,
        worker_index: usize,
        size: quantities::Resources,
        repeats_failure: bool,
    ) {
        let position = self.positions.get(worker_index).copied().flatten();
        if let Some(row) = position.and_then(|position| self.rows.get_mut(position as usize)) {
            row.available = if row.on_probation && !repeats_failure {
                quantities::Resources::ZERO
            } else {
                row.available.saturating_sub(size)
            };
            let position = position.unwrap_or_default();
            let (all, unreserved) = (row.available.millicores, row.unreserved_millicores());
            self.urgent_index.lower(position, all);
            self.index.lower(position, unreserved);
        }
    }

    /// Returns the row of a worker, if it is usable.
    pub(super) fn row(&self, worker_index: usize) -> Option<&WorkerSnapshot> {
        let position = self.positions.get(worker_index).copied().flatten()?;
        self.rows.get(position as usize)
    }

    /// Returns the rows that may have processors for a task of the step.
    fn rows_with_room(
        &self,
        step: &steps::ReadyStep,
        millicores: u32,
    ) -> impl Iterator<Item = &WorkerSnapshot> {
        let index = if step.uses_reserve() {
            &self.urgent_index
        } else {
            &self.index
        };
        let positions = index.at_least(millicores);
        positions.filter_map(|position| self.rows.get(position as usize))
    }
}

/// A worker that can take tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) worker_index: usize,
    /// Number of tasks that fit.
    pub(super) fits: u32,
    band: i32,
    pub(super) is_fast: bool,
    pub(super) on_preferred_rack: bool,
    pub(super) free_millicores: u32,
}

impl Scheduler {
    /// Takes a snapshot of the usable workers.
    pub(super) fn snapshot(&self, now: time::Monotonic) -> FleetSnapshot {
        let usable = || {
            let workers = self.fleet.iter().enumerate();
            workers.filter(|(_, worker)| worker.is_usable(now))
        };
        let mut speeds: Vec<f64> = usable().map(|(_, worker)| worker.speed).collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or(1.0);
        let has_fast_worker = speeds
            .last()
            .is_some_and(|&speed| speed > median * FAST_FACTOR);
        let millicores = |available: quantities::Resources| u64::from(available.millicores);
        let capacity: u64 = usable()
            .map(|(_, worker)| millicores(worker.capacity()))
            .sum();
        let used: u64 = usable().map(|(_, worker)| millicores(worker.used)).sum();
        let high_utilisation = used * 100 >= capacity * constants::HIGH_UTILISATION_PERCENT;
        let urgent_reserve = |worker: &worker::Worker| {
            let permille = if !high_utilisation {
                0
            } else if !has_fast_worker {
                constants::URGENT_RESERVE_PERMILLE / NO_FAST_WORKER_DIVISOR
            } else if worker.speed > median * FAST_FACTOR {
                constants::URGENT_RESERVE_PERMILLE
            } else {
                0
            };
            worker.capacity().millicores / 1_000 * permille
        };
        let mut positions = vec![None; self.fleet.len()];
        let mut rows = Vec::with_capacity(speeds.len());
        let mut urgent_index = availability::AvailabilityIndex::default();
        let mut index = availability::AvailabilityIndex::default();
        for (worker_index, worker) in usable() {
            positions[worker_index] = u32::try_from(rows.len()).ok();
            let row = WorkerSnapshot {
                worker_index,
                available: worker.available(),
                capacity: worker.capacity(),
                urgent_reserve: urgent_reserve(worker),
                band: worker.band,
                is_fast: worker.speed > median * FAST_FACTOR,
                on_probation: worker.health.is_on_probation(),
                reserved_for: None,
            };
            urgent_index.push(row.available.millicores);
            index.push(row.unreserved_millicores());
            rows.push(row);
        }
        FleetSnapshot {
            rows,
            positions,
            urgent_index,
            index,
            high_utilisation,
            taken_at: now,
        }
    }

    /// Returns the workers with free capacity for a task of the step, in order of preference.
    pub(super) fn candidates(
        &self,
        step: &steps::ReadyStep,
        snapshot: &FleetSnapshot,
    ) -> Vec<Candidate> {
        let rows = snapshot.rows_with_room(step, step.size().millicores);
        self.candidates_among(rows, step, snapshot)
    }

    /// Returns the same as [`candidates`](Self::candidates), but only workers for which the step
    /// holds a valid ticket.
    pub(super) fn candidates_with_ticket(
        &self,
        step: &steps::ReadyStep,
        snapshot: &FleetSnapshot,
        now: time::Monotonic,
    ) -> Vec<Candidate> {
        let ticketed = step.permissions.keys();
        let rows = ticketed
            .filter(|&&worker_index| step.has_ticket(worker_index, now))
            .filter_map(|&worker_index| snapshot.row(worker_index));
        self.candidates_among(rows, step, snapshot)
    }

    fn candidates_among<'a>(
        &self,
        rows: impl Iterator<Item = &'a WorkerSnapshot>,
        step: &steps::ReadyStep,
        snapshot: &FleetSnapshot,
    ) -> Vec<Candidate> {
        let size = step.size();
        let is_unreserved = |row: &WorkerSnapshot| {
            let free = |by: spec::StepId| {
                by == step.id || step.uses_reserve() || !snapshot.high_utilisation
            };
            row.reserved_for.is_none_or(free)
        };
        let mut candidates: Vec<Candidate> = rows
            .filter_map(|row| {
                let available = row.available_for(step);
                if available.millicores < size.millicores || available.memory_mib < size.memory_mib
                {
                    return None;
                }
                let fits = fits(available, size);
                (fits > 0 && is_unreserved(row)).then_some((row, available, fits))
            })
            .filter_map(|(row, available, fits)| {
                let worker = self.fleet.at(row.worker_index);
                if !may_run(worker, step)
                    || step.is_denied(row.worker_index)
                    || is_excluded(worker, step, snapshot.taken_at)
                {
                    return None;
                }
                let fits = fits.min(remaining_spread(step, row.worker_index));
                (fits > 0).then(|| Candidate {
                    worker_index: row.worker_index,
                    fits,
                    band: row.band,
                    is_fast: row.is_fast,
                    on_preferred_rack: place_waits::is_near(worker.rack(), step.step_spec()),
                    free_millicores: available.millicores,
                })
            })
            .collect();
        let fast_first = step.priority == 0 || step.step_spec().gang;
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
    b.on_preferred_rack
        .cmp(&a.on_preferred_rack)
        .then(speed)
        .then(a.free_millicores.cmp(&b.free_millicores))
        .then(a.worker_index.cmp(&b.worker_index))
}

/// Whether the worker belongs to the step's service and has the required label.
pub(super) fn may_run(worker: &worker::Worker, step: &steps::ReadyStep) -> bool {
    let Some(registration) = &worker.registration else {
        return false;
    };
    let has_label = step
        .step_spec()
        .requires
        .as_ref()
        .is_none_or(|label| registration.labels.contains(label));
    registration.service == step.service && has_label
}

/// Whether the step is long-running and its job has failed on the worker just now.
fn is_excluded(worker: &worker::Worker, step: &steps::ReadyStep, now: time::Monotonic) -> bool {
    step.step_spec().lasting && worker.health.is_excluded(step.id.job, now)
}

/// Returns the number of tasks of a size that fit into the available resources.
pub(super) fn fits(available: quantities::Resources, size: quantities::Resources) -> u32 {
    let quotient = |available: u32, size: u32| available.checked_div(size).unwrap_or(u32::MAX);
    quotient(available.millicores, size.millicores)
        .min(quotient(available.memory_mib, size.memory_mib))
        .min(quotient(
            u32::from(available.accelerators),
            u32::from(size.accelerators),
        ))
        .min(u32::from(u16::MAX))
}

/// Returns how many more tasks the step's spread limit allows on a worker.
pub(super) fn remaining_spread(step: &steps::ReadyStep, worker_index: usize) -> u32 {
    match step.step_spec().spread {
        0 => u32::MAX,
        limit => limit.saturating_sub(step.placed.get(&worker_index).copied().unwrap_or(0)),
    }
}
