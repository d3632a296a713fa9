//! The pool of workers on which tasks can be placed.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;

use crate::gang;
use crate::grid::{Axis, Grid, Position};
use crate::spread::{Racks, Replicas};

/// Maximum number of workers that a search compares. With fewer, a fleet of mixed worker sizes is
/// packed less tightly, because the tightest cells hold workers of one size only.
const MAX_CANDIDATES: usize = 128;
/// Speed of a worker of which nothing is known, in thousandths of the nominal speed.
const NOMINAL_SPEED: u32 = 1_000;

/// State of one worker as known to the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Rack of the worker.
    pub rack: Rack,
    /// Total capacity.
    pub capacity: Resources,
    /// Capacity that is not used by running tasks or reservations.
    pub free: Resources,
    /// Whether new tasks may be placed on it: it is not leaving, not quarantined, and its holder is
    /// known.
    pub schedulable: bool,
}

/// Placement policy for the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Spreads tasks over zones and racks. Used for service replicas.
    Spread,
    /// Packs tasks tightly. Used for batch tasks.
    Pack,
    /// Places all tasks of a job at once, on as few workers as possible.
    Gang,
}

/// Requirements of a task that needs a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Run that the task belongs to.
    pub run: RunKey,
    /// Policy by which its worker is chosen.
    pub policy: Policy,
    /// Resources to reserve for it.
    pub size: Resources,
    /// Workers on which the task must not be placed, such as those where it failed before.
    pub excluded: Vec<WorkerId>,
}

/// Reason why no worker was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementError {
    /// No worker is large enough, even when idle.
    NeverFits,
    /// Some workers are large enough, but none of them can take the task now. Also returned for an
    /// empty pool.
    InsufficientCapacity,
}

/// Workers and their free capacity, indexed for placement.
///
/// ```
/// use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
/// use daisymast_types::{ids, quantities::Resources};
/// let capacity = Resources::new(32_000, 128 * 1024, 0);
/// let mut pool = Pool::default();
/// pool.update(Machine {
///     worker: ids::WorkerId::from("w-1"),
///     zone: ids::Zone::from("Austin"),
///     rack: ids::Rack::from("r-1"),
///     capacity,
///     free: capacity,
///     schedulable: true,
/// });
/// let demand = Demand {
///     run: ids::RunKey(1),
///     policy: Policy::Pack,
///     size: Resources::new(4_000, 2_048, 0),
///     excluded: Vec::new(),
/// };
/// assert_eq!(pool.place(&demand), Ok(ids::WorkerId::from("w-1")));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) entries: Vec<Option<PoolEntry>>,
    free_slots: Vec<u32>,
    index: FastMap<WorkerId, u32>,
    /// Schedulable workers without free accelerators (`plain`) and with them (`accelerated`). Tasks
    /// that need no accelerator use the second grid only if the first has no fitting worker.
    plain: Grid,
    accelerated: Grid,
    pub(crate) racks: Racks,
    pub(crate) replicas: Replicas,
    /// Number of workers of each capacity. Fleets have few distinct capacities.
    capacity_counts: FastMap<Resources, u32>,
    total_millicores: u64,
    total_memory_mib: u64,
}

/// A worker in the pool with its index position.
#[derive(Clone, Debug)]
pub(crate) struct PoolEntry {
    pub(crate) machine: Machine,
    pub(crate) speed: u32,
    /// Position in its grid, `None` if the worker is not schedulable.
    position: Option<Position>,
}

