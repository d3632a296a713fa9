//! All workers that are known.

use daisymast_types::collections;
use daisymast_types::ids;

use crate::worker;

/// All workers, by place. A place is never given to another worker.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<worker::Worker>,
    indexes: collections::FastMap<ids::WorkerId, usize>,
}

impl Fleet {
    /// Place of a worker; a new one gets the next place.
    pub fn index_or_insert(&mut self, id: &ids::WorkerId) -> usize {
        if let Some(&index) = self.indexes.get(id) {
            return index;
        }
        let index = self.workers.len();
        self.workers.push(worker::Worker::new(id.clone()));
        self.indexes.insert(id.clone(), index);
        index
    }

    /// Place of a worker that is known.
    pub fn index_of(&self, id: &ids::WorkerId) -> Option<usize> {
        self.indexes.get(id).copied()
    }

    /// The worker at a place.
    ///
    /// # Panics
    /// The place was never given.
    pub fn at(&self, index: usize) -> &worker::Worker {
        &self.workers[index]
    }

    /// The worker at a place, to change it.
    ///
    /// # Panics
    /// The place was never given.
    pub fn at_mut(&mut self, index: usize) -> &mut worker::Worker {
        &mut self.workers[index]
    }

    /// Number of places.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = &worker::Worker> {
        self.workers.iter()
    }

    /// All workers, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut worker::Worker> {
        self.workers.iter_mut()
    }
}
