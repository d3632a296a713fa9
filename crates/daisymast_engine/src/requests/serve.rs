//! Sends requests to endpoints of the local zone and resolves attempts whose outcome is unknown.

use std::time::Duration;

use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{InstanceId, JobName, WorkerId};

use super::endpoints::{FETCH_TIMEOUT, Readiness, RoutedEndpoint};
use super::pending::{AttemptTarget, Completion, PendingRequest, RequestKey, State, is_intact};
use super::{MAX_ATTEMPTS, PendingCall, Requests, millis, pending_call, remaining};
use crate::shared::Context;

/// Delay before the endpoint list is checked again for a request whose worker is being handed over.
const HOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum part of the remaining time that is reserved for resolving an unknown outcome.
const RESOLVE_RESERVE: Duration = Duration::from_millis(500);
/// Timeout of one query for the outcome of a request.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the second query; doubles with each further one.
const RESOLVE_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between two queries.
const RESOLVE_BACKOFF_MAX: Duration = Duration::from_secs(1);

impl Requests {
    /// Sends the request to an endpoint, or waits for the endpoint list if no usable one is cached.
    pub(super) fn route(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        if remaining(pending, cx.now.mono).is_zero() {
            self.finish(
                cx,
                key,
                Completion::NotRun(NotRunReason::DeadlineUnreachable),
            );
            return;
        }
        pending.state = State::AwaitingEndpoints;
        let service = pending.request.service.clone();
        match self.endpoints.readiness(cx.now.mono, &service) {
            Readiness::Fresh => self.dispatch(cx, key),
            Readiness::Stale => {
                self.fetch_endpoints(cx, &service);
                self.dispatch(cx, key);
            }
            Readiness::Absent => {
                self.endpoints.add_waiter(&service, key);
                self.fetch_endpoints(cx, &service);
            }
            Readiness::Fetching => self.endpoints.add_waiter(&service, key),
        }
    }

    /// Queries all live instances of the local zone for endpoints. Draining instances are included
    /// because they still hold workers.
    fn fetch_endpoints(&mut self, cx: &mut Context<'_>, service: &JobName) {
        let own = &cx.config.zone;
        let mut holders: Vec<InstanceId> = cx
            .shared
            .view
            .peers(cx.now.mono)
            .filter(|peer| peer.zone == *own)
            .map(|peer| peer.instance.clone())
            .collect();
        holders.push(cx.config.instance.clone());
        holders.sort();
        self.endpoints.begin_fetch(service, holders.len());
        for holder in holders {
            let request = PeerRequest::Endpoints {
                service: service.clone(),
            };
            let pending_call = pending_call(PendingCall::Endpoints {
                service: service.clone(),
                holder: holder.clone(),
            });
            cx.outbox
                .call_peer(cx.shared, pending_call, &holder, request, FETCH_TIMEOUT);
        }
    }

    pub(super) fn on_endpoints(
        &mut self,
        cx: &mut Context<'_>,
        service: &JobName,
        holder: &InstanceId,
        outcome: Outcome<PeerReply>,
    ) {
        let found = match outcome {
            Outcome::Done(PeerReply::Endpoints(found)) => Some(found),
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => None,
        };
        let waiting = self
            .endpoints
            .on_fetched(cx.now.mono, service, holder, found);
        for key in waiting {
            self.route(cx, key);
        }
    }

    fn dispatch(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get(&key) else {
            return;
        };
        let request = &pending.request;
        let (tried, attempt) = (&pending.tried, pending.attempts);
        let found = self
            .endpoints
            .choose(&request.service, &request.id, attempt, tried);
        match found {
            Some(routed) => self.send_to_worker(cx, key, routed),
            None if self
                .endpoints
                .is_awaiting_holder(cx.now.mono, &request.service) =>
            {
                self.wait_for_holder(cx, key);
            }
            None => self.forward(cx, key),
        }
    }

    fn wait_for_holder(&mut self, cx: &Context<'_>, key: RequestKey) {
        if let Some(pending) = self.pending_requests.get_mut(&key) {
            let retry_at = cx.now.mono + HOLDER_RETRY_INTERVAL;
            pending.state = State::AwaitingHolder { retry_at };
        }
    }

