//! Serves callers: admission, claim, endpoint, answer.
//!
//! Each caller gets exactly one answer. `NotRun` is given only where no attempt of the submission
//! has run or can still run: before anything was sent to a worker, after refusals that took no
//! effect, and after a worker confirmed that it never ran the request and will not run it.

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
mod exchange;
mod forward;
mod serve;
mod validate;

#[cfg(test)]
mod tests;

use admission::{Admission, Taken};
use endpoints::Endpoints;
use exchange::{End, Exchange, Key, ReplyTo, State};

/// Requests that an instance follows at one time: a full queue each of several kinds.
const MAX_EXCHANGES: usize = 4_096;
/// Attempts at workers and other zones for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Time after the deadline for which a claimed request is still followed, so that its end reaches
/// the ledger and the caller can ask for it.
const FOLLOW_UP: Duration = Duration::from_secs(5);

/// Time kept for the last settlements and for giving the leases back when draining.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Claim {
        key: Key,
        hinted: bool,
    },
    Endpoints {
        service: JobName,
        holder: InstanceId,
    },
    Serve {
        key: Key,
        worker: WorkerId,
    },
    Resolve {
        key: Key,
    },
    Forward {
        key: Key,
        target: InstanceId,
    },
    Status {
        token: Token,
        id: RequestId,
        hinted: bool,
    },
    Settle(claim::Settle),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Requests {
    counter: u64,
    /// Ordered, so that a tick handles them in the same order in each run.
    exchanges: BTreeMap<Key, Exchange>,
    admission: Admission,
    endpoints: Endpoints,
    settles: claim::Settles,
    /// Zone at which the next forward starts.
    rotation: u64,
    /// Questions of callers after the state of a request that are not answered yet.
    questions: usize,
    /// Time at which the instance was first seen draining.
    draining: Option<Monotonic>,
}

