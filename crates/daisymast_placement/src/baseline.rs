//! First-fit placement in the order in which workers were added. Serves as the baseline in the
//! benchmarks.

use daisymast_types::ids::WorkerId;
use daisymast_types::quantities::Resources;

use crate::pool::{Demand, Machine, PlacementError};

/// Workers and their free capacity.
#[derive(Clone, Debug, Default)]
pub struct FirstFit {
    machines: Vec<Machine>,
}

impl FirstFit {
    /// Adds a worker or replaces its previous state.
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

    /// Chooses the first worker that fits one task and subtracts the task's size from its free
    /// capacity.
    pub fn place(&mut self, demand: &Demand) -> Result<WorkerId, PlacementError> {
        let found = self.machines.iter_mut().find(|machine| {
            machine.schedulable
                && demand.size.fits_in(machine.free)
                && !demand.excluded.contains(&machine.worker)
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
            PlacementError::InsufficientCapacity
        } else {
            PlacementError::NeverFits
        })
    }

    /// Returns the capacity of an ended task to its worker.
    pub fn release(&mut self, worker: &WorkerId, size: Resources) {
        if let Some(machine) = self.machines.iter_mut().find(|one| one.worker == *worker) {
            machine.free += size;
        }
    }
}
