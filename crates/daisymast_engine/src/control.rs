//! Acquires control leases on workers of the local zone and runs operations on the held workers for
//! other components and instances.

mod hand_over;
mod leases;
mod mirror;
mod polls;
mod preferences;
mod quarantine;
mod reclaim;
mod serving;
mod sweep;
mod tasks;
#[cfg(test)]
mod tests;
mod worker;

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{LeaseStamp, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, JobName, RequestId, TaskKey, Token, WorkerId};
use daisymast_types::quantities::Resources;
use daisymast_types::time::{Monotonic, Timestamp};

use crate::outbox;
use crate::shared::Context;
use mirror::TaskChange;
use polls::Polls;
use preferences::Preferences;
use sweep::DeclaredJobs;
use worker::Worker;

/// Timeout of calls that a worker answers without waiting.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Context of an open call, which determines how its reply is handled.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Acquisition of the control lease.
    Acquire { worker: WorkerId, sent: Monotonic },
    /// Renewal of the control lease.
    Renew { worker: WorkerId, sent: Monotonic },
    /// Release of the control lease.
    Release { worker: WorkerId },
    /// Request to the current holder to release the lease.
    HandOver { worker: WorkerId },
    /// Request of a caller that was sent to a replica.
    Serve {
        worker: WorkerId,
        token: Token,
        id: RequestId,
        service: JobName,
        sent: Monotonic,
    },
    /// Start of a task.
    Start {
        worker: WorkerId,
        token: Token,
        task: TaskKey,
    },
    /// Stop of a task. `token` is `None` if no peer asked for it, for example because the manifest
    /// no longer declares the task's job.
    Stop {
        worker: WorkerId,
        token: Option<Token>,
    },
    /// Query for the outcome of a request.
    Resolve {
        worker: WorkerId,
        token: Token,
        id: RequestId,
    },
    /// Query for the outcome of a task attempt.
    ResolveTask {
        worker: WorkerId,
        token: Token,
        task: TaskKey,
    },
    /// Order to drop the results of ended tasks.
    Forget {
        worker: WorkerId,
        tasks: Vec<TaskKey>,
    },
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Control {
    workers: FastMap<WorkerId, Worker>,
    preferences: Preferences,
    polls: Polls,
    declared: DeclaredJobs,
}

