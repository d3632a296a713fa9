//! All workers that the scheduler knows.

use daisymast_jobs::spec;
use daisymast_organisations::usage;
use daisymast_types::collections;
use daisymast_types::ids;

use crate::run;
use crate::worker;

/// All workers, by index. An index is never reused for another worker.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<worker::Worker>,
    indexes: collections::FastMap<ids::WorkerId, usize>,
    /// What the runs of all workers count against the caps of organisations.
    usage: usage::Usage,
}

impl Fleet {
    /// Returns the index of a worker, and adds the worker if it is new.
    pub fn index_or_insert(&mut self, id: &ids::WorkerId) -> usize {
        if let Some(&index) = self.indexes.get(id) {
            return index;
        }
        let index = self.workers.len();
        self.workers.push(worker::Worker::new(id.clone()));
        self.indexes.insert(id.clone(), index);
        index
    }

    /// Returns the index of a worker, or `None` if it is unknown.
    pub fn index_of(&self, id: &ids::WorkerId) -> Option<usize> {
        self.indexes.get(id).copied()
    }

    /// Returns the worker at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of range.
    pub fn at(&self, index: usize) -> &worker::Worker {
        &self.workers[index]
    }

    /// Returns the worker at an index for modification.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of range.
    pub fn at_mut(&mut self, index: usize) -> &mut worker::Worker {
        &mut self.workers[index]
    }

    /// Assigns a run to a worker, in place of an earlier run of the same task there.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of range.
    pub fn assign(&mut self, index: usize, task: spec::TaskId, run: run::Run) {
        if let Some(charge) = &run.charge {
            self.usage.add(&charge.organisation, charge.size);
        }
        if let Some(former) = self.workers[index].insert_run(task, run) {
            self.release(&former);
        }
    }

    /// Removes the run of a task from a worker and frees its resources.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of range.
    pub fn unassign(&mut self, index: usize, task: spec::TaskId) -> Option<run::Run> {
        let run = self.workers[index].remove_run(task)?;
        self.release(&run);
        Some(run)
    }

    /// Returns what the runs of all workers count against the caps of organisations. A run counts for
    /// as long as it takes room on its worker: also while its start is unanswered, while it is being
    /// stopped, and on a worker that is cut off until its lease has expired.
    pub fn usage(&self) -> &usage::Usage {
        &self.usage
    }

    fn release(&mut self, run: &run::Run) {
        if let Some(charge) = &run.charge {
            self.usage.remove(&charge.organisation, charge.size);
        }
    }

    /// Number of known workers, including those that have left.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Iterates over the workers in the order of their indexes.
    pub fn iter(&self) -> impl Iterator<Item = &worker::Worker> {
        self.workers.iter()
    }

    /// Iterates over the workers for modification, in the order of their indexes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut worker::Worker> {
        self.workers.iter_mut()
    }
}
