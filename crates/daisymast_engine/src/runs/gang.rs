//! Starts all tasks of a gang job together: first reserves capacity on the workers, then records
//! the claims in the ledger, then sends the starts.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_placement::pool::{Demand, PlacementError, Policy};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_runs::run::{ClaimOutcome, Run, StartOutcome};
use daisymast_types::ids::{RunKey, WorkerId};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::partitions::LedgerPartitions;
use crate::runs::ledger_writes::LedgerWrite;
use crate::runs::placing::CLAIMS_PER_CALL;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Time from the planning of a gang job until which its starts may be sent. Below the 2 s after
/// which holders drop a reservation.
const START_LIMIT: Duration = Duration::from_millis(1_500);
/// Minimum wait before a gang job is planned again.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Random addition to [`BACKOFF_MIN`] after a failed reservation or claim, so that two gang jobs
/// that compete for the same workers do not collide again.
const BACKOFF_JITTER: Duration = Duration::from_millis(800);

/// Tasks by worker, ordered by worker id. All gang jobs reserve in this order.
type Plan = Vec<(WorkerId, Vec<u32>)>;

/// Progress of a gang job towards its starts.
#[derive(Clone, Debug)]
pub(crate) enum GangPhase {
    /// Waits until the given time before it is planned again.
    Backoff(Monotonic),
    /// The reservation at `position` of the plan is requested; those before it are granted.
    Reserving {
        plan: Plan,
        position: usize,
        since: Monotonic,
    },
    /// The claims are being written to the ledger.
    Claiming {
        plan: Plan,
        since: Monotonic,
        /// Ledger writes without a reply.
        open: usize,
        /// Whether all ledger writes that were answered are recorded.
        all_recorded: bool,
    },
}

impl GangPhase {
    /// Whether the starts of claimed tasks have to wait for the rest of the gang.
    pub(crate) fn blocks_starts(&self) -> bool {
        !matches!(self, Self::Backoff(_))
    }
}

impl Runs {
    /// Chooses workers for all waiting tasks of a gang job and requests the first reservation. Does
    /// nothing while an attempt is in progress or a backoff lasts.
    pub(crate) fn plan_gang(&mut self, cx: &mut Context<'_>, key: RunKey) {
        let now = cx.now.mono;
        let ready = match self.gangs.get(&key) {
            None => true,
            Some(GangPhase::Backoff(until)) => *until <= now,
            Some(GangPhase::Reserving { .. } | GangPhase::Claiming { .. }) => false,
        };
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        if !ready || run.tasks().any(|(_, task)| task.is_start_pending()) {
            return;
        }
        let waiting = run.waiting(now);
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if self.workers.usage.headroom(run) < count {
            self.gangs
                .insert(key, GangPhase::Backoff(now + BACKOFF_MIN));
            return;
        }
        match choose_workers(&mut self.workers.pool, run, &waiting) {
            Ok(plan) => {
                for (worker, tasks) in &plan {
                    for index in tasks {
                        self.workers.usage.count_placement(now, run, *index, worker);
                    }
                }
                self.note_schedulability(cx, key, false);
                let gang = GangPhase::Reserving {
                    plan,
                    position: 0,
                    since: now,
                };
                self.gangs.insert(key, gang);
                self.reserve_next(cx, key);
            }
            Err(reason) => {
                self.note_schedulability(cx, key, reason == PlacementError::NeverFits);
                self.gangs
                    .insert(key, GangPhase::Backoff(now + BACKOFF_MIN));
            }
        }
    }