impl Requests {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.admission.resize(cx);
        self.refresh(cx);
        self.shorten(cx);
        for key in self.admission.take_expired(cx.now.mono) {
            self.finish(cx, key, End::NotRun(NotRunReason::DeadlineUnreachable));
        }
        self.expire(cx);
        self.claim_again(cx);
        self.choose_again(cx);
        self.ask_again(cx);
        self.settle_again(cx);
        self.start_next(cx);
    }

    pub(crate) fn on_caller(&mut self, cx: &mut Context<'_>, token: Token, request: CallerRequest) {
        let exchange = Exchange::new(ReplyTo::Caller(token), request, cx.now.mono);
        self.accept(cx, exchange);
    }

    /// Answers a caller that asks what became of a request.
    pub(crate) fn on_status(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId) {
        self.ask_status(cx, token, id);
    }

    /// Serves a request that an instance of another zone could not serve; it is not forwarded again.
    /// A claimed one runs under the sender's claim and is settled here.
    pub(crate) fn on_forward(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        request: CallerRequest,
        claimed: bool,
    ) {
        let mut exchange = Exchange::new(ReplyTo::Peer(token), request, cx.now.mono);
        exchange.claimed = claimed;
        self.accept(cx, exchange);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        match step {
            PendingCall::Claim { key, hinted } => self.on_claim(cx, key, hinted, outcome),
            PendingCall::Endpoints { service, holder } => {
                self.on_endpoints(cx, &service, &holder, outcome);
            }
            PendingCall::Serve { key, worker } => self.on_served(cx, key, &worker, outcome),
            PendingCall::Resolve { key } => self.on_resolved(cx, key, outcome),
            PendingCall::Forward { key, target } => self.on_forwarded(cx, key, target, outcome),
            PendingCall::Status { token, id, hinted } => {
                self.on_claim_status(cx, token, id, hinted, outcome);
            }
            PendingCall::Settle(settle) => self.on_settled(cx, settle, outcome),
        }
        self.start_next(cx);
    }

    /// Whether no request, question or settlement is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.exchanges.is_empty() && self.settles.is_empty() && self.questions == 0
    }

    /// Takes over a new manifest.
    fn refresh(&mut self, cx: &Context<'_>) {
        if self.admission.refresh(cx)
            && let Some(manifest) = &cx.shared.manifest
        {
            self.endpoints
                .retain(|name| manifest.service(name).is_some());
        }
    }

    /// Ends the requests in flight early enough that the instance can stop within its drain limit.
    /// Their callers get a status path where the end is not known by then.
    fn shorten(&mut self, cx: &Context<'_>) {
        if !cx.shared.draining {
            return;
        }
        let now = cx.now.mono;
        let begun = *self.draining.get_or_insert(now);
        let latest = begun
            + cx.config
                .drain_limit
                .saturating_sub(FOLLOW_UP + SETTLE_TIME);
        for exchange in self.exchanges.values_mut() {
            exchange.deadline = exchange.deadline.min(latest);
        }
    }

    fn accept(&mut self, cx: &mut Context<'_>, mut exchange: Exchange) {
        self.counter += 1;
        let key = Key(self.counter);
        let admitted = self.admit(cx, key, &exchange);
        let refusal = match admitted {
            Ok(taken) => {
                exchange.taken = Some(taken);
                None
            }
            Err(reason) => Some(reason),
        };
        self.exchanges.insert(key, exchange);
        match refusal {
            Some(reason) => self.finish(cx, key, End::NotRun(reason)),
            None => self.start_next(cx),
        }
    }

    fn admit(
        &mut self,
        cx: &Context<'_>,
        key: Key,
        exchange: &Exchange,
    ) -> Result<Taken, NotRunReason> {
        if cx.shared.draining {
            return Err(NotRunReason::Draining);
        }
        let manifest = cx.shared.manifest.as_deref();
        let service = validate::check(&exchange.request, manifest, cx.now.wall)?;
        if self.exchanges.len() >= MAX_EXCHANGES {
            return Err(NotRunReason::Overloaded);
        }
        self.refresh(cx);
        self.admission
            .admit(cx.now.mono, key, exchange, &service.team)
    }

    /// Starts waiting requests while there are slots. Called once at the end of each event: a start
    /// that ends at once must not start the next from within itself.
    fn start_next(&mut self, cx: &mut Context<'_>) {
        while let Some((kind, key)) = self.admission.next() {
            let exchange = self.exchanges.get_mut(&key);
            match exchange.and_then(|exchange| exchange.taken.as_mut()) {
                Some(taken) => {
                    Admission::started(cx.now.mono, taken);
                    self.start(cx, key);
                }
                None => self.admission.unused(&kind),
            }
        }
    }

    fn start(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        if exchange.once() && !exchange.claimed {
            self.claim(cx, key);
        } else {
            self.choose(cx, key);
        }
    }

    /// Ends an exchange: settles its claim and answers, if that was not done at the deadline.
    fn finish(&mut self, cx: &mut Context<'_>, key: Key, end: End) {
        let Some(exchange) = self.exchanges.remove(&key) else {
            return;
        };
        if let Some(taken) = &exchange.taken {
            let answered = matches!(end, End::Answered(_));
            self.admission.give_back(cx.now.mono, taken, answered);
        }
        let end = match end {
            End::NotRun(_) if exchange.uncertain => End::Unknown,
            end => end,
        };
        let id = exchange.request.id;
        if exchange.claimed {
            self.settle(cx, &id, &end);
        }
        if let Some(reply_to) = exchange.reply_to {
            answer(cx, reply_to, end.reply(&id));
        }
    }

    fn expire(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let late: Vec<Key> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.expire_one(cx, key);
        }
    }

    /// At the deadline a request that nothing was sent for was not run. Any other may run; if it is
    /// claimed it is followed a little longer for the ledger's sake.
    fn expire_one(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        match exchange.state {
            State::Queued | State::Unclaimed { .. } | State::Choosing | State::Moving { .. } => {
                self.finish(cx, key, End::NotRun(NotRunReason::DeadlineUnreachable));
            }
            State::Claiming
            | State::Serving { .. }
            | State::Resolving { .. }
            | State::Forwarding => {
                if let Some(taken) = exchange.taken.take() {
                    self.admission.give_back(cx.now.mono, &taken, false);
                }
                if let Some(reply_to) = exchange.reply_to.take() {
                    answer(cx, reply_to, End::Unknown.reply(&exchange.request.id));
                }
                if !exchange.once() || exchange.deadline + FOLLOW_UP <= cx.now.mono {
                    self.exchanges.remove(&key);
                }
            }
        }
    }
}

/// Time that is left for an exchange.
fn remaining(exchange: &Exchange, now: Monotonic) -> Duration {
    exchange.deadline - now
}

/// Whole milliseconds of a span, at least one.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1)
}

fn answer(cx: &mut Context<'_>, reply_to: ReplyTo, reply: CallerReply) {
    match reply_to {
        ReplyTo::Caller(token) => cx.outbox.emit(Action::AnswerCaller { token, reply }),
        ReplyTo::Peer(token) => cx.outbox.answer_peer(token, PeerReply::Forwarded(reply)),
    }
}

/// PendingCall of this component as the whole instance names it.
fn step(step: PendingCall) -> outbox::PendingCall {
    outbox::PendingCall::Requests(step)
}
