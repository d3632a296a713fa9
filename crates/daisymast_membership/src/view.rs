//! One instance's own view of the other instances.

use std::time::Duration;

use daisymast_protocol::peer::Heartbeat;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, Generation, InstanceId, Partition, WorkerId, Zone};
use daisymast_types::time::Monotonic;

use crate::rendezvous::Candidate;

/// Silence after which an instance is suspected to be gone.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub last: Heartbeat,
    /// Time at which the last heartbeat arrived.
    pub last_heartbeat_at: Monotonic,
}

/// View of all instances, the owner of the view included. Views of different instances may differ;
/// leases and epochs keep that harmless.
#[derive(Clone, Debug)]
pub struct View {
    own: Heartbeat,
    members: FastMap<InstanceId, Member>,
}

impl View {
    /// A view that holds only the own instance.
    pub fn new(own: Heartbeat) -> Self {
        Self {
            own,
            members: FastMap::default(),
        }
    }

    /// The heartbeat that the own instance sends.
    pub fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Changes what the own instance tells of itself.
    pub fn own_mut(&mut self) -> &mut Heartbeat {
        &mut self.own
    }

    /// Records a heartbeat of another instance that was alive at `now`. One that is older than the
    /// last one changes nothing.
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

    /// Time at which an instance was heard last.
    pub fn last_heartbeat_at(&self, instance: &InstanceId) -> Option<Monotonic> {
        self.members
            .get(instance)
            .map(|member| member.last_heartbeat_at)
    }

    /// Drops what is known of an instance that is gone.
    pub fn remove(&mut self, instance: &InstanceId) {
        self.members.remove(instance);
    }

    /// Other instances that were heard lately.
    pub fn peers(&self, now: Monotonic) -> impl Iterator<Item = &Heartbeat> {
        self.members
            .values()
            .filter(move |member| now - member.last_heartbeat_at < SUSPECT_AFTER)
            .map(|member| &member.last)
    }

    /// Live instances that take new work, of one zone or of all, the own instance included.
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

    /// The last heartbeat of an instance, whether it is still live or not.
    pub fn member(&self, instance: &InstanceId) -> Option<&Heartbeat> {
        if *instance == self.own.instance {
            return Some(&self.own);
        }
        self.members.get(instance).map(|member| &member.last)
    }

    /// Whether an instance was heard lately. The own instance is always live.
    pub fn is_live(&self, now: Monotonic, instance: &InstanceId) -> bool {
        *instance == self.own.instance
            || self
                .members
                .get(instance)
                .is_some_and(|member| now - member.last_heartbeat_at < SUSPECT_AFTER)
    }

    /// Live instance that says it holds the worker.
    pub fn holder(&self, now: Monotonic, worker: &WorkerId) -> Option<InstanceId> {
        self.peers(now)
            .chain(std::iter::once(&self.own))
            .find(|member| member.workers.contains(worker))
            .map(|member| member.instance.clone())
    }

    /// Live instance that says it owns the partition, with the highest epoch.
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

    /// The highest generation that a live peer has, and that peer.
    pub fn newest_generation(&self, now: Monotonic) -> Option<(Generation, InstanceId)> {
        self.peers(now)
            .max_by_key(|member| member.generation)
            .map(|member| (member.generation, member.instance.clone()))
    }
}
