//! One pass of the reconciliation of running with declared replicas.

use daisymast_manifest::manifest::Service;
use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::{Kind, TaskSpec};
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, RunKey, TaskKey, WorkerId};

use super::{FAST_INTERVAL, PendingCall, Services};
use crate::shared::Context;

/// Maximum number of starts and of stops in one pass, so that a pass cannot overload the holders.
const CHANGES_MAX: usize = 64;

/// A service that this instance owns in its zone.
#[derive(Clone, Debug)]
pub(super) struct OwnedService {
    pub(super) run: RunKey,
    pub(super) service: Service,
    /// Number of replicas that the zone should run.
    pub(super) target: u32,
    /// Lowest replica index of the zone.
    pub(super) first_index: u32,
}

/// The replies that a pass waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Replicas,
    Capacity,
    Changes,
}

/// State of a pass.
#[derive(Clone, Debug)]
pub(super) struct ReconcilePass {
    phase: Phase,
    /// Calls without a reply.
    open: usize,
    owned_services: Vec<OwnedService>,
    holders: Vec<InstanceId>,
    /// Workers that a holder reported in this pass, with their holders.
    reported: FastMap<WorkerId, InstanceId>,
    leaving: FastSet<WorkerId>,
    replicas: FastMap<RunKey, Vec<(TaskKey, WorkerId)>>,
    capacity: Vec<WorkerCapacity>,
}

