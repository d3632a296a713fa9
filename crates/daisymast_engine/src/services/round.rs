//! One comparison of the declared replicas with those that run.

use daisymast_manifest::manifest::Service;
use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::{Kind, TaskSpec};
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, RunKey, TaskKey, WorkerId};

use super::{FAST_INTERVAL, PendingCall, Services};
use crate::shared::Context;

/// Starts and stops of one round, so that one round cannot flood the holders.
const CHANGES_PER_ROUND: usize = 64;

/// A service that this instance owns in its zone.
#[derive(Clone, Debug)]
pub(super) struct Duty {
    pub(super) run: RunKey,
    pub(super) service: Service,
    /// Replicas that the zone should run.
    pub(super) target: u32,
    pub(super) first_index: u32,
}

/// What a round waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Replicas,
    Capacity,
    Changes,
}

#[derive(Clone, Debug)]
pub(super) struct Round {
    phase: Phase,
    /// Calls without a reply.
    open: usize,
    duties: Vec<Duty>,
    holders: Vec<InstanceId>,
    /// Holder of each reported worker.
    reported: FastMap<WorkerId, InstanceId>,
    leaving: FastSet<WorkerId>,
    replicas: FastMap<RunKey, Vec<(TaskKey, WorkerId)>>,
    capacity: Vec<WorkerCapacity>,
}

impl Round {
    pub(super) fn new(duties: Vec<Duty>, holders: Vec<InstanceId>) -> Self {
        Self {
            phase: Phase::Replicas,
            open: 0,
            duties,
            holders,
            reported: FastMap::default(),
            leaving: FastSet::default(),
            replicas: FastMap::default(),
            capacity: Vec::new(),
        }
    }

    pub(super) fn note_call(&mut self) {
        self.open += 1;
    }

    /// Notes a reply. Returns whether it was the last one that the phase waits for.
    pub(super) fn note_reply(&mut self) -> bool {
        self.open = self.open.saturating_sub(1);
        self.open == 0
    }

    /// Replicas of a service that stay: those on workers that are not leaving.
    fn lasting(&self, run: RunKey) -> Vec<(TaskKey, WorkerId)> {
        let all = self.replicas.get(&run).into_iter().flatten();
        let mut lasting: Vec<_> = all
            .filter(|(_, worker)| !self.leaving.contains(worker))
            .cloned()
            .collect();
        lasting.sort_unstable();
        lasting
    }

    fn missing(&self, duty: &Duty) -> usize {
        let target = usize::try_from(duty.target).unwrap_or(usize::MAX);
        target.saturating_sub(self.lasting(duty.run).len())
    }

    /// Replicas to stop: a second one with the same index first, then those with the highest index.
    fn surplus(&self, duty: &Duty) -> Vec<(TaskKey, WorkerId)> {
        let target = usize::try_from(duty.target).unwrap_or(usize::MAX);
        let mut seen = FastSet::default();
        let (mut firsts, seconds): (Vec<_>, Vec<_>) = self
            .lasting(duty.run)
            .into_iter()
            .partition(|(task, _)| seen.insert(task.index));
        firsts.extend(seconds);
        let keep = target.min(firsts.len());
        let mut surplus = firsts.split_off(keep);
        surplus.reverse();
        surplus
    }

    /// Indexes for new replicas: the lowest that no replica uses, leaving ones included.
    fn free_indexes(&self, duty: &Duty, count: usize) -> Vec<u32> {
        let all = self.replicas.get(&duty.run).into_iter().flatten();
        let used: FastSet<u32> = all.map(|(task, _)| task.index).collect();
        (duty.first_index..)
            .filter(|index| !used.contains(index))
            .take(count)
            .collect()
    }

    fn pool(&self, cx: &Context<'_>) -> Pool {
        let mut pool = Pool::default();
        for found in &self.capacity {
            if let Some(known) = cx.shared.workers.get(&found.worker) {
                pool.update(Machine {
                    worker: found.worker.clone(),
                    zone: known.zone.clone(),
                    rack: known.rack.clone(),
                    capacity: found.capacity,
                    free: found.free,
                    open: found.open && !known.leaving,
                });
            }
        }
        pool
    }
}

impl Services {
    pub(super) fn on_replicas(&mut self, from: InstanceId, reply: Option<PeerReply>) {
        let (Some(round), Some(PeerReply::Replicas(found))) = (&mut self.round, reply) else {
            return;
        };
        for worker in found.held {
            round.reported.insert(worker, from.clone());
        }
        round.leaving.extend(found.leaving);
        for (worker, task) in found.replicas {
            let replicas = round.replicas.entry(task.run).or_default();
            // A worker that changed its holder during the round is reported twice.
            if !replicas.iter().any(|(known, _)| *known == task) {
                replicas.push((task, worker));
            }
        }
    }

    pub(super) fn on_capacity(&mut self, from: &InstanceId, reply: Option<PeerReply>) {
        let (Some(round), Some(PeerReply::Capacity(found))) = (&mut self.round, reply) else {
            return;
        };
        for one in found {
            round.reported.insert(one.worker.clone(), from.clone());
            round.capacity.push(one);
        }
    }

