//! Starts all tasks of a gang job together: reservations, then claims, then starts.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_placement::pool::{Demand, NoPlace, Policy};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_runs::run::{ClaimOutcome, Run, StartOutcome};
use daisymast_types::ids::{RunKey, WorkerId};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use crate::claims::Claims;
use crate::outbox;
use crate::runs::placing::CLAIMS_PER_CALL;
use crate::runs::recording::Recording;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Time after the first reservation until which starts may be sent. Reservations expire after 2 s.
const USE_WITHIN: Duration = Duration::from_millis(1_500);
/// Shortest pause after a reservation was refused.
const PAUSE: Duration = Duration::from_millis(200);
/// Random part of that pause, so that two gang jobs do not collide again.
const PAUSE_JITTER: Duration = Duration::from_millis(800);

/// Tasks by worker, in the order of the workers' ids, in which all gang jobs reserve.
type Plan = Vec<(WorkerId, Vec<u32>)>;

/// How far a gang job has come.
#[derive(Clone, Debug)]
pub(crate) enum Gang {
    /// Waits until a time before it tries again.
    Pausing(Monotonic),
    /// The reservation at `position` is asked for; those before it are granted.
    Reserving {
        plan: Plan,
        position: usize,
        since: Monotonic,
    },
    /// The claims are being recorded.
    Claiming {
        plan: Plan,
        since: Monotonic,
        /// Calls whose outcome is open.
        open: usize,
        /// Whether all outcomes so far were good.
        good: bool,
    },
}

impl Gang {
    /// Whether starts have to wait.
    pub(crate) fn holds(&self) -> bool {
        !matches!(self, Self::Pausing(_))
    }
}

impl Runs {
    /// Chooses workers for all waiting tasks of a gang job and asks for the first reservation.
    pub(crate) fn plan_gang(&mut self, cx: &mut Context<'_>, key: RunKey) {
        let now = cx.now.mono;
        let ready = match self.gangs.get(&key) {
            None => true,
            Some(Gang::Pausing(until)) => *until <= now,
            Some(Gang::Reserving { .. } | Gang::Claiming { .. }) => false,
        };
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        if !ready || run.tasks().any(|(_, task)| task.is_placed()) {
            return;
        }
        let waiting = run.waiting(now);
        let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        if self.workers.usage.room(run) < count {
            self.gangs.insert(key, Gang::Pausing(now + PAUSE));
            return;
        }
        match choose(&mut self.workers.pool, run, &waiting) {
            Ok(plan) => {
                for (worker, tasks) in &plan {
                    for index in tasks {
                        self.workers.usage.place(now, run, *index, worker);
                    }
                }
                self.note_fit(cx, key, false);
                let gang = Gang::Reserving {
                    plan,
                    position: 0,
                    since: now,
                };
                self.gangs.insert(key, gang);
                self.reserve_next(cx, key);
            }
            Err(reason) => {
                self.note_fit(cx, key, reason == NoPlace::NeverFits);
                self.gangs.insert(key, Gang::Pausing(now + PAUSE));
            }
        }
    }

    fn reserve_next(&mut self, cx: &mut Context<'_>, run: RunKey) {
        let Some(Gang::Reserving { plan, position, .. }) = self.gangs.get(&run) else {
            return;
        };
        let position = *position;
        let (worker, tasks) = &plan[position];
        let size = self.size_of(run, tasks.len());
        let holder = cx.shared.view.holder(cx.now.mono, worker);
        let Some(holder) = holder else {
            self.abandon(cx, run);
            return;
        };
        let request = PeerRequest::Reserve {
            worker: worker.clone(),
            run,
            size,
        };
        let step = outbox::PendingCall::Runs(PendingCall::Reserve { run, position });
        cx.outbox
            .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
    }

    pub(crate) fn reserve_reply(
        &mut self,
        cx: &mut Context<'_>,
        claims: &mut Claims,
        run: RunKey,
        asked: usize,
        outcome: &Outcome<PeerReply>,
    ) {
        let Some(Gang::Reserving { plan, position, .. }) = self.gangs.get_mut(&run) else {
            return;
        };
        if *position != asked {
            return;
        }
        if *outcome != Outcome::Done(PeerReply::Ok) {
            self.abandon(cx, run);
            return;
        }
        *position += 1;
        if *position == plan.len() {
            self.claim_gang(cx, claims, run);
        } else {
            self.reserve_next(cx, run);
        }
    }

