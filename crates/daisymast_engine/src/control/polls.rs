//! Polls by run owners: extends the polled runs and returns the state of their tasks.

use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::task::TaskReport;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{Epoch, Partition, RunKey, TaskKey, WorkerId};
use daisymast_types::time::Monotonic;

use super::mirror::Mirror;
use super::{CALL_TIMEOUT, Control, PendingCall};
use crate::shared::Context;

/// Time for which a run is extended on the workers after the last poll of its owner. Owners rely on
/// it to compute when a task has certainly expired.
const RUN_TTL: Duration = Duration::from_secs(3);
/// Upper bound of the number of extended runs.
const MAX_RUNS: usize = 65_536;
/// Largest number of tasks in one `Forget`.
const FORGET_BATCH: usize = 256;

/// Runs that their owners have polled recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Polls {
    /// Highest owner epoch seen for each partition. Polls of lower epochs are refused.
    epochs: FastMap<Partition, Epoch>,
    /// Time until which each run is extended.
    kept_until: FastMap<RunKey, Monotonic>,
    next_expiry: Monotonic,
}

impl Polls {
    /// Runs on the worker that its next lease renewal extends.
    pub(super) fn keep_runs(&self, now: Monotonic, mirror: &Mirror) -> Vec<RunKey> {
        let mut runs: Vec<RunKey> = mirror
            .runs()
            .filter(|run| self.kept_until.get(run).is_some_and(|until| now < *until))
            .collect();
        runs.sort_unstable();
        runs.dedup();
        runs
    }

    /// Removes runs that are no longer extended.
    pub(super) fn expire(&mut self, now: Monotonic) {
        if now >= self.next_expiry {
            self.next_expiry = now + RUN_TTL;
            self.kept_until.retain(|_, until| now < *until);
        }
    }
}

impl Control {
    /// Extends `runs` and returns their tasks on the held workers. `recorded` lists tasks whose
    /// results the owner has recorded.
    pub(super) fn poll_runs(
        &mut self,
        cx: &mut Context<'_>,
        (partition, epoch): (Partition, Epoch),
        runs: &[RunKey],
        recorded: &[TaskKey],
    ) -> PeerReply {
        let now = cx.now.mono;
        let seen = self.polls.epochs.entry(partition).or_default();
        if epoch < *seen {
            return PeerReply::StaleEpoch;
        }
        *seen = epoch;
        for run in runs {
            if self.polls.kept_until.len() < MAX_RUNS || self.polls.kept_until.contains_key(run) {
                self.polls.kept_until.insert(*run, now + RUN_TTL);
            }
        }
        self.forget_recorded(cx, recorded);
        let wanted: FastSet<RunKey> = runs.iter().copied().collect();
        let mut found: Vec<(WorkerId, TaskReport)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.usable_stamp(now).is_some() {
                let tasks = worker.mirror.tasks();
                let tasks = tasks.filter(|task| wanted.contains(&task.report.spec.key.run));
                found.extend(tasks.map(|task| (id.clone(), task.report.clone())));
            }
        }
        found.sort_by(|a, b| (a.1.spec.key, &a.0).cmp(&(b.1.spec.key, &b.0)));
        PeerReply::Runs(found)
    }

    /// Tells the held workers to drop ended tasks whose results are recorded.
    fn forget_recorded(&mut self, cx: &mut Context<'_>, recorded: &[TaskKey]) {
        if recorded.is_empty() {
            return;
        }
        for worker in self.sorted_workers() {
            let ended: Vec<TaskKey> = self.workers.get(&worker).map_or_else(Vec::new, |state| {
                let known = recorded.iter().copied();
                known.filter(|task| state.mirror.is_ended(task)).collect()
            });
            self.forget(cx, &worker, ended);
        }
    }

    /// Tells a worker to drop ended tasks, except those of a `Forget` that is still open.
    pub(super) fn forget(&mut self, cx: &mut Context<'_>, worker: &WorkerId, tasks: Vec<TaskKey>) {
        let Some((state, stamp)) = self.usable_worker(cx.now.mono, worker) else {
            return;
        };
        let tasks: Vec<TaskKey> = tasks
            .into_iter()
            .filter(|task| state.forgetting.insert(*task))
            .collect();
        for batch in tasks.chunks(FORGET_BATCH) {
            let tasks = batch.to_vec();
            let pending = PendingCall::Forget {
                worker: worker.clone(),
                tasks: tasks.clone(),
            };
            self.call(
                cx,
                pending,
                WorkerRequest::Forget { stamp, tasks },
                CALL_TIMEOUT,
            );
        }
    }

    pub(super) fn on_forget_reply(
        &mut self,
        worker: &WorkerId,
        tasks: &[TaskKey],
        outcome: &Outcome<WorkerReply>,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        for task in tasks {
            state.forgetting.remove(task);
        }
        if *outcome == Outcome::Done(WorkerReply::Ok) {
            state.mirror.forget(tasks);
        }
    }
}
