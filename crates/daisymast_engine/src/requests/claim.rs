//! Claims, settlements and states of non-idempotent requests at the owner of their partition.

use std::time::Duration;

use daisymast_ledger::keys;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{ClaimState, PeerReply, PeerRequest, Settlement};
use daisymast_types::ids::{InstanceId, RequestId, Token};
use daisymast_types::time::Monotonic;

use super::exchange::{End, Key, ReplyTo, State, is_intact};
use super::{PendingCall, Requests, answer, remaining, step, validate};
use crate::shared::Context;

/// Time for the reply to a settlement or a question after a state.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the second and last attempt to settle; longer than it takes to suspect an owner.
const SETTLE_PAUSE: Duration = Duration::from_millis(2_500);

/// Time for which a claim is tried at a partition without an owner. A partition of a draining
/// instance has its next owner within a second: half a second until all instances know, and a
/// takeover of a few store calls.
const CLAIM_PATIENCE: Duration = Duration::from_millis(1_500);
/// Pause between two attempts to claim.
const CLAIM_PAUSE: Duration = Duration::from_millis(100);

/// How a claimed request ended, on its way to the ledger.
#[derive(Clone, Debug)]
pub(crate) struct Settle {
    id: RequestId,
    result: Settlement,
    retried: bool,
}

/// Settlements on their way and those that wait for the second attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Settles {
    open: usize,
    delayed: Vec<(Monotonic, Settle)>,
}

impl Settles {
    pub(crate) fn is_empty(&self) -> bool {
        self.open == 0 && self.delayed.is_empty()
    }
}

impl Requests {
    pub(super) fn claim(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get(&key) else {
            return;
        };
        match owner(cx, &exchange.request.id) {
            Some(owner) => self.send_claim(cx, key, &owner, false),
            None => self.unclaimed(cx, key),
        }
    }

    /// Tries again later, or ends the exchange as surely not claimed.
    fn unclaimed(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let retry = cx.now.mono + CLAIM_PAUSE;
        let since = *exchange.claim_since.get_or_insert(cx.now.mono);
        if retry < exchange.deadline && retry - since <= CLAIM_PATIENCE {
            exchange.state = State::Unclaimed { retry };
        } else {
            self.finish(cx, key, End::NotRun(NotRunReason::LedgerUnavailable));
        }
    }

