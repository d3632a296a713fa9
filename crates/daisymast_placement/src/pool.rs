//! The workers that tasks can be placed on.

use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;

/// One worker as the scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: Rack,
    /// What it can hold.
    pub capacity: Resources,
    /// What is free of running tasks and reservations.
    pub free: Resources,
    /// Whether it may get new work: not leaving, not quarantined, and its holder is known.
    pub open: bool,
}

/// How the workers of a job's tasks are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Spread over zones and racks: service replicas.
    Spread,
    /// Pack tightly: batch tasks.
    Pack,
    /// All tasks of a job at once, on as few workers as possible.
    Gang,
}

/// A task that needs a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Run that the task belongs to.
    pub run: RunKey,
    /// How its worker is chosen.
    pub policy: Policy,
    /// What it needs.
    pub size: Resources,
    /// Workers on which the task failed before.
    pub avoid: Vec<WorkerId>,
}

/// Why no worker was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoPlace {
    /// No worker is large enough, even when it is empty.
    NeverFits,
    /// The workers that are large enough are full or closed at present.
    NoRoom,
}

/// Workers and what is free on them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    machines: Vec<Machine>,
}

impl Pool {
    /// Adds a worker or replaces what is known of it.
    pub fn update(&mut self, machine: Machine) {
        match self
            .machines
            .iter_mut()
            .find(|known| known.worker == machine.worker)
        {
            Some(known) => *known = machine,
            None => self.machines.push(machine),
        }
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.machines.retain(|machine| machine.worker != *worker);
    }

    /// Chooses a worker for one task and takes the task's size from what is free there.
    pub fn place(&mut self, demand: &Demand) -> Result<WorkerId, NoPlace> {
        let found = self.machines.iter_mut().find(|machine| {
            machine.open
                && demand.size.fits_in(machine.free)
                && !demand.avoid.contains(&machine.worker)
        });
        if let Some(machine) = found {
            machine.free -= demand.size;
            return Ok(machine.worker.clone());
        }
        let fits = self
            .machines
            .iter()
            .any(|machine| demand.size.fits_in(machine.capacity));
        Err(if fits || self.machines.is_empty() {
            NoPlace::NoRoom
        } else {
            NoPlace::NeverFits
        })
    }

    /// Chooses workers for all `tasks` of a job, or takes nothing at all.
    pub fn place_gang(&mut self, demand: &Demand, tasks: u32) -> Result<Vec<WorkerId>, NoPlace> {
        let mut trial = self.clone();
        let workers = (0..tasks)
            .map(|_| trial.place(demand))
            .collect::<Result<Vec<_>, _>>()?;
        *self = trial;
        Ok(workers)
    }

    /// Gives back what a task used.
    pub fn release(&mut self, worker: &WorkerId, size: Resources) {
        if let Some(machine) = self.machines.iter_mut().find(|one| one.worker == *worker) {
            machine.free += size;
        }
    }
}