impl Pool {
    /// Adds a worker or replaces its state. A known worker keeps its speed.
    pub fn update(&mut self, mut machine: Machine) {
        let capacity = machine.capacity;
        machine.free = clamp_to(machine.free, capacity);
        let speed = self
            .entry_of(&machine.worker)
            .map_or(NOMINAL_SPEED, |pool_entry| pool_entry.speed);
        self.remove(&machine.worker.clone());
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.entries.push(None);
            u32::try_from(self.entries.len() - 1).unwrap_or(u32::MAX)
        });
        self.index.insert(machine.worker.clone(), slot);
        *self.capacity_counts.entry(capacity).or_default() += 1;
        self.total_millicores += u64::from(capacity.millicores);
        self.total_memory_mib += u64::from(capacity.memory_mib);
        self.racks.insert(&machine.zone, &machine.rack, slot);
        self.entries[slot as usize] = Some(PoolEntry {
            machine,
            speed,
            position: None,
        });
        self.insert_into_grid(slot);
    }

    /// Removes a worker; an unknown one is ignored.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(slot) = self.index.remove(worker) else {
            return;
        };
        self.remove_from_grid(slot);
        let Some(pool_entry) = self.entries[slot as usize].take() else {
            return;
        };
        let capacity = pool_entry.machine.capacity;
        self.total_millicores -= u64::from(capacity.millicores);
        self.total_memory_mib -= u64::from(capacity.memory_mib);
        if let Some(count) = self.capacity_counts.get_mut(&capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacity_counts.remove(&capacity);
            }
        }
        self.racks
            .remove(&pool_entry.machine.zone, &pool_entry.machine.rack, slot);
        self.free_slots.push(slot);
    }

    /// Chooses a worker for one task and subtracts the task's size from its free capacity.
    pub fn place(&mut self, demand: &Demand) -> Result<WorkerId, PlacementError> {
        let found = match demand.policy {
            Policy::Spread => self.find_spread(demand),
            Policy::Pack | Policy::Gang => self.find_packed(demand),
        };
        let slot = found.ok_or_else(|| self.placement_error(demand.size))?;
        self.reserve(slot, demand.size);
        let pool_entry = self.entries[slot as usize].as_ref();
        let machine = pool_entry
            .map(|pool_entry| &pool_entry.machine)
            .ok_or(PlacementError::InsufficientCapacity)?;
        if demand.policy == Policy::Spread {
            self.replicas.add(demand.run, machine);
        }
        Ok(machine.worker.clone())
    }

    /// Chooses workers for all `tasks` tasks of a job. Reserves nothing if they do not all fit.
    pub fn place_gang(
        &mut self,
        demand: &Demand,
        tasks: u32,
    ) -> Result<Vec<WorkerId>, PlacementError> {
        let plan =
            gang::plan(self, demand, tasks).ok_or_else(|| self.placement_error(demand.size))?;
        let mut workers = Vec::new();
        for (slot, count) in plan {
            for _ in 0..count {
                self.reserve(slot, demand.size);
                workers.extend(self.worker(slot));
            }
        }
        Ok(workers)
    }

    /// Returns the capacity of an ended task to its worker. Free capacity never exceeds the
    /// worker's total capacity.
    pub fn release(&mut self, worker: &WorkerId, size: Resources) {
        if let Some(slot) = self.index.get(worker).copied() {
            self.change_free(slot, |free| free + size);
        }
    }

    /// Replaces the workers on which the replicas of a run are counted for [`Policy::Spread`].
    /// [`Pool::place`] adds each replica that it places; [`Pool::release`] removes none, because it
    /// does not know the run. Workers that are not in the pool are ignored.
    pub fn set_replicas(&mut self, run: RunKey, workers: &[WorkerId]) {
        self.replicas.clear(run);
        for worker in workers {
            let slot = self.index.get(worker).copied().unwrap_or(u32::MAX);
            if let Some(Some(pool_entry)) = self.entries.get(slot as usize) {
                self.replicas.add(run, &pool_entry.machine);
            }
        }
    }

    /// Sets the speed of a worker in thousandths of the nominal speed. Among workers that fit
    /// equally well, a faster one is chosen.
    pub fn set_speed(&mut self, worker: &WorkerId, speed: u32) {
        let slot = self.index.get(worker).copied();
        if let Some(pool_entry) =
            slot.and_then(|slot| self.entries.get_mut(slot as usize)?.as_mut())
        {
            pool_entry.speed = speed.max(1);
        }
    }

    /// Free capacity of a worker, `None` if it is unknown.
    pub fn free(&self, worker: &WorkerId) -> Option<Resources> {
        self.entry_of(worker)
            .map(|pool_entry| pool_entry.machine.free)
    }

    pub(crate) fn pool_entry(&self, slot: u32) -> Option<&PoolEntry> {
        self.entries.get(slot as usize)?.as_ref()
    }

    /// Worker with the lowest score among the first candidates of the grid.
    fn find_packed(&self, demand: &Demand) -> Option<u32> {
        let axis = self.dominant_axis(demand.size);
        let mean = self.mean_capacity();
        let grids = if demand.size.accelerators > 0 {
            [Some(&self.accelerated), None]
        } else {
            [Some(&self.plain), Some(&self.accelerated)]
        };
        grids.into_iter().flatten().find_map(|grid| {
            let mut best: Option<(i64, u32)> = None;
            let mut seen = 0;
            grid.search(demand.size, axis, |slot| {
                let pool_entry = self
                    .pool_entry(slot)
                    .filter(|pool_entry| pool_entry.fits(demand));
                if let Some(pool_entry) = pool_entry {
                    let score = pool_entry.score(demand.size, mean);
                    if best.is_none_or(|(least, _)| score < least) {
                        best = Some((score, slot));
                    }
                    seen += 1;
                }
                seen < MAX_CANDIDATES
            });
            best.map(|(_, slot)| slot)
        })
    }

    /// Quantity of which the task needs the larger share of the pool's capacity.
    fn dominant_axis(&self, size: Resources) -> Axis {
        let processors = u128::from(size.millicores) * u128::from(self.total_memory_mib);
        let memory = u128::from(size.memory_mib) * u128::from(self.total_millicores);
        if processors >= memory {
            Axis::Cpu
        } else {
            Axis::Memory
        }
    }

    /// Mean capacity of the workers, without accelerators.
    pub(crate) fn mean_capacity(&self) -> Resources {
        let workers = u64::try_from(self.index.len()).unwrap_or(u64::MAX).max(1);
        let mean = |sum: u64| u32::try_from(sum / workers).unwrap_or(u32::MAX);
        Resources::new(mean(self.total_millicores), mean(self.total_memory_mib), 0)
    }

    fn placement_error(&self, size: Resources) -> PlacementError {
        if self.capacity_counts.is_empty()
            || self
                .capacity_counts
                .keys()
                .any(|capacity| size.fits_in(*capacity))
        {
            PlacementError::InsufficientCapacity
        } else {
            PlacementError::NeverFits
        }
    }

    fn entry_of(&self, worker: &WorkerId) -> Option<&PoolEntry> {
        self.pool_entry(*self.index.get(worker)?)
    }

    fn worker(&self, slot: u32) -> Option<WorkerId> {
        self.pool_entry(slot)
            .map(|pool_entry| pool_entry.machine.worker.clone())
    }

    fn reserve(&mut self, slot: u32, size: Resources) {
        self.change_free(slot, |free| free - size);
    }

    fn change_free(&mut self, slot: u32, change: impl Fn(Resources) -> Resources) {
        let Some(pool_entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let before = pool_entry.machine.free;
        let free = clamp_to(change(before), pool_entry.machine.capacity);
        pool_entry.machine.free = free;
        let stays = pool_entry.position.is_none_or(|position| {
            Grid::is_same_cell(position, free)
                && (before.accelerators > 0) == (free.accelerators > 0)
        });
        if !stays {
            pool_entry.machine.free = before;
            self.remove_from_grid(slot);
            if let Some(pool_entry) = self.entries[slot as usize].as_mut() {
                pool_entry.machine.free = free;
            }
            self.insert_into_grid(slot);
        }
    }

    fn insert_into_grid(&mut self, slot: u32) {
        let Some(pool_entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        if pool_entry.machine.schedulable {
            let free = pool_entry.machine.free;
            let grid = if free.accelerators > 0 {
                &mut self.accelerated
            } else {
                &mut self.plain
            };
            pool_entry.position = Some(grid.insert(slot, free));
        }
    }

    fn remove_from_grid(&mut self, slot: u32) {
        let Some(pool_entry) = self.entries[slot as usize].as_mut() else {
            return;
        };
        let Some(position) = pool_entry.position.take() else {
            return;
        };
        let grid = if pool_entry.machine.free.accelerators > 0 {
            &mut self.accelerated
        } else {
            &mut self.plain
        };
        let moved = grid.remove(position);
        if let Some(moved) = moved.and_then(|slot| self.entries[slot as usize].as_mut()) {
            moved.position = Some(position);
        }
    }
}

impl PoolEntry {
    /// Whether the task can be placed on the worker now.
    pub(crate) fn fits(&self, demand: &Demand) -> bool {
        self.machine.schedulable
            && demand.size.fits_in(self.machine.free)
            && !demand.excluded.contains(&self.machine.worker)
    }

    /// Change of the imbalance between free CPU and free memory if the task is placed here, in
    /// ten-thousandths of the mean worker, less a bonus for speed; lower is better. Free capacity
    /// of one quantity without the other cannot be used. The search visits tight workers first, so
    /// among equal scores the first is the tightest.
    pub(crate) fn score(&self, size: Resources, mean: Resources) -> i64 {
        let before = self.machine.free;
        let after = before - size;
        let speed = i64::from(self.speed.min(4 * NOMINAL_SPEED));
        imbalance(after, mean) - imbalance(before, mean) - speed / 100
    }
}

fn imbalance(free: Resources, mean: Resources) -> i64 {
    let processors = ten_thousandths(free.millicores, mean.millicores);
    (processors - ten_thousandths(free.memory_mib, mean.memory_mib)).abs()
}

fn ten_thousandths(free: u32, capacity: u32) -> i64 {
    i64::from(free) * 10_000 / i64::from(capacity.max(1))
}

/// Limits each quantity to that of the capacity.
fn clamp_to(free: Resources, capacity: Resources) -> Resources {
    Resources::new(
        free.millicores.min(capacity.millicores),
        free.memory_mib.min(capacity.memory_mib),
        free.accelerators.min(capacity.accelerators),
    )
}