    /// Routes requests again whose worker was being handed over.
    pub(super) fn retry_routing(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let due =
            |state: &State| matches!(state, State::AwaitingHolder { retry_at } if *retry_at <= now);
        let due: Vec<RequestKey> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| due(&pending.state))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.route(cx, key);
        }
    }

    fn send_to_worker(&mut self, cx: &mut Context<'_>, key: RequestKey, routed: RoutedEndpoint) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let timeout = attempt_timeout(pending, remaining(pending, cx.now.mono));
        let worker = routed.endpoint.worker;
        let target = AttemptTarget {
            holder: routed.holder.clone(),
            worker: worker.clone(),
            boot: routed.endpoint.boot,
        };
        let mut request = pending.request.clone();
        request.timeout_ms = millis(timeout);
        let request = PeerRequest::Serve {
            worker: worker.clone(),
            boot: target.boot,
            request,
        };
        pending.attempts += 1;
        pending.tried.push(worker.clone());
        pending.state = State::Serving { target };
        self.endpoints.on_sent(&worker);
        let pending_call = pending_call(PendingCall::Serve { key, worker });
        cx.outbox
            .call_peer(cx.shared, pending_call, &routed.holder, request, timeout);
    }

    pub(super) fn on_served(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        worker: &WorkerId,
        outcome: Outcome<PeerReply>,
    ) {
        self.endpoints.on_returned(worker);
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let State::Serving { target } = &pending.state else {
            return;
        };
        let target = target.clone();
        match outcome {
            Outcome::Done(PeerReply::Served(answer)) if is_intact(&answer, &pending.request.id) => {
                self.finish(cx, key, Completion::Answered(answer));
            }
            Outcome::Done(PeerReply::Refused(Refusal::Duplicate)) => self.on_duplicate(cx, key),
            Outcome::Done(PeerReply::Refused(reason)) => {
                if reason == Refusal::NoSlot {
                    pending.reason = NotRunReason::Overloaded;
                }
                self.retry(cx, key);
            }
            Outcome::Done(PeerReply::NotHolder {
                holder: Some(holder),
            }) => {
                pending.tried.retain(|tried| tried != worker);
                let service = pending.request.service.clone();
                self.endpoints.set_holder(&service, worker, &holder);
                self.reroute(cx, key);
            }
            Outcome::Done(PeerReply::NotHolder { holder: None }) => {
                pending.tried.retain(|tried| tried != worker);
                let service = pending.request.service.clone();
                self.endpoints.drop_worker(cx.now.mono, &service, worker);
                self.reroute(cx, key);
            }
            Outcome::NoEffect(_) => {
                let service = pending.request.service.clone();
                self.endpoints.drop_holder(&service, &target.holder);
                self.retry(cx, key);
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.on_unknown_outcome(cx, key, target),
        }
    }

    /// Handles a worker's refusal of a known id. The id arrived in another message, so the request
    /// may have run. The recorded answer is not used, because it could belong to another caller
    /// that chose the same id.
    fn on_duplicate(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        pending.may_have_run = true;
        if pending.at_most_once() {
            self.finish(cx, key, Completion::Unknown);
        } else {
            self.retry(cx, key);
        }
    }

    fn on_unknown_outcome(&mut self, cx: &mut Context<'_>, key: RequestKey, target: AttemptTarget) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        pending.may_have_run = true;
        if pending.at_most_once() {
            self.resolve(cx, key, target, 0);
        } else {
            self.retry(cx, key);
        }
    }

    /// Retries at another endpoint if the retry budget allows it, otherwise ends the request.
    fn retry(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get(&key) else {
            return;
        };
        let may_retry = pending.reply_to.is_some() && pending.attempts < MAX_ATTEMPTS;
        if may_retry && !self.admission.try_retry(cx.now.mono) {
            let reason = pending.reason;
            self.finish(cx, key, Completion::NotRun(reason));
            return;
        }
        self.reroute(cx, key);
    }

    /// Routes the request again without consuming the retry budget. Used when a worker has moved to
    /// another holder: the request caused no load there, and charging the budget would fail most
    /// requests during a handover.
    fn reroute(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get(&key) else {
            return;
        };
        if pending.attempts >= MAX_ATTEMPTS {
            let reason = pending.reason;
            self.finish(cx, key, Completion::NotRun(reason));
            return;
        }
        self.route(cx, key);
    }

    /// Queries the holder of the worker for the outcome of the request. Queries alternate between
    /// the holder named last and the one in the local view, since either may be outdated.
    fn resolve(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        target: AttemptTarget,
        queries_sent: u32,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let in_view = cx.shared.view.holder(cx.now.mono, &target.worker);
        let holder = match in_view {
            Some(in_view) if queries_sent % 2 == 1 => in_view,
            _ => target.holder.clone(),
        };
        let request = PeerRequest::Resolve {
            worker: target.worker.clone(),
            boot: target.boot,
            id: pending.request.id.clone(),
        };
        pending.state = State::Resolving {
            target,
            queries_sent: queries_sent + 1,
            retry_at: None,
        };
        let pending_call = pending_call(PendingCall::Resolve { key });
        cx.outbox
            .call_peer(cx.shared, pending_call, &holder, request, RESOLVE_TIMEOUT);
    }

    pub(super) fn on_resolved(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let State::Resolving {
            target,
            queries_sent,
            retry_at,
        } = &mut pending.state
        else {
            return;
        };
        match outcome {
            Outcome::Done(PeerReply::Fate(Fate::Answered { answer }))
                if is_intact(&answer, &pending.request.id) =>
            {
                self.finish(cx, key, Completion::Answered(answer));
                return;
            }
            Outcome::Done(PeerReply::Fate(Fate::NeverRan)) => {
                pending.may_have_run = false;
                self.retry(cx, key);
                return;
            }
            Outcome::Done(PeerReply::Fate(Fate::Failed)) => {
                self.finish(cx, key, Completion::Unknown);
                return;
            }
            Outcome::Done(PeerReply::NotHolder {
                holder: Some(holder),
            }) => target.holder = holder,
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {}
        }
        let backoff = RESOLVE_BACKOFF * 2_u32.saturating_pow(queries_sent.saturating_sub(1).min(8));
        *retry_at = Some(cx.now.mono + backoff.min(RESOLVE_BACKOFF_MAX));
    }

    pub(super) fn retry_resolves(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let due: Vec<(RequestKey, AttemptTarget, u32)> = self
            .pending_requests
            .iter()
            .filter_map(|(key, pending)| match &pending.state {
                State::Resolving {
                    target,
                    queries_sent,
                    retry_at: Some(retry_at),
                } if *retry_at <= now => Some((*key, target.clone(), *queries_sent)),
                _ => None,
            })
            .collect();
        for (key, target, queries_sent) in due {
            self.resolve(cx, key, target, queries_sent);
        }
    }
}

/// Timeout of one attempt. Part of the remaining time is reserved: for a non-idempotent request to
/// resolve an unknown outcome, for an idempotent one to retry at another worker.
fn attempt_timeout(pending: &PendingRequest, left: Duration) -> Duration {
    if pending.at_most_once() {
        left - RESOLVE_RESERVE.min(left / 4)
    } else if pending.attempts == 0 {
        left - left / 4
    } else {
        left
    }
}
