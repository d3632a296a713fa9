//! Keeps the declared number of service replicas running in this instance's zone.
//!
//! Each service has one owner among the instances of a zone. Its owner periodically runs a pass
//! that reads the running replicas from the holders of the zone's workers, compares them with the
//! manifest, and starts or stops replicas.

mod reconcile;
#[cfg(test)]
mod tests;
mod unheld;
mod zone_share;

use std::time::Duration;

use daisymast_manifest::{manifest, quota};
use daisymast_membership::rendezvous;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, InstanceId, RunKey, WorkerId};
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::shared::Context;
use reconcile::{OwnedService, ReconcilePass};
use unheld::UnheldWorkers;

/// Interval between two passes.
const INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two passes while replicas are being started or stopped.
const FAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a change of the manifest generation during which [`FAST_INTERVAL`] applies.
const FAST_AFTER_CHANGE: Duration = Duration::from_secs(3);
/// Time after startup before the first pass. The first heartbeats of the zone's other instances
/// arrive in this time.
const STARTUP_WAIT: Duration = Duration::from_secs(2);
/// Timeout of a call to a holder. Longer than the timeout that a holder applies to a start.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a worker is avoided after a start there failed.
const AVOID_DURATION: Duration = Duration::from_secs(10);
/// Maximum number of remembered failed starts.
const AVOIDED_MAX: usize = 4_096;

/// A call to a holder whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Query of the replicas that run on a holder's workers.
    Replicas { from: InstanceId },
    /// Query of the free capacity of a holder's workers.
    Capacity { from: InstanceId },
    /// Start of a replica.
    Start { run: RunKey, worker: WorkerId },
    /// Stop of a replica.
    Stop,
}

/// Replica control for the services that this instance owns in its zone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    /// Time of the first tick.
    started: Option<Monotonic>,
    next_pass_at: Monotonic,
    /// Time until which passes use the fast interval.
    fast_until: Monotonic,
    generation: Generation,
    /// The pass in progress.
    pass: Option<ReconcilePass>,
    unheld_workers: UnheldWorkers,
    /// Workers on which the start of a service's replica failed, and until when they are avoided.
    avoided: FastMap<(RunKey, WorkerId), Monotonic>,
    last_attempt: u32,
}

impl Services {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let started = *self.started.get_or_insert(now);
        if self.generation != cx.shared.generation {
            self.generation = cx.shared.generation;
            self.fast_until = now + FAST_AFTER_CHANGE;
            self.next_pass_at = self.next_pass_at.min(now);
        }
        let is_due = now >= self.next_pass_at && now - started >= STARTUP_WAIT;
        if !is_due || self.pass.is_some() || cx.shared.draining {
            return;
        }
        self.schedule_next_pass(now);
        self.unheld_workers.refresh(cx);
        self.avoided.retain(|_, until| now < *until);
        self.begin(cx);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        match pending {
            PendingCall::Replicas { from } => self.on_replicas_reply(from, outcome.done()),
            PendingCall::Capacity { from } => self.on_capacity_reply(&from, outcome.done()),
            PendingCall::Start { run, worker } => {
                if outcome != Outcome::Done(PeerReply::Ok) && self.avoided.len() < AVOIDED_MAX {
                    self.avoided
                        .insert((run, worker), cx.now.mono + AVOID_DURATION);
                }
            }
            PendingCall::Stop => {}
        }
        let is_answered = self.pass.as_mut().is_some_and(ReconcilePass::note_reply);
        if is_answered {
            self.next_phase(cx);
        }
    }

    fn schedule_next_pass(&mut self, now: Monotonic) {
        let interval = if now < self.fast_until {
            FAST_INTERVAL
        } else {
            INTERVAL
        };
        self.next_pass_at = now + interval;
    }

    /// Begins a pass: asks all live instances of the zone for the replicas of owned services.
    fn begin(&mut self, cx: &mut Context<'_>) {
        let owned_services = owned_services(cx);
        if owned_services.is_empty() {
            return;
        }
        let runs: Vec<RunKey> = owned_services.iter().map(|owned| owned.run).collect();
        let mut holders: Vec<InstanceId> = cx
            .shared
            .view
            .peers(cx.now.mono)
            .filter(|member| member.zone == cx.config.zone)
            .map(|member| member.instance.clone())
            .chain(std::iter::once(cx.config.instance.clone()))
            .collect();
        holders.sort_unstable();
        self.pass = Some(ReconcilePass::new(owned_services, holders.clone()));
        for holder in holders {
            let pending = PendingCall::Replicas {
                from: holder.clone(),
            };
            let request = PeerRequest::Replicas { runs: runs.clone() };
            self.send(cx, pending, &holder, request);
        }
    }

    /// Sends a call that belongs to the pass in progress.
    fn send(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        to: &InstanceId,
        request: PeerRequest,
    ) {
        if let Some(pass) = &mut self.pass {
            pass.note_call();
            let pending = outbox::PendingCall::Services(pending);
            cx.outbox
                .call_peer(cx.shared, pending, to, request, CALL_TIMEOUT);
        }
    }

    /// An attempt number above all that this zone has used for a service, also under other owners.
    /// Seconds of the wall clock keep it rising when the owner changes.
    fn next_attempt(&mut self, cx: &Context<'_>) -> u32 {
        let seconds = u32::try_from(cx.now.wall.0 / 1_000).unwrap_or(u32::MAX);
        self.last_attempt = seconds.max(self.last_attempt.saturating_add(1));
        self.last_attempt
    }
}

/// Services that this instance owns in its zone, with the number of replicas that the zone should
/// run.
fn owned_services(cx: &Context<'_>) -> Vec<OwnedService> {
    let Some(declared) = &cx.shared.manifest else {
        return Vec::new();
    };
    let candidates = cx
        .shared
        .view
        .candidates(cx.now.mono, Some(&cx.config.zone));
    let zones = zone_share::known_zones(cx.shared.instances.values().map(|(zone, _)| zone), cx);
    let services = declared.services.iter().filter(|service| {
        let owner = rendezvous::owner(service.name.as_str(), &candidates);
        owner.as_ref() == Some(&cx.config.instance)
    });
    let quotas = quota::split(declared);
    services
        .map(|service| {
            let mut service = service.clone();
            service.replicas = quotas.allowed_replicas(&service);
            let share = zone_share::zone_share(&service, &zones, &cx.config.zone);
            OwnedService {
                run: manifest::service_run_key(&service.name),
                service,
                target: share.replicas,
                first_index: share.first_index,
            }
        })
        .collect()
}
