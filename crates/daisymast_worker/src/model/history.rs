//! Bounded memory of ids that are over.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::time::Duration;

use daisymast_protocol::limits::TOMBSTONE_TTL;
use daisymast_protocol::worker::Fate;
use daisymast_types::collections::FastMap;
use daisymast_types::time::Monotonic;

/// Time for which the fate of a finished request or a forgotten task is certainly remembered. It is
/// twice the longest timeout of a request, so that whoever missed the answer can still ask. The
/// memory has to hold all ids of this time, so it is shorter than that of tombstones.
pub const FINISHED_TTL: Duration = Duration::from_secs(120);

/// Fates by id. An id is dropped only when the memory is full and the time of the id is over.
#[derive(Clone, Debug)]
pub(super) struct History<K> {
    limit: usize,
    fates: FastMap<K, Fate>,
    /// Ids by the time from which they may be dropped.
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

    /// Whether one more id fits beside `reserved` ids that will be inserted later. Makes room if
    /// that is allowed.
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

    /// Inserts an id that [`Self::make_room`] has accepted, and that is not in the memory.
    pub(super) fn insert(&mut self, now: Monotonic, id: K, fate: Fate) {
        let time = match fate {
            Fate::NeverRan => TOMBSTONE_TTL,
            _ => FINISHED_TTL,
        };
        self.evictable.insert((now + time, id.clone()));
        self.fates.insert(id, fate);
    }
}
