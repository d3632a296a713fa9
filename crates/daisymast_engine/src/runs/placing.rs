//! Places waiting tasks on workers and sends their starts.

use std::time::Duration;

use daisymast_ledger::entry::Entry;
use daisymast_placement::pool::{Demand, Machine, PlacementError, Policy, Pool};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::Kind;
use daisymast_protocol::worker::Refusal;
use daisymast_runs::run::{Run, StartOutcome};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, RunKey, TaskKey, Team, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::partitions::LedgerPartitions;
use crate::runs::gang::GangPhase;
use crate::runs::ledger_writes::LedgerWrite;
use crate::runs::quota::TeamUsage;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Start calls that may be open at one time.
const OPEN_STARTS_MAX: usize = 64;
/// Attempts that may be between their placement and the reply to their start.
const PLACED_ATTEMPTS_MAX: usize = 128;
/// Claims per ledger write, so that a write stays far below the size limit of a ledger segment.
pub(crate) const CLAIMS_PER_CALL: usize = 128;
/// Interval between two queries of free capacity.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a worker's capacity report is stale.
const CAPACITY_MAX_AGE: Duration = Duration::from_secs(4);
/// Time for which a run must be unschedulable before it is reported. The capacity reports of all
/// holders arrive within this time.
const UNSCHEDULABLE_AFTER: Duration = Duration::from_secs(10);

/// Sort key of a run in placement: whether it lacks the priority of a starved class below its
/// share, urgency, time until which it is due in Unix milliseconds, key.
type PlacementOrder = (bool, std::cmp::Reverse<Urgency>, u64, RunKey);

/// Workers as last reported by their holders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    pub(crate) pool: Pool,
    machines: FastMap<WorkerId, (Machine, Monotonic)>,
    capacity_requested_at: Option<Monotonic>,
    pub(crate) usage: TeamUsage,
}

impl Workers {
    /// Whether a worker outside `failed` could hold a task of this size when it is empty.
    fn has_alternative(&self, size: Resources, failed: &[WorkerId]) -> bool {
        self.machines
            .values()
            .any(|(machine, _)| size.fits_in(machine.capacity) && !failed.contains(&machine.worker))
    }

    /// Treats a worker as full until its holder reports its capacity again.
    fn mark_full(&mut self, worker: &WorkerId) {
        if let Some((machine, _)) = self.machines.get_mut(worker) {
            machine.free = Resources::ZERO;
            self.pool.update(machine.clone());
        }
    }

    /// Removes the workers whose capacity report is stale. Returns them.
    fn evict_stale(&mut self, now: Monotonic) -> Vec<WorkerId> {
        let mut stale: Vec<WorkerId> = Vec::new();
        self.machines.retain(|worker, (_, seen)| {
            let fresh = now - *seen < CAPACITY_MAX_AGE;
            if !fresh {
                stale.push(worker.clone());
            }
            fresh
        });
        for worker in &stale {
            self.pool.remove(worker);
            self.usage.remove(worker);
        }
        stale
    }
}

impl Runs {
    /// Places waiting tasks on workers, in placement order, and records the claims.
    pub(crate) fn place(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions) {
        let order = self.waiting_runs(cx.now.mono);
        self.workers.usage.refresh(cx, !order.is_empty());
        if !self.workers.usage.is_monitored(cx.now.mono) {
            return;
        }
        self.request_capacity(cx);
        self.stop_over_quota(cx);
        let placed = |run: &Run| {
            run.tasks()
                .filter(|(_, task)| task.is_start_pending())
                .count()
        };
        let mut budget = PLACED_ATTEMPTS_MAX.saturating_sub(self.runs.values().map(placed).sum());
        for (_, _, _, key) in order {
            let kind = self
                .runs
                .get(&key)
                .and_then(|run| Some(run.job.as_ref()?.kind));
            if kind == Some(Kind::Gang) {
                self.plan_gang(cx, key);
            } else if budget > 0 {
                budget -= self.place_run(cx, partitions, key, budget);
            }
        }
    }

