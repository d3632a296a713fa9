//! Acquires, renews and releases control leases.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::worker::{Grant, WorkerReply, WorkerRequest};
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use super::worker::Exchange;
use super::{Control, Step};
use crate::effects;
use crate::shared::Context;

/// Longest wait of a renewal for a change. With [`RENEW_TIMEOUT`] it leaves time for one more
/// attempt before the lease runs out when the reply of a renewal is lost.
const RENEW_WAIT: Duration = Duration::from_millis(600);
/// Time for the reply to a renewal that waits.
const RENEW_TIMEOUT: Duration = Duration::from_millis(750);
/// Time for the reply to an acquisition, a release, or a renewal that does not wait.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(400);
/// Least time between two renewals of a lease, however many changes there are.
const RENEW_SPACING: Duration = Duration::from_millis(200);
/// Time between two acquisitions after a failure.
const ACQUIRE_RETRY: Duration = Duration::from_secs(1);
/// Time between two acquisitions while a hand-over is under way.
const ACQUIRE_EAGER: Duration = Duration::from_millis(200);
/// Largest jitter of an acquisition.
const ACQUIRE_JITTER: Duration = Duration::from_millis(100);

impl Control {
    /// Does what is due for the lease of one worker.
    pub(super) fn manage(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.exchange != Exchange::None {
            return;
        }
        if state.lease.held_stamp().is_none() {
            if state.preferred_since.is_some() && !cx.shared.draining {
                self.acquire(cx, worker);
                self.ask_holder(cx, worker);
            }
            return;
        }
        if state.lease.stamp(now).is_none() {
            self.lose(cx, worker, "ran out");
            return;
        }
        state.mirror.expire(now);
        state.update_wish(now, cx.shared.draining);
        if state.release.is_some() && state.calls == 0 {
            self.release(cx, worker);
        } else if now >= state.next_exchange {
            self.renew(cx, worker);
        }
    }

    /// Gives up a lease that is not valid any longer.
    pub(super) fn lose(&mut self, cx: &mut Context<'_>, worker: &WorkerId, why: &str) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.lease.held_stamp().is_some() {
            state.lease.drop_lease();
            state.release = None;
            state.undeclared.clear();
            state.next_exchange = cx.now.mono;
            cx.fx.record("lease.lost", worker.as_str(), why.to_owned());
        }
    }

    fn acquire(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let is_early = self.preferences.is_early(cx);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if now < state.next_exchange || is_early {
            return;
        }
        state.exchange = Exchange::Acquire;
        let step = effects::Step::Control(Step::Acquire {
            worker: worker.clone(),
            sent: now,
        });
        let request = WorkerRequest::Acquire {
            holder: cx.config.instance.clone(),
            ttl_ms: millis(limits::CONTROL_LEASE_TTL),
        };
        cx.fx
            .call_worker(cx.shared, step, worker, request, PROMPT_TIMEOUT);
    }

    pub(super) fn acquired(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        outcome: Outcome<WorkerReply>,
    ) {
        let now = cx.now.mono;
        let retry = ACQUIRE_RETRY + cx.fx.jitter(ACQUIRE_JITTER);
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.exchange = Exchange::None;
        match outcome {
            Outcome::Done(WorkerReply::Granted(grant)) => self.granted(cx, worker, sent, &grant),
            Outcome::Done(WorkerReply::Held {
                holder,
                remaining_ms,
            }) => {
                state.rival = Some(holder);
                let wait = if now < state.eager_until {
                    ACQUIRE_EAGER
                } else {
                    let free = Duration::from_millis(remaining_ms);
                    free.clamp(ACQUIRE_EAGER, limits::CONTROL_LEASE_TTL)
                };
                state.next_exchange = now + wait + cx.fx.jitter(ACQUIRE_JITTER);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                state.next_exchange = now + retry;
            }
        }
    }

    fn granted(&mut self, cx: &mut Context<'_>, worker: &WorkerId, sent: Monotonic, grant: &Grant) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let is_same = state.stamp == Some(grant.stamp);
        state.stamp = Some(grant.stamp);
        state.lease.granted(sent, now, grant.stamp, grant.clock);
        state.rival = None;
        state.is_retry = false;
        state.next_exchange = sent + limits::CONTROL_LEASE_RENEWAL;
        state.sweep_at = now;
        let changes = state.mirror.reset(now, grant, is_same);
        let detail = format!("epoch {}, {} tasks", grant.stamp.epoch, grant.tasks.len());
        cx.fx.record("lease.acquired", worker.as_str(), detail);
        self.note_changes(cx, worker, &changes);
    }

    fn renew(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(stamp) = state.lease.stamp(now) else {
            return;
        };
        state.exchange = Exchange::Renew;
        let is_prompt = state.is_retry || state.release.is_some();
        let (wait, timeout) = if is_prompt {
            (Duration::ZERO, PROMPT_TIMEOUT)
        } else {
            (RENEW_WAIT, RENEW_TIMEOUT)
        };
        let request = WorkerRequest::Renew {
            stamp,
            keep_runs: self.polls.keep_runs(now, &state.mirror),
            since: state.mirror.seq,
            wait_ms: millis(wait),
        };
        let step = effects::Step::Control(Step::Renew {
            worker: worker.clone(),
            sent: now,
        });
        cx.fx.call_worker(cx.shared, step, worker, request, timeout);
    }

    pub(super) fn renewed(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        sent: Monotonic,
        outcome: Outcome<WorkerReply>,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.exchange = Exchange::None;
        let Outcome::Done(reply) = outcome else {
            state.is_retry = true;
            state.next_exchange = sent + RENEW_SPACING;
            return;
        };
        if !self.extend(cx, worker, sent, reply) {
            self.lose(cx, worker, "renewal refused");
        }
    }

    /// Takes in a successful renewal. Returns false if the reply is none.
    fn extend(
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
            RENEW_SPACING
        } else {
            limits::CONTROL_LEASE_RENEWAL
        };
        state.next_exchange = sent + spacing;
        if leaving && !state.mirror.leaving {
            cx.fx
                .record("worker.leaving", worker.as_str(), String::new());
        }
        let changes = state.mirror.renew(now, seq, leaving, changes);
        state.mirror.settle(clock);
        self.note_changes(cx, worker, &changes);
        true
    }

    fn release(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(stamp) = state.lease.held_stamp() else {
            return;
        };
        state.exchange = Exchange::Release;
        let step = effects::Step::Control(Step::Release {
            worker: worker.clone(),
        });
        let request = WorkerRequest::Release { stamp };
        cx.fx
            .call_worker(cx.shared, step, worker, request, PROMPT_TIMEOUT);
    }

    /// Ends the use of a lease. If the reply is lost, the lease runs out by itself.
    pub(super) fn released(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        outcome: Outcome<WorkerReply>,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.exchange = Exchange::None;
        state.lease.drop_lease();
        state.release = None;
        state.undeclared.clear();
        state.next_exchange = cx.now.mono + ACQUIRE_RETRY;
        let detail = match outcome {
            Outcome::Done(_) => String::new(),
            Outcome::NoEffect(error) | Outcome::Unknown(error) => error.to_string(),
        };
        cx.fx.record("lease.released", worker.as_str(), detail);
    }
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
