//! Spreading of service replicas over zones, racks and workers.

use daisymast_types::collections::FastMap;
use daisymast_types::hashing;
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};

use crate::pool::{Demand, Machine, Pool};

/// Number of racks with a fitting worker and no replica of the run after which a search stops.
const MAX_EMPTY_RACKS: usize = 4;

/// A rack and the pool slots of its workers.
type RackSlots = (Rack, Vec<u32>);

/// Pool slots by availability zone and rack, sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Racks {
    zones: Vec<(Zone, Vec<RackSlots>)>,
}

impl Racks {
    pub(crate) fn insert(&mut self, zone: &Zone, rack: &Rack, slot: u32) {
        let at = self.zones.binary_search_by(|(known, _)| known.cmp(zone));
        let at = at.unwrap_or_else(|at| {
            self.zones.insert(at, (zone.clone(), Vec::new()));
            at
        });
        let racks = &mut self.zones[at].1;
        let at = racks.binary_search_by(|(known, _)| known.cmp(rack));
        let at = at.unwrap_or_else(|at| {
            racks.insert(at, (rack.clone(), Vec::new()));
            at
        });
        racks[at].1.push(slot);
    }

    pub(crate) fn remove(&mut self, zone: &Zone, rack: &Rack, slot: u32) {
        let Ok(zone_at) = self.zones.binary_search_by(|(known, _)| known.cmp(zone)) else {
            return;
        };
        let racks = &mut self.zones[zone_at].1;
        let Ok(rack_at) = racks.binary_search_by(|(known, _)| known.cmp(rack)) else {
            return;
        };
        racks[rack_at].1.retain(|known| *known != slot);
        if racks[rack_at].1.is_empty() {
            racks.remove(rack_at);
        }
        if racks.is_empty() {
            self.zones.remove(zone_at);
        }
    }
}

/// Replica counts of each run. The counts of a run have at most one entry per worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas {
    runs: FastMap<RunKey, ReplicaCounts>,
}

/// Replicas of one run by zone, rack and worker.
#[derive(Clone, Debug, Default)]
struct ReplicaCounts {
    total: u32,
    zones: FastMap<Zone, u32>,
    racks: FastMap<Rack, u32>,
    workers: FastMap<WorkerId, u32>,
}

impl Replicas {
    pub(crate) fn clear(&mut self, run: RunKey) {
        self.runs.remove(&run);
    }

    pub(crate) fn add(&mut self, run: RunKey, machine: &Machine) {
        let counts = self.runs.entry(run).or_default();
        counts.total += 1;
        *counts.zones.entry(machine.zone.clone()).or_default() += 1;
        *counts.racks.entry(machine.rack.clone()).or_default() += 1;
        *counts.workers.entry(machine.worker.clone()).or_default() += 1;
    }
}

impl Pool {
    /// A fitting worker in the availability zone, then the rack, with the fewest replicas of the
    /// run.
    pub(crate) fn find_spread(&self, demand: &Demand) -> Option<u32> {
        let none = ReplicaCounts::default();
        let counts = self.replicas.runs.get(&demand.run).unwrap_or(&none);
        let mut zones: Vec<_> = self
            .racks
            .zones
            .iter()
            .map(|(zone, racks)| (counts.zones.get(zone).copied().unwrap_or(0), racks))
            .collect();
        zones.sort_by_key(|(count, _)| *count);
        zones
            .into_iter()
            .find_map(|(_, racks)| self.find_in_zone(demand, racks, counts))
    }

    /// Visits the racks from an offset derived from the run and its replica count, so that
    /// different services do not all start at the same rack. No rack is better than one without
    /// replicas, so the search stops after [`MAX_EMPTY_RACKS`] of them.
    fn find_in_zone(
        &self,
        demand: &Demand,
        racks: &[RackSlots],
        counts: &ReplicaCounts,
    ) -> Option<u32> {
        let total = counts.total.to_le_bytes();
        let hash = hashing::stable_hash_pair(&demand.run.0.to_le_bytes(), &total);
        let length = u64::try_from(racks.len())
            .ok()
            .filter(|length| *length > 0)?;
        let start = usize::try_from(hash % length).ok()?;
        let mut best: Option<((u32, u32, i64), u32)> = None;
        let mut empty_racks = 0;
        for (rack, slots) in racks[start..].iter().chain(&racks[..start]) {
            let in_rack = counts.racks.get(rack).copied().unwrap_or(0);
            if best.is_some_and(|((least, _, _), _)| in_rack > least) {
                continue;
            }
            let found = self.find_in_rack(demand, slots, counts);
            if let Some((on_worker, score, slot)) = found {
                let rank = (in_rack, on_worker, score);
                if best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, slot));
                }
                empty_racks += usize::from(in_rack == 0);
            }
            if empty_racks >= MAX_EMPTY_RACKS {
                break;
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Replica count, score and slot of the best fitting worker in a rack.
    fn find_in_rack(
        &self,
        demand: &Demand,
        slots: &[u32],
        counts: &ReplicaCounts,
    ) -> Option<(u32, i64, u32)> {
        let mean = self.mean_capacity();
        slots
            .iter()
            .filter_map(|slot| {
                let pool_entry = self
                    .pool_entry(*slot)
                    .filter(|pool_entry| pool_entry.fits(demand))?;
                let worker = &pool_entry.machine.worker;
                let count = counts.workers.get(worker).copied().unwrap_or(0);
                Some((count, pool_entry.score(demand.size, mean), *slot))
            })
            .min()
    }
}
