//! Acquires, renews and releases control leases.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::worker::{Grant, WorkerReply, WorkerRequest};
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use super::worker::LeaseCall;
use super::{Control, PendingCall};
use crate::outbox;
use crate::shared::Context;

/// Long-poll wait of a renewal for task changes. Together with [`RENEW_TIMEOUT`] it leaves time for
/// a second attempt before the lease expires if the reply to a renewal is lost.
const RENEW_WAIT: Duration = Duration::from_millis(600);
/// Timeout of a long-poll renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(750);
/// Timeout of an acquisition, a release, or a renewal without long polling.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Shortest interval between renewals of a lease, however many changes the worker reports.
const MIN_RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Retry interval of a failed acquisition at the preferred holder.
const ACQUIRE_RETRY: Duration = Duration::from_secs(1);
/// Retry interval of a failed acquisition at other instances. It keeps the whole zone from calling
/// a dead worker every second.
const FALLBACK_RETRY: Duration = Duration::from_secs(5);
/// Retry interval of an acquisition during a hand-over.
const ACQUIRE_FAST_RETRY: Duration = Duration::from_millis(200);
/// Upper bound of the jitter added to acquisition retries.
const ACQUIRE_JITTER: Duration = Duration::from_millis(100);

impl Control {
    /// Acquires, renews, releases or drops the lease of one worker, whichever is due.
    pub(super) fn advance_lease(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.lease_call != LeaseCall::None {
            return;
        }
        if state.lease.held_stamp().is_none() {
            if state.is_wanted(now) && !cx.shared.draining {
                self.acquire(cx, worker);
                self.request_hand_over(cx, worker);
            }
            return;
        }
        if state.lease.stamp(now).is_none() {
            self.mark_lease_lost(cx, worker, "ran out");
            return;
        }
        state.mirror.expire(now);
        state.update_release(now, cx.shared.draining);
        if state.release.is_some() && state.open_calls == 0 {
            self.release(cx, worker);
        } else if now >= state.next_lease_call {
            self.renew(cx, worker);
        }
    }

    /// Drops a lease that is no longer valid.
    pub(super) fn mark_lease_lost(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        reason: &str,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.lease.held_stamp().is_some() {
            state.lease.clear();
            state.release = None;
            state.undeclared.clear();
            state.next_lease_call = cx.now.mono;
            cx.outbox
                .record("lease.lost", worker.as_str(), reason.to_owned());
        }
    }

    fn acquire(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let is_starting_up = self.preferences.is_starting_up(cx);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if now < state.next_lease_call || is_starting_up {
            return;
        }
        state.lease_call = LeaseCall::Acquire;
        let pending = outbox::PendingCall::Control(PendingCall::Acquire {
            worker: worker.clone(),
            sent: now,
        });
        let request = WorkerRequest::Acquire {
            holder: cx.config.instance.clone(),
            ttl_ms: millis(limits::CONTROL_LEASE_TTL),
        };
        cx.outbox
            .call_worker(cx.shared, pending, worker, request, LEASE_CALL_TIMEOUT);
    }

