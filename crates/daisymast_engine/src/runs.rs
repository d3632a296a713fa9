//! Opens due runs, starts their tasks and follows them to the end.

mod gang;
mod opening;
mod placing;
mod polling;
mod quota;
mod reclaiming;
mod recording;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_ledger::effect::Ticket;
use daisymast_ledger::keys;
use daisymast_protocol::operator::RunStatus;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_runs::run::Run;
use daisymast_runs::task::Phase;
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{Epoch, Generation, InstanceId, Partition, RunKey, TaskKey, WorkerId};
use daisymast_types::time::Monotonic;

use crate::claims::Claims;
use crate::runs::gang::Gang;
use crate::runs::placing::Workers;
use crate::runs::reclaiming::Reclaims;
use crate::runs::recording::Recording;
use crate::shared::Context;

/// Time between two rounds of opening, polling and giving up.
const ROUND: Duration = Duration::from_secs(1);
/// Time for a call to a holder.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Free capacity of the workers of an instance.
    Capacity,
    /// Start of an attempt.
    Start { key: TaskKey, worker: WorkerId },
    /// Poll of a holder for the runs of a partition.
    Poll(polling::Poll),
    /// Question after an attempt.
    Resolve(TaskKey),
    /// Reservation of the worker at that position of a gang's plan.
    Reserve { run: RunKey, position: usize },
    /// Request to make room for a task of a run.
    Reclaim { run: RunKey, worker: WorkerId },
    /// A call whose reply changes nothing.
    Ignore,
}

/// The open runs of the partitions that this instance owns.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    owned: FastMap<Partition, Epoch>,
    runs: BTreeMap<RunKey, Run>,
    recordings: FastMap<Ticket, Recording>,
    /// Runs whose opening is being recorded.
    opening: FastSet<RunKey>,
    /// Runs whose end is being recorded; nothing of them is started or polled.
    closing: FastSet<RunKey>,
    /// Runs that no worker can hold, with the time since which that is so and whether it was
    /// reported.
    unfit: FastMap<RunKey, (Monotonic, bool)>,
    gangs: FastMap<RunKey, Gang>,
    workers: Workers,
    reclaims: Reclaims,
    starts_open: usize,
    polls_open: FastSet<(Partition, InstanceId)>,
    resolving: FastSet<TaskKey>,
    /// Ended attempts whose results are recorded, and which their workers may forget.
    forget: Vec<(WorkerId, TaskKey)>,
    round_at: Option<Monotonic>,
    /// Time of the last tick, and time since which all other known instances were heard.
    ticked: Monotonic,
    all_seen_since: Monotonic,
    generation: Generation,
}

impl Runs {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        self.watch_instances(cx);
        self.collect(cx, claims);
        let changed = self.sync_owned(cx, claims);
        let due = self.round_at.is_none_or(|last| cx.now.mono - last >= ROUND);
        if due || changed || self.generation != cx.shared.generation {
            self.round_at = Some(cx.now.mono);
            self.round(cx, claims);
        }
        self.record_ends(cx, claims);
        if !cx.shared.draining {
            self.use_rooms(cx, claims);
            self.place(cx, claims);
            self.reclaim(cx);
        }
        self.send_starts(cx);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<PeerReply>,
        claims: &mut Claims,
    ) {
        match step {
            PendingCall::Capacity => self.capacity_reply(cx, outcome),
            PendingCall::Start { key, worker } => {
                self.start_reply(cx, key, &worker, outcome);
                self.send_starts(cx);
            }
            PendingCall::Poll(poll) => self.poll_reply(cx, claims, poll, outcome),
            PendingCall::Resolve(key) => self.resolve_reply(cx, key, outcome),
            PendingCall::Reserve { run, position } => {
                self.reserve_reply(cx, claims, run, position, &outcome);
            }
            PendingCall::Reclaim { run, worker } => self.reclaim_reply(cx, (run, worker), &outcome),
            PendingCall::Ignore => {}
        }
    }

    /// Progress of the runs that this instance owns.
    pub(crate) fn status(&self) -> Vec<RunStatus> {
        let runs = self.runs.values().map(|run| {
            let mut parked = run.count(|phase| *phase == Phase::Parked);
            if self.is_unfit(run.opened.run) {
                parked += run.count(|phase| matches!(phase, Phase::Waiting(_)));
            }
            RunStatus {
                job: run.opened.job.clone(),
                run: run.opened.run.to_string(),
                done: run.count(|phase| *phase == Phase::Done),
                tasks: run.opened.tasks,
                parked,
            }
        });
        runs.collect()
    }

    /// Drops the runs of partitions that are no longer owned and adopts those of new ones. Returns
    /// whether a partition was added.
    fn sync_owned(&mut self, cx: &mut Context<'_>, claims: &Claims) -> bool {
        let owned: FastMap<Partition, Epoch> = claims.owned().into_iter().collect();
        if owned == self.owned {
            return false;
        }
        let kept = |run: RunKey| {
            let partition = keys::of_run(run);
            owned.contains_key(&partition) && owned.get(&partition) == self.owned.get(&partition)
        };
        let dropped: Vec<RunKey> = self
            .runs
            .keys()
            .copied()
            .filter(|run| !kept(*run))
            .collect();
        for run in dropped {
            self.give_back(cx, run);
            self.drop_run(run);
        }
        let gained: Vec<Partition> = owned
            .iter()
            .filter(|(partition, epoch)| self.owned.get(*partition) != Some(*epoch))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in gained {
            self.adopt_partition(cx, claims, partition);
        }
        self.owned = owned;
        self.opening
            .retain(|run| self.owned.contains_key(&keys::of_run(*run)));
        true
    }

    fn drop_run(&mut self, run: RunKey) {
        self.runs.remove(&run);
        self.closing.remove(&run);
        self.unfit.remove(&run);
        self.gangs.remove(&run);
    }

    /// Work that is due once a second or when the manifest or the ownership changed.
    fn round(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let refresh = self.generation != cx.shared.generation;
        self.generation = cx.shared.generation;
        self.adopt_recorded(cx, claims, refresh);
        self.open_due(cx, claims);
        self.close_over(cx, claims);
        self.give_up_expired(cx);
        self.poll_holders(cx, claims);
        self.ask_after_doubtful(cx);
    }

    /// Runs of which something may still be done.
    fn active_runs(&mut self) -> impl Iterator<Item = &mut Run> {
        let closing = &self.closing;
        self.runs
            .values_mut()
            .filter(move |run| !closing.contains(&run.opened.run))
    }

    fn is_unfit(&self, run: RunKey) -> bool {
        self.unfit.get(&run).is_some_and(|(_, reported)| *reported)
    }
}
