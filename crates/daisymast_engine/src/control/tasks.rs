//! Starts, stops and resolves tasks on held workers and reserves capacity on them.

use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, Replicas, WorkerCapacity};
use daisymast_protocol::task::{Kind, TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::collections::FastSet;
use daisymast_types::ids::{RunKey, TaskKey, Token, WorkerId};

use super::mirror::PendingStart;
use super::serving::is_leaving;
use super::worker::Worker;
use super::{CALL_TIMEOUT, Control, PendingCall, Resources};
use crate::shared::Context;

/// Lifetime of a reservation.
pub(super) const RESERVATION_TTL: Duration = Duration::from_secs(2);
/// Largest number of reservations and pending starts of one worker.
pub(super) const MAX_OUTSTANDING: usize = 256;

impl Control {
    /// Total and free capacity of the held workers, sorted by worker.
    pub(super) fn capacity(&self, cx: &Context<'_>) -> PeerReply {
        let now = cx.now.mono;
        let mut found: Vec<WorkerCapacity> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.usable_stamp(now).is_some())
            .map(|(id, worker)| WorkerCapacity {
                worker: id.clone(),
                capacity: worker.mirror.capacity,
                free: worker.mirror.free(now, None),
                open: worker.quarantine.allows_start(now) && !is_leaving(cx, worker, id),
                teams: worker.mirror.usage_by_team(),
                classes: worker.mirror.usage_by_urgency(),
            })
            .collect();
        found.sort_by(|a, b| a.worker.cmp(&b.worker));
        PeerReply::Capacity(found)
    }

    /// Replicas of the given service runs on the held workers, running or starting.
    pub(super) fn replicas(&self, cx: &Context<'_>, runs: &[RunKey]) -> PeerReply {
        let wanted: FastSet<RunKey> = runs.iter().copied().collect();
        let mut found = Replicas::default();
        for (id, worker) in &self.workers {
            if worker.usable_stamp(cx.now.mono).is_none() {
                continue;
            }
            found.held.push(id.clone());
            if is_leaving(cx, worker, id) {
                found.leaving.push(id.clone());
            }
            let tasks = worker.mirror.started_or_starting();
            let tasks = tasks.filter(|task| wanted.contains(&task.run));
            found.replicas.extend(tasks.map(|task| (id.clone(), task)));
        }
        found.held.sort_unstable();
        found.leaving.sort_unstable();
        found
            .replicas
            .sort_unstable_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        PeerReply::Replicas(found)
    }

    /// Sends a start and counts its size as used. Returns a reply only if it cannot be sent.
    pub(super) fn start(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        worker: WorkerId,
        task: TaskSpec,
    ) -> Option<PeerReply> {
        let now = cx.now.mono;
        let Some((state, stamp)) = self.usable_worker(now, &worker) else {
            return Some(self.not_holder(cx, &worker));
        };
        if let Some(refusal) = start_refusal(cx, state, &worker, &task) {
            return Some(PeerReply::Refused(refusal));
        }
        let not_after = state.lease.not_after(now, CALL_TIMEOUT).unwrap_or_default();
        let pending_start = PendingStart {
            spec: task.clone(),
            not_after,
            awaits_reply: true,
        };
        state.mirror.add_pending_start(task.key, pending_start);
        state.quarantine.record_start(now);
        let pending = PendingCall::Start {
            worker,
            token,
            task: task.key,
        };
        let request = WorkerRequest::Start {
            stamp,
            not_after,
            task,
        };
        self.call(cx, pending, request, CALL_TIMEOUT);
        None
    }

    pub(super) fn on_start_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        token: Token,
        task: TaskKey,
        outcome: Outcome<WorkerReply>,
    ) {
        let reply = match outcome {
            Outcome::Done(WorkerReply::Ok) => {
                self.mark_started(cx, worker, task);
                PeerReply::Ok
            }
            Outcome::Done(WorkerReply::Refused { reason }) => {
                self.remove_pending_start(worker, task);
                match reason {
                    Refusal::StaleLease => self.not_holder(cx, worker),
                    reason => PeerReply::Refused(reason),
                }
            }
            Outcome::NoEffect(_) => {
                self.remove_pending_start(worker, task);
                PeerReply::Refused(Refusal::NoCapacity)
            }
            Outcome::Done(_) | Outcome::Unknown(_) => {
                if let Some(state) = self.workers.get_mut(worker) {
                    state.mirror.mark_outcome_unknown(&task);
                }
                PeerReply::Uncertain
            }
        };
        cx.outbox.answer_peer(token, reply);
    }

    /// Sends a stop on behalf of a peer. Returns a reply only if the worker is not held.
    pub(super) fn stop(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        worker: WorkerId,
        task: TaskKey,
    ) -> Option<PeerReply> {
        if self.usable_worker(cx.now.mono, &worker).is_none() {
            return Some(self.not_holder(cx, &worker));
        }
        self.send_stop(cx, &worker, task, Some(token), true);
        None
    }

    /// Sends a stop if the lease is valid. `keeps_progress` asks for a checkpoint, except of
    /// services, which have no progress to save.
    pub(super) fn send_stop(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        task: TaskKey,
        token: Option<Token>,
        keeps_progress: bool,
    ) {
        let Some((state, stamp)) = self.usable_worker(cx.now.mono, worker) else {
            return;
        };
        let kind = state.mirror.task(&task).map(|known| known.report.spec.kind);
        let request = WorkerRequest::Stop {
            stamp,
            task,
            checkpoint: keeps_progress && kind != Some(Kind::Service),
        };
        let worker = worker.clone();
        self.call(
            cx,
            PendingCall::Stop { worker, token },
            request,
            CALL_TIMEOUT,
        );
    }

    #[expect(clippy::unused_self, reason = "same signature as other handlers")]
    pub(super) fn on_stop_reply(
        &self,
        cx: &mut Context<'_>,
        token: Option<Token>,
        outcome: Outcome<WorkerReply>,
    ) {
        let Some(token) = token else { return };
        let reply = match outcome {
            Outcome::Done(WorkerReply::Ok) => PeerReply::Ok,
            Outcome::Done(WorkerReply::Refused {
                reason: Refusal::StaleLease,
            }) => PeerReply::NotHolder { holder: None },
            Outcome::Done(WorkerReply::Refused { reason }) => PeerReply::Refused(reason),
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => PeerReply::Uncertain,
        };
        cx.outbox.answer_peer(token, reply);
    }

    /// Queries the worker for the outcome of a task attempt.
    pub(super) fn resolve_task(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        worker: WorkerId,
        task: TaskKey,
    ) -> Option<PeerReply> {
        if self.usable_worker(cx.now.mono, &worker).is_none() {
            return Some(self.not_holder(cx, &worker));
        }
        let request = WorkerRequest::ResolveTask { task };
        let pending = PendingCall::ResolveTask {
            worker,
            token,
            task,
        };
        self.call(cx, pending, request, CALL_TIMEOUT);
        None
    }

    pub(super) fn on_resolve_task_reply(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        token: Token,
        task: TaskKey,
        outcome: Outcome<WorkerReply>,
    ) {
        let Outcome::Done(WorkerReply::Resolved { fate }) = outcome else {
            cx.outbox.answer_peer(token, PeerReply::Uncertain);
            return;
        };
        match &fate {
            Fate::NeverRan => self.remove_pending_start(worker, task),
            Fate::Running => self.mark_started(cx, worker, task),
            Fate::Ended { report } if report.spec.key == task => {
                self.apply_report(cx, worker, report.clone());
            }
            Fate::Ended { .. } | Fate::Answered { .. } | Fate::Failed => {}
        }
        cx.outbox.answer_peer(token, PeerReply::Fate(fate));
    }

    /// Reserves capacity for a run. Replaces an earlier reservation of the same run.
    pub(super) fn reserve(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        run: RunKey,
        size: Resources,
    ) -> PeerReply {
        let now = cx.now.mono;
        let Some((state, _)) = self.usable_worker(now, worker) else {
            return self.not_holder(cx, worker);
        };
        if is_leaving(cx, state, worker) {
            return PeerReply::Refused(Refusal::Leaving);
        }
        state.mirror.expire(now);
        let has_room = size.fits_in(state.mirror.free(now, Some(run)))
            && state.mirror.outstanding() < MAX_OUTSTANDING
            && !state.quarantine.is_active();
        if !has_room {
            return PeerReply::Refused(Refusal::NoCapacity);
        }
        state.mirror.reserve(run, size, now + RESERVATION_TTL);
        PeerReply::Ok
    }

    pub(super) fn unreserve(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        run: RunKey,
    ) -> PeerReply {
        let Some((state, _)) = self.usable_worker(cx.now.mono, worker) else {
            return self.not_holder(cx, worker);
        };
        state.mirror.unreserve(run);
        PeerReply::Ok
    }

    /// Removes a pending start that certainly took no effect.
    fn remove_pending_start(&mut self, worker: &WorkerId, task: TaskKey) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.mirror.remove_pending_start(&task);
        }
    }

    /// Turns a pending start into a running task.
    fn mark_started(&mut self, cx: &mut Context<'_>, worker: &WorkerId, task: TaskKey) {
        let pending_start = self
            .workers
            .get(worker)
            .and_then(|state| state.mirror.pending_start(&task));
        if let Some(pending_start) = pending_start {
            let report = TaskReport {
                spec: pending_start.spec.clone(),
                state: TaskState::Running,
                elapsed_ms: 0,
            };
            self.apply_report(cx, worker, report);
        }
    }

    fn apply_report(&mut self, cx: &mut Context<'_>, worker: &WorkerId, report: TaskReport) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(change) = state.mirror.apply_report(cx.now.mono, report) {
            self.record_changes(cx, worker, &[change]);
        }
    }
}

/// Reason why a task cannot be started, or `None` if it can.
fn start_refusal(
    cx: &Context<'_>,
    state: &Worker,
    worker: &WorkerId,
    task: &TaskSpec,
) -> Option<Refusal> {
    let now = cx.now.mono;
    let has_room = task
        .size
        .fits_in(state.mirror.free(now, Some(task.key.run)))
        && state.mirror.outstanding() < MAX_OUTSTANDING;
    if is_leaving(cx, state, worker) {
        Some(Refusal::Leaving)
    } else if state.mirror.contains(&task.key) {
        Some(Refusal::Duplicate)
    } else if !has_room || !state.quarantine.allows_start(now) {
        Some(Refusal::NoCapacity)
    } else {
        None
    }
}
