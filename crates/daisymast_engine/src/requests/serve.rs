//! Sends a request to an endpoint of the own zone and settles what became of it there.

use std::time::Duration;

use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{InstanceId, JobName, WorkerId};

use super::endpoints::{FETCH_TIMEOUT, Known, Readiness};
use super::exchange::{End, Exchange, Key, Place, State, is_intact};
use super::{MAX_ATTEMPTS, PendingCall, Requests, millis, remaining, step};
use crate::shared::Context;

/// Pause before a request whose worker is between two holders looks for endpoints again.
const MOVE_PAUSE: Duration = Duration::from_millis(50);
/// Longest time that is kept back from an attempt for asking what became of it.
const RESOLVE_TIME: Duration = Duration::from_millis(500);
/// Time for one question after a request's fate.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the second question; it doubles with each.
const RESOLVE_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two questions.
const RESOLVE_PAUSE_MAX: Duration = Duration::from_secs(1);

impl Requests {
    /// Waits for a list of endpoints if there is no usable one, then sends the request.
    pub(super) fn choose(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if remaining(exchange, cx.now.mono).is_zero() {
            self.finish(cx, key, End::NotRun(NotRunReason::DeadlineUnreachable));
            return;
        }
        exchange.state = State::Choosing;
        let service = exchange.request.service.clone();
        match self.endpoints.readiness(cx.now.mono, &service) {
            Readiness::Fresh => self.send(cx, key),
            Readiness::Stale => {
                self.fetch(cx, &service);
                self.send(cx, key);
            }
            Readiness::Absent => {
                self.endpoints.wait(&service, key);
                self.fetch(cx, &service);
            }
            Readiness::Fetching => self.endpoints.wait(&service, key),
        }
    }

