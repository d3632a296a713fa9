//! Hands a request to an instance of another zone when the own zone has no endpoint for it.

use std::time::Duration;

use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::Answer;
use daisymast_types::hashing;
use daisymast_types::ids::{InstanceId, RequestId, Zone};

use super::exchange::{End, Exchange, Key, State, body_digest};
use super::{MAX_ATTEMPTS, PendingCall, Requests, millis, remaining, step};
use crate::shared::Context;

/// Time kept back for the way of the answer and the tick of the other instance.
const RETURN_TIME: Duration = Duration::from_millis(100);

impl Requests {
    /// The claim goes with the request: the receiver runs it under the claim and settles it.
    pub(super) fn forward(&mut self, cx: &mut Context<'_>, key: Key) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        let reason = exchange.reason;
        let left = remaining(exchange, cx.now.mono);
        if exchange.forwarded || exchange.attempts >= MAX_ATTEMPTS || left.is_zero() {
            self.finish(cx, key, End::NotRun(reason));
            return;
        }
        let Some(target) = target(cx, exchange, self.rotation) else {
            self.finish(cx, key, End::NotRun(reason));
            return;
        };
        self.rotation = self.rotation.wrapping_add(1);
        exchange.attempts += 1;
        exchange.state = State::Forwarding;
        let claimed = std::mem::take(&mut exchange.claimed);
        let mut request = exchange.request.clone();
        request.timeout_ms = millis(left - RETURN_TIME.min(left / 4));
        let step = step(PendingCall::Forward {
            key,
            target: target.clone(),
        });
        let request = PeerRequest::Forward { request, claimed };
        cx.outbox.call_peer(cx.shared, step, &target, request, left);
    }

    pub(super) fn on_forwarded(
        &mut self,
        cx: &mut Context<'_>,
        key: Key,
        target: InstanceId,
        outcome: Outcome<PeerReply>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&key) else {
            return;
        };
        if exchange.state != State::Forwarding {
            return;
        }
        match outcome {
            Outcome::Done(PeerReply::Forwarded(reply)) => {
                let end = forwarded_end(&exchange.request.id, reply);
                self.finish(cx, key, end);
            }
            Outcome::NoEffect(_) => {
                exchange.claimed = exchange.once();
                exchange.unreachable.push(target);
                self.forward(cx, key);
            }
            Outcome::Done(_) | Outcome::Unknown(_) => self.finish(cx, key, End::Unknown),
        }
    }
}

/// A live instance of another zone. Zones take turns, and the id selects the instance in a zone.
fn target(cx: &Context<'_>, exchange: &Exchange, rotation: u64) -> Option<InstanceId> {
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
        let open: Vec<_> = cx
            .shared
            .view
            .candidates(now, Some(zone))
            .into_iter()
            .filter(|one| !exchange.unreachable.contains(&one.instance))
            .collect();
        let count = u64::try_from(open.len()).ok().filter(|count| *count > 0)?;
        let hash = hashing::stable(exchange.request.id.as_str().as_bytes());
        let chosen = open.get(usize::try_from(hash % count).ok()?)?;
        Some(chosen.instance.clone())
    })
}

fn forwarded_end(id: &RequestId, reply: CallerReply) -> End {
    match reply {
        CallerReply::Done { id: answered, body } if answered == *id => End::Answered(Answer {
            id: answered,
            length: u64::try_from(body.len()).unwrap_or(u64::MAX),
            digest: body_digest(&body),
            body,
        }),
        CallerReply::NotRun {
            id: answered,
            reason,
            ..
        } if answered == *id => End::NotRun(reason),
        CallerReply::Done { .. } | CallerReply::NotRun { .. } | CallerReply::Unknown { .. } => {
            End::Unknown
        }
    }
}