impl ReconcilePass {
    pub(super) fn new(owned_services: Vec<OwnedService>, holders: Vec<InstanceId>) -> Self {
        Self {
            phase: Phase::Replicas,
            open: 0,
            owned_services,
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

    /// Counts a reply. Returns whether it was the last one that the phase waits for.
    pub(super) fn note_reply(&mut self) -> bool {
        self.open = self.open.saturating_sub(1);
        self.open == 0
    }

    /// Replicas of a service that count towards its target: those on workers that are not leaving.
    fn remaining(&self, run: RunKey) -> Vec<(TaskKey, WorkerId)> {
        let replicas = self.replicas.get(&run).into_iter().flatten();
        let mut remaining: Vec<_> = replicas
            .filter(|(_, worker)| !self.leaving.contains(worker))
            .cloned()
            .collect();
        remaining.sort_unstable();
        remaining
    }

    fn missing(&self, owned: &OwnedService) -> usize {
        let target = usize::try_from(owned.target).unwrap_or(usize::MAX);
        target.saturating_sub(self.remaining(owned.run).len())
    }

    /// Replicas to stop: first duplicates of an index, then those with the highest indexes.
    fn surplus(&self, owned: &OwnedService) -> Vec<(TaskKey, WorkerId)> {
        let target = usize::try_from(owned.target).unwrap_or(usize::MAX);
        let mut seen = FastSet::default();
        let (mut unique, duplicates): (Vec<_>, Vec<_>) = self
            .remaining(owned.run)
            .into_iter()
            .partition(|(task, _)| seen.insert(task.index));
        unique.extend(duplicates);
        let keep = target.min(unique.len());
        let mut surplus = unique.split_off(keep);
        surplus.reverse();
        surplus
    }

    /// Indexes for new replicas: the lowest that no replica uses, including replicas on leaving
    /// workers.
    fn free_indexes(&self, owned: &OwnedService, count: usize) -> Vec<u32> {
        let replicas = self.replicas.get(&owned.run).into_iter().flatten();
        let used: FastSet<u32> = replicas.map(|(task, _)| task.index).collect();
        (owned.first_index..)
            .filter(|index| !used.contains(index))
            .take(count)
            .collect()
    }

    fn pool(&self, cx: &Context<'_>) -> Pool {
        let mut pool = Pool::default();
        for reported in &self.capacity {
            if let Some(known) = cx.shared.workers.get(&reported.worker) {
                pool.update(Machine {
                    worker: reported.worker.clone(),
                    zone: known.zone.clone(),
                    rack: known.rack.clone(),
                    capacity: reported.capacity,
                    free: reported.free,
                    schedulable: reported.open && !known.leaving,
                });
            }
        }
        pool
    }
}

impl Services {
    pub(super) fn on_replicas_reply(&mut self, from: InstanceId, reply: Option<PeerReply>) {
        let (Some(pass), Some(PeerReply::Replicas(found))) = (&mut self.pass, reply) else {
            return;
        };
        for worker in found.held {
            pass.reported.insert(worker, from.clone());
        }
        pass.leaving.extend(found.leaving);
        for (worker, task) in found.replicas {
            let replicas = pass.replicas.entry(task.run).or_default();
            // A worker whose holder changed during the pass is reported twice.
            if !replicas.iter().any(|(known, _)| *known == task) {
                replicas.push((task, worker));
            }
        }
    }

    pub(super) fn on_capacity_reply(&mut self, from: &InstanceId, reply: Option<PeerReply>) {
        let (Some(pass), Some(PeerReply::Capacity(found))) = (&mut self.pass, reply) else {
            return;
        };
        for reported in found {
            pass.reported.insert(reported.worker.clone(), from.clone());
            pass.capacity.push(reported);
        }
    }

    /// Continues the pass when all replies of a phase have arrived.
    pub(super) fn next_phase(&mut self, cx: &mut Context<'_>) {
        match self.pass.as_ref().map(|pass| pass.phase) {
            Some(Phase::Replicas) => self.compare_replicas(cx),
            Some(Phase::Capacity) => self.start_missing(cx),
            Some(Phase::Changes) | None => {}
        }
        if self.pass.as_ref().is_some_and(|pass| pass.open == 0) {
            self.pass = None;
        }
    }

    /// Queries the capacity if replicas are missing and can be started now. Otherwise stops surplus
    /// replicas.
    fn compare_replicas(&mut self, cx: &mut Context<'_>) {
        let Some(pass) = &mut self.pass else { return };
        let reported: FastSet<WorkerId> = pass.reported.keys().cloned().collect();
        let is_missing = pass
            .owned_services
            .iter()
            .any(|owned| pass.missing(owned) > 0);
        if is_missing && !self.unheld_workers.may_hide_replicas(cx, &reported) {
            pass.phase = Phase::Capacity;
            for from in pass.holders.clone() {
                let pending = PendingCall::Capacity { from: from.clone() };
                self.send(cx, pending, &from, PeerRequest::Capacity);
            }
            return;
        }
        self.stop_surplus(cx);
    }

    fn stop_surplus(&mut self, cx: &mut Context<'_>) {
        let Some(pass) = &mut self.pass else { return };
        pass.phase = Phase::Changes;
        let surplus = pass
            .owned_services
            .iter()
            .flat_map(|owned| pass.surplus(owned));
        let stops: Vec<_> = surplus
            .filter_map(|(task, worker)| Some((pass.reported.get(&worker)?.clone(), task, worker)))
            .take(CHANGES_MAX)
            .collect();
        for (holder, task, worker) in stops {
            self.next_pass_at = self.next_pass_at.min(cx.now.mono + FAST_INTERVAL);
            let request = PeerRequest::Stop { worker, task };
            self.send(cx, PendingCall::Stop, &holder, request);
        }
    }

    /// Starts missing replicas, those of the most urgent services first, then stops surplus ones.
    fn start_missing(&mut self, cx: &mut Context<'_>) {
        let Some(pass) = &self.pass else { return };
        let mut pool = pass.pool(cx);
        let mut missing: Vec<(usize, OwnedService)> = pass
            .owned_services
            .iter()
            .map(|owned| (pass.missing(owned), owned.clone()))
            .filter(|(count, _)| *count > 0)
            .collect();
        missing.sort_by_key(|(_, owned)| (std::cmp::Reverse(owned.service.urgency), owned.run));
        let mut budget = CHANGES_MAX;
        for (count, owned) in missing {
            budget -= self.start_replicas(cx, &mut pool, &owned, count.min(budget));
        }
        self.stop_surplus(cx);
    }

    /// Starts up to `count` replicas of one service. Returns how many starts were sent.
    fn start_replicas(
        &mut self,
        cx: &mut Context<'_>,
        pool: &mut Pool,
        owned: &OwnedService,
        count: usize,
    ) -> usize {
        let Some(pass) = &self.pass else { return 0 };
        let indexes = pass.free_indexes(owned, count);
        let mut occupied: Vec<WorkerId> = pass
            .remaining(owned.run)
            .into_iter()
            .map(|(_, worker)| worker)
            .collect();
        // The pool has to know the running replicas to spread new ones over racks.
        pool.set_replicas(owned.run, &occupied);
        let mut sent = 0;
        for index in indexes {
            let Some(worker) = self.choose_worker(pool, owned, &occupied) else {
                break;
            };
            let holder = self.pass.as_ref().and_then(|pass| {
                let holder = pass.reported.get(&worker);
                holder.cloned()
            });
            let Some(holder) = holder else { break };
            occupied.push(worker.clone());
            let attempt = self.next_attempt(cx);
            let request = PeerRequest::Start {
                worker: worker.clone(),
                task: task_spec(owned, index, attempt),
            };
            let run = owned.run;
            self.send(cx, PendingCall::Start { run, worker }, &holder, request);
            self.next_pass_at = self.next_pass_at.min(cx.now.mono + FAST_INTERVAL);
            sent += 1;
        }
        sent
    }

    /// Chooses a worker, preferably one without a replica of the service.
    fn choose_worker(
        &self,
        pool: &mut Pool,
        owned: &OwnedService,
        occupied: &[WorkerId],
    ) -> Option<WorkerId> {
        let mut demand = Demand {
            run: owned.run,
            policy: Policy::Spread,
            size: owned.service.size,
            excluded: self
                .avoided
                .keys()
                .filter(|(run, _)| *run == owned.run)
                .map(|(_, worker)| worker.clone())
                .collect(),
        };
        let avoided = demand.excluded.clone();
        demand.excluded.extend(occupied.iter().cloned());
        if let Ok(worker) = pool.place(&demand) {
            return Some(worker);
        }
        demand.excluded = avoided;
        pool.place(&demand).ok()
    }
}

fn task_spec(owned: &OwnedService, index: u32, attempt: u32) -> TaskSpec {
    TaskSpec {
        key: TaskKey {
            run: owned.run,
            index,
            attempt,
        },
        job: owned.service.name.clone(),
        team: owned.service.team.clone(),
        kind: Kind::Service,
        urgency: owned.service.urgency,
        size: owned.service.size,
        exclusive: false,
        run_ms: 0,
    }
}
