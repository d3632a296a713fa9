//! Polls holders for the states of tasks and asks workers after attempts in doubt.

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

use crate::claims::Claims;
use crate::outbox;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Results that wait to be forgotten. A result beyond that stays at its worker until the worker
/// drops it by its own bound.
const FORGET_MAX: usize = 65_536;
/// Questions after attempts that may be open at one time.
const RESOLVING_MAX: usize = 64;

/// One poll.
#[derive(Clone, Debug)]
pub(crate) struct Poll {
    partition: Partition,
    holder: InstanceId,
    runs: Vec<RunKey>,
    recorded: Vec<(WorkerId, TaskKey)>,
    sent: Monotonic,
}

impl Runs {
    /// Polls each holder for the runs that have tasks on its workers. Polls end when the ownership
    /// was not confirmed for too long, so that a fenced owner keeps no task alive for ever.
    pub(crate) fn poll_holders(&mut self, cx: &mut Context<'_>, claims: &Claims) {
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
                    let poll = poll_of(&mut polls, cx, *key, holder);
                    if poll.runs.last() != Some(key) {
                        poll.runs.push(*key);
                    }
                }
            }
        }
        self.add_forgotten(cx, &holders, &mut polls);
        for poll in polls.into_values() {
            self.send_poll(cx, claims, poll);
        }
    }

    fn add_forgotten(
        &mut self,
        cx: &Context<'_>,
        holders: &FastMap<WorkerId, InstanceId>,
        polls: &mut BTreeMap<(Partition, InstanceId), Poll>,
    ) {
        for (worker, task) in std::mem::take(&mut self.forget) {
            if !self.owned.contains_key(&keys::of_run(task.run)) {
                continue;
            }
            match holders.get(&worker) {
                Some(holder) => poll_of(polls, cx, task.run, holder)
                    .recorded
                    .push((worker, task)),
                None => self.forget.push((worker, task)),
            }
        }
    }

    fn send_poll(&mut self, cx: &mut Context<'_>, claims: &Claims, poll: Poll) {
        let confirmed = claims
            .confirmed(poll.partition)
            .is_some_and(|at| cx.now.mono - at < lease::CONFIRMED_WITHIN);
        let open = (poll.partition, poll.holder.clone());
        let Some(epoch) = self.owned.get(&poll.partition).copied() else {
            return;
        };
        if !confirmed || !self.polls_open.insert(open) {
            self.forget.extend(poll.recorded);
            return;
        }
        let request = PeerRequest::PollRuns {
            partition: poll.partition,
            epoch,
            runs: poll.runs.clone(),
            recorded: poll.recorded.iter().map(|(_, task)| *task).collect(),
        };
        let holder = poll.holder.clone();
        let step = outbox::PendingCall::Runs(PendingCall::Poll(poll));
        cx.outbox
            .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn poll_reply(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        poll: Poll,
        outcome: Outcome<PeerReply>,
    ) {
        self.polls_open
            .remove(&(poll.partition, poll.holder.clone()));
        let now = cx.now.mono;
        if outcome == Outcome::Done(PeerReply::StaleEpoch) {
            claims.check(cx, poll.partition);
        }
        let Outcome::Done(PeerReply::Runs(reports)) = outcome else {
            for key in &poll.runs {
                if let Some(run) = self.runs.get_mut(key) {
                    run.on_poll_failed(now);
                }
            }
            self.forget.extend(poll.recorded);
            return;
        };
        for (worker, report) in reports {
            self.reported(worker, &report, now);
        }
        for key in &poll.runs {
            if let Some(run) = self.runs.get_mut(key) {
                run.on_polled(poll.sent, |worker| {
                    cx.shared.view.holder(now, worker).as_ref() == Some(&poll.holder)
                });
            }
        }
    }

    fn reported(&mut self, worker: WorkerId, report: &TaskReport, now: Monotonic) {
        let key = report.spec.key;
        let forget = self
            .runs
            .get_mut(&key.run)
            .is_some_and(|run| run.on_report(report, now));
        if forget && self.forget.len() < FORGET_MAX {
            self.forget.push((worker, key));
        }
    }

    /// Asks the holders after attempts that may or may not run.
    pub(crate) fn ask_after_doubtful(&mut self, cx: &mut Context<'_>) {
        let doubtful: Vec<(TaskKey, WorkerId)> = self
            .active_runs()
            .flat_map(|run| {
                let asked = run.doubtful().into_iter();
                asked.filter_map(|index| Some((run.key(index), run.task(index)?.worker.clone()?)))
            })
            .collect();
        for (task, worker) in doubtful {
            let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) else {
                continue;
            };
            if self.resolving.len() >= RESOLVING_MAX || !self.resolving.insert(task) {
                continue;
            }
            let request = PeerRequest::ResolveTask { worker, task };
            let step = outbox::PendingCall::Runs(PendingCall::Resolve(task));
            cx.outbox
                .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn resolve_reply(
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

/// Holder of each worker, as the instances tell. Built once a round, because looking up each task's
/// worker in the view takes time in proportion to all workers.
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

fn poll_of<'a>(
    polls: &'a mut BTreeMap<(Partition, InstanceId), Poll>,
    cx: &Context<'_>,
    run: RunKey,
    holder: &InstanceId,
) -> &'a mut Poll {
    let partition = keys::of_run(run);
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
