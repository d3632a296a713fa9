//! Claims, settlements and status queries of non-idempotent requests, sent to the owner of their
//! ledger partition.

use std::time::Duration;

use daisymast_ledger::keys;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{ClaimState, PeerReply, PeerRequest, Settlement};
use daisymast_types::ids::{InstanceId, RequestId, Token};
use daisymast_types::time::Monotonic;

use super::pending::{Completion, ReplyTo, RequestKey, State, is_intact};
use super::{PendingCall, Requests, answer, pending_call, remaining, validate};
use crate::shared::Context;

/// Timeout of settlements and status queries.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before the second and last attempt to settle. Longer than the failure detection of an
/// owner, so that the second attempt does not go to a failed one.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(2_500);

/// Time during which a claim is retried while its partition has no owner. A partition of a draining
/// instance gets its next owner within a second: half a second until all instances know, and a
/// takeover of a few store calls.
const CLAIM_RETRY_WINDOW: Duration = Duration::from_millis(1_500);
/// Delay between two attempts to claim.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a claimed request that is being recorded in the ledger.
#[derive(Clone, Debug)]
pub(crate) struct PendingSettlement {
    id: RequestId,
    result: Settlement,
    retried: bool,
}

/// Settlements in flight and those that wait for their second attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingSettlements {
    in_flight: usize,
    delayed: Vec<(Monotonic, PendingSettlement)>,
}

impl PendingSettlements {
    pub(crate) fn is_empty(&self) -> bool {
        self.in_flight == 0 && self.delayed.is_empty()
    }
}

impl Requests {
    pub(super) fn claim(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get(&key) else {
            return;
        };
        match owner(cx, &pending.request.id) {
            Some(owner) => self.send_claim(cx, key, &owner, false),
            None => self.back_off_claim(cx, key),
        }
    }

    /// Schedules another attempt to claim. Once the retry window or the deadline would be exceeded,
    /// the request is reported as not run, since it is certain that it was not claimed.
    fn back_off_claim(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let retry_at = cx.now.mono + CLAIM_RETRY_INTERVAL;
        let since = *pending.claim_started_at.get_or_insert(cx.now.mono);
        if retry_at < pending.deadline && retry_at - since <= CLAIM_RETRY_WINDOW {
            pending.state = State::ClaimBackoff { retry_at };
        } else {
            self.finish(cx, key, Completion::NotRun(NotRunReason::LedgerUnavailable));
        }
    }

