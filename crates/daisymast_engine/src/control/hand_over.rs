//! Hands control leases over from one live instance to another.

use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::{InstanceId, WorkerId};

use super::worker::PendingRelease;
use super::{Control, PendingCall};
use crate::outbox;
use crate::shared::Context;

/// Time for which an instance must be the preferred holder before it requests a hand-over, interval
/// between its requests, and time for which the holder then waits for all open calls to end. The
/// delay keeps leases in place while the membership view flaps.
const HAND_OVER_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a hand-over request.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

impl Control {
    /// Handles the preferred holder's request to release a lease.
    pub(super) fn hand_over(
        &mut self,
        cx: &mut Context<'_>,
        from: &InstanceId,
        worker: &WorkerId,
    ) -> PeerReply {
        let now = cx.now.mono;
        let is_preferred =
            self.preferences.holders.get(worker) == Some(from) && cx.shared.view.is_live(now, from);
        let Some((state, _)) = self.usable_worker(now, worker) else {
            return self.not_holder(cx, worker);
        };
        if !is_preferred {
            return PeerReply::Refused(Refusal::Invalid);
        }
        if state.release.is_none() {
            state.release = Some(PendingRelease {
                since: now,
                until: Some(now + HAND_OVER_INTERVAL),
            });
        }
        self.advance_lease(cx, worker);
        PeerReply::Ok
    }

    /// Asks the live holder of a lease to release it if this instance is the preferred holder.
    pub(super) fn request_hand_over(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let is_settled = state
            .preferred_since
            .is_some_and(|since| now - since >= HAND_OVER_INTERVAL);
        // Without a reported holder the worker did not answer the last acquisition, so this
        // instance could not use the lease.
        if !is_settled || now < state.next_hand_over_request || state.reported_holder.is_none() {
            return;
        }
        state.next_hand_over_request = now + HAND_OVER_INTERVAL;
        let holder = self.other_holder(cx, worker);
        let Some(holder) = holder.filter(|holder| cx.shared.view.is_live(now, holder)) else {
            return;
        };
        let pending = outbox::PendingCall::Control(PendingCall::HandOver {
            worker: worker.clone(),
        });
        let request = PeerRequest::HandOver {
            worker: worker.clone(),
        };
        cx.outbox
            .call_peer(cx.shared, pending, &holder, request, HAND_OVER_TIMEOUT);
    }

    pub(super) fn on_hand_over_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        outcome: &Outcome<PeerReply>,
    ) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        match outcome {
            Outcome::Done(PeerReply::Ok) => {
                state.fast_retry_until = now + HAND_OVER_INTERVAL;
                state.next_lease_call = state.next_lease_call.min(now);
            }
            Outcome::Done(PeerReply::NotHolder { holder }) => {
                state.reported_holder.clone_from(holder);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {}
        }
    }
}
