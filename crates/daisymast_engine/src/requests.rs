//! Request path: admits caller requests, claims them in the ledger, routes them to an endpoint and
//! replies.
//!
//! Each caller request gets exactly one reply. `NotRun` is returned only if no attempt of this
//! submission has run or can still run: before anything was sent to a worker, after refusals that
//! took no effect, or after a worker has confirmed that it never ran the request and will not run
//! it.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_types::ids::{InstanceId, JobName, RequestId, Token, WorkerId};
use daisymast_types::time::Monotonic;

use crate::event::Action;
use crate::outbox;
use crate::shared::Context;

mod admission;
mod claim;
mod endpoints;
mod forward;
mod pending;
mod serve;
mod validate;

#[cfg(test)]
mod tests;

use admission::{Admission, AdmissionPermit};
use endpoints::EndpointCache;
use pending::{Completion, PendingRequest, ReplyTo, RequestKey, State};

/// Maximum number of pending requests per instance: four full queues of one service each.
const MAX_PENDING_REQUESTS: usize = 4_096;
/// Maximum number of attempts per request, counting workers and instances of other zones.
const MAX_ATTEMPTS: u32 = 4;
/// Time after the deadline during which a claimed request is still tracked, so that its outcome
/// reaches the ledger and the caller can query it.
const POST_DEADLINE_TRACKING: Duration = Duration::from_secs(5);

/// Part of the drain limit that is reserved for the last settlements and for releasing the worker
/// leases.
const DRAIN_RESERVE: Duration = Duration::from_secs(5);

/// Identifies the call that a reply belongs to, and how processing continues.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Claim {
        key: RequestKey,
        redirected: bool,
    },
    Endpoints {
        service: JobName,
        holder: InstanceId,
    },
    Serve {
        key: RequestKey,
        worker: WorkerId,
    },
    Resolve {
        key: RequestKey,
    },
    Forward {
        key: RequestKey,
        target: InstanceId,
    },
    Status {
        token: Token,
        id: RequestId,
        redirected: bool,
    },
    Settle(claim::PendingSettlement),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Requests {
    counter: u64,
    /// Ordered by key, so that a tick processes requests in a deterministic order.
    pending_requests: BTreeMap<RequestKey, PendingRequest>,
    admission: Admission,
    endpoints: EndpointCache,
    settlements: claim::PendingSettlements,
    /// Round-robin counter that selects the zone of the next forward.
    rotation: u64,
    /// Number of status queries from callers that have not been answered yet.
    status_queries: usize,
    /// Time of the first tick on which the instance was draining.
    draining_since: Option<Monotonic>,
}