    pub(super) fn on_acquire_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        outcome: Outcome<WorkerReply>,
    ) {
        let now = cx.now.mono;
        let jitter = cx.outbox.jitter(ACQUIRE_JITTER);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.lease_call = LeaseCall::None;
        match outcome {
            Outcome::Done(WorkerReply::Granted(grant)) => {
                self.apply_grant(cx, worker, sent, &grant);
            }
            Outcome::Done(WorkerReply::Held {
                holder,
                remaining_ms,
            }) => {
                state.reported_holder = Some(holder);
                let wait = if now < state.fast_retry_until {
                    ACQUIRE_FAST_RETRY
                } else {
                    let free = Duration::from_millis(remaining_ms);
                    free.clamp(ACQUIRE_FAST_RETRY, limits::CONTROL_LEASE_TTL)
                };
                state.next_lease_call = now + wait + jitter;
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                state.reported_holder = None;
                let retry = match state.preferred_since {
                    Some(_) => ACQUIRE_RETRY,
                    None => FALLBACK_RETRY,
                };
                state.next_lease_call = now + retry + jitter;
            }
        }
    }

    fn apply_grant(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        grant: &Grant,
    ) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let is_same_lease = state.stamp == Some(grant.stamp);
        state.stamp = Some(grant.stamp);
        state.lease.granted(sent, now, grant.stamp, grant.clock);
        state.reported_holder = None;
        state.is_retry = false;
        state.next_lease_call = sent + limits::CONTROL_LEASE_RENEW_INTERVAL;
        state.next_sweep = now;
        let changes = state.mirror.reset(now, grant, is_same_lease);
        let detail = format!("epoch {}, {} tasks", grant.stamp.epoch, grant.tasks.len());
        cx.outbox.record("lease.acquired", worker.as_str(), detail);
        self.record_changes(cx, worker, &changes);
    }

    fn renew(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(stamp) = state.lease.stamp(now) else {
            return;
        };
        state.lease_call = LeaseCall::Renew;
        let is_immediate = state.is_retry || state.release.is_some();
        let (wait, timeout) = if is_immediate {
            (Duration::ZERO, LEASE_CALL_TIMEOUT)
        } else {
            (RENEW_WAIT, RENEW_TIMEOUT)
        };
        let request = WorkerRequest::Renew {
            stamp,
            keep_runs: self.polls.keep_runs(now, &state.mirror),
            since: state.mirror.seq,
            wait_ms: millis(wait),
        };
        let pending = outbox::PendingCall::Control(PendingCall::Renew {
            worker: worker.clone(),
            sent: now,
        });
        cx.outbox
            .call_worker(cx.shared, pending, worker, request, timeout);
    }

    pub(super) fn on_renew_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        outcome: Outcome<WorkerReply>,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.lease_call = LeaseCall::None;
        let Outcome::Done(reply) = outcome else {
            state.is_retry = true;
            state.next_lease_call = sent + MIN_RENEW_INTERVAL;
            return;
        };
        if !self.apply_renewal(cx, worker, sent, reply) {
            self.mark_lease_lost(cx, worker, "renewal refused");
        }
    }

    /// Applies a successful renewal. Returns `false` for any other reply.
    fn apply_renewal(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        reply: WorkerReply,
    ) -> bool {
        let now = cx.now.mono;
        let (
            Some(state),
            WorkerReply::Renewed {
                clock,
                seq,
                changes,
                leaving,
                ..
            },
        ) = (self.workers.get_mut(worker), reply)
        else {
            return false;
        };
        state.lease.renewed(sent, now, clock);
        state.is_retry = false;
        let is_busy = !changes.is_empty() || state.mirror.seq != seq;
        let spacing = if is_busy {
            MIN_RENEW_INTERVAL
        } else {
            limits::CONTROL_LEASE_RENEW_INTERVAL
        };
        state.next_lease_call = sent + spacing;
        if leaving && !state.mirror.leaving {
            cx.outbox
                .record("worker.leaving", worker.as_str(), String::new());
        }
        let changes = state.mirror.renew(now, seq, leaving, changes);
        state.mirror.discard_expired_starts(clock);
        self.record_changes(cx, worker, &changes);
        true
    }

    fn release(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(stamp) = state.lease.held_stamp() else {
            return;
        };
        state.lease_call = LeaseCall::Release;
        let pending = outbox::PendingCall::Control(PendingCall::Release {
            worker: worker.clone(),
        });
        let request = WorkerRequest::Release { stamp };
        cx.outbox
            .call_worker(cx.shared, pending, worker, request, LEASE_CALL_TIMEOUT);
    }

    /// Drops the lease whatever the outcome. If the release did not reach the worker, the lease
    /// expires there.
    pub(super) fn on_release_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        outcome: Outcome<WorkerReply>,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.lease_call = LeaseCall::None;
        state.lease.clear();
        state.release = None;
        state.undeclared.clear();
        state.next_lease_call = cx.now.mono + ACQUIRE_RETRY;
        let detail = match outcome {
            Outcome::Done(_) => String::new(),
            Outcome::NoEffect(error) | Outcome::Unknown(error) => error.to_string(),
        };
        cx.outbox.record("lease.released", worker.as_str(), detail);
    }
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