    /// Asks all live instances of the own zone, also draining ones: those still hold workers.
    fn fetch(&mut self, cx: &mut Context<'_>, service: &JobName) {
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
        self.endpoints.begin(service, holders.len());
        for holder in holders {
            let request = PeerRequest::Endpoints {
                service: service.clone(),
            };
            let step = step(PendingCall::Endpoints {
                service: service.clone(),
                holder: holder.clone(),
            });
            cx.outbox
                .call_peer(cx.shared, step, &holder, request, FETCH_TIMEOUT);
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
        let waiting = self.endpoints.arrived(cx.now.mono, service, holder, found);
        for key in waiting {
            self.choose(cx, key);
        }
    }

    fn send(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        let request = &exchange.request;
        let (tried, attempt) = (&exchange.tried, exchange.attempts);
        let found = self
            .endpoints
            .choose(&request.service, &request.id, attempt, tried);
        match found {
            Some(known) => self.serve(cx, key, known),
            None if self.endpoints.is_moving(cx.now.mono, &request.service) => {
                self.wait_for_holder(cx, key);
            }
            None => self.forward(cx, key),
        }
    }

    fn wait_for_holder(&mut self, cx: &Context<'_>, key: Key) {
        if let Some(exchange) = self.exchanges.get_mut(&key) {
            let retry = cx.now.mono + MOVE_PAUSE;
            exchange.state = State::Moving { retry };
        }
    }

    /// Chooses again for the requests whose worker was between two holders.
    pub(super) fn choose_again(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let due = |state: &State| matches!(state, State::Moving { retry } if *retry <= now);
        let due: Vec<Key> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| due(&exchange.state))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.choose(cx, key);
        }
    }

    fn serve(&mut self, cx: &mut Context<'_>, key: Key, known: Known) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let timeout = attempt_time(exchange, remaining(exchange, cx.now.mono));
        let worker = known.endpoint.worker;
        let place = Place {
            holder: known.holder.clone(),
            worker: worker.clone(),
            boot: known.endpoint.boot,
        };
        let mut request = exchange.request.clone();
        request.timeout_ms = millis(timeout);
        let request = PeerRequest::Serve {
            worker: worker.clone(),
            boot: place.boot,
            request,
        };
        exchange.attempts += 1;
        exchange.tried.push(worker.clone());
        exchange.state = State::Serving { place };
        self.endpoints.sent(&worker);
        let step = step(PendingCall::Serve { key, worker });
        cx.outbox
            .call_peer(cx.shared, step, &known.holder, request, timeout);
    }

    pub(super) fn on_served(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        worker: &WorkerId,
        outcome: Outcome<PeerReply>,
    ) {
        self.endpoints.returned(worker);
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let State::Serving { place } = &exchange.state else {
            return;
        };
        let place = place.clone();
        match outcome {
            Outcome::Done(PeerReply::Served(answer))
                if is_intact(&answer, &exchange.request.id) =>
            {
                self.finish(cx, key, End::Answered(answer));
            }
            Outcome::Done(PeerReply::Refused(Refusal::Duplicate)) => self.duplicate(cx, key),
            Outcome::Done(PeerReply::Refused(reason)) => {
                if reason == Refusal::NoSlot {
                    exchange.reason = NotRunReason::Overloaded;
                }
                self.again(cx, key);
            }
            Outcome::Done(PeerReply::NotHolder {
                holder: Some(holder),
            }) => {
                exchange.tried.retain(|tried| tried != worker);
                let service = exchange.request.service.clone();
                self.endpoints.moved(&service, worker, &holder);
                self.redirect(cx, key);
            }
            Outcome::Done(PeerReply::NotHolder { holder: None }) => {
                exchange.tried.retain(|tried| tried != worker);
                let service = exchange.request.service.clone();
                self.endpoints.released(cx.now.mono, &service, worker);
                self.redirect(cx, key);
            }
            Outcome::NoEffect(_) => {
                let service = exchange.request.service.clone();
                self.endpoints.lost(&service, &place.holder);
                self.again(cx, key);
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.lost(cx, key, place),
        }
    }

    /// The worker knows the id from another message, so it may have run. Its recorded answer could
    /// belong to another caller's request with the same id, so it is not used.
    fn duplicate(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        exchange.uncertain = true;
        if exchange.once() {
            self.finish(cx, key, End::Unknown);
        } else {
            self.again(cx, key);
        }
    }

    fn lost(&mut self, cx: &mut Context<'_>, key: Key, place: Place) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        exchange.uncertain = true;
        if exchange.once() {
            self.resolve(cx, key, place, 0);
        } else {
            self.again(cx, key);
        }
    }

    /// Tries another endpoint within the retry budget, else ends the exchange.
    fn again(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        let open = exchange.reply_to.is_some() && exchange.attempts < MAX_ATTEMPTS;
        if open && !self.admission.try_retry(cx.now.mono) {
            let reason = exchange.reason;
            self.finish(cx, key, End::NotRun(reason));
            return;
        }
        self.redirect(cx, key);
    }

    /// Tries another endpoint or holder. A worker that moved to another holder saw no load, so this
    /// takes nothing from the retry budget: else each hand-over would fail most requests to it.
    fn redirect(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        if exchange.attempts >= MAX_ATTEMPTS {
            let reason = exchange.reason;
            self.finish(cx, key, End::NotRun(reason));
            return;
        }
        self.choose(cx, key);
    }

    /// Asks the holder of the worker. Every other question goes to the holder of the own view, the
    /// rest to the one that was named last, since either may be out of date.
    fn resolve(&mut self, cx: &mut Context<'_>, key: Key, place: Place, asked: u32) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let seen = cx.shared.view.holder(cx.now.mono, &place.worker);
        let holder = match seen {
            Some(seen) if asked % 2 == 1 => seen,
            _ => place.holder.clone(),
        };
        let request = PeerRequest::Resolve {
            worker: place.worker.clone(),
            boot: place.boot,
            id: exchange.request.id.clone(),
        };
        exchange.state = State::Resolving {
            place,
            asked: asked + 1,
            retry: None,
        };
        let step = step(PendingCall::Resolve { key });
        cx.outbox
            .call_peer(cx.shared, step, &holder, request, RESOLVE_TIMEOUT);
    }

    pub(super) fn on_resolved(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let State::Resolving {
            place,
            asked,
            retry,
        } = &mut exchange.state
        else {
            return;
        };
        match outcome {
            Outcome::Done(PeerReply::Fate(Fate::Answered { answer }))
                if is_intact(&answer, &exchange.request.id) =>
            {
                self.finish(cx, key, End::Answered(answer));
                return;
            }
            Outcome::Done(PeerReply::Fate(Fate::NeverRan)) => {
                exchange.uncertain = false;
                self.again(cx, key);
                return;
            }
            Outcome::Done(PeerReply::Fate(Fate::Failed)) => {
                self.finish(cx, key, End::Unknown);
                return;
            }
            Outcome::Done(PeerReply::NotHolder {
                holder: Some(holder),
            }) => place.holder = holder,
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {}
        }
        let pause = RESOLVE_PAUSE * 2_u32.saturating_pow(asked.saturating_sub(1).min(8));
        *retry = Some(cx.now.mono + pause.min(RESOLVE_PAUSE_MAX));
    }

    pub(super) fn ask_again(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let due: Vec<(Key, Place, u32)> = self
            .exchanges
            .iter()
            .filter_map(|(key, exchange)| match &exchange.state {
                State::Resolving {
                    place,
                    asked,
                    retry: Some(retry),
                } if *retry <= now => Some((*key, place.clone(), *asked)),
                _ => None,
            })
            .collect();
        for (key, place, asked) in due {
            self.resolve(cx, key, place, asked);
        }
    }
}

/// Time for one attempt. A part of what is left is kept back: of a request that may run once for
/// asking what became of it, of any other for an attempt at another worker.
fn attempt_time(exchange: &Exchange, left: Duration) -> Duration {
    if exchange.once() {
        left - RESOLVE_TIME.min(left / 4)
    } else if exchange.attempts == 0 {
        left - left / 4
    } else {
        left
    }
}