    fn claim_gang(&mut self, cx: &mut Context<'_>, claims: &mut Claims, key: RunKey) {
        let (Some(Gang::Reserving { plan, since, .. }), Some(run)) =
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
        let gang = Gang::Claiming {
            plan,
            since,
            open,
            good: true,
        };
        self.gangs.insert(key, gang);
        for group in entries.chunks(CLAIMS_PER_CALL) {
            let (tasks, entries) = group.iter().cloned().unzip();
            let ticket = claims.record(cx, key, entries);
            self.recordings.insert(ticket, Recording::Claim(key, tasks));
        }
    }

    /// The outcome of one call that claims tasks of a gang job; nothing for other runs.
    pub(crate) fn gang_claimed(
        &mut self,
        cx: &mut Context<'_>,
        key: RunKey,
        outcome: ClaimOutcome,
    ) {
        let Some(Gang::Claiming {
            since, open, good, ..
        }) = self.gangs.get_mut(&key)
        else {
            return;
        };
        *open -= 1;
        *good &= outcome == ClaimOutcome::Recorded;
        if *open > 0 {
            return;
        }
        if *good && cx.now.mono - *since < USE_WITHIN {
            self.gangs.remove(&key);
            return;
        }
        // All or nothing: the claimed attempts are given up, none of which was sent.
        let now = cx.now.mono;
        if let Some(run) = self.runs.get_mut(&key) {
            for index in run.startable() {
                if run.start(index).is_some() {
                    run.on_start(run.key(index), StartOutcome::Refused, now);
                }
            }
        }
        self.abandon(cx, key);
    }

    /// Gives the reservations back and pauses.
    fn abandon(&mut self, cx: &mut Context<'_>, run: RunKey) {
        self.give_back(cx, run);
        let pause = PAUSE + cx.outbox.jitter(PAUSE_JITTER);
        self.gangs.insert(run, Gang::Pausing(cx.now.mono + pause));
    }

    /// Gives back all reservations of a gang job, also one whose outcome is unknown.
    pub(crate) fn give_back(&mut self, cx: &mut Context<'_>, run: RunKey) {
        let (plan, granted) = match self.gangs.remove(&run) {
            Some(Gang::Reserving { plan, position, .. }) => (plan, position + 1),
            Some(Gang::Claiming { plan, .. }) => {
                let all = plan.len();
                (plan, all)
            }
            Some(Gang::Pausing(_)) | None => return,
        };
        let size = self.size_of(run, 1);
        for (position, (worker, tasks)) in plan.into_iter().enumerate() {
            for _ in tasks {
                self.workers.pool.release(&worker, size);
            }
            if position >= granted {
                continue;
            }
            if let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) {
                let request = PeerRequest::Unreserve { worker, run };
                let step = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    fn size_of(&self, run: RunKey, tasks: usize) -> Resources {
        let job = self.runs.get(&run).and_then(|run| run.job.as_ref());
        let size = job.map(|job| job.size).unwrap_or_default();
        (0..tasks).fold(Resources::ZERO, |sum, _| sum + size)
    }
}

fn choose(
    pool: &mut daisymast_placement::pool::Pool,
    run: &Run,
    waiting: &[u32],
) -> Result<Plan, NoPlace> {
    let Some(job) = &run.job else {
        return Err(NoPlace::NoRoom);
    };
    let mut avoid: Vec<WorkerId> = Vec::new();
    for index in waiting {
        avoid.extend(
            run.task(*index)
                .into_iter()
                .flat_map(|task| task.failed.clone()),
        );
    }
    let demand = Demand {
        run: run.opened.run,
        policy: Policy::Gang,
        size: job.size,
        avoid,
    };
    let count = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
    let workers = pool.place_gang(&demand, count)?;
    let mut plan: BTreeMap<WorkerId, Vec<u32>> = BTreeMap::new();
    for (index, worker) in waiting.iter().zip(workers) {
        plan.entry(worker).or_default().push(*index);
    }
    Ok(plan.into_iter().collect())
}
