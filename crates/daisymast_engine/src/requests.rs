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

use crate::effects;
use crate::event::Action;
use crate::shared::Context;

mod claim;
mod endpoints;
mod exchange;
mod forward;
mod serve;
mod validate;

#[cfg(test)]
mod tests;

use endpoints::Endpoints;
use exchange::{End, Exchange, Key, ReplyTo, State};

/// Requests that an instance follows at one time; as many as a listener has connections.
const MAX_EXCHANGES: usize = 2_048;
/// Attempts at workers and other zones for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Time after the deadline for which a claimed request is still followed, so that its end reaches
/// the ledger and the caller can ask for it.
const FOLLOW_UP: Duration = Duration::from_secs(5);

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {
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

#[derive(Debug, Default)]
pub(crate) struct Requests {
    counter: u64,
    /// Ordered, so that a tick handles them in the same order in each run.
    exchanges: BTreeMap<Key, Exchange>,
    endpoints: Endpoints,
    settles: claim::Settles,
    /// Zone at which the next forward starts.
    rotation: u64,
}

impl Requests {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.expire(cx);
        self.ask_again(cx);
        self.settle_again(cx);
        if let Some(manifest) = cx.shared.manifest.clone() {
            self.endpoints
                .retain(|name| manifest.service(name).is_some());
        }
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
        step: Step,
        outcome: Outcome<PeerReply>,
    ) {
        match step {
            Step::Claim { key, hinted } => self.on_claim(cx, key, hinted, outcome),
            Step::Endpoints { service, holder } => {
                self.on_endpoints(cx, &service, &holder, outcome);
            }
            Step::Serve { key, worker } => self.on_served(cx, key, &worker, outcome),
            Step::Resolve { key } => self.on_resolved(cx, key, outcome),
            Step::Forward { key, target } => self.on_forwarded(cx, key, target, outcome),
            Step::Status { token, id, hinted } => {
                self.on_claim_status(cx, token, id, hinted, outcome);
            }
            Step::Settle(settle) => self.on_settled(cx, settle, outcome),
        }
    }

    /// Whether no request is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.exchanges.is_empty() && self.settles.is_empty()
    }

    fn accept(&mut self, cx: &mut Context<'_>, exchange: Exchange) {
        let refusal = self.refusal(cx, &exchange.request);
        self.counter += 1;
        let key = Key(self.counter);
        self.exchanges.insert(key, exchange);
        match refusal {
            Some(reason) => self.finish(cx, key, End::NotRun(reason)),
            None => self.start(cx, key),
        }
    }

    fn refusal(&self, cx: &Context<'_>, request: &CallerRequest) -> Option<NotRunReason> {
        if cx.shared.draining {
            return Some(NotRunReason::Draining);
        }
        let manifest = cx.shared.manifest.as_deref();
        if let Err(reason) = validate::check(request, manifest, cx.now.wall) {
            return Some(reason);
        }
        (self.exchanges.len() >= MAX_EXCHANGES).then_some(NotRunReason::Overloaded)
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
            State::Queued | State::Choosing => {
                self.finish(cx, key, End::NotRun(NotRunReason::DeadlineUnreachable));
            }
            State::Claiming
            | State::Serving { .. }
            | State::Resolving { .. }
            | State::Forwarding => {
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
        ReplyTo::Caller(token) => cx.fx.emit(Action::AnswerCaller { token, reply }),
        ReplyTo::Peer(token) => cx.fx.answer_peer(token, PeerReply::Forwarded(reply)),
    }
}

/// Step of this component as the whole instance names it.
fn step(step: Step) -> effects::Step {
    effects::Step::Requests(step)
}
