//! Forwards caller requests to replicas on held workers.

use std::time::Duration;

use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::limits;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Endpoint, PeerReply};
use daisymast_protocol::worker::{Answer, Fate, Refusal, ServeRequest, WorkerReply, WorkerRequest};
use daisymast_types::hashing;
use daisymast_types::ids::{BootId, JobName, RequestId, Token, WorkerId};
use daisymast_types::time::Monotonic;

use super::worker::Worker;
use super::{CALL_TIMEOUT, Control, PendingCall};
use crate::shared::Context;

impl Control {
    /// Replicas of a service on held workers that accept requests, sorted by worker.
    pub(super) fn endpoints(&self, cx: &Context<'_>, service: &JobName) -> PeerReply {
        let now = cx.now.mono;
        let mut found: Vec<Endpoint> = self
            .workers
            .iter()
            .filter(|(id, worker)| {
                worker.mirror.has_replica(service)
                    && worker.mirror.free_slots() > 0
                    && !worker.quarantine.is_active()
                    && !is_leaving(cx, worker, id)
            })
            .filter_map(|(id, worker)| {
                let stamp = worker.usable_stamp(now)?;
                Some(Endpoint {
                    worker: id.clone(),
                    boot: stamp.boot,
                    free_slots: worker.mirror.free_slots(),
                    service_us: worker.mirror.service_us(service),
                })
            })
            .collect();
        found.sort_by(|a, b| a.worker.cmp(&b.worker));
        PeerReply::Endpoints(found)
    }

    /// Sends a request to a replica. Returns a reply only if it cannot be sent.
    pub(super) fn serve(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        (worker, boot): (WorkerId, BootId),
        request: CallerRequest,
    ) -> Option<PeerReply> {
        let now = cx.now.mono;
        let timeout = Duration::from_millis(request.timeout_ms).min(limits::REQUEST_TIMEOUT_MAX);
        let Some((state, stamp)) = self.usable_worker(now, &worker) else {
            return Some(self.not_holder(cx, &worker));
        };
        if stamp.boot != boot {
            return Some(PeerReply::Refused(Refusal::StaleLease));
        }
        if let Some(refusal) = serve_refusal(cx, state, &worker, &request.service, timeout) {
            return Some(PeerReply::Refused(refusal));
        }
        let not_after = state.lease.not_after(now, timeout).unwrap_or_default();
        state.mirror.serving += 1;
        let pending = PendingCall::Serve {
            worker,
            token,
            id: request.id.clone(),
            service: request.service.clone(),
            sent: now,
        };
        let request = WorkerRequest::Serve {
            stamp,
            not_after,
            request: ServeRequest {
                id: request.id,
                service: request.service,
                idempotent: request.idempotent,
                body: request.body,
            },
        };
        self.call(cx, pending, request, timeout);
        None
    }

    pub(super) fn on_serve_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        (token, sent): (Token, Monotonic),
        (id, service): (&RequestId, &JobName),
        outcome: Outcome<WorkerReply>,
    ) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.mirror.serving = state.mirror.serving.saturating_sub(1);
        }
        let reply = match outcome {
            Outcome::Done(WorkerReply::Served { answer }) if is_intact(&answer, id) => {
                if let Some(state) = self.workers.get_mut(worker) {
                    state
                        .mirror
                        .record_service_time(service, cx.now.mono - sent);
                }
                PeerReply::Served(answer)
            }
            Outcome::Done(WorkerReply::Refused {
                reason: Refusal::StaleLease,
            }) => self.not_holder(cx, worker),
            Outcome::Done(WorkerReply::Refused { reason }) => PeerReply::Refused(reason),
            Outcome::Done(_) | Outcome::Unknown(_) => PeerReply::Uncertain,
            Outcome::NoEffect(_) => PeerReply::Refused(Refusal::NoSlot),
        };
        cx.outbox.answer_peer(token, reply);
    }

    /// Queries the worker for the outcome of a request. The outcome is uncertain if the worker has
    /// restarted since the request was sent, because it keeps no record across restarts.
    pub(super) fn resolve(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        (worker, boot): (WorkerId, BootId),
        id: RequestId,
    ) -> Option<PeerReply> {
        let Some((_, stamp)) = self.usable_worker(cx.now.mono, &worker) else {
            return Some(self.not_holder(cx, &worker));
        };
        if stamp.boot != boot {
            return Some(PeerReply::Uncertain);
        }
        let request = WorkerRequest::Resolve {
            boot,
            id: id.clone(),
        };
        let pending = PendingCall::Resolve { worker, token, id };
        self.call(cx, pending, request, CALL_TIMEOUT);
        None
    }

    #[expect(clippy::unused_self, reason = "same signature as other handlers")]
    pub(super) fn on_resolve_reply(
        &self,
        cx: &mut Context<'_>,
        token: Token,
        id: &RequestId,
        outcome: Outcome<WorkerReply>,
    ) {
        let reply = match outcome {
            Outcome::Done(WorkerReply::Resolved { fate }) => match fate {
                Fate::Answered { answer } if !is_intact(&answer, id) => PeerReply::Uncertain,
                fate => PeerReply::Fate(fate),
            },
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => PeerReply::Uncertain,
        };
        cx.outbox.answer_peer(token, reply);
    }
}

/// Reason why a request cannot be sent, or `None` if it can.
fn serve_refusal(
    cx: &Context<'_>,
    state: &Worker,
    worker: &WorkerId,
    service: &JobName,
    timeout: Duration,
) -> Option<Refusal> {
    if is_leaving(cx, state, worker) {
        Some(Refusal::Leaving)
    } else if !state.mirror.has_replica(service) {
        Some(Refusal::NoReplica)
    } else if state.mirror.free_slots() == 0 {
        Some(Refusal::NoSlot)
    } else if timeout.is_zero() {
        Some(Refusal::Late)
    } else {
        None
    }
}

/// Whether the worker itself or the platform's member list marks it as leaving.
pub(super) fn is_leaving(cx: &Context<'_>, worker: &Worker, id: &WorkerId) -> bool {
    let listed = cx.shared.workers.get(id);
    worker.mirror.leaving || listed.is_some_and(|known| known.leaving)
}

/// Whether an answer belongs to the request and matches its own length and digest.
fn is_intact(answer: &Answer, id: &RequestId) -> bool {
    let length = u64::try_from(answer.body.len()).unwrap_or(u64::MAX);
    answer.id == *id
        && answer.length == length
        && answer.digest == format!("{:032x}", hashing::digest(answer.body.as_bytes()))
}
