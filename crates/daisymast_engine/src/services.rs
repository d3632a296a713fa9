//! Keeps the declared number of service replicas running in the own zone.

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

use crate::effects;
use crate::shared::Context;
use reconcile::{OwnedService, ReconcilePass};
use unheld::UnheldWorkers;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds while replicas are being started or stopped.
const FAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a change of generation in which rounds are fast.
const FAST_AFTER_CHANGE: Duration = Duration::from_secs(3);
/// Time after the start without rounds, until the other instances of the zone are heard.
const STARTUP_WAIT: Duration = Duration::from_secs(2);
/// Time for the reply of a holder. Above the time that a holder allows for a start.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a worker is avoided after a start there failed.
const AVOID_DURATION: Duration = Duration::from_secs(10);
/// Failed starts that are remembered at most.
const AVOIDED_MAX: usize = 4_096;

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A holder was asked which replicas run.
    Replicas { from: InstanceId },
    /// A holder was asked for free capacity.
    Capacity { from: InstanceId },
    /// A replica was started.
    Start { run: RunKey, worker: WorkerId },
    /// A replica was stopped.
    Stop,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    started: Option<Monotonic>,
    next_pass_at: Monotonic,
    fast_until: Monotonic,
    generation: Generation,
    pass: Option<ReconcilePass>,
    unheld_workers: UnheldWorkers,
    /// Workers on which a start failed, and until when they are avoided.
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
        step: Step,
        outcome: Outcome<PeerReply>,
    ) {
        match step {
            Step::Replicas { from } => self.on_replicas_reply(from, outcome.done()),
            Step::Capacity { from } => self.on_capacity_reply(&from, outcome.done()),
            Step::Start { run, worker } => {
                if outcome != Outcome::Done(PeerReply::Ok) && self.avoided.len() < AVOIDED_MAX {
                    self.avoided
                        .insert((run, worker), cx.now.mono + AVOID_DURATION);
                }
            }
            Step::Stop => {}
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

    /// Asks all live instances of the zone what runs of the services that this instance owns.
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
            let step = Step::Replicas {
                from: holder.clone(),
            };
            let request = PeerRequest::Replicas { runs: runs.clone() };
            self.send(cx, step, &holder, request);
        }
    }

    /// Sends a call of the current round.
    fn send(&mut self, cx: &mut Context<'_>, step: Step, to: &InstanceId, request: PeerRequest) {
        if let Some(pass) = &mut self.pass {
            pass.note_call();
            let step = effects::Step::Services(step);
            cx.fx.call_peer(cx.shared, step, to, request, CALL_TIMEOUT);
        }
    }

    /// An attempt above all that this zone used for a service, whichever instance owned it then:
    /// seconds of the wall clock rise over changes of the owner.
    fn next_attempt(&mut self, cx: &Context<'_>) -> u32 {
        let seconds = u32::try_from(cx.now.wall.0 / 1_000).unwrap_or(u32::MAX);
        self.last_attempt = seconds.max(self.last_attempt.saturating_add(1));
        self.last_attempt
    }
}

/// Services that this instance owns in its zone, with the replicas that the zone should run.
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
            service.replicas = quotas.replicas(&service);
            let share = zone_share::zone_share(&service, &zones, &cx.config.zone);
            OwnedService {
                run: manifest::service_run(&service.name),
                service,
                target: share.replicas,
                first_index: share.first_index,
            }
        })
        .collect()
}
