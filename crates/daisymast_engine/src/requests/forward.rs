//! Forwards a request to an instance of another zone when the local zone has no endpoint for it.

use std::time::Duration;

use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::Answer;
use daisymast_types::hashing;
use daisymast_types::ids::{InstanceId, RequestId, Zone};

use super::pending::{Completion, PendingRequest, RequestKey, State, body_digest};
use super::{MAX_ATTEMPTS, PendingCall, Requests, millis, pending_call, remaining};
use crate::shared::Context;

/// Part of the remaining time reserved for the reply's transfer and the tick interval of the other
/// instance.
const REPLY_RESERVE: Duration = Duration::from_millis(100);

impl Requests {
    /// Forwards a request together with its claim: the receiver runs it under that claim and
    /// settles it.
    pub(super) fn forward(&mut self, cx: &mut Context<'_>, key: RequestKey) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        let reason = pending.reason;
        let left = remaining(pending, cx.now.mono);
        if pending.forwarded || pending.attempts >= MAX_ATTEMPTS || left.is_zero() {
            self.finish(cx, key, Completion::NotRun(reason));
            return;
        }
        let Some(target) = choose_target(cx, pending, self.rotation) else {
            self.finish(cx, key, Completion::NotRun(reason));
            return;
        };
        self.rotation = self.rotation.wrapping_add(1);
        pending.attempts += 1;
        pending.state = State::Forwarding;
        let claimed = std::mem::take(&mut pending.claimed);
        let mut request = pending.request.clone();
        request.timeout_ms = millis(left - REPLY_RESERVE.min(left / 4));
        let pending_call = pending_call(PendingCall::Forward {
            key,
            target: target.clone(),
        });
        let request = PeerRequest::Forward { request, claimed };
        cx.outbox
            .call_peer(cx.shared, pending_call, &target, request, left);
    }

    pub(super) fn on_forwarded(
        &mut self,
        cx: &mut Context<'_>,
        key: RequestKey,
        target: InstanceId,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(pending) = self.pending_requests.get_mut(&key) else {
            return;
        };
        if pending.state != State::Forwarding {
            return;
        }
        match outcome {
            Outcome::Done(PeerReply::Forwarded(reply)) => {
                let completion = forwarded_completion(&pending.request.id, reply);
                self.finish(cx, key, completion);
            }
            Outcome::NoEffect(_) => {
                pending.claimed = pending.at_most_once();
                pending.unreachable.push(target);
                self.forward(cx, key);
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.finish(cx, key, Completion::Unknown),
        }
    }
}

/// Chooses a live instance of another zone. Zones are selected by round robin; within a zone a hash
/// of the id selects the instance.
fn choose_target(cx: &Context<'_>, pending: &PendingRequest, rotation: u64) -> Option<InstanceId> {
    let now = cx.now.mono;
    let own = &cx.config.zone;
    let mut zones: Vec<Zone> = cx
        .shared
        .view
        .peers(now)
        .map(|peer| peer.zone.clone())
        .filter(|zone| zone != own)
        .collect();
    zones.sort();
    zones.dedup();
    let count = zones.len().max(1);
    let start = usize::try_from(rotation % u64::try_from(count).ok()?).ok()?;
    zones.rotate_left(start);
    zones.iter().find_map(|zone| {
        let reachable: Vec<_> = cx
            .shared
            .view
            .candidates(now, Some(zone))
            .into_iter()
            .filter(|one| !pending.unreachable.contains(&one.instance))
            .collect();
        let count = u64::try_from(reachable.len())
            .ok()
            .filter(|count| *count > 0)?;
        let hash = hashing::stable_hash(pending.request.id.as_str().as_bytes());
        let chosen = reachable.get(usize::try_from(hash % count).ok()?)?;
        Some(chosen.instance.clone())
    })
}

fn forwarded_completion(id: &RequestId, reply: CallerReply) -> Completion {
    match reply {
        CallerReply::Done { id: answered, body } if answered == *id => {
            Completion::Answered(Answer {
                id: answered,
                length: u64::try_from(body.len()).unwrap_or(u64::MAX),
                digest: body_digest(&body),
                body,
            })
        }
        CallerReply::NotRun {
            id: answered,
            reason,
            ..
        } if answered == *id => Completion::NotRun(reason),
        CallerReply::Done { .. } | CallerReply::NotRun { .. } | CallerReply::Unknown { .. } => {
            Completion::Unknown
        }
    }
}
