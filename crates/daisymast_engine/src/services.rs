//! Keeps the declared number of service replicas running in the own zone.

mod coverage;
mod round;
mod share;
#[cfg(test)]
mod tests;

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
use coverage::Coverage;
use round::{Duty, Round};

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds while replicas are being started or stopped.
const FAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a change of generation in which rounds are fast.
const FAST_AFTER_CHANGE: Duration = Duration::from_secs(3);
/// Time after the start without rounds, until the other instances of the zone are heard.
const STARTUP_WAIT: Duration = Duration::from_secs(2);
/// Time for the reply of a holder. Above the time that a holder allows for a start.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a worker is avoided after a start there failed.
const AVOID: Duration = Duration::from_secs(10);
/// Failed starts that are remembered at most.
const MAX_AVOIDED: usize = 4_096;

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
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
    next_round: Monotonic,
    fast_until: Monotonic,
    generation: Generation,
    round: Option<Round>,
    coverage: Coverage,
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
            self.next_round = self.next_round.min(now);
        }
        let is_due = now >= self.next_round && now - started >= STARTUP_WAIT;
        if !is_due || self.round.is_some() || cx.shared.draining {
            return;
        }
        self.set_next_round(now);
        self.coverage.refresh(cx);
        self.avoided.retain(|_, until| now < *until);
        self.begin(cx);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        match step {
            PendingCall::Replicas { from } => self.on_replicas(from, outcome.done()),
            PendingCall::Capacity { from } => self.on_capacity(&from, outcome.done()),
            PendingCall::Start { run, worker } => {
                if outcome != Outcome::Done(PeerReply::Ok) && self.avoided.len() < MAX_AVOIDED {
                    self.avoided.insert((run, worker), cx.now.mono + AVOID);
                }
            }
            PendingCall::Stop => {}
        }
        let is_answered = self.round.as_mut().is_some_and(Round::note_reply);
        if is_answered {
            self.advance(cx);
        }
    }

    fn set_next_round(&mut self, now: Monotonic) {
        let interval = if now < self.fast_until {
            FAST_INTERVAL
        } else {
            INTERVAL
        };
        self.next_round = now + interval;
    }

    /// Asks all live instances of the zone what runs of the services that this instance owns.
    fn begin(&mut self, cx: &mut Context<'_>) {
        let duties = duties(cx);
        if duties.is_empty() {
            return;
        }
        let runs: Vec<RunKey> = duties.iter().map(|duty| duty.run).collect();
        let mut holders: Vec<InstanceId> = cx
            .shared
            .view
            .peers(cx.now.mono)
            .filter(|member| member.zone == cx.config.zone)
            .map(|member| member.instance.clone())
            .chain(std::iter::once(cx.config.instance.clone()))
            .collect();
        holders.sort_unstable();
        self.round = Some(Round::new(duties, holders.clone()));
        for holder in holders {
            let step = PendingCall::Replicas {
                from: holder.clone(),
            };
            let request = PeerRequest::Replicas { runs: runs.clone() };
            self.send(cx, step, &holder, request);
        }
    }

    /// Sends a call of the current round.
    fn send(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        to: &InstanceId,
        request: PeerRequest,
    ) {
        if let Some(round) = &mut self.round {
            round.note_call();
            let step = outbox::PendingCall::Services(step);
            cx.outbox.call_peer(cx.shared, step, to, request, TIMEOUT);
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
fn duties(cx: &Context<'_>) -> Vec<Duty> {
    let Some(declared) = &cx.shared.manifest else {
        return Vec::new();
    };
    let candidates = cx
        .shared
        .view
        .candidates(cx.now.mono, Some(&cx.config.zone));
    let zones = share::zones(cx.shared.instances.values().map(|(zone, _)| zone), cx);
    let owned = declared.services.iter().filter(|service| {
        let owner = rendezvous::owner(service.name.as_str(), &candidates);
        owner.as_ref() == Some(&cx.config.instance)
    });
    let quotas = quota::split(declared);
    owned
        .map(|service| {
            let mut service = service.clone();
            service.replicas = quotas.replicas(&service);
            let part = share::share(&service, &zones, &cx.config.zone);
            Duty {
                run: manifest::service_run(&service.name),
                service,
                target: part.replicas,
                first_index: part.first_index,
            }
        })
        .collect()
}