    /// Runs with waiting tasks in placement order: first starved runs of a class below its share,
    /// then by urgency, then by the time until which they are due.
    pub(crate) fn waiting_runs(&self, now: Monotonic) -> Vec<PlacementOrder> {
        let below_share = self.reclaims.below_share();
        let mut order: Vec<_> = self
            .runs
            .iter()
            .filter(|(key, _)| !self.closing.contains(*key))
            .filter_map(|(key, run)| {
                let urgency = run.job.as_ref()?.urgency;
                if run.waiting(now).is_empty() {
                    return None;
                }
                let until = run.opened.until.map_or(u64::MAX, |until| until.0);
                let starved = self.reclaims.is_starved(now, *key);
                let lacks_share_priority = !(starved && below_share.contains(&urgency));
                Some((
                    lacks_share_priority,
                    std::cmp::Reverse(urgency),
                    until,
                    *key,
                ))
            })
            .collect();
        order.sort_unstable();
        order
    }

    fn request_capacity(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        if self
            .workers
            .capacity_requested_at
            .is_some_and(|at| now - at < CAPACITY_INTERVAL)
        {
            return;
        }
        self.workers.capacity_requested_at = Some(now);
        for worker in self.workers.evict_stale(now) {
            self.reclaims.remove(&worker);
        }
        let mut instances: Vec<InstanceId> = cx
            .shared
            .view
            .peers(now)
            .map(|peer| peer.instance.clone())
            .collect();
        instances.push(cx.config.instance.clone());
        instances.sort();
        for instance in instances {
            let pending = outbox::PendingCall::Runs(PendingCall::Capacity);
            let request = PeerRequest::Capacity;
            cx.outbox
                .call_peer(cx.shared, pending, &instance, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn on_capacity_reply(&mut self, cx: &mut Context<'_>, outcome: Outcome<PeerReply>) {
        let Outcome::Done(PeerReply::Capacity(workers)) = outcome else {
            return;
        };
        let mut placed: FastMap<WorkerId, Vec<(Team, Resources)>> = FastMap::default();
        for run in self.runs.values() {
            let Some(job) = &run.job else { continue };
            for (_, task) in run.tasks().filter(|(_, task)| task.is_start_pending()) {
                if let Some(worker) = &task.worker {
                    let placed = placed.entry(worker.clone()).or_default();
                    placed.push((job.team.clone(), job.size));
                }
            }
        }
        for worker in workers {
            let placed = placed.remove(&worker.worker).unwrap_or_default();
            let sum = placed
                .iter()
                .fold(Resources::ZERO, |sum, (_, size)| sum + *size);
            self.update_machine(cx, &worker, sum);
            self.reclaims.update_worker(&worker);
            self.workers.usage.update_worker(worker, &placed);
        }
    }

    /// Replaces the capacity of a worker by its holder's report. The holder does not count tasks
    /// that are placed but not yet started, so their total size `placed` is subtracted.
    fn update_machine(&mut self, cx: &Context<'_>, reported: &WorkerCapacity, placed: Resources) {
        let Some(known) = cx.shared.workers.get(&reported.worker) else {
            return;
        };
        let machine = Machine {
            worker: reported.worker.clone(),
            zone: known.zone.clone(),
            rack: known.rack.clone(),
            capacity: reported.capacity,
            free: reported.free.saturating_sub(placed),
            schedulable: reported.open,
        };
        self.workers.pool.update(machine.clone());
        let entry = (machine, cx.now.mono);
        self.workers.machines.insert(reported.worker.clone(), entry);
    }

    /// Places up to `budget` waiting tasks of a run. Returns how many were placed.
    fn place_run(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
        key: RunKey,
        budget: usize,
    ) -> usize {
        let (mut entries, mut tasks) = (Vec::new(), Vec::new());
        let (mut unschedulable, mut is_starved) = (false, false);
        let Some(run) = self.runs.get_mut(&key) else {
            return 0;
        };
        let limit = budget.min(CLAIMS_PER_CALL);
        let allowed = usize::try_from(self.workers.usage.headroom(run)).unwrap_or(usize::MAX);
        let limit = limit.min(allowed);
        for index in run.waiting(cx.now.mono).into_iter().take(limit) {
            match choose_worker(&mut self.workers, run, index) {
                Ok(worker) => {
                    let entry: Option<Entry> = run.claim(index, worker.clone());
                    let now = cx.now.mono;
                    self.workers.usage.count_placement(now, run, index, &worker);
                    entries.extend(entry);
                    tasks.push(index);
                }
                Err(reason) => {
                    unschedulable = reason == PlacementError::NeverFits;
                    is_starved = !unschedulable;
                    break;
                }
            }
        }
        self.note_schedulability(cx, key, unschedulable);
        self.reclaims.note_starvation(cx.now.mono, key, is_starved);
        let count = tasks.len();
        if count > 0 {
            let ticket = partitions.record(cx, key, entries);
            self.ledger_writes
                .insert(ticket, LedgerWrite::Claim(key, tasks));
        }
        count
    }

    /// Notes whether no worker is large enough for the tasks of a run. Reports it once if that
    /// lasts for [`UNSCHEDULABLE_AFTER`].
    pub(crate) fn note_schedulability(
        &mut self,
        cx: &mut Context<'_>,
        key: RunKey,
        unschedulable: bool,
    ) {
        if !unschedulable {
            self.unschedulable.remove(&key);
            return;
        }
        let now = cx.now.mono;
        let (since, reported) = self.unschedulable.entry(key).or_insert((now, false));
        if !*reported && now - *since >= UNSCHEDULABLE_AFTER {
            *reported = true;
            let job = self.runs.get(&key).and_then(|run| run.job.as_ref());
            let size = job.map(|job| job.size).unwrap_or_default();
            let detail = format!("no worker can hold a task of {size:?}");
            cx.outbox.record("run.parked", &key.to_string(), detail);
        }
    }

    /// Sends the starts of claimed attempts, the most urgent first.
    pub(crate) fn send_starts(&mut self, cx: &mut Context<'_>) {
        let mut ready: Vec<(std::cmp::Reverse<Urgency>, RunKey, u32)> = Vec::new();
        for (key, run) in &self.runs {
            let Some(job) = &run.job else { continue };
            if self.closing.contains(key)
                || self.gangs.get(key).is_some_and(GangPhase::blocks_starts)
            {
                continue;
            }
            let urgency = std::cmp::Reverse(job.urgency);
            ready.extend(
                run.startable()
                    .into_iter()
                    .map(|index| (urgency, *key, index)),
            );
        }
        ready.sort_unstable();
        for (_, key, index) in ready {
            if self.open_starts >= OPEN_STARTS_MAX {
                return;
            }
            self.send_start(cx, key, index);
        }
    }

    fn send_start(&mut self, cx: &mut Context<'_>, key: RunKey, index: u32) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let worker = run.task(index).and_then(|task| task.worker.clone());
        let holder = worker.and_then(|worker| cx.shared.view.holder(cx.now.mono, &worker));
        // The attempt stays claimed while the worker has no holder, and is given up if that lasts.
        let Some(holder) = holder else { return };
        let Some((worker, task)) = run.start(index) else {
            return;
        };
        self.open_starts += 1;
        let pending = outbox::PendingCall::Runs(PendingCall::Start {
            key: task.key,
            worker: worker.clone(),
        });
        let request = PeerRequest::Start { worker, task };
        cx.outbox
            .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn on_start_reply(
        &mut self,
        cx: &mut Context<'_>,
        key: TaskKey,
        worker: &WorkerId,
        outcome: Outcome<PeerReply>,
    ) {
        self.open_starts = self.open_starts.saturating_sub(1);
        let now = cx.now.mono;
        // The holder may have forwarded the start to the worker just before this call timed out,
        // and that call has its own timeout.
        let unknown = StartOutcome::Unknown(now + PEER_TIMEOUT);
        let result = match outcome {
            Outcome::Done(PeerReply::Ok) => StartOutcome::Started,
            Outcome::Done(PeerReply::Refused(Refusal::Duplicate)) => unknown,
            Outcome::Done(PeerReply::Refused(_)) => {
                self.workers.mark_full(worker);
                StartOutcome::Refused
            }
            Outcome::Done(PeerReply::NotHolder { .. }) | Outcome::NoEffect(_) => {
                StartOutcome::NotSent
            }
            Outcome::Done(_) | Outcome::Unknown(_) => unknown,
        };
        if let Some(run) = self.runs.get_mut(&key.run) {
            run.on_start(key, result, now);
        }
    }
}

/// Chooses a worker for one task. A worker on which the task failed is used again only if no other
/// worker is large enough.
fn choose_worker(workers: &mut Workers, run: &Run, index: u32) -> Result<WorkerId, PlacementError> {
    let Some(job) = &run.job else {
        return Err(PlacementError::InsufficientCapacity);
    };
    let failed = run.task(index).map_or(&[][..], |task| &task.failed_workers);
    let excluded = if workers.has_alternative(job.size, failed) {
        failed.to_vec()
    } else {
        Vec::new()
    };
    workers.pool.place(&Demand {
        run: run.opened.run,
        policy: Policy::Pack,
        size: job.size,
        excluded,
    })
}
