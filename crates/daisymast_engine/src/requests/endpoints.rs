//! Short-lived cache of the endpoints in the local zone, and load balancing among them.

use std::time::Duration;

use daisymast_protocol::peer::Endpoint;
use daisymast_types::collections::FastMap;
use daisymast_types::hashing;
use daisymast_types::ids::{InstanceId, JobName, RequestId, WorkerId};
use daisymast_types::time::Monotonic;

use super::pending::RequestKey;

/// Age below which a list is used without fetching a newer one.
pub(crate) const FRESH_AGE: Duration = Duration::from_millis(200);
/// Age below which a list is used while a newer one is fetched, so that one unresponsive instance
/// does not delay requests.
pub(crate) const MAX_USABLE_AGE: Duration = Duration::from_secs(1);
/// Timeout of the endpoint query to one instance.
pub(crate) const FETCH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time during which requests wait for an endpoint because the lease of the service's worker is
/// moving to another instance.
const HANDOVER_WINDOW: Duration = Duration::from_secs(1);
/// Factor applied to the expected wait at a worker without a free slot.
const FULL_WORKER_PENALTY: u64 = 8;

/// An endpoint with the instance that holds its worker and through which requests reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoutedEndpoint {
    pub(crate) holder: InstanceId,
    pub(crate) endpoint: Endpoint,
}

/// Endpoints of one service, with the state of a fetch.
#[derive(Clone, Debug, Default)]
struct EndpointList {
    fetched_at: Option<Monotonic>,
    endpoints: Vec<RoutedEndpoint>,
    /// Number of instances that have not replied to the current fetch.
    pending_replies: usize,
    incoming: Vec<RoutedEndpoint>,
    /// Whether an instance failed to reply, so that its workers are missing from the list.
    partial: bool,
    waiting: Vec<RequestKey>,
    /// Time at which a worker of the service was last found without a holder, as during a handover.
    last_unheld_at: Option<Monotonic>,
}

/// Endpoint lists by service, filled on demand.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointCache {
    lists: FastMap<JobName, EndpointList>,
    /// Number of requests from this instance in flight at each worker.
    in_flight: FastMap<WorkerId, u32>,
}

/// Whether the cached list of a service can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    Fresh,
    /// Usable, but a newer list should be fetched.
    Stale,
    /// Not usable, and no fetch is in progress.
    Absent,
    /// Not usable yet; a fetch is in progress.
    Fetching,
}

impl EndpointCache {
    pub(crate) fn readiness(&self, now: Monotonic, service: &JobName) -> Readiness {
        let Some(list) = self.lists.get(service) else {
            return Readiness::Absent;
        };
        let age = list.fetched_at.map(|fetched_at| now - fetched_at);
        let fetching = list.pending_replies > 0;
        match age {
            Some(age) if age < FRESH_AGE => Readiness::Fresh,
            Some(age) if age < MAX_USABLE_AGE && !list.endpoints.is_empty() && fetching => {
                Readiness::Fresh
            }
            Some(age) if age < MAX_USABLE_AGE && !list.endpoints.is_empty() => Readiness::Stale,
            _ if fetching => Readiness::Fetching,
            _ => Readiness::Absent,
        }
    }

    /// Starts a fetch that expects replies from `count` instances.
    pub(crate) fn begin_fetch(&mut self, service: &JobName, count: usize) {
        let list = self.lists.entry(service.clone()).or_default();
        list.pending_replies = count;
        list.incoming.clear();
        list.partial = false;
    }

    /// Registers a request to be resumed when the fetch completes.
    pub(crate) fn add_waiter(&mut self, service: &JobName, key: RequestKey) {
        let list = self.lists.entry(service.clone()).or_default();
        list.waiting.push(key);
    }

