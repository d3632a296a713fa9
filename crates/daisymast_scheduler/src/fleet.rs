//! All workers that the scheduler knows.

use daisymast_types::collections;
use daisymast_types::ids;

use crate::worker;

/// All workers, by index. An index is never reused for another worker.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<worker::Worker>,
    indexes: collections::FastMap<ids::WorkerId, usize>,
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
