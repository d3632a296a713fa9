//! Admission control: per-team quotas, fair shares between services and the retry budget. Each
//! service is one flow of the fair queue.

use daisymast_admission::fair_queue::{EnqueueError, FairQueue, Flow};
use daisymast_admission::quota::{Limit, Quotas};
use daisymast_admission::retry::Budget;
use daisymast_manifest::manifest::Manifest;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::limits;
use daisymast_types::ids::{Generation, JobName, Team};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use super::pending::{PendingRequest, RequestKey};
use crate::shared::Context;

/// Number of requests that a worker serves concurrently.
const WORKER_SLOTS: u32 = 8;
/// Lower bound on concurrent requests per instance, for the time when few workers are known.
const MIN_CAPACITY: u32 = 16;
/// Maximum number of pending requests per team: a quarter of `MAX_PENDING_REQUESTS`, so that one
/// team cannot lock out the others.
const MAX_TEAM_REQUESTS: u32 = 1_024;
/// Retry budget as a percentage of the first attempts in the last ten seconds.
const RETRY_PERCENT: u64 = 10;
/// Retries allowed per ten seconds regardless of traffic.
const MIN_RETRIES: u64 = 10;

/// Admission of one request, to be released when it ends: a unit of its team's request quota and,
/// once started, a slot.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionPermit {
    team: Team,
    service: JobName,
    /// Time at which the request got its slot, `None` while it is queued.
    started_at: Option<Monotonic>,
}

#[derive(Clone, Debug)]
pub(crate) struct Admission {
    queue: FairQueue<RequestKey>,
    quotas: Quotas,
    budget: Budget,
    generation: Generation,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(MIN_CAPACITY, limits::QUEUE_PER_FLOW),
            quotas: Quotas::default(),
            budget: Budget::new(RETRY_PERCENT, MIN_RETRIES),
            generation: Generation::default(),
        }
    }
}

impl Admission {
    /// Recomputes the capacity from the live workers and instances of the local zone.
    pub(crate) fn update_capacity(&mut self, cx: &Context<'_>) {
        self.queue.set_capacity(capacity(cx));
    }

    /// Applies the manifest in force. Returns whether its generation is new.
    pub(crate) fn apply_manifest(&mut self, cx: &Context<'_>) -> bool {
        let Some(manifest) = &cx.shared.manifest else {
            return false;
        };
        if self.generation == cx.shared.generation {
            return false;
        }
        self.generation = cx.shared.generation;
        self.declare(manifest);
        true
    }

    fn declare(&mut self, manifest: &Manifest) {
        for service in &manifest.services {
            self.queue.declare(Flow {
                name: service.name.clone(),
                urgency: service.urgency,
                weight: 1,
            });
            let declared = manifest.teams.iter().find(|team| team.name == service.team);
            let limit = Limit {
                resources: declared.map_or(Resources::ZERO, |team| team.quota),
                requests: MAX_TEAM_REQUESTS,
            };
            self.quotas.set(&service.team, limit);
        }
        self.queue.retain(|name| manifest.service(name).is_some());
        self.quotas
            .retain(|team| manifest.services.iter().any(|one| one.team == *team));
    }

    /// Queues a request and counts it against its team's quota.
    pub(crate) fn admit(
        &mut self,
        now: Monotonic,
        key: RequestKey,
        pending: &PendingRequest,
        team: &Team,
    ) -> Result<AdmissionPermit, NotRunReason> {
        let service = pending.request.service.clone();
        self.quotas
            .acquire_request(team)
            .map_err(|_| NotRunReason::Overloaded)?;
        if let Err(refusal) = self.queue.enqueue(now, &service, key, pending.deadline) {
            self.quotas.release_request(team);
            return Err(match refusal {
                EnqueueError::UnknownFlow => NotRunReason::UnknownService,
                EnqueueError::QueueFull => NotRunReason::Overloaded,
                EnqueueError::TooLate => NotRunReason::DeadlineUnreachable,
            });
        }
        self.budget.on_request(now);
        Ok(AdmissionPermit {
            team: team.clone(),
            service,
            started_at: None,
        })
    }

    /// Takes the next queued request, if a slot is free.
    pub(crate) fn dequeue(&mut self) -> Option<(JobName, RequestKey)> {
        self.queue.dequeue()
    }

    /// Records the time at which a request got its slot, for the service time.
    pub(crate) fn mark_started(now: Monotonic, permit: &mut AdmissionPermit) {
        permit.started_at = Some(now);
    }

    /// Releases a slot whose request ended while it was queued.
    pub(crate) fn release_unused(&mut self, service: &JobName) {
        self.queue.finish(service, None);
    }

    /// Releases the quota and the slot of a request. Only answered requests contribute to the
    /// measured service time.
    pub(crate) fn release(&mut self, now: Monotonic, permit: &AdmissionPermit, answered: bool) {
        self.quotas.release_request(&permit.team);
        if let Some(started_at) = permit.started_at {
            let time = answered.then_some(now - started_at);
            self.queue.finish(&permit.service, time);
        }
    }

    /// Removes and returns the queued requests that can no longer complete before their deadlines.
    pub(crate) fn take_expired(&mut self, now: Monotonic) -> Vec<RequestKey> {
        self.queue.take_expired(now)
    }

    /// Consumes one retry from the budget. Returns `false` if it is exhausted.
    pub(crate) fn try_retry(&mut self, now: Monotonic) -> bool {
        self.budget.try_retry(now)
    }
}

/// This instance's share of the local zone: all worker slots divided by the live instances.
fn capacity(cx: &Context<'_>) -> u32 {
    let zone = &cx.config.zone;
    let known = cx.shared.workers.values();
    let workers = known.filter(|worker| worker.zone == *zone && !worker.leaving);
    let slots = u32::try_from(workers.count())
        .unwrap_or(u32::MAX)
        .saturating_mul(WORKER_SLOTS);
    let instances = cx.shared.view.candidates(cx.now.mono, Some(zone)).len();
    let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    slots.div_ceil(instances).max(MIN_CAPACITY)
}