impl Requests {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.admission.update_capacity(cx);
        self.apply_manifest(cx);
        self.cap_deadlines(cx);
        for key in self.admission.take_expired(cx.now.mono) {
            self.finish(
                cx,
                key,
                Completion::NotRun(NotRunReason::DeadlineUnreachable),
            );
        }
        self.expire(cx);
        self.retry_claims(cx);
        self.retry_routing(cx);
        self.retry_resolves(cx);
        self.retry_settlements(cx);
        self.start_queued(cx);
    }

    pub(crate) fn on_caller(&mut self, cx: &mut Context<'_>, token: Token, request: CallerRequest) {
        let pending = PendingRequest::new(ReplyTo::Caller(token), request, cx.now.mono);
        self.accept(cx, pending);
    }

    /// Handles a caller's query for the outcome of a request.
    pub(crate) fn on_status(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId) {
        self.query_status(cx, token, id);
    }

    /// Handles a request forwarded by an instance of another zone. It is not forwarded again. If
    /// `claimed` is set, the request runs under the sender's claim and is settled here.
    pub(crate) fn on_forward(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        request: CallerRequest,
        claimed: bool,
    ) {
        let mut pending = PendingRequest::new(ReplyTo::Peer(token), request, cx.now.mono);
        pending.claimed = claimed;
        self.accept(cx, pending);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        match step {
            PendingCall::Claim { key, redirected } => self.on_claim(cx, key, redirected, outcome),
            PendingCall::Endpoints { service, holder } => {
                self.on_endpoints(cx, &service, &holder, outcome);
            }
            PendingCall::Serve { key, worker } => self.on_served(cx, key, &worker, outcome),
            PendingCall::Resolve { key } => self.on_resolved(cx, key, outcome),
            PendingCall::Forward { key, target } => self.on_forwarded(cx, key, target, outcome),
            PendingCall::Status {
                token,
                id,
                redirected,
            } => {
                self.on_claim_status(cx, token, id, redirected, outcome);
            }
            PendingCall::Settle(settle) => self.on_settled(cx, settle, outcome),
        }
        self.start_queued(cx);
    }

    /// Whether no request, status query or settlement is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_requests.is_empty() && self.settlements.is_empty() && self.status_queries == 0
    }

    /// Applies the manifest in force if its generation is new, and drops the cached endpoints of
    /// removed services.
    fn apply_manifest(&mut self, cx: &Context<'_>) {
        if self.admission.apply_manifest(cx)
            && let Some(manifest) = &cx.shared.manifest
        {
            self.endpoints
                .retain(|name| manifest.service(name).is_some());
        }
    }

    /// Caps the deadlines of pending requests while draining, so that the instance can stop within
    /// its drain limit. Callers whose outcome is not known by then receive the status path.
    fn cap_deadlines(&mut self, cx: &Context<'_>) {
        if !cx.shared.draining {
            return;
        }
        let now = cx.now.mono;
        let draining_since = *self.draining_since.get_or_insert(now);
        let latest = draining_since
            + cx.config
                .drain_limit
                .saturating_sub(POST_DEADLINE_TRACKING + DRAIN_RESERVE);
        for pending in self.pending_requests.values_mut() {
            pending.deadline = pending.deadline.min(latest);
        }
    }

    fn accept(&mut self, cx: &mut Context<'_>, mut pending: PendingRequest) {
        self.counter += 1;
        let key = RequestKey(self.counter);
        let admitted = self.admit(cx, key, &pending);
        let refusal = match admitted {
            Ok(permit) => {
                pending.permit = Some(permit);
                None
            }
            Err(reason) => Some(reason),
        };
        self.pending_requests.insert(key, pending);
        match refusal {
            Some(reason) => self.finish(cx, key, Completion::NotRun(reason)),
            None => self.start_queued(cx),
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        key: RequestKey,
        pending: &PendingRequest,
    ) -> Result<AdmissionPermit, NotRunReason> {
        if cx.shared.draining {
            return Err(NotRunReason::Draining);
        }
        let manifest = cx.shared.manifest.as_deref();
        let service = validate::check_request(&pending.request, manifest, cx.now.wall)?;
        if self.pending_requests.len() >= MAX_PENDING_REQUESTS {
            return Err(NotRunReason::Overloaded);
        }
        self.apply_manifest(cx);
        self.admission
            .admit(cx.now.mono, key, pending, &service.team)
    }

    /// Starts queued requests while slots are free. Called once at the end of each event rather
    /// than from `finish`, because a request that finishes immediately would otherwise start the
    /// next one recursively.
    fn start_queued(&mut self, cx: &mut Context<'_>) {
        while let Some((kind, key)) = self.admission.dequeue() {
            let pending = self.pending_requests.get_mut(&key);
            match pending.and_then(|pending| pending.permit.as_mut()) {
                Some(permit) => {
                    Admission::mark_started(cx.now.mono, permit);
                    self.start(cx, key);
                }
                None => self.admission.release_unused(&kind),
            }
        }
    }

    fn start(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get(&key) else {
            return;
        };
        if pending.at_most_once() && !pending.claimed {
            self.claim(cx, key);
        } else {
            self.route(cx, key);
        }
    }

    /// Removes a pending request, releases its admission permit, settles its claim, and replies
    /// unless the caller was already answered at the deadline.
    fn finish(&mut self, cx: &mut Context<'_>, key: RequestKey, completion: Completion) {
        let Some(pending) = self.pending_requests.remove(&key) else {
            return;
        };
        if let Some(permit) = &pending.permit {
            let answered = matches!(completion, Completion::Answered(_));
            self.admission.release(cx.now.mono, permit, answered);
        }
        let completion = match completion {
            Completion::NotRun(_) if pending.may_have_run => Completion::Unknown,
            completion => completion,
        };
        let id = pending.request.id;
        if pending.claimed {
            self.settle(cx, &id, &completion);
        }
        if let Some(reply_to) = pending.reply_to {
            answer(cx, reply_to, completion.reply(&id));
        }
    }

    fn expire(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let expired: Vec<RequestKey> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.expire_one(cx, key);
        }
    }

    /// Handles a deadline. A request that was never sent anywhere is reported as not run. Any other
    /// request may still run, so its caller receives `Unknown`; a non-idempotent one is tracked for
    /// [`POST_DEADLINE_TRACKING`] so that its outcome can be recorded in the ledger.
    fn expire_one(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        match pending.state {
            State::Queued
            | State::ClaimBackoff { .. }
            | State::AwaitingEndpoints
            | State::AwaitingHolder { .. } => {
                self.finish(
                    cx,
                    key,
                    Completion::NotRun(NotRunReason::DeadlineUnreachable),
                );
            }
            State::Claiming
            | State::Serving { .. }
            | State::Resolving { .. }
            | State::Forwarding => {
                if let Some(permit) = pending.permit.take() {
                    self.admission.release(cx.now.mono, &permit, false);
                }
                if let Some(reply_to) = pending.reply_to.take() {
                    answer(cx, reply_to, Completion::Unknown.reply(&pending.request.id));
                }
                if !pending.at_most_once()
                    || pending.deadline + POST_DEADLINE_TRACKING <= cx.now.mono
                {
                    self.pending_requests.remove(&key);
                }
            }
        }
    }
}

/// Time until the deadline, zero once it has passed.
fn remaining(pending: &PendingRequest, now: Monotonic) -> Duration {
    pending.deadline - now
}

/// Converts a duration to whole milliseconds, with a minimum of 1 because a timeout of 0 is
/// invalid.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1)
}

fn answer(cx: &mut Context<'_>, reply_to: ReplyTo, reply: CallerReply) {
    match reply_to {
        ReplyTo::Caller(token) => cx.outbox.emit(Action::AnswerCaller { token, reply }),
        ReplyTo::Peer(token) => cx.outbox.answer_peer(token, PeerReply::Forwarded(reply)),
    }
}

/// Wraps a step of this component into the step type shared by all components.
fn step(step: PendingCall) -> outbox::PendingCall {
    outbox::PendingCall::Requests(step)
}
