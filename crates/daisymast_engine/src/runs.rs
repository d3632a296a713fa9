//! Opens due runs, starts their tasks on workers and tracks each task until it ends.
//!
//! A run is one execution of a batch or of a gang job. It belongs to a ledger partition, and the
//! instance that owns the partition places its tasks. A worker's holder is the instance that has
//! the worker's lease; starts, stops and polls go through it.

mod gang;
mod ledger_writes;
mod opening;
mod placing;
mod polling;
mod quota;
mod reclaiming;
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

use crate::partitions::LedgerPartitions;
use crate::runs::gang::GangPhase;
use crate::runs::ledger_writes::LedgerWrite;
use crate::runs::placing::Workers;
use crate::runs::reclaiming::Reclaims;
use crate::shared::Context;

/// Interval between two passes that open, close, expire and poll runs.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call to another instance.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to an instance whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Query of the free capacity of the workers that an instance holds.
    Capacity,
    /// Start of a task attempt on a worker.
    Start { key: TaskKey, worker: WorkerId },
    /// Poll of a holder for the runs of a partition.
    Poll(polling::Poll),
    /// Query of the outcome of an attempt that may or may not have run.
    Resolve(TaskKey),
    /// Reservation on the worker at that position of a gang job's plan.
    Reserve { run: RunKey, position: usize },
    /// Request to stop less urgent tasks on a worker to free capacity for a task of the run.
    Reclaim { run: RunKey, worker: WorkerId },
    /// A call whose reply changes nothing.
    Ignore,
}

/// The open runs of the partitions that this instance owns.
#[derive(Clone, Debug, Default)]
pub(crate) struct Runs {
    owned: FastMap<Partition, Epoch>,
    runs: BTreeMap<RunKey, Run>,
    ledger_writes: FastMap<Ticket, LedgerWrite>,
    /// Runs whose `RunOpened` entry is being written to the ledger.
    opening: FastSet<RunKey>,
    /// Runs whose `RunClosed` entry is being written to the ledger. Their tasks are neither started
    /// nor polled.
    closing: FastSet<RunKey>,
    /// Runs whose tasks are larger than every known worker: since when, and whether it was
    /// reported.
    unschedulable: FastMap<RunKey, (Monotonic, bool)>,
    gangs: FastMap<RunKey, GangPhase>,
    workers: Workers,
    reclaims: Reclaims,
    open_starts: usize,
    open_polls: FastSet<(Partition, InstanceId)>,
    resolving: FastSet<TaskKey>,
    /// Ended attempts whose results are in the ledger. The next poll acknowledges them, so that the
    /// workers can discard them.
    pending_acks: Vec<(WorkerId, TaskKey)>,
    reconciled_at: Option<Monotonic>,
    last_tick: Monotonic,
    /// Time since which all other known instances have been live without interruption.
    all_live_since: Monotonic,
    generation: Generation,
}

impl Runs {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions) {
        self.track_liveness(cx);
        self.apply_ledger_replies(cx, partitions);
        let changed = self.sync_ownership(cx, partitions);
        let due = self
            .reconciled_at
            .is_none_or(|last| cx.now.mono - last >= RECONCILE_INTERVAL);
        if due || changed || self.generation != cx.shared.generation {
            self.reconciled_at = Some(cx.now.mono);
            self.reconcile(cx, partitions);
        }
        self.record_ends(cx, partitions);
        if !cx.shared.draining {
            self.claim_granted(cx, partitions);
            self.place(cx, partitions);
            self.reclaim(cx);
        }
        self.send_starts(cx);
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<PeerReply>,
        partitions: &mut LedgerPartitions,
    ) {
        match pending {
            PendingCall::Capacity => self.on_capacity_reply(cx, outcome),
            PendingCall::Start { key, worker } => {
                self.on_start_reply(cx, key, &worker, outcome);
                self.send_starts(cx);
            }
            PendingCall::Poll(poll) => self.on_poll_reply(cx, partitions, poll, outcome),
            PendingCall::Resolve(key) => self.on_resolve_reply(cx, key, outcome),
            PendingCall::Reserve { run, position } => {
                self.on_reserve_reply(cx, partitions, run, position, &outcome);
            }
            PendingCall::Reclaim { run, worker } => {
                self.on_reclaim_reply(cx, (run, worker), &outcome);
            }
            PendingCall::Ignore => {}
        }
    }

    /// Progress of the runs that this instance owns. The waiting tasks of a run that was reported
    /// as unschedulable count as parked.
    pub(crate) fn status(&self) -> Vec<RunStatus> {
        let runs = self.runs.values().map(|run| {
            let mut parked = run.count(|phase| *phase == Phase::Parked);
            if self.is_unschedulable(run.opened.run) {
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

    /// Drops the runs of lost partitions and adopts those of acquired ones. Returns whether the
    /// owned partitions or their epochs changed.
    fn sync_ownership(&mut self, cx: &mut Context<'_>, partitions: &LedgerPartitions) -> bool {
        let owned: FastMap<Partition, Epoch> = partitions.owned().into_iter().collect();
        if owned == self.owned {
            return false;
        }
        let kept = |run: RunKey| {
            let partition = keys::partition_of_run(run);
            owned.contains_key(&partition) && owned.get(&partition) == self.owned.get(&partition)
        };
        let dropped: Vec<RunKey> = self
            .runs
            .keys()
            .copied()
            .filter(|run| !kept(*run))
            .collect();
        for run in dropped {
            self.release_reservations(cx, run);
            self.drop_run(run);
        }
        let gained: Vec<Partition> = owned
            .iter()
            .filter(|(partition, epoch)| self.owned.get(*partition) != Some(*epoch))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in gained {
            self.adopt_partition(cx, partitions, partition);
        }
        self.owned = owned;
        self.opening
            .retain(|run| self.owned.contains_key(&keys::partition_of_run(*run)));
        true
    }

    fn drop_run(&mut self, run: RunKey) {
        self.runs.remove(&run);
        self.closing.remove(&run);
        self.unschedulable.remove(&run);
        self.gangs.remove(&run);
    }

    /// Periodic pass, also run when the manifest or the owned partitions change.
    fn reconcile(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions) {
        let refresh = self.generation != cx.shared.generation;
        self.generation = cx.shared.generation;
        self.adopt_recorded(cx, partitions, refresh);
        self.open_due(cx, partitions);
        self.close_finished(cx, partitions);
        self.expire_attempts(cx);
        self.poll_holders(cx, partitions);
        self.resolve_uncertain(cx);
    }

    /// Runs that are not being closed.
    fn active_runs(&mut self) -> impl Iterator<Item = &mut Run> {
        let closing = &self.closing;
        self.runs
            .values_mut()
            .filter(move |run| !closing.contains(&run.opened.run))
    }

    fn is_unschedulable(&self, run: RunKey) -> bool {
        self.unschedulable
            .get(&run)
            .is_some_and(|(_, reported)| *reported)
    }
}