impl Control {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.refresh_preferences(cx);
        self.polls.expire(cx.now.mono);
        for worker in self.sorted_workers() {
            self.advance_lease(cx, &worker);
        }
    }

    /// Stops undeclared tasks. Called after all starts of the tick were sent.
    pub(crate) fn on_tick_end(&mut self, cx: &mut Context<'_>) {
        self.sweep(cx);
    }

    /// Answers `Endpoints`, `Serve`, `Resolve`, `Start`, `Capacity`, `Replicas`, `PollRuns`,
    /// `Stop`, `ResolveTask`, `Reserve`, `Unreserve`, `Reclaim` and `HandOver`.
    pub(crate) fn on_peer(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        from: &InstanceId,
        request: PeerRequest,
    ) {
        let answer = match request {
            PeerRequest::Endpoints { service } => Some(self.endpoints(cx, &service)),
            PeerRequest::Serve {
                worker,
                boot,
                request,
            } => self.serve(cx, token, (worker, boot), request),
            PeerRequest::Resolve { worker, boot, id } => {
                self.resolve(cx, token, (worker, boot), id)
            }
            PeerRequest::Start { worker, task } => self.start(cx, token, worker, task),
            PeerRequest::Capacity => Some(self.capacity(cx)),
            PeerRequest::Replicas { runs } => Some(self.replicas(cx, &runs)),
            PeerRequest::PollRuns {
                partition,
                epoch,
                runs,
                recorded,
            } => Some(self.poll_runs(cx, (partition, epoch), &runs, &recorded)),
            PeerRequest::Stop { worker, task } => self.stop(cx, token, worker, task),
            PeerRequest::ResolveTask { worker, task } => self.resolve_task(cx, token, worker, task),
            PeerRequest::Reserve { worker, run, size } => {
                Some(self.reserve(cx, &worker, run, size))
            }
            PeerRequest::Unreserve { worker, run } => Some(self.unreserve(cx, &worker, run)),
            PeerRequest::Reclaim {
                worker,
                run,
                size,
                classes,
            } => Some(self.reclaim(cx, &worker, (run, size), &classes)),
            PeerRequest::HandOver { worker } => Some(self.hand_over(cx, from, &worker)),
            _ => None,
        };
        if let Some(answer) = answer {
            cx.outbox.answer_peer(token, answer);
        }
    }

    pub(crate) fn on_worker(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<WorkerReply>,
    ) {
        let worker = pending.worker().clone();
        if pending.is_call() {
            if let Some(state) = self.workers.get_mut(&worker) {
                state.open_calls = state.open_calls.saturating_sub(1);
            }
            self.handle_stale_lease(cx, &worker, &outcome);
        }
        match pending {
            PendingCall::Acquire { sent, .. } => self.on_acquire_reply(cx, &worker, sent, outcome),
            PendingCall::Renew { sent, .. } => self.on_renew_reply(cx, &worker, sent, outcome),
            PendingCall::Release { .. } => self.on_release_reply(cx, &worker, outcome),
            PendingCall::Serve {
                token,
                id,
                service,
                sent,
                ..
            } => self.on_serve_reply(cx, &worker, (token, sent), (&id, &service), outcome),
            PendingCall::Start { token, task, .. } => {
                self.on_start_reply(cx, &worker, token, task, outcome);
            }
            PendingCall::Stop { token, .. } => self.on_stop_reply(cx, token, outcome),
            PendingCall::Resolve { token, id, .. } => {
                self.on_resolve_reply(cx, token, &id, outcome);
            }
            PendingCall::ResolveTask { token, task, .. } => {
                self.on_resolve_task_reply(cx, &worker, token, task, outcome);
            }
            PendingCall::Forget { tasks, .. } => self.on_forget_reply(&worker, &tasks, &outcome),
            PendingCall::HandOver { .. } => {}
        }
        self.advance_lease(cx, &worker);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        if let PendingCall::HandOver { worker } = pending {
            self.on_hand_over_reply(cx, &worker, &outcome);
        }
    }

    /// Workers on which this instance may act at `now`, sorted.
    pub(crate) fn held(&self, now: Timestamp) -> Vec<WorkerId> {
        let mut held: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.usable_stamp(now.mono).is_some())
            .map(|(id, _)| id.clone())
            .collect();
        held.sort_unstable();
        held
    }

    /// Number of running tasks of each job on the held workers, sorted by job.
    pub(crate) fn running(&self) -> Vec<(JobName, u32)> {
        let mut counts: BTreeMap<&JobName, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            if worker.lease.held_stamp().is_some() {
                for (job, count) in worker.mirror.running() {
                    *counts.entry(job).or_default() += count;
                }
            }
        }
        counts
            .into_iter()
            .map(|(job, count)| (job.clone(), count))
            .collect()
    }

    /// Whether no control lease is held and no call to a worker is open.
    pub(crate) fn is_released(&self) -> bool {
        self.workers.values().all(Worker::is_idle)
    }

    /// Ids of all managed workers. They are sorted so that tests on a virtual clock are
    /// reproducible.
    fn sorted_workers(&self) -> Vec<WorkerId> {
        let mut names: Vec<WorkerId> = self.workers.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// The worker's state and lease stamp, or `None` if this instance may not act on it at `now`.
    fn usable_worker(
        &mut self,
        now: Monotonic,
        worker: &WorkerId,
    ) -> Option<(&mut Worker, LeaseStamp)> {
        let state = self.workers.get_mut(worker)?;
        let stamp = state.usable_stamp(now)?;
        Some((state, stamp))
    }

    /// Reply to a request for a worker that this instance does not hold.
    fn not_holder(&self, cx: &Context<'_>, worker: &WorkerId) -> PeerReply {
        PeerReply::NotHolder {
            holder: self.other_holder(cx, worker),
        }
    }

    /// The other instance that holds the worker, according to heartbeats or else to the last reply
    /// that named a holder.
    fn other_holder(&self, cx: &Context<'_>, worker: &WorkerId) -> Option<InstanceId> {
        cx.shared
            .view
            .holder(cx.now.mono, worker)
            .filter(|holder| *holder != cx.config.instance)
            .or_else(|| self.workers.get(worker)?.reported_holder.clone())
    }

    /// Sends a call to a worker and counts it as open until its reply, which delays the release of
    /// the lease.
    fn call(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        request: WorkerRequest,
        timeout: Duration,
    ) {
        let worker = pending.worker().clone();
        if let Some(state) = self.workers.get_mut(&worker) {
            state.open_calls += 1;
        }
        let pending = outbox::PendingCall::Control(pending);
        cx.outbox
            .call_worker(cx.shared, pending, &worker, request, timeout);
    }

    /// Drops the lease if the worker refused its stamp as stale.
    fn handle_stale_lease(
        &mut self,
        cx: &mut Context<'_>,
        worker: &WorkerId,
        outcome: &Outcome<WorkerReply>,
    ) {
        let stale = WorkerReply::Refused {
            reason: Refusal::StaleLease,
        };
        if matches!(outcome, Outcome::Done(reply) if *reply == stale) {
            self.mark_lease_lost(cx, worker, "refused by the worker");
        }
    }

    /// Records started and ended tasks on the timeline and counts ends for the quarantine.
    fn record_changes(&mut self, cx: &mut Context<'_>, worker: &WorkerId, changes: &[TaskChange]) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        for change in changes {
            let detail = format!("{} on {worker}", change.job);
            let Some(ended) = change.ended else {
                cx.outbox
                    .record("task.started", &change.task.to_string(), detail);
                state.next_sweep = cx.now.mono;
                continue;
            };
            let detail = format!("{detail}: {ended:?}").to_lowercase();
            let step = match ended {
                TaskState::Stopped => "task.stopped",
                _ => "task.ended",
            };
            cx.outbox.record(step, &change.task.to_string(), detail);
            if let Some(event) = state.quarantine.record_end(cx.now.mono, ended) {
                cx.outbox.record(event, worker.as_str(), String::new());
            }
        }
    }
}

impl PendingCall {
    fn worker(&self) -> &WorkerId {
        match self {
            Self::Acquire { worker, .. }
            | Self::Renew { worker, .. }
            | Self::Release { worker }
            | Self::HandOver { worker }
            | Self::Serve { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Resolve { worker, .. }
            | Self::ResolveTask { worker, .. }
            | Self::Forget { worker, .. } => worker,
        }
    }

    /// Whether the call was sent by [`Control::call`].
    fn is_call(&self) -> bool {
        !matches!(
            self,
            Self::Acquire { .. }
                | Self::Renew { .. }
                | Self::Release { .. }
                | Self::HandOver { .. }
        )
    }
}