    /// Goes on when all replies of a phase are in.
    pub(super) fn advance(&mut self, cx: &mut Context<'_>) {
        match self.round.as_ref().map(|round| round.phase) {
            Some(Phase::Replicas) => self.compare(cx),
            Some(Phase::Capacity) => self.start_missing(cx),
            Some(Phase::Changes) | None => {}
        }
        if self.round.as_ref().is_some_and(|round| round.open == 0) {
            self.round = None;
        }
    }

    /// Stops surplus replicas and asks for capacity if replicas are missing.
    fn compare(&mut self, cx: &mut Context<'_>) {
        let Some(round) = &mut self.round else { return };
        let reported: FastSet<WorkerId> = round.reported.keys().cloned().collect();
        let is_missing = round.duties.iter().any(|duty| round.missing(duty) > 0);
        if is_missing && !self.coverage.hides_replicas(cx, &reported) {
            round.phase = Phase::Capacity;
            for from in round.holders.clone() {
                let step = PendingCall::Capacity { from: from.clone() };
                self.send(cx, step, &from, PeerRequest::Capacity);
            }
            return;
        }
        self.stop_surplus(cx);
    }

    fn stop_surplus(&mut self, cx: &mut Context<'_>) {
        let Some(round) = &mut self.round else { return };
        round.phase = Phase::Changes;
        let surplus = round.duties.iter().flat_map(|duty| round.surplus(duty));
        let stops: Vec<_> = surplus
            .filter_map(|(task, worker)| Some((round.reported.get(&worker)?.clone(), task, worker)))
            .take(CHANGES_PER_ROUND)
            .collect();
        for (holder, task, worker) in stops {
            self.next_round = self.next_round.min(cx.now.mono + FAST_INTERVAL);
            let request = PeerRequest::Stop { worker, task };
            self.send(cx, PendingCall::Stop, &holder, request);
        }
    }

    /// Starts missing replicas, those of the most urgent services first, then stops surplus ones.
    fn start_missing(&mut self, cx: &mut Context<'_>) {
        let Some(round) = &self.round else { return };
        let mut pool = round.pool(cx);
        let mut missing: Vec<(usize, Duty)> = round
            .duties
            .iter()
            .map(|duty| (round.missing(duty), duty.clone()))
            .filter(|(count, _)| *count > 0)
            .collect();
        missing.sort_by_key(|(_, duty)| (std::cmp::Reverse(duty.service.urgency), duty.run));
        let mut budget = CHANGES_PER_ROUND;
        for (count, duty) in missing {
            budget -= self.start_duty(cx, &mut pool, &duty, count.min(budget));
        }
        self.stop_surplus(cx);
    }

    /// Starts up to `count` replicas of one service. Returns how many starts were sent.
    fn start_duty(
        &mut self,
        cx: &mut Context<'_>,
        pool: &mut Pool,
        duty: &Duty,
        count: usize,
    ) -> usize {
        let Some(round) = &self.round else { return 0 };
        let indexes = round.free_indexes(duty, count);
        let mut occupied: Vec<WorkerId> = round
            .lasting(duty.run)
            .into_iter()
            .map(|(_, worker)| worker)
            .collect();
        // Spreading counts the replicas that already run, so that a missing one goes to another rack.
        pool.set_replicas(duty.run, &occupied);
        let mut sent = 0;
        for index in indexes {
            let Some(worker) = self.choose(pool, duty, &occupied) else {
                break;
            };
            let holder = self.round.as_ref().and_then(|round| {
                let holder = round.reported.get(&worker);
                holder.cloned()
            });
            let Some(holder) = holder else { break };
            occupied.push(worker.clone());
            let attempt = self.next_attempt(cx);
            let request = PeerRequest::Start {
                worker: worker.clone(),
                task: spec(duty, index, attempt),
            };
            let run = duty.run;
            self.send(cx, PendingCall::Start { run, worker }, &holder, request);
            self.next_round = self.next_round.min(cx.now.mono + FAST_INTERVAL);
            sent += 1;
        }
        sent
    }

    /// Chooses a worker, first among those without a replica of the service.
    fn choose(&self, pool: &mut Pool, duty: &Duty, occupied: &[WorkerId]) -> Option<WorkerId> {
        let mut demand = Demand {
            run: duty.run,
            policy: Policy::Spread,
            size: duty.service.size,
            avoid: self
                .avoided
                .keys()
                .filter(|(run, _)| *run == duty.run)
                .map(|(_, worker)| worker.clone())
                .collect(),
        };
        let failed = demand.avoid.clone();
        demand.avoid.extend(occupied.iter().cloned());
        if let Ok(worker) = pool.place(&demand) {
            return Some(worker);
        }
        demand.avoid = failed;
        pool.place(&demand).ok()
    }
}

fn spec(duty: &Duty, index: u32, attempt: u32) -> TaskSpec {
    TaskSpec {
        key: TaskKey {
            run: duty.run,
            index,
            attempt,
        },
        job: duty.service.name.clone(),
        team: duty.service.team.clone(),
        kind: Kind::Service,
        urgency: duty.service.urgency,
        size: duty.service.size,
        exclusive: false,
        run_ms: 0,
    }
}