    fn reserve_next(&mut self, cx: &mut Context<'_>, run: RunKey) {
        let Some(GangPhase::Reserving { plan, position, .. }) = self.gangs.get(&run) else {
            return;
        };
        let position = *position;
        let (worker, tasks) = &plan[position];
        let size = self.total_size(run, tasks.len());
        let holder = cx.shared.view.holder(cx.now.mono, worker);
        let Some(holder) = holder else {
            self.abort_gang(cx, run);
            return;
        };
        let request = PeerRequest::Reserve {
            worker: worker.clone(),
            run,
            size,
        };
        let pending = outbox::PendingCall::Runs(PendingCall::Reserve { run, position });
        cx.outbox
            .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn on_reserve_reply(
        &mut self,
        cx: &mut Context<'_>,
        partitions: &mut LedgerPartitions,
        run: RunKey,
        replied_position: usize,
        outcome: &Outcome<PeerReply>,
    ) {
        let Some(GangPhase::Reserving { plan, position, .. }) = self.gangs.get_mut(&run) else {
            return;
        };
        if *position != replied_position {
            return;
        }
        if *outcome != Outcome::Done(PeerReply::Ok) {
            self.abort_gang(cx, run);
            return;
        }
        *position += 1;
        if *position == plan.len() {
            self.claim_gang(cx, partitions, run);
        } else {
            self.reserve_next(cx, run);
        }
    }

    /// Writes the claims of all tasks of the plan to the ledger.
    fn claim_gang(&mut self, cx: &mut Context<'_>, partitions: &mut LedgerPartitions, key: RunKey) {
        let (Some(GangPhase::Reserving { plan, since, .. }), Some(run)) =
            (self.gangs.remove(&key), self.runs.get_mut(&key))
        else {
            return;
        };
        let mut entries = Vec::new();
        for (worker, tasks) in &plan {
            for index in tasks {
                let entry = run.claim(*index, worker.clone());
                entries.extend(entry.map(|entry| (*index, entry)));
            }
        }
        let open = entries.len().div_ceil(CLAIMS_PER_CALL);
        let gang = GangPhase::Claiming {
            plan,
            since,
            open,
            all_recorded: true,
        };
        self.gangs.insert(key, gang);
        for group in entries.chunks(CLAIMS_PER_CALL) {
            let (tasks, entries) = group.iter().cloned().unzip();
            let ticket = partitions.record(cx, key, entries);
            self.ledger_writes
                .insert(ticket, LedgerWrite::Claim(key, tasks));
        }
    }

    /// Handles the outcome of one ledger write with claims of a gang job. Does nothing for other
    /// runs.
    pub(crate) fn on_gang_claim_reply(
        &mut self,
        cx: &mut Context<'_>,
        key: RunKey,
        outcome: ClaimOutcome,
    ) {
        let Some(GangPhase::Claiming {
            since,
            open,
            all_recorded,
            ..
        }) = self.gangs.get_mut(&key)
        else {
            return;
        };
        *open -= 1;
        *all_recorded &= outcome == ClaimOutcome::Recorded;
        if *open > 0 {
            return;
        }
        if *all_recorded && cx.now.mono - *since < START_LIMIT {
            self.gangs.remove(&key);
            return;
        }
        // A gang starts as a whole or not at all. No start was sent, so the claimed attempts can be
        // given up.
        let now = cx.now.mono;
        if let Some(run) = self.runs.get_mut(&key) {
            for index in run.startable() {
                if run.start(index).is_some() {
                    run.on_start(run.key(index), StartOutcome::Refused, now);
                }
            }
        }
        self.abort_gang(cx, key);
    }

    /// Releases all reservations and backs off.
    fn abort_gang(&mut self, cx: &mut Context<'_>, run: RunKey) {
        self.release_reservations(cx, run);
        let pause = BACKOFF_MIN + cx.outbox.jitter(BACKOFF_JITTER);
        self.gangs
            .insert(run, GangPhase::Backoff(cx.now.mono + pause));
    }

    /// Releases all reservations of a gang job, including one whose reply is still missing.
    pub(crate) fn release_reservations(&mut self, cx: &mut Context<'_>, run: RunKey) {
        let (plan, granted) = match self.gangs.remove(&run) {
            Some(GangPhase::Reserving { plan, position, .. }) => (plan, position + 1),
            Some(GangPhase::Claiming { plan, .. }) => {
                let all = plan.len();
                (plan, all)
            }
            Some(GangPhase::Backoff(_)) | None => return,
        };
        let size = self.total_size(run, 1);
        for (position, (worker, tasks)) in plan.into_iter().enumerate() {
            for _ in tasks {
                self.workers.pool.release(&worker, size);
            }
            if position >= granted {
                continue;
            }
            if let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) {
                let request = PeerRequest::Unreserve { worker, run };
                let pending = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    fn total_size(&self, run: RunKey, tasks: usize) -> Resources {
        let job = self.runs.get(&run).and_then(|run| run.job.as_ref());
        let size = job.map(|job| job.size).unwrap_or_default();
        (0..tasks).fold(Resources::ZERO, |sum, _| sum + size)
    }
}

/// Chooses workers for the `waiting` tasks, avoiding those on which one of them failed.
fn choose_workers(
    pool: &mut daisymast_placement::pool::Pool,
    run: &Run,
    waiting: &[u32],
) -> Result<Plan, PlacementError> {
    let Some(job) = &run.job else {
        return Err(PlacementError::InsufficientCapacity);
    };
    let mut excluded: Vec<WorkerId> = Vec::new();
    for index in waiting {
        excluded.extend(
            run.task(*index)
                .into_iter()
                .flat_map(|task| task.failed_workers.clone()),
        );
    }
    let demand = Demand {
        run: run.opened.run,
        policy: Policy::Gang,
        size: job.size,
        excluded,
    };
    let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
    let workers = pool.place_gang(&demand, count)?;
    let mut plan: BTreeMap<WorkerId, Vec<u32>> = BTreeMap::new();
    for (index, worker) in waiting.iter().zip(workers) {
        plan.entry(worker).or_default().push(*index);
    }
    Ok(plan.into_iter().collect())
}
