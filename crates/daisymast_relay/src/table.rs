//! Assignment of workers to relays.

use daisymast_election::record;
use daisymast_membership::{assignment, rendezvous};
use daisymast_types::collections;
use daisymast_types::ids;

use crate::constants;

/// A worker and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Worker ID.
    pub id: ids::WorkerId,
    /// Availability zone.
    pub zone: ids::Zone,
}

/// Assigns each worker to a relay in its own zone. Workers of a zone without a relay are left out,
/// and the leader calls them itself. Nodes of earlier releases name no zone and are no relays.
///
/// The relays of a zone are its largest machines, as many as its workers need. Workers are assigned
/// to them by rendezvous hashing with bounded load, so a relay that comes or goes moves few workers
/// of the others.
///
/// ```
/// use daisymast_election::record;
/// use daisymast_relay::table;
/// let node = |name: &str| record::Member {
///     id: name.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     millicores: 250,
///     zone: "a".into(),
/// };
/// let worker = |name: &str, zone: &str| table::Worker { id: name.into(), zone: zone.into() };
/// let workers = [worker("w-1", "a"), worker("w-2", "b")];
/// let assigned = table::assign(&[node("n-1"), node("leader")], &"leader".into(), &workers);
/// assert_eq!(assigned.get(&workers[0].id), Some(&"n-1".into()));
/// assert_eq!(assigned.get(&workers[1].id), None);
/// ```
pub fn assign(
    members: &[record::Member],
    leader: &ids::InstanceId,
    workers: &[Worker],
) -> collections::FastMap<ids::WorkerId, ids::InstanceId> {
    let mut by_zone: collections::FastMap<&ids::Zone, Vec<ids::WorkerId>> =
        collections::FastMap::default();
    for worker in workers {
        let zone_workers = by_zone.entry(&worker.zone).or_default();
        zone_workers.push(worker.id.clone());
    }
    let mut assigned = collections::FastMap::default();
    for (zone, zone_workers) in by_zone {
        let relays = relays(members, leader, zone, zone_workers.len());
        assigned.extend(assignment::assign(&zone_workers, &relays));
    }
    assigned
}

fn relays(
    members: &[record::Member],
    leader: &ids::InstanceId,
    zone: &ids::Zone,
    workers: usize,
) -> Vec<rendezvous::Candidate> {
    let in_zone = |member: &&record::Member| member.zone == *zone && member.id != *leader;
    let mut candidates: Vec<&record::Member> = members.iter().filter(in_zone).collect();
    candidates.sort_by(|a, b| (b.millicores, &a.id).cmp(&(a.millicores, &b.id)));
    candidates
        .into_iter()
        .take(workers.div_ceil(constants::WORKERS_PER_RELAY))
        .map(|member| rendezvous::Candidate {
            instance: member.id.clone(),
            weight: member.millicores,
        })
        .collect()
}
