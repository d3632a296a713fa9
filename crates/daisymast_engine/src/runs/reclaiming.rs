//! Preempts less urgent tasks: asks holders to stop them when normal or urgent tasks find no
//! capacity.

use std::time::Duration;

use daisymast_placement::reclaim;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{RunKey, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::partitions::LedgerPartitions;
use crate::runs::ledger_writes::LedgerWrite;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Time without capacity after which a run preempts less urgent tasks.
const RECLAIM_AFTER: Duration = Duration::from_secs(1);
/// Time without capacity after which a run of a class below its share is placed before more urgent
/// runs. Long enough for a burst of urgent tasks to pass.
const SHARE_PRIORITY_AFTER: Duration = Duration::from_secs(10);
/// Reclaim requests of this owner per second, so that a flood of urgent tasks cannot stop all other
/// tasks at once.
const REQUESTS_PER_SECOND_MAX: usize = 32;
/// Time after a granted request until the worker has reported the stops to its holder.
const STOP_REPORT_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two reclaim requests for the same worker.
const WORKER_REQUEST_INTERVAL: Duration = Duration::from_secs(3);

/// Usage of the urgency classes, starved runs, and reclaim requests in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reclaims {
    workers: FastMap<WorkerId, WorkerCapacity>,
    /// Runs that find no capacity, and since when.
    starved: FastMap<RunKey, Monotonic>,
    /// Time of the last request for each worker, and the most that it takes from a class.
    requests: FastMap<WorkerId, (Monotonic, Resources)>,
    /// Granted requests, with the time from which the freed capacity can be used.
    granted: Vec<(Monotonic, RunKey, WorkerId)>,
}

impl Reclaims {
    pub(crate) fn update_worker(&mut self, worker: &WorkerCapacity) {
        self.workers.insert(worker.worker.clone(), worker.clone());
    }

    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Notes whether the last placement of a run found too little capacity.
    pub(crate) fn note_starvation(&mut self, now: Monotonic, run: RunKey, is_starved: bool) {
        if is_starved {
            self.starved.entry(run).or_insert(now);
        } else {
            self.starved.remove(&run);
        }
    }

    /// Total capacity of all known workers.
    fn fleet_capacity(&self) -> Resources {
        let all = self.workers.values();
        all.fold(Resources::ZERO, |sum, worker| sum + worker.capacity)
    }

    /// Resources that the running tasks of a class use on all known workers.
    fn used(&self, class: Urgency) -> Resources {
        let all = self.workers.values().flat_map(|worker| &worker.classes);
        all.filter(|(other, _)| *other == class)
            .fold(Resources::ZERO, |sum, (_, size)| sum + *size)
    }

    /// Whether a run has found no capacity for [`SHARE_PRIORITY_AFTER`], so that it is placed first
    /// if its class is below its share.
    pub(crate) fn is_starved(&self, now: Monotonic, run: RunKey) -> bool {
        let since = self.starved.get(&run);
        since.is_some_and(|since| now - *since >= SHARE_PRIORITY_AFTER)
    }

    /// Classes that use less than their guaranteed share of the fleet.
    pub(crate) fn below_share(&self) -> Vec<Urgency> {
        let fleet = self.fleet_capacity();
        let classes = [Urgency::Background, Urgency::Normal, Urgency::Urgent];
        classes
            .into_iter()
            .filter(|class| reclaim::is_below_share(fleet, self.used(*class)))
            .collect()
    }

    /// Classes less urgent than `urgency` that keep their share after losing `size` and all that
    /// recent requests may take.
    fn reclaimable_classes(&self, urgency: Urgency, size: Resources) -> Vec<Urgency> {
        let requests = self.requests.values();
        let taken = requests.fold(size, |sum, (_, size)| sum + *size);
        let fleet = self.fleet_capacity();
        [Urgency::Background, Urgency::Normal]
            .into_iter()
            .filter(|class| {
                *class < urgency && reclaim::keeps_share(fleet, self.used(*class), taken)
            })
            .collect()
    }

