//! The leader's view of all relays: which of them serve which workers, and the links to them.

use std::net::SocketAddr;
use std::time::Duration;

use daisymast_election::record;
use daisymast_scheduler::action;
use daisymast_scheduler::fleet;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use crate::constants;
use crate::direct;
use crate::link;
use crate::table;

/// Relays of one term.
#[derive(Debug)]
pub struct Relays {
    me: ids::InstanceId,
    term: u64,
    links: collections::FastMap<ids::InstanceId, link::Link>,
    /// Relay of each worker, by worker index; `None` if the leader calls the worker itself.
    by_worker: Vec<Option<ids::InstanceId>>,
    /// Relays that failed, and until when they get no calls.
    excluded: collections::FastMap<ids::InstanceId, time::Monotonic>,
    /// Addresses of the nodes and number of registered workers that the assignment was made for.
    assigned_for: Option<(Vec<SocketAddr>, usize)>,
    interval: Duration,
}

impl Relays {
    /// Creates the relays of a term, without any node yet.
    pub fn new(me: ids::InstanceId, term: u64) -> Self {
        Self {
            me,
            term,
            links: collections::FastMap::default(),
            by_worker: Vec::new(),
            excluded: collections::FastMap::default(),
            assigned_for: None,
            interval: constants::MIN_EXCHANGE_INTERVAL,
        }
    }

    /// Adapts the assignment to the live nodes and the registered workers. Returns the calls of
    /// relays that have left, which the leader has to make itself.
    pub fn update(
        &mut self,
        members: &[record::Member],
        fleet: &fleet::Fleet,
        now: time::Monotonic,
        mut new_session: impl FnMut() -> u64,
    ) -> Vec<link::Undelivered> {
        self.excluded.retain(|_, until| now < *until);
        let is_available = |member: &&record::Member| {
            let draining = self
                .links
                .get(&member.id)
                .is_some_and(link::Link::is_draining);
            !draining && !self.excluded.contains_key(&member.id)
        };
        let available: Vec<record::Member> = members.iter().filter(is_available).cloned().collect();
        let mut addresses: Vec<SocketAddr> =
            available.iter().map(|member| member.address).collect();
        addresses.sort_unstable();
        let registered = fleet.iter().filter(|worker| worker.registration.is_some());
        let inputs = (addresses, registered.count());
        if self.assigned_for.as_ref() != Some(&inputs) {
            self.assigned_for = Some(inputs);
            self.assign(&available, fleet, now, &mut new_session);
        }
        let is_present = |id: &ids::InstanceId, link: &link::Link| {
            members
                .iter()
                .any(|member| member.id == *id && member.address == link.address())
        };
        let departed: Vec<ids::InstanceId> = self
            .links
            .iter()
            .filter(|(id, link)| !is_present(id, link))
            .map(|(id, _)| id.clone())
            .collect();
        departed
            .into_iter()
            .filter_map(|id| self.links.remove(&id))
            .flat_map(|mut link| link.reset(0))
            .collect()
    }

    fn assign(
        &mut self,
        available: &[record::Member],
        fleet: &fleet::Fleet,
        now: time::Monotonic,
        new_session: &mut impl FnMut() -> u64,
    ) {
        self.by_worker.clear();
        self.by_worker.resize(fleet.len(), None);
        if fleet.len() <= constants::MAX_DIRECT_WORKERS {
            return;
        }
        let registered = fleet.iter().filter_map(|worker| {
            let registration = worker.registration.as_ref()?;
            Some(table::Worker {
                id: worker.id.clone(),
                zone: registration.zone.clone(),
            })
        });
        let workers: Vec<table::Worker> = registered.collect();
        let assigned = table::assign(available, &self.me, &workers);
        let mut relays: collections::FastSet<&ids::InstanceId> = collections::FastSet::default();
        for (worker, relay) in &assigned {
            relays.insert(relay);
            if let Some(index) = fleet.index_of(worker) {
                self.by_worker[index] = Some(relay.clone());
            }
        }
        for member in available
            .iter()
            .filter(|member| relays.contains(&member.id))
        {
            self.links
                .entry(member.id.clone())
                .or_insert_with(|| link::Link::new(member.address, new_session(), self.term, now));
        }
        let count = u32::try_from(relays.len()).unwrap_or(u32::MAX);
        self.interval = (Duration::from_secs(1) * count / constants::MAX_EXCHANGES_PER_SECOND)
            .max(constants::MIN_EXCHANGE_INTERVAL);
    }

    /// Returns the relay that serves the worker of a call, or `None` if the leader has to make the
    /// call itself.
    pub fn relay_of(&self, call: &action::Action) -> Option<&ids::InstanceId> {
        let index = call.target()?.index;
        let relay = self.by_worker.get(index)?.as_ref()?;
        self.links.contains_key(relay).then_some(relay)
    }

    /// Takes the calls that wait for a relay and are too old to be sent.
    pub fn take_expired(
        &mut self,
        relay: &ids::InstanceId,
        now: time::Monotonic,
    ) -> Vec<direct::DirectCall> {
        let link = self.links.get_mut(relay);
        link.map_or_else(Vec::new, |link| link.take_expired(now))
    }

    /// Returns what to do next with a relay's link, or `None` if the node is no relay any more.
    pub fn next(&mut self, relay: &ids::InstanceId, now: time::Monotonic) -> Option<link::Next> {
        let interval = self.interval;
        Some(self.links.get_mut(relay)?.next(now, interval))
    }

    /// IDs of the nodes that have a link.
    pub fn relays(&self) -> Vec<ids::InstanceId> {
        self.links.keys().cloned().collect()
    }

    /// Returns a relay's link.
    pub fn link_mut(&mut self, relay: &ids::InstanceId) -> Option<&mut link::Link> {
        self.links.get_mut(relay)
    }

    /// Handles an exchange without a reply. The relay gets no calls for a while.
    pub fn on_failure(
        &mut self,
        relay: &ids::InstanceId,
        sending: (link::Lane, u64),
        failure: link::Failure,
        session: u64,
        now: time::Monotonic,
    ) -> Vec<link::Undelivered> {
        let Some(link) = self.links.get_mut(relay) else {
            return Vec::new();
        };
        let (lane, number) = sending;
        let undelivered = link.on_failure(lane, number, failure, session);
        self.excluded
            .insert(relay.clone(), now + constants::EXCLUSION);
        for assigned in &mut self.by_worker {
            if assigned.as_ref() == Some(relay) {
                *assigned = None;
            }
        }
        undelivered
    }

    /// Returns the calls whose outcome is overdue.
    pub fn take_overdue(&mut self, now: time::Monotonic) -> Vec<link::Undelivered> {
        self.links
            .values_mut()
            .flat_map(|link| link.take_overdue(now))
            .collect()
    }
}
