//! Membership view: what one instance knows of the other instances.

use std::time::Duration;

use daisymast_protocol::peer::Heartbeat;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, Generation, InstanceId, Partition, WorkerId, Zone};
use daisymast_types::time::Monotonic;

use crate::rendezvous::Candidate;

/// Time without a heartbeat after which an instance is suspected to have failed.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// Last known state of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Most recent heartbeat received from it.
    pub last: Heartbeat,
    /// Time at which that heartbeat showed the instance to be alive.
    pub last_heartbeat_at: Monotonic,
}

/// View of all instances, including the local one. The views of different instances may differ;
/// leases and epochs ensure that this causes no conflicting actions.
#[derive(Clone, Debug)]
pub struct View {
    own: Heartbeat,
    members: FastMap<InstanceId, Member>,
}

impl View {
    /// Creates a view that contains only the local instance.
    pub fn new(own: Heartbeat) -> Self {
        Self {
            own,
            members: FastMap::default(),
        }
    }

    /// Heartbeat that the local instance sends.
    pub fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Mutable access to the local instance's heartbeat.
    pub fn own_mut(&mut self) -> &mut Heartbeat {
        &mut self.own
    }

    /// Records a heartbeat of another instance that was alive at `now`. A heartbeat older than the
    /// recorded one is ignored.
    pub fn record(&mut self, now: Monotonic, heartbeat: Heartbeat) {
        let id = heartbeat.instance.clone();
        let is_newer = self.last_heartbeat_at(&id).is_none_or(|last| last <= now);
        if id != self.own.instance && is_newer {
            self.members.insert(
                id,
                Member {
                    last: heartbeat,
                    last_heartbeat_at: now,
                },
            );
        }
    }

    /// Time of the last heartbeat of another instance, `None` if there was none.
    pub fn last_heartbeat_at(&self, instance: &InstanceId) -> Option<Monotonic> {
        self.members
            .get(instance)
            .map(|member| member.last_heartbeat_at)
    }

    /// Removes an instance from the view.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Heartbeats of the other instances that are live at `now`.
    pub fn peers(&self, now: Monotonic) -> impl Iterator<Item = &Heartbeat> {
        self.members
            .values()
            .filter(move |member| now - member.last_heartbeat_at < SUSPECT_AFTER)
            .map(|member| &member.last)
    }

    /// Live instances that accept new work, in one availability zone or in all, including the local
    /// one. Sorted by id.
    pub fn candidates(&self, now: Monotonic, zone: Option<&Zone>) -> Vec<Candidate> {
        let mut found: Vec<Candidate> = self
            .peers(now)
            .chain(std::iter::once(&self.own))
            .filter(|member| !member.draining && zone.is_none_or(|zone| member.zone == *zone))
            .map(|member| Candidate {
                instance: member.instance.clone(),
                weight: member.weight,
            })
            .collect();
        found.sort_by(|a, b| a.instance.cmp(&b.instance));
        found
    }

    /// Last heartbeat of an instance, even if it is no longer live.
    pub fn member(&self, instance: &InstanceId) -> Option<&Heartbeat> {
        if *instance == self.own.instance {
            return Some(&self.own);
        }
        self.members.get(instance).map(|member| &member.last)
    }

    /// Whether a heartbeat of the instance arrived within [`SUSPECT_AFTER`]. The local instance is
    /// always live.
    pub fn is_live(&self, now: Monotonic, instance: &InstanceId) -> bool {
        *instance == self.own.instance
            || self
                .members
                .get(instance)
                .is_some_and(|member| now - member.last_heartbeat_at < SUSPECT_AFTER)
    }

    /// Live instance that claims to hold the worker.
    pub fn holder(&self, now: Monotonic, worker: &WorkerId) -> Option<InstanceId> {
        self.peers(now)
            .chain(std::iter::once(&self.own))
            .find(|member| member.workers.contains(worker))
            .map(|member| member.instance.clone())
    }

    /// Live instance that claims to own the partition, and its epoch. If there are several, the one
    /// with the highest epoch.
    pub fn partition_owner(
        &self,
        now: Monotonic,
        partition: Partition,
    ) -> Option<(InstanceId, Epoch)> {
        self.peers(now)
            .chain(std::iter::once(&self.own))
            .flat_map(|member| {
                member
                    .partitions
                    .iter()
                    .map(move |&(owned, epoch)| (owned, epoch, member))
            })
            .filter(|&(owned, _, _)| owned == partition)
            .max_by_key(|&(_, epoch, _)| epoch)
            .map(|(_, epoch, member)| (member.instance.clone(), epoch))
    }

    /// Highest manifest generation among the live peers, and a peer that has it.
    pub fn newest_generation(&self, now: Monotonic) -> Option<(Generation, InstanceId)> {
        self.peers(now)
            .max_by_key(|member| member.generation)
            .map(|member| (member.generation, member.instance.clone()))
    }
}
