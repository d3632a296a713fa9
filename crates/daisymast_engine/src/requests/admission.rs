//! Bounds of the requests that an instance takes and sends: team quotas, shares of the kinds of work
//! and the retry budget. Each service is a kind.

use daisymast_admission::quota::{Limit, Quotas};
use daisymast_admission::retry::Budget;
use daisymast_admission::shares::{Kind, Refusal, Shares};
use daisymast_manifest::manifest::Manifest;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::limits;
use daisymast_types::ids::{Generation, JobName, Team};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use super::pending::{PendingRequest, RequestKey};
use crate::shared::Context;

/// Requests that a worker serves at one time.
const WORKER_SLOTS: u32 = 8;
/// Least requests in progress at one time, while few workers are known.
const MIN_CAPACITY: u32 = 16;
/// Most requests of one team that an instance follows: a quarter of all, so that one team cannot shut
/// out the others.
const MAX_TEAM_REQUESTS: u32 = 1_024;
/// Retries as a share of the first attempts of the last ten seconds, in percent.
const RETRY_PERCENT: u64 = 10;
/// Retries in ten seconds that are allowed at any traffic.
const MIN_RETRIES: u64 = 10;

/// What an exchange has taken and has to give back.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionPermit {
    team: Team,
    kind: JobName,
    /// Time at which the request got its slot.
    started_at: Option<Monotonic>,
}

#[derive(Clone, Debug)]
pub(crate) struct Admission {
    shares: Shares<RequestKey>,
    quotas: Quotas,
    budget: Budget,
    generation: Generation,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            shares: Shares::new(MIN_CAPACITY, limits::QUEUE_PER_KIND),
            quotas: Quotas::default(),
            budget: Budget::new(RETRY_PERCENT, MIN_RETRIES),
            generation: Generation::default(),
        }
    }
}

impl Admission {
    /// Takes over the number of workers and instances of the own zone.
    pub(crate) fn update_capacity(&mut self, cx: &Context<'_>) {
        self.shares.set_capacity(capacity(cx));
    }

    /// Takes over the manifest in force and tells whether it is a new one.
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
            self.shares.declare(Kind {
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
        self.shares.retain(|name| manifest.service(name).is_some());
        self.quotas
            .retain(|team| manifest.services.iter().any(|one| one.team == *team));
    }

    /// Queues a request under the quota of its team.
    pub(crate) fn admit(
        &mut self,
        now: Monotonic,
        key: RequestKey,
        pending: &PendingRequest,
        team: &Team,
    ) -> Result<AdmissionPermit, NotRunReason> {
        let kind = pending.request.service.clone();
        self.quotas
            .enter(team)
            .map_err(|_| NotRunReason::Overloaded)?;
        if let Err(refusal) = self.shares.offer(now, &kind, key, pending.deadline) {
            self.quotas.leave(team);
            return Err(match refusal {
                Refusal::UnknownKind => NotRunReason::UnknownService,
                Refusal::QueueFull => NotRunReason::Overloaded,
                Refusal::TooLate => NotRunReason::DeadlineUnreachable,
            });
        }
        self.budget.on_request(now);
        Ok(AdmissionPermit {
            team: team.clone(),
            kind,
            started_at: None,
        })
    }

    /// The request that gets a slot next.
    pub(crate) fn dequeue(&mut self) -> Option<(JobName, RequestKey)> {
        self.shares.start()
    }

    /// Notes that the request has its slot.
    pub(crate) fn mark_started(now: Monotonic, permit: &mut AdmissionPermit) {
        permit.started_at = Some(now);
    }

    /// Gives a slot back that no exchange has taken.
    pub(crate) fn release_unused(&mut self, kind: &JobName) {
        self.shares.finished(kind, None);
    }

    /// Gives back what an exchange has taken. Only an answered request tells how long its service
    /// takes.
    pub(crate) fn release(&mut self, now: Monotonic, permit: &AdmissionPermit, answered: bool) {
        self.quotas.leave(&permit.team);
        if let Some(started_at) = permit.started_at {
            let time = answered.then_some(now - started_at);
            self.shares.finished(&permit.kind, time);
        }
    }

    /// Waiting requests that cannot be done before their deadlines.
    pub(crate) fn take_expired(&mut self, now: Monotonic) -> Vec<RequestKey> {
        self.shares.take_expired(now)
    }

    /// Takes one retry from the budget.
    pub(crate) fn try_retry(&mut self, now: Monotonic) -> bool {
        self.budget.try_retry(now)
    }
}

/// Slots of the zone's workers, divided by the live instances of the zone.
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