    pub(super) fn retry_claims(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let is_due =
            |state: &State| matches!(state, State::ClaimBackoff { retry_at } if *retry_at <= now);
        let mut due: Vec<RequestKey> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| is_due(&pending.state))
            .map(|(key, _)| *key)
            .collect();
        due.sort_unstable();
        for key in due {
            self.claim(cx, key);
        }
    }

    fn send_claim(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        owner: &InstanceId,
        redirected: bool,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let timeout = remaining(pending, cx.now.mono);
        if timeout.is_zero() {
            self.finish(
                cx,
                key,
                Completion::NotRun(NotRunReason::DeadlineUnreachable),
            );
            return;
        }
        pending.state = State::Claiming;
        pending.claim_started_at.get_or_insert(cx.now.mono);
        let request = PeerRequest::Claim {
            id: pending.request.id.clone(),
            digest: validate::claim_digest(&pending.request),
            by: cx.config.instance.clone(),
        };
        let pending_call = pending_call(PendingCall::Claim { key, redirected });
        cx.outbox
            .call_peer(cx.shared, pending_call, owner, request, timeout);
    }

    /// Handles the reply to a claim. A claim acknowledged after the deadline is settled as not run,
    /// because nothing was started.
    pub(super) fn on_claim(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        redirected: bool,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        if pending.state != State::Claiming {
            return;
        }
        match outcome {
            Outcome::Done(PeerReply::Claimed) => {
                pending.claimed = true;
                self.route(cx, key);
            }
            Outcome::Done(PeerReply::ClaimState(state)) => {
                let digest = validate::claim_digest(&pending.request);
                let completion = resubmission_completion(&pending.request.id, &digest, state);
                self.finish(cx, key, completion);
            }
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !redirected => {
                self.send_claim(cx, key, &owner, true);
            }
            Outcome::Done(PeerReply::NotOwner { .. }) | Outcome::NoEffect(_) => {
                self.back_off_claim(cx, key);
            }
            // The owner cannot write to the store, so the caller is told immediately instead of
            // after retries.
            Outcome::Done(PeerReply::LedgerUnavailable) => {
                self.finish(cx, key, Completion::NotRun(NotRunReason::LedgerUnavailable));
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.finish(cx, key, Completion::Unknown),
        }
    }

    /// Sends the outcome of a claimed request to the ledger. An unknown outcome leaves the claim
    /// open.
    pub(super) fn settle(&mut self, cx: &mut Context<'_>, id: &RequestId, completion: &Completion) {
        let result = match completion {
            Completion::Answered(answer) => Settlement::Answered(answer.clone()),
            Completion::NotRun(reason) => Settlement::NotRun(*reason),
            Completion::Unknown => return,
        };
        let settlement = PendingSettlement {
            id: id.clone(),
            result,
            retried: false,
        };
        let owner = owner(cx, id);
        self.send_settlement(cx, settlement, owner);
    }

    fn send_settlement(
        &mut self,
        cx: &mut Context<'_>,
        settlement: PendingSettlement,
        owner: Option<InstanceId>,
    ) {
        let Some(owner) = owner else {
            self.delay_settlement(cx.now.mono, settlement);
            return;
        };
        let request = PeerRequest::Settle {
            id: settlement.id.clone(),
            result: settlement.result.clone(),
        };
        self.settlements.in_flight += 1;
        let pending_call = pending_call(PendingCall::Settle(settlement));
        cx.outbox
            .call_peer(cx.shared, pending_call, &owner, request, LEDGER_TIMEOUT);
    }

    fn delay_settlement(&mut self, now: Monotonic, mut settlement: PendingSettlement) {
        if !settlement.retried {
            settlement.retried = true;
            self.settlements
                .delayed
                .push((now + SETTLE_RETRY_DELAY, settlement));
        }
    }

    pub(super) fn on_settled(
        &mut self,
        cx: &mut Context<'_>,
        mut settlement: PendingSettlement,
        outcome: Outcome<PeerReply>,
    ) {
        self.settlements.in_flight = self.settlements.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Done(PeerReply::Ok) => {}
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !settlement.retried => {
                settlement.retried = true;
                self.send_settlement(cx, settlement, Some(owner));
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                self.delay_settlement(cx.now.mono, settlement);
            }
        }
    }

    pub(super) fn retry_settlements(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let (due, later) = std::mem::take(&mut self.settlements.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.settlements.delayed = later;
        let due: Vec<(Monotonic, PendingSettlement)> = due;
        for (_, settlement) in due {
            let owner = owner(cx, &settlement.id);
            self.send_settlement(cx, settlement, owner);
        }
    }

    pub(super) fn query_status(&mut self, cx: &mut Context<'_>, token: Token, id: RequestId) {
        match owner(cx, &id) {
            Some(owner) => {
                self.status_queries += 1;
                send_status_query(cx, token, id, &owner, false);
            }
            None => answer_status(cx, token, &id, Completion::Unknown),
        }
    }

    pub(super) fn on_claim_status(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        id: RequestId,
        redirected: bool,
        outcome: Outcome<PeerReply>,
    ) {
        match outcome {
            Outcome::Done(PeerReply::NotOwner { owner: Some(owner) }) if !redirected => {
                send_status_query(cx, token, id, &owner, true);
                return;
            }
            Outcome::Done(PeerReply::ClaimState(state)) => {
                let completion = recorded_completion(&id, state);
                answer_status(cx, token, &id, completion);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                answer_status(cx, token, &id, Completion::Unknown);
            }
        }
        self.status_queries = self.status_queries.saturating_sub(1);
    }
}

fn send_status_query(
    cx: &mut Context<'_>,
    token: Token,
    id: RequestId,
    owner: &InstanceId,
    redirected: bool,
) {
    let request = PeerRequest::ClaimStatus { id: id.clone() };
    let pending_call = pending_call(PendingCall::Status {
        token,
        id,
        redirected,
    });
    cx.outbox
        .call_peer(cx.shared, pending_call, owner, request, LEDGER_TIMEOUT);
}

fn answer_status(cx: &mut Context<'_>, token: Token, id: &RequestId, completion: Completion) {
    answer(cx, ReplyTo::Caller(token), completion.reply(id));
}

fn owner(cx: &Context<'_>, id: &RequestId) -> Option<InstanceId> {
    let partition = keys::partition_of_request(id);
    let owner = cx.shared.view.partition_owner(cx.now.mono, partition);
    owner.map(|(owner, _)| owner)
}

/// Outcome of a submission whose id was claimed before. This submission starts nothing, so `NotRun`
/// is correct if its body differs from the claimed one, or if the claimed request is recorded as
/// not run.
fn resubmission_completion(id: &RequestId, digest: &str, state: ClaimState) -> Completion {
    let recorded = match &state {
        ClaimState::Absent => None,
        ClaimState::Claimed { digest, .. }
        | ClaimState::Answered { digest, .. }
        | ClaimState::NotRun { digest, .. } => Some(digest.as_str()),
    };
    if recorded.is_some_and(|recorded| recorded != digest) {
        return Completion::NotRun(NotRunReason::IdReused);
    }
    recorded_completion(id, state)
}

/// Converts the recorded state of a request to its outcome. An id without a record may still be
/// claimed by a concurrent submission, so its outcome is unknown.
fn recorded_completion(id: &RequestId, state: ClaimState) -> Completion {
    match state {
        ClaimState::Answered {
            answer: Some(answer),
            ..
        } if is_intact(&answer, id) => Completion::Answered(answer),
        ClaimState::NotRun { reason, .. } => Completion::NotRun(reason),
        ClaimState::Absent | ClaimState::Claimed { .. } | ClaimState::Answered { .. } => {
            Completion::Unknown
        }
    }
}
