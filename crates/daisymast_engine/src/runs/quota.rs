//! Keeps the batches and gang jobs of each team within the team's quota.

use std::cmp::Reverse;
use std::time::Duration;

use daisymast_manifest::quota::{self, Split};
use daisymast_protocol::peer::{PeerRequest, WorkerCapacity};
use daisymast_runs::run::Run;
use daisymast_runs::task::Phase;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, TaskKey, Team, WorkerId};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Time after the last placement or change of the manifest in which the use of the teams is watched.
/// Only these can take a team above its quota, and the answers of all holders arrive in that time.
const WATCH: Duration = Duration::from_secs(5);
/// Age up to which a placement counts as recent: other owners cannot have counted it yet.
const RECENT: Duration = Duration::from_secs(3);
/// Shortest pause of a team's placements and stops after its use was reduced, until the holders have
/// reported the stops.
const PAUSE: Duration = Duration::from_secs(3);
/// Random part of that pause, so that two owners do not go above the quota together again.
const PAUSE_JITTER: Duration = Duration::from_secs(3);

/// What the tasks of each team use on the workers, and what they may use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usage {
    generation: Generation,
    split: Split,
    workers: FastMap<WorkerId, Vec<(Team, Resources)>>,
    /// Sums over all workers.
    used: FastMap<Team, Resources>,
    recent: Vec<(Monotonic, TaskKey)>,
    paused: FastMap<Team, Monotonic>,
    watched_until: Monotonic,
}

impl Usage {
    /// Takes over a new manifest, and drops what is old.
    pub(crate) fn refresh(&mut self, cx: &Context<'_>, is_placing: bool) {
        let now = cx.now.mono;
        if self.generation != cx.shared.generation {
            self.generation = cx.shared.generation;
            let manifest = cx.shared.manifest.as_ref();
            self.split = manifest.map(|all| quota::split(all)).unwrap_or_default();
            self.watched_until = now + WATCH;
        }
        if is_placing {
            self.watched_until = now + WATCH;
        }
        self.recent.retain(|(at, _)| now - *at < RECENT);
        self.paused.retain(|_, until| now < *until);
    }

    pub(crate) fn is_watched(&self, now: Monotonic) -> bool {
        now < self.watched_until
    }

    /// Replaces what is known of a worker; `placed` are the own tasks on the way there.
    pub(crate) fn describe(&mut self, worker: WorkerCapacity, placed: &[(Team, Resources)]) {
        self.remove(&worker.worker);
        let mut teams = worker.teams;
        teams.extend_from_slice(placed);
        for (team, size) in &teams {
            *self.used.entry(team.clone()).or_default() += *size;
        }
        self.workers.insert(worker.worker, teams);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        for (team, size) in self.workers.remove(worker).into_iter().flatten() {
            if let Some(used) = self.used.get_mut(&team) {
                *used -= size;
            }
        }
    }

    /// How many more tasks of a run the quota of its team allows.
    pub(crate) fn room(&self, run: &Run) -> u32 {
        let Some(job) = &run.job else { return 0 };
        if self.paused.contains_key(&job.team) {
            return 0;
        }
        let used = self.used.get(&job.team).copied().unwrap_or_default();
        match self.split.rest(&job.team) {
            None => u32::MAX,
            Some(rest) if !used.fits_in(rest) => 0,
            Some(rest) => quota::times(rest - used, job.size),
        }
    }

    /// Counts a placement until the worker's holder reports it.
    pub(crate) fn place(&mut self, now: Monotonic, run: &Run, index: u32, worker: &WorkerId) {
        let Some(job) = &run.job else { return };
        let teams = self.workers.entry(worker.clone()).or_default();
        teams.push((job.team.clone(), job.size));
        *self.used.entry(job.team.clone()).or_default() += job.size;
        self.recent.push((now, run.key(index)));
    }

    fn is_recent(&self, task: TaskKey) -> bool {
        self.recent.iter().any(|(_, recent)| *recent == task)
    }

    /// Teams that use more than their quota, with their use and the part above the quota.
    fn excesses(&self) -> Vec<(Team, Resources, Resources)> {
        let mut over: Vec<_> = self
            .used
            .iter()
            .filter(|(team, _)| !self.paused.contains_key(*team))
            .filter_map(|(team, used)| {
                let rest = self.split.rest(team)?;
                let excess = used.saturating_sub(rest);
                (excess != Resources::ZERO).then(|| (team.clone(), *used, excess))
            })
            .collect();
        over.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        over
    }
}

impl Runs {
    /// Stops own tasks of teams above their quota. Owners that place at the same time can take a team
    /// above it together, and a new manifest can lower it.
    pub(crate) fn reduce_excess(&mut self, cx: &mut Context<'_>) {
        for (team, used, excess) in self.workers.usage.excesses() {
            let stops = self.choose_stops(&team, used, excess);
            if stops.is_empty() {
                continue;
            }
            let pause = PAUSE + cx.outbox.jitter(PAUSE_JITTER);
            self.workers.usage.paused.insert(team, cx.now.mono + pause);
            for (task, worker) in stops {
                let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) else {
                    continue;
                };
                cx.outbox
                    .record("task.over_quota", &task.to_string(), worker.to_string());
                let request = PeerRequest::Stop { worker, task };
                let step = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    /// The recent placements up to the whole excess, and other tasks, the least urgent first, up to the
    /// own part of it: the owners of the rest see the same excess.
    fn choose_stops(
        &self,
        team: &Team,
        used: Resources,
        excess: Resources,
    ) -> Vec<(TaskKey, WorkerId)> {
        let mut own = Vec::new();
        let mut sum = Resources::ZERO;
        for run in self.runs.values() {
            let Some(job) = run.job.as_ref().filter(|job| job.team == *team) else {
                continue;
            };
            for (index, task) in run.tasks() {
                if let (Phase::Active { .. }, Some(worker)) = (&task.phase, &task.worker) {
                    let key = run.key(index);
                    let is_old = !self.workers.usage.is_recent(key);
                    sum += job.size;
                    own.push((
                        (is_old, job.urgency, Reverse(key)),
                        worker.clone(),
                        job.size,
                    ));
                }
            }
        }
        own.sort_unstable_by_key(|one| one.0);
        let part = part(excess, sum, used);
        let mut stopped = Resources::ZERO;
        let mut stops = Vec::new();
        for ((is_old, _, Reverse(key)), worker, size) in own {
            let target = if is_old { part } else { excess };
            if !target.fits_in(stopped) {
                stopped += size;
                stops.push((key, worker));
            }
        }
        stops
    }
}

/// The part of an excess that falls to an owner whose tasks use `own` of `used`, rounded up.
fn part(excess: Resources, own: Resources, used: Resources) -> Resources {
    let one = |excess: u32, own: u32, used: u32| {
        let product = u64::from(excess) * u64::from(own.min(used));
        u32::try_from(product.div_ceil(u64::from(used.max(1)))).unwrap_or(u32::MAX)
    };
    let accelerators = one(
        excess.accelerators.into(),
        own.accelerators.into(),
        used.accelerators.into(),
    );
    Resources::new(
        one(excess.millicores, own.millicores, used.millicores),
        one(excess.memory_mib, own.memory_mib, used.memory_mib),
        u16::try_from(accelerators).unwrap_or(u16::MAX),
    )
}
