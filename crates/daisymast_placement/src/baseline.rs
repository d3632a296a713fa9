//! First fit over all workers in the order of their arrival: the baseline of the measurements.

use daisymast_types::ids::WorkerId;
use daisymast_types::quantities::Resources;

use crate::pool::{Demand, Machine, PlacementError};

/// Workers and what is free on them.
#[derive(Clone, Debug, Default)]
pub struct FirstFit {
    machines: Vec<Machine>,
}

impl FirstFit {
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

    /// Chooses a worker for one task and takes the task's size from what is free there.
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

    /// Gives back what a task used.
    pub fn release(&mut self, worker: &WorkerId, size: Resources) {
        if let Some(machine) = self.machines.iter_mut().find(|one| one.worker == *worker) {
            machine.free += size;
        }
    }
}