    /// Adds the reply of one instance, `None` if it did not reply. Once all instances have replied
    /// or failed, the new list replaces the old one and the waiting requests are returned.
    pub(crate) fn on_fetched(
        &mut self,
        now: Monotonic,
        service: &JobName,
        holder: &InstanceId,
        found: Option<Vec<Endpoint>>,
    ) -> Vec<RequestKey> {
        let Some(list) = self.lists.get_mut(service) else {
            return Vec::new();
        };
        list.partial |= found.is_none();
        list.incoming
            .extend(found.into_iter().flatten().map(|endpoint| RoutedEndpoint {
                holder: holder.clone(),
                endpoint,
            }));
        list.pending_replies = list.pending_replies.saturating_sub(1);
        if list.pending_replies > 0 {
            return Vec::new();
        }
        let routed = std::mem::take(&mut list.incoming);
        if routed.is_empty() && !list.endpoints.is_empty() && !list.partial {
            list.last_unheld_at = Some(now);
        }
        list.endpoints = routed;
        list.endpoints
            .sort_by(|a, b| a.endpoint.worker.cmp(&b.endpoint.worker));
        list.fetched_at = Some(now);
        std::mem::take(&mut list.waiting)
    }

    /// Drops the lists of undeclared services, except those with a fetch or requests waiting.
    pub(crate) fn retain(&mut self, declared: impl Fn(&JobName) -> bool) {
        self.lists.retain(|service, list| {
            declared(service) || list.pending_replies > 0 || !list.waiting.is_empty()
        });
    }

    /// Chooses the better of two untried endpoints that are selected by a hash of the request id
    /// and the attempt (power of two choices).
    pub(crate) fn choose(
        &self,
        service: &JobName,
        id: &RequestId,
        attempt: u32,
        tried: &[WorkerId],
    ) -> Option<RoutedEndpoint> {
        let untried: Vec<&RoutedEndpoint> = self
            .lists
            .get(service)?
            .endpoints
            .iter()
            .filter(|routed| !tried.contains(&routed.endpoint.worker))
            .collect();
        let count = u64::try_from(untried.len())
            .ok()
            .filter(|count| *count > 0)?;
        let hash = hashing::stable_hash_pair(id.as_str().as_bytes(), &attempt.to_le_bytes());
        let first = hash % count;
        let second = (first + 1 + (hash >> 32) % count.saturating_sub(1).max(1)) % count;
        [first, second]
            .into_iter()
            .filter_map(|index| untried.get(usize::try_from(index).ok()?))
            .min_by_key(|routed| self.expected_wait(&routed.endpoint))
            .map(|routed| (*routed).clone())
    }

    pub(crate) fn on_sent(&mut self, worker: &WorkerId) {
        *self.in_flight.entry(worker.clone()).or_default() += 1;
    }

    pub(crate) fn on_returned(&mut self, worker: &WorkerId) {
        if let Some(count) = self.in_flight.get_mut(worker) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(worker);
            }
        }
    }

    /// Updates the holder of a worker until the next list arrives.
    pub(crate) fn set_holder(&mut self, service: &JobName, worker: &WorkerId, holder: &InstanceId) {
        if let Some(list) = self.lists.get_mut(service) {
            for routed in &mut list.endpoints {
                if routed.endpoint.worker == *worker {
                    routed.holder = holder.clone();
                }
            }
        }
    }

    /// Drops a worker that currently has no holder until the next list arrives.
    pub(crate) fn drop_worker(&mut self, now: Monotonic, service: &JobName, worker: &WorkerId) {
        if let Some(list) = self.lists.get_mut(service) {
            list.endpoints
                .retain(|routed| routed.endpoint.worker != *worker);
            list.last_unheld_at = Some(now);
        }
    }

    /// Whether the service lacks endpoints only because the lease of a worker is moving to another
    /// instance.
    pub(crate) fn is_awaiting_holder(&self, now: Monotonic, service: &JobName) -> bool {
        self.lists.get(service).is_some_and(|list| {
            let recent = list
                .last_unheld_at
                .is_some_and(|since| now - since < HANDOVER_WINDOW);
            recent && list.endpoints.is_empty()
        })
    }

    /// Drops the endpoints behind an unreachable holder until the next list arrives.
    pub(crate) fn drop_holder(&mut self, service: &JobName, holder: &InstanceId) {
        if let Some(list) = self.lists.get_mut(service) {
            list.endpoints.retain(|routed| routed.holder != *holder);
        }
    }

    fn expected_wait(&self, endpoint: &Endpoint) -> u64 {
        let own_in_flight = u64::from(self.in_flight.get(&endpoint.worker).copied().unwrap_or(0));
        let wait = endpoint.service_us.max(1).saturating_mul(own_in_flight + 1);
        if endpoint.free_slots == 0 {
            return wait.saturating_mul(FULL_WORKER_PENALTY);
        }
        wait / u64::from(endpoint.free_slots)
    }
}