    /// The worker that needs the least capacity freed, among those where stopping tasks of
    /// `classes` frees enough.
    fn choose_worker(&self, size: Resources, classes: &[Urgency]) -> Option<WorkerId> {
        let fitting = self.workers.values().filter(|worker| {
            let lent = worker.classes.iter().filter(|(c, _)| classes.contains(c));
            let reclaimable = lent.fold(worker.free, |sum, (_, size)| sum + *size);
            worker.open && size.fits_in(reclaimable) && !self.requests.contains_key(&worker.worker)
        });
        let missing = |worker: &&WorkerCapacity| {
            let missing = size.saturating_sub(worker.free);
            (
                missing.millicores,
                missing.memory_mib,
                worker.worker.clone(),
            )
        };
        fitting
            .min_by_key(missing)
            .map(|candidate| candidate.worker.clone())
    }
}

impl Runs {
    /// Sends reclaim requests for runs that are starved longer than [`RECLAIM_AFTER`], in placement
    /// order.
    pub(crate) fn reclaim(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        self.reclaims
            .requests
            .retain(|_, (at, _)| now - *at < WORKER_REQUEST_INTERVAL);
        let runs = &self.runs;
        self.reclaims
            .starved
            .retain(|run, _| runs.contains_key(run));
        if self.reclaims.starved.is_empty() {
            return;
        }
        for (_, _, _, key) in self.waiting_runs(now) {
            let since = self.reclaims.starved.get(&key).copied();
            if since.is_some_and(|since| now - since >= RECLAIM_AFTER) {
                self.reclaim_for(cx, key);
            }
        }
    }

    fn reclaim_for(&mut self, cx: &mut Context<'_>, key: RunKey) {
        let now = cx.now.mono;
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let Some(job) = &run.job else { return };
        let granted = self.reclaims.granted.iter().filter(|grant| grant.1 == key);
        let waiting = run.waiting(now).len().saturating_sub(granted.count());
        let allowed = usize::try_from(self.workers.usage.headroom(run)).unwrap_or(usize::MAX);
        let (urgency, size) = (job.urgency, job.size);
        for _ in 0..waiting.min(allowed) {
            let recent = self.reclaims.requests.values();
            let second = Duration::from_secs(1);
            if recent.filter(|(at, _)| now - *at < second).count() >= REQUESTS_PER_SECOND_MAX {
                return;
            }
            let classes = self.reclaims.reclaimable_classes(urgency, size);
            if classes.is_empty() {
                return;
            }
            let Some(worker) = self.reclaims.choose_worker(size, &classes) else {
                return;
            };
            self.reclaims.requests.insert(worker.clone(), (now, size));
            let Some(holder) = cx.shared.view.holder(now, &worker) else {
                continue;
            };
            let step = PendingCall::Reclaim {
                run: key,
                worker: worker.clone(),
            };
            let request = PeerRequest::Reclaim {
                worker,
                run: key,
                size,
                classes,
            };
            let step = outbox::PendingCall::Runs(step);
            cx.outbox
                .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn on_reclaim_reply(
        &mut self,
        cx: &Context<'_>,
        (run, worker): (RunKey, WorkerId),
        outcome: &Outcome<PeerReply>,
    ) {
        if *outcome == Outcome::Done(PeerReply::Ok) {
            let ready = cx.now.mono + STOP_REPORT_DELAY;
            self.reclaims.granted.push((ready, run, worker));
        }
    }

    /// Claims the freed capacity of granted requests. The holder reserves it for the run, so
    /// placement does not see it as free.
    pub(crate) fn claim_granted(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
    ) {
        let now = cx.now.mono;
        let granted = std::mem::take(&mut self.reclaims.granted);
        let (ready, later): (Vec<_>, Vec<_>) =
            granted.into_iter().partition(|grant| grant.0 <= now);
        self.reclaims.granted = later;
        for (_, key, worker) in ready {
            let Some(run) = self.runs.get_mut(&key) else {
                continue;
            };
            let Some(index) = run.waiting(now).first().copied() else {
                continue;
            };
            let Some(entry) = run.claim(index, worker.clone()) else {
                continue;
            };
            self.workers.usage.count_placement(now, run, index, &worker);
            let ticket = partitions.record(cx, key, vec![entry]);
            let write = LedgerWrite::Claim(key, vec![index]);
            self.ledger_writes.insert(ticket, write);
        }
    }
}