    pub(super) fn claim_again(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let is_due = |state: &State| matches!(state, State::Unclaimed { retry } if *retry <= now);
        let mut due: Vec<Key> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| is_due(&exchange.state))
            .map(|(key, _)| *key)
            .collect();
        due.sort_unstable();
        for key in due {
            self.claim(cx, key);
        }
    }

    fn send_claim(&mut self, cx: &mut Context<'_>, key: Key, owner: &InstanceId, hinted: bool) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let timeout = remaining(exchange, cx.now.mono);
        if timeout.is_zero() {
            self.finish(cx, key, End::NotRun(NotRunReason::DeadlineUnreachable));
            return;
        }
        exchange.state = State::Claiming;
        exchange.claim_since.get_or_insert(cx.now.mono);
        let request = PeerRequest::Claim {
            id: exchange.request.id.clone(),
            digest: validate::claim_digest(&exchange.request),
            by: cx.config.instance.clone(),
        };
        let step = step(PendingCall::Claim { key, hinted });
        cx.outbox
            .call_peer(cx.shared, step, owner, request, timeout);
    }

    /// A claim that is acknowledged after the deadline is settled as not run: nothing was started.
    pub(super) fn on_claim(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        hinted: bool,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if exchange.state != State::Claiming {
            return;
        }
        match outcome {
            Outcome::Done(PeerReply::Claimed) => {
                exchange.claimed = true;
                self.choose(cx, key);
            }
            Outcome::Done(PeerReply::ClaimState(state)) => {
                let digest = validate::claim_digest(&exchange.request);
                let end = second_submission(&exchange.request.id, &digest, state);
                self.finish(cx, key, end);
            }
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !hinted => {
                self.send_claim(cx, key, &owner, true);
            }
            Outcome::Done(PeerReply::NotOwner { .. }) | Outcome::NoEffect(_) => {
                self.unclaimed(cx, key);
            }
            // The owner cannot write, so the answer has to be prompt.
            Outcome::Done(PeerReply::LedgerUnavailable) => {
                self.finish(cx, key, End::NotRun(NotRunReason::LedgerUnavailable));
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.finish(cx, key, End::Unknown),
        }
    }

    /// Sends the end of a claimed request to the ledger. An unknown end leaves the claim open.
    pub(super) fn settle(&mut self, cx: &mut Context<'_>, id: &RequestId, end: &End) {
        let result = match end {
            End::Answered(answer) => Settlement::Answered(answer.clone()),
            End::NotRun(reason) => Settlement::NotRun(*reason),
            End::Unknown => return,
        };
        let settle = Settle {
            id: id.clone(),
            result,
            retried: false,
        };
        let owner = owner(cx, id);
        self.send_settle(cx, settle, owner);
    }

    fn send_settle(&mut self, cx: &mut Context<'_>, settle: Settle, owner: Option<InstanceId>) {
        let Some(owner) = owner else {
            self.delay_settle(cx.now.mono, settle);
            return;
        };
        let request = PeerRequest::Settle {
            id: settle.id.clone(),
            result: settle.result.clone(),
        };
        self.settles.open += 1;
        let step = step(PendingCall::Settle(settle));
        cx.outbox
            .call_peer(cx.shared, step, &owner, request, LEDGER_TIMEOUT);
    }

    fn delay_settle(&mut self, now: Monotonic, mut settle: Settle) {
        if !settle.retried {
            settle.retried = true;
            self.settles.delayed.push((now + SETTLE_PAUSE, settle));
        }
    }

    pub(super) fn on_settled(
        &mut self,
        cx: &mut Context<'_>,
        mut settle: Settle,
        outcome: Outcome<PeerReply>,
    ) {
        self.settles.open = self.settles.open.saturating_sub(1);
        match outcome {
            Outcome::Done(PeerReply::Ok) => {}
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !settle.retried => {
                settle.retried = true;
                self.send_settle(cx, settle, Some(owner));
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                self.delay_settle(cx.now.mono, settle);
            }
        }
    }

    pub(super) fn settle_again(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let (due, later) = std::mem::take(&mut self.settles.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.settles.delayed = later;
        let due: Vec<(Monotonic, Settle)> = due;
        for (_, settle) in due {
            let owner = owner(cx, &settle.id);
            self.send_settle(cx, settle, owner);
        }
    }

    pub(super) fn ask_status(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId) {
        match owner(cx, &id) {
            Some(owner) => {
                self.questions += 1;
                send_status(cx, token, id, &owner, false);
            }
            None => answer_status(cx, token, &id, End::Unknown),
        }
    }

    pub(super) fn on_claim_status(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        id: RequestId,
        hinted: bool,
        outcome: Outcome<PeerReply>,
    ) {
        match outcome {
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !hinted => {
                send_status(cx, token, id, &owner, true);
                return;
            }
            Outcome::Done(PeerReply::ClaimState(state)) => {
                let end = recorded_end(&id, state);
                answer_status(cx, token, &id, end);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                answer_status(cx, token, &id, End::Unknown);
            }
        }
        self.questions = self.questions.saturating_sub(1);
    }
}

fn send_status(
    cx: &mut Context<'_>,
    token: Token,
    id: RequestId,
    owner: &InstanceId,
    hinted: bool,
) {
    let request = PeerRequest::ClaimStatus { id: id.clone() };
    let step = step(PendingCall::Status { token, id, hinted });
    cx.outbox
        .call_peer(cx.shared, step, owner, request, LEDGER_TIMEOUT);
}

fn answer_status(cx: &mut Context<'_>, token: Token, id: &RequestId, end: End) {
    answer(cx, ReplyTo::Caller(token), end.reply(id));
}

fn owner(cx: &Context<'_>, id: &RequestId) -> Option<InstanceId> {
    let partition = keys::of_request(id);
    let owner = cx.shared.view.partition_owner(cx.now.mono, partition);
    owner.map(|(owner, _)| owner)
}

/// End of a submission whose id was claimed before. It starts nothing, so it is truly not run if
/// its body differs from the claimed one or if the claimed request was not run.
fn second_submission(id: &RequestId, digest: &str, state: ClaimState) -> End {
    let recorded = match &state {
        ClaimState::Absent => None,
        ClaimState::Claimed { digest, .. }
        | ClaimState::Answered { digest, .. }
        | ClaimState::NotRun { digest, .. } => Some(digest.as_str()),
    };
    if recorded.is_some_and(|recorded| recorded != digest) {
        return End::NotRun(NotRunReason::IdReused);
    }
    recorded_end(id, state)
}

/// What the ledger knows of a request. An id without a record may still be claimed by a submission
/// that is under way, so it is unknown.
fn recorded_end(id: &RequestId, state: ClaimState) -> End {
    match state {
        ClaimState::Answered {
            answer: Some(answer),
            ..
        } if is_intact(&answer, id) => End::Answered(answer),
        ClaimState::NotRun { reason, .. } => End::NotRun(reason),
        ClaimState::Absent | ClaimState::Claimed { .. } | ClaimState::Answered { .. } => {
            End::Unknown
        }
    }
}
