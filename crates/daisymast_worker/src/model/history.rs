//! Bounded history of finished requests and tasks, by ID.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use daisymast_protocol::limits::TOMBSTONE_TTL;
use daisymast_protocol::worker::Fate;
use daisymast_types::collections::FastMap;
use daisymast_types::time::Monotonic;

/// Minimum time for which the outcome of a finished request or forgotten task is kept.
///
/// It is twice the longest request timeout, so that a caller that missed the answer can still ask
/// for it. It is shorter than [`TOMBSTONE_TTL`] because the history must hold every ID of this
/// period.
pub const FINISHED_TTL: Duration = Duration::from_secs(120);

/// Outcomes by ID. An ID is evicted only if the history is full and its retention period is over.
#[derive(Clone, Debug)]
pub(super) struct History<K> {
    limit: usize,
    fates: FastMap<K, Fate>,
    /// IDs ordered by the time from which they may be evicted.
    evictable: BTreeSet<(Monotonic, K)>,
}

impl<K: Clone + Eq + Hash + Ord> History<K> {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            fates: FastMap::default(),
            evictable: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, id: &K) -> Option<&Fate> {
        self.fates.get(id)
    }

    /// Evicts expired IDs until one more fits beside the `reserved` IDs that are inserted later.
    /// Returns whether it fits.
    pub(super) fn make_room(&mut self, now: Monotonic, reserved: usize) -> bool {
        while self.fates.len() + reserved >= self.limit {
            match self.evictable.first() {
                Some((at, id)) if *at <= now => {
                    self.fates.remove(id);
                    self.evictable.pop_first();
                }
                _ => return false,
            }
        }
        true
    }

    /// Inserts an ID for which [`Self::make_room`] returned `true`. The ID must be new.
    pub(super) fn insert(&mut self, now: Monotonic, id: K, fate: Fate) {
        let time = match fate {
            Fate::NeverRan => TOMBSTONE_TTL,
            _ => FINISHED_TTL,
        };
        self.evictable.insert((now + time, id.clone()));
        self.fates.insert(id, fate);
    }
}
