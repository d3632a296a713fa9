//! All workers that are known.

use daisymast_types::collections;
use daisymast_types::ids;

use crate::worker;

/// All workers, by place. A place is never given to another worker.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    workers: Vec<worker::Worker>,
    places: collections::FastMap<ids::WorkerId, usize>,
}

impl Fleet {
    /// Place of a worker; a new one gets the next place.
    pub fn place(&mut self, id: &ids::WorkerId) -> usize {
        if let Some(&place) = self.places.get(id) {
            return place;
        }
        let place = self.workers.len();
        self.workers.push(worker::Worker::new(id.clone()));
        self.places.insert(id.clone(), place);
        place
    }

    /// Place of a worker that is known.
    pub fn find(&self, id: &ids::WorkerId) -> Option<usize> {
        self.places.get(id).copied()
    }

    /// The worker at a place.
    ///
    /// # Panics
    /// The place was never given.
    pub fn at(&self, place: usize) -> &worker::Worker {
        &self.workers[place]
    }

    /// The worker at a place, to change it.
    ///
    /// # Panics
    /// The place was never given.
    pub fn at_mut(&mut self, place: usize) -> &mut worker::Worker {
        &mut self.workers[place]
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
