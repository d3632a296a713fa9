//! Chooses workers for waiting tasks and sends their starts.

use std::time::Duration;

use daisymast_ledger::entry::Entry;
use daisymast_placement::pool::{Demand, Machine, NoPlace, Policy, Pool};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::Kind;
use daisymast_protocol::worker::Refusal;
use daisymast_runs::run::{Run, StartOutcome};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, RunKey, TaskKey, Team, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

use crate::claims::Claims;
use crate::outbox;
use crate::runs::gang::Gang;
use crate::runs::quota::Usage;
use crate::runs::recording::Recording;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Starts that may be open at one time.
const STARTS_OPEN_MAX: usize = 64;
/// Attempts that may be between their choice of a worker and the reply to their start.
const PLACED_MAX: usize = 128;
/// Attempts that are claimed by one call, so that a group stays far below the size of a segment.
pub(crate) const CLAIMS_PER_CALL: usize = 128;
/// Time between two questions after free capacity.
const CAPACITY_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which what is known of a worker is no longer used.
const CAPACITY_MAX_AGE: Duration = Duration::from_secs(4);
/// Time for which no worker must be large enough before a run is reported as never fitting. The
/// answers of all holders arrive within that time.
const UNFIT_AFTER: Duration = Duration::from_secs(10);

/// Place of a run in the order of placement: whether its class has its share, urgency, due time, key.
type Waiting = (bool, std::cmp::Reverse<Urgency>, u64, RunKey);

/// Workers as their holders last described them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    pub(crate) pool: Pool,
    machines: FastMap<WorkerId, (Machine, Monotonic)>,
    asked: Option<Monotonic>,
    pub(crate) usage: Usage,
}

impl Workers {
    /// Whether a worker that did not fail the task could ever hold it.
    fn has_other(&self, size: Resources, failed: &[WorkerId]) -> bool {
        self.machines
            .values()
            .any(|(machine, _)| size.fits_in(machine.capacity) && !failed.contains(&machine.worker))
    }

    /// Treats a worker as full until its holder describes it again.
    fn close(&mut self, worker: &WorkerId) {
        if let Some((machine, _)) = self.machines.get_mut(worker) {
            machine.free = Resources::ZERO;
            self.pool.update(machine.clone());
        }
    }

    /// Drops the workers that were not described lately. Returns them.
    fn drop_old(&mut self, now: Monotonic) -> Vec<WorkerId> {
        let mut old: Vec<WorkerId> = Vec::new();
        self.machines.retain(|worker, (_, seen)| {
            let fresh = now - *seen < CAPACITY_MAX_AGE;
            if !fresh {
                old.push(worker.clone());
            }
            fresh
        });
        for worker in &old {
            self.pool.remove(worker);
            self.usage.remove(worker);
        }
        old
    }
}

impl Runs {
    /// Claims workers for waiting tasks, the most urgent first.
    pub(crate) fn place(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let order = self.waiting_runs(cx.now.mono);
        self.workers.usage.refresh(cx, !order.is_empty());
        if !self.workers.usage.is_watched(cx.now.mono) {
            return;
        }
        self.refresh_capacity(cx);
        self.reduce_excess(cx);
        let placed = |run: &Run| run.tasks().filter(|(_, task)| task.is_placed()).count();
        let mut room = PLACED_MAX.saturating_sub(self.runs.values().map(placed).sum());
        for (_, _, _, key) in order {
            let kind = self
                .runs
                .get(&key)
                .and_then(|run| Some(run.job.as_ref()?.kind));
            if kind == Some(Kind::Gang) {
                self.plan_gang(cx, key);
            } else if room > 0 {
                room -= self.place_run(cx, claims, key, room);
            }
        }
    }

