//! Polls holders for task states and queries the outcome of uncertain attempts.

use std::collections::BTreeMap;

use daisymast_ledger::keys;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskReport;
use daisymast_runs::lease;
use daisymast_runs::task::Phase;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, Partition, RunKey, TaskKey, WorkerId};
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::partitions::LedgerPartitions;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Acknowledgements that may be pending. A result beyond this limit is kept by its worker until the
/// worker's own limit evicts it.
const PENDING_ACKS_MAX: usize = 65_536;
/// Outcome queries that may be open at one time.
const RESOLVING_MAX: usize = 64;

/// A poll of one holder for the runs of one partition.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    partition: Partition,
    holder: InstanceId,
    runs: Vec<RunKey>,
    recorded: Vec<(WorkerId, TaskKey)>,
    sent: Monotonic,
}

impl Runs {
    /// Polls each holder for the runs that have tasks on its workers. A poll also extends the
    /// leases of these tasks, so polling stops when the partition's ownership has not been
    /// confirmed within [`lease::MAX_CONFIRMATION_AGE`]: otherwise a fenced owner would keep tasks
    /// alive for ever.
    pub(crate) fn poll_holders(&mut self, cx: &mut Context<'_>, partitions: &LedgerPartitions) {
        let holders = holders(cx);
        let mut polls: BTreeMap<(Partition, InstanceId), Poll> = BTreeMap::new();
        for (key, run) in &self.runs {
            if self.closing.contains(key) {
                continue;
            }
            for (_, task) in run.tasks() {
                if !matches!(task.phase, Phase::Active { .. } | Phase::Starting) {
                    continue;
                }
                let holder = task.worker.as_ref().and_then(|worker| holders.get(worker));
                if let Some(holder) = holder {
                    let poll = poll_entry(&mut polls, cx, *key, holder);
                    if poll.runs.last() != Some(key) {
                        poll.runs.push(*key);
                    }
                }
            }
        }
        self.add_acks(cx, &holders, &mut polls);
        for poll in polls.into_values() {
            self.send_poll(cx, partitions, poll);
        }
    }

    /// Adds the pending acknowledgements to the polls of the workers' holders. Those of a worker
    /// without a holder stay pending.
    fn add_acks(
        &mut self,
        cx: &Context<'_>,
        holders: &FastMap<WorkerId, InstanceId>,
        polls: &mut BTreeMap<(Partition, InstanceId), Poll>,
    ) {
        for (worker, task) in std::mem::take(&mut self.pending_acks) {
            if !self.owned.contains_key(&keys::partition_of_run(task.run)) {
                continue;
            }
            match holders.get(&worker) {
                Some(holder) => poll_entry(polls, cx, task.run, holder)
                    .recorded
                    .push((worker, task)),
                None => self.pending_acks.push((worker, task)),
            }
        }
    }

    fn send_poll(&mut self, cx: &mut Context<'_>, partitions: &LedgerPartitions, poll: Poll) {
        let confirmed = partitions
            .ownership_confirmed_at(poll.partition)
            .is_some_and(|at| cx.now.mono - at < lease::MAX_CONFIRMATION_AGE);
        let poll_key = (poll.partition, poll.holder.clone());
        let Some(epoch) = self.owned.get(&poll.partition).copied() else {
            return;
        };
        if !confirmed || !self.open_polls.insert(poll_key) {
            self.pending_acks.extend(poll.recorded);
            return;
        }
        let request = PeerRequest::PollRuns {
            partition: poll.partition,
            epoch,
            runs: poll.runs.clone(),
            recorded: poll.recorded.iter().map(|(_, task)| *task).collect(),
        };
        let holder = poll.holder.clone();
        let pending = outbox::PendingCall::Runs(PendingCall::Poll(poll));
        cx.outbox
            .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn on_poll_reply(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
        poll: Poll,
        outcome: Outcome<PeerReply>,
    ) {
        self.open_polls
            .remove(&(poll.partition, poll.holder.clone()));
        let now = cx.now.mono;
        if outcome == Outcome::Done(PeerReply::StaleEpoch) {
            partitions.verify_ownership(cx, poll.partition);
        }
        let Outcome::Done(PeerReply::Runs(reports)) = outcome else {
            for key in &poll.runs {
                if let Some(run) = self.runs.get_mut(key) {
                    run.on_poll_failed(now);
                }
            }
            self.pending_acks.extend(poll.recorded);
            return;
        };
        for (worker, report) in reports {
            self.on_task_report(worker, &report, now);
        }
        for key in &poll.runs {
            if let Some(run) = self.runs.get_mut(key) {
                run.on_poll_reply(poll.sent, |worker| {
                    cx.shared.view.holder(now, worker).as_ref() == Some(&poll.holder)
                });
            }
        }
    }

    fn on_task_report(&mut self, worker: WorkerId, report: &TaskReport, now: Monotonic) {
        let key = report.spec.key;
        let is_result_recorded = self
            .runs
            .get_mut(&key.run)
            .is_some_and(|run| run.on_report(report, now));
        if is_result_recorded && self.pending_acks.len() < PENDING_ACKS_MAX {
            self.pending_acks.push((worker, key));
        }
    }

    /// Asks the holders for the outcome of attempts that may or may not be running.
    pub(crate) fn resolve_uncertain(&mut self, cx: &mut Context<'_>) {
        let uncertain: Vec<(TaskKey, WorkerId)> = self
            .active_runs()
            .flat_map(|run| {
                let indexes = run.uncertain_tasks().into_iter();
                indexes.filter_map(|index| Some((run.key(index), run.task(index)?.worker.clone()?)))
            })
            .collect();
        for (task, worker) in uncertain {
            let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) else {
                continue;
            };
            if self.resolving.len() >= RESOLVING_MAX || !self.resolving.insert(task) {
                continue;
            }
            let request = PeerRequest::ResolveTask { worker, task };
            let pending = outbox::PendingCall::Runs(PendingCall::Resolve(task));
            cx.outbox
                .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn on_resolve_reply(
        &mut self,
        cx: &mut Context<'_>,
        key: TaskKey,
        outcome: Outcome<PeerReply>,
    ) {
        self.resolving.remove(&key);
        if let (Outcome::Done(PeerReply::Fate(fate)), Some(run)) =
            (outcome, self.runs.get_mut(&key.run))
        {
            run.on_fate(key, &fate, cx.now.mono);
        }
    }
}

/// Holder of each worker according to the instances' heartbeats. Built once per pass, because a
/// lookup of one worker in the view takes time linear in the number of workers.
fn holders(cx: &Context<'_>) -> FastMap<WorkerId, InstanceId> {
    let view = &cx.shared.view;
    let members = view.peers(cx.now.mono).chain(std::iter::once(view.own()));
    let mut holders = FastMap::default();
    for member in members {
        for worker in &member.workers {
            holders
                .entry(worker.clone())
                .or_insert_with(|| member.instance.clone());
        }
    }
    holders
}

/// The poll of a holder for the partition of `run`, added if it is missing.
fn poll_entry<'a>(
    polls: &'a mut BTreeMap<(Partition, InstanceId), Poll>,
    cx: &Context<'_>,
    run: RunKey,
    holder: &InstanceId,
) -> &'a mut Poll {
    let partition = keys::partition_of_run(run);
    polls
        .entry((partition, holder.clone()))
        .or_insert_with(|| Poll {
            partition,
            holder: holder.clone(),
            runs: Vec::new(),
            recorded: Vec::new(),
            sent: cx.now.mono,
        })
}