    /// Runs with waiting tasks: those that starve in a class below its share first, then urgent
    /// before normal before background, then by age.
    pub(crate) fn waiting_runs(&self, now: Monotonic) -> Vec<Waiting> {
        let below = self.reclaims.below_share();
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
                let is_lent = !(starved && below.contains(&urgency));
                Some((is_lent, std::cmp::Reverse(urgency), until, *key))
            })
            .collect();
        order.sort_unstable();
        order
    }

    fn refresh_capacity(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        if self
            .workers
            .asked
            .is_some_and(|at| now - at < CAPACITY_INTERVAL)
        {
            return;
        }
        self.workers.asked = Some(now);
        for worker in self.workers.drop_old(now) {
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
            let step = outbox::PendingCall::Runs(PendingCall::Capacity);
            let request = PeerRequest::Capacity;
            cx.outbox
                .call_peer(cx.shared, step, &instance, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn capacity_reply(&mut self, cx: &mut Context<'_>, outcome: Outcome<PeerReply>) {
        let Outcome::Done(PeerReply::Capacity(workers)) = outcome else {
            return;
        };
        let mut placed: FastMap<WorkerId, Vec<(Team, Resources)>> = FastMap::default();
        for run in self.runs.values() {
            let Some(job) = &run.job else { continue };
            for (_, task) in run.tasks().filter(|(_, task)| task.is_placed()) {
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
            self.worker_described(cx, &worker, sum);
            self.reclaims.describe(&worker);
            self.workers.usage.describe(worker, &placed);
        }
    }

    /// A holder does not count the tasks that are placed but not yet started.
    fn worker_described(
        &mut self,
        cx: &Context<'_>,
        described: &WorkerCapacity,
        placed: Resources,
    ) {
        let Some(known) = cx.shared.workers.get(&described.worker) else {
            return;
        };
        let machine = Machine {
            worker: described.worker.clone(),
            zone: known.zone.clone(),
            rack: known.rack.clone(),
            capacity: described.capacity,
            free: described.free.saturating_sub(placed),
            open: described.open,
        };
        self.workers.pool.update(machine.clone());
        let entry = (machine, cx.now.mono);
        self.workers
            .machines
            .insert(described.worker.clone(), entry);
    }

    fn place_run(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        key: RunKey,
        room: usize,
    ) -> usize {
        let (mut entries, mut tasks) = (Vec::new(), Vec::new());
        let (mut unfit, mut is_starved) = (false, false);
        let Some(run) = self.runs.get_mut(&key) else {
            return 0;
        };
        let limit = room.min(CLAIMS_PER_CALL);
        let allowed = usize::try_from(self.workers.usage.room(run)).unwrap_or(usize::MAX);
        let limit = limit.min(allowed);
        for index in run.waiting(cx.now.mono).into_iter().take(limit) {
            match choose(&mut self.workers, run, index) {
                Ok(worker) => {
                    let entry: Option<Entry> = run.claim(index, worker.clone());
                    let now = cx.now.mono;
                    self.workers.usage.place(now, run, index, &worker);
                    entries.extend(entry);
                    tasks.push(index);
                }
                Err(reason) => {
                    unfit = reason == NoPlace::NeverFits;
                    is_starved = !unfit;
                    break;
                }
            }
        }
        self.note_fit(cx, key, unfit);
        self.reclaims.note(cx.now.mono, key, is_starved);
        let count = tasks.len();
        if count > 0 {
            let ticket = claims.record(cx, key, entries);
            self.recordings.insert(ticket, Recording::Claim(key, tasks));
        }
        count
    }

    /// Reports once that no worker is large enough for the tasks of a run.
    pub(crate) fn note_fit(&mut self, cx: &mut Context<'_>, key: RunKey, unfit: bool) {
        if !unfit {
            self.unfit.remove(&key);
            return;
        }
        let now = cx.now.mono;
        let (since, reported) = self.unfit.entry(key).or_insert((now, false));
        if !*reported && now - *since >= UNFIT_AFTER {
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
            if self.closing.contains(key) || self.gangs.get(key).is_some_and(Gang::holds) {
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
            if self.starts_open >= STARTS_OPEN_MAX {
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
        // Without a holder the attempt waits; it is given up if that lasts.
        let Some(holder) = holder else { return };
        let Some((worker, task)) = run.start(index) else {
            return;
        };
        self.starts_open += 1;
        let step = outbox::PendingCall::Runs(PendingCall::Start {
            key: task.key,
            worker: worker.clone(),
        });
        let request = PeerRequest::Start { worker, task };
        cx.outbox
            .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn start_reply(
        &mut self,
        cx: &mut Context<'_>,
        key: TaskKey,
        worker: &WorkerId,
        outcome: Outcome<PeerReply>,
    ) {
        self.starts_open = self.starts_open.saturating_sub(1);
        let now = cx.now.mono;
        // The holder may have sent the start just before the deadline of this call, with a deadline
        // of its own.
        let unknown = StartOutcome::Unknown(now + PEER_TIMEOUT);
        let result = match outcome {
            Outcome::Done(PeerReply::Ok) => StartOutcome::Started,
            Outcome::Done(PeerReply::Refused(Refusal::Duplicate)) => unknown,
            Outcome::Done(PeerReply::Refused(_)) => {
                self.workers.close(worker);
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

/// Chooses a worker for one task. A worker on which it failed is used again only if there is no
/// other that could ever hold it.
fn choose(workers: &mut Workers, run: &Run, index: u32) -> Result<WorkerId, NoPlace> {
    let Some(job) = &run.job else {
        return Err(NoPlace::NoRoom);
    };
    let failed = run.task(index).map_or(&[][..], |task| &task.failed);
    let avoid = if workers.has_other(job.size, failed) {
        failed.to_vec()
    } else {
        Vec::new()
    };
    workers.pool.place(&Demand {
        run: run.opened.run,
        policy: Policy::Pack,
        size: job.size,
        avoid,
    })
}
