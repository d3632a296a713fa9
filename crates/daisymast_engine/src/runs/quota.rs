//! Enforces the quota of each team for the tasks of batches and gang jobs.

use std::cmp::Reverse;
use std::time::Duration;

use daisymast_manifest::quota::{self, QuotaSplit};
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

/// Time after the last placement or manifest change during which the usage of teams is monitored.
/// Only these can take a team above its quota, and the replies of all holders arrive within this
/// time.
const MONITOR_WINDOW: Duration = Duration::from_secs(5);
/// Age up to which a placement is recent: other owners may not have counted it yet.
const RECENT_PLACEMENT_AGE: Duration = Duration::from_secs(3);
/// Minimum pause of a team's placements and stops after tasks over its quota were stopped. The
/// holders report the stops within this time.
const TEAM_PAUSE: Duration = Duration::from_secs(3);
/// Random addition to [`TEAM_PAUSE`], so that two owners do not exceed the quota together again.
const TEAM_PAUSE_JITTER: Duration = Duration::from_secs(3);

/// Resource usage and quota of each team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamUsage {
    generation: Generation,
    split: QuotaSplit,
    workers: FastMap<WorkerId, Vec<(Team, Resources)>>,
    /// Usage of each team, summed over all workers.
    used: FastMap<Team, Resources>,
    /// Recent placements by this owner.
    recent: Vec<(Monotonic, TaskKey)>,
    /// Teams whose placements and stops are paused, until the given time.
    paused: FastMap<Team, Monotonic>,
    monitored_until: Monotonic,
}

impl TeamUsage {
    /// Applies a changed manifest and drops outdated placements and pauses.
    pub(crate) fn refresh(&mut self, cx: &Context<'_>, has_waiting_runs: bool) {
        let now = cx.now.mono;
        if self.generation != cx.shared.generation {
            self.generation = cx.shared.generation;
            let manifest = cx.shared.manifest.as_ref();
            self.split = manifest
                .map(|manifest| quota::split(manifest))
                .unwrap_or_default();
            self.monitored_until = now + MONITOR_WINDOW;
        }
        if has_waiting_runs {
            self.monitored_until = now + MONITOR_WINDOW;
        }
        self.recent
            .retain(|(at, _)| now - *at < RECENT_PLACEMENT_AGE);
        self.paused.retain(|_, until| now < *until);
    }

    /// Whether the usage of teams is being monitored, which needs current capacity reports.
    pub(crate) fn is_monitored(&self, now: Monotonic) -> bool {
        now < self.monitored_until
    }

    /// Replaces the usage on a worker by its holder's report. `placed` are tasks that this owner
    /// has placed there and that are not started yet, which the holder does not report.
    pub(crate) fn update_worker(&mut self, worker: WorkerCapacity, placed: &[(Team, Resources)]) {
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

    /// Number of further tasks of a run that the quota of its team allows.
    pub(crate) fn headroom(&self, run: &Run) -> u32 {
        let Some(job) = &run.job else { return 0 };
        if self.paused.contains_key(&job.team) {
            return 0;
        }
        let used = self.used.get(&job.team).copied().unwrap_or_default();
        match self.split.task_quota(&job.team) {
            None => u32::MAX,
            Some(rest) if !used.fits_in(rest) => 0,
            Some(rest) => quota::tasks_that_fit(rest - used, job.size),
        }
    }

    /// Adds a placement to the usage until the worker's holder reports it.
    pub(crate) fn count_placement(
        &mut self,
        now: Monotonic,
        run: &Run,
        index: u32,
        worker: &WorkerId,
    ) {
        let Some(job) = &run.job else { return };
        let teams = self.workers.entry(worker.clone()).or_default();
        teams.push((job.team.clone(), job.size));
        *self.used.entry(job.team.clone()).or_default() += job.size;
        self.recent.push((now, run.key(index)));
    }

    fn is_recent(&self, task: TaskKey) -> bool {
        self.recent.iter().any(|(_, recent)| *recent == task)
    }

    /// Teams above their quota, with their usage and the excess over the quota.
    fn over_quota(&self) -> Vec<(Team, Resources, Resources)> {
        let mut over: Vec<_> = self
            .used
            .iter()
            .filter(|(team, _)| !self.paused.contains_key(*team))
            .filter_map(|(team, used)| {
                let rest = self.split.task_quota(team)?;
                let excess = used.saturating_sub(rest);
                (excess != Resources::ZERO).then(|| (team.clone(), *used, excess))
            })
            .collect();
        over.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        over
    }
}

impl Runs {
    /// Stops tasks of this owner that belong to teams above their quota. Owners that place tasks
    /// concurrently can exceed a quota together, and a new manifest can lower it.
    pub(crate) fn stop_over_quota(&mut self, cx: &mut Context<'_>) {
        for (team, used, excess) in self.workers.usage.over_quota() {
            let stops = self.choose_stops(&team, used, excess);
            if stops.is_empty() {
                continue;
            }
            let pause = TEAM_PAUSE + cx.outbox.jitter(TEAM_PAUSE_JITTER);
            self.workers.usage.paused.insert(team, cx.now.mono + pause);
            for (task, worker) in stops {
                let Some(holder) = cx.shared.view.holder(cx.now.mono, &worker) else {
                    continue;
                };
                cx.outbox
                    .record("task.over_quota", &task.to_string(), worker.to_string());
                let request = PeerRequest::Stop { worker, task };
                let pending = outbox::PendingCall::Runs(PendingCall::Ignore);
                cx.outbox
                    .call_peer(cx.shared, pending, &holder, request, PEER_TIMEOUT);
            }
        }
    }

    /// Chooses tasks to stop: recent placements up to the whole excess, then other tasks, the least
    /// urgent first, up to this owner's proportional part of the excess. The other owners see the
    /// same excess and stop their parts.
    fn choose_stops(
        &self,
        team: &Team,
        used: Resources,
        excess: Resources,
    ) -> Vec<(TaskKey, WorkerId)> {
        let mut candidates = Vec::new();
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
                    candidates.push((
                        (is_old, job.urgency, Reverse(key)),
                        worker.clone(),
                        job.size,
                    ));
                }
            }
        }
        candidates.sort_unstable_by_key(|candidate| candidate.0);
        let own_part = proportional_part(excess, sum, used);
        let mut stopped = Resources::ZERO;
        let mut stops = Vec::new();
        for ((is_old, _, Reverse(key)), worker, size) in candidates {
            let target = if is_old { own_part } else { excess };
            if !target.fits_in(stopped) {
                stopped += size;
                stops.push((key, worker));
            }
        }
        stops
    }
}

/// The part of an excess that an owner has to stop if its tasks use `own` of `used`, rounded up.
fn proportional_part(excess: Resources, own: Resources, used: Resources) -> Resources {
    let scale = |excess: u32, own: u32, used: u32| {
        let product = u64::from(excess) * u64::from(own.min(used));
        u32::try_from(product.div_ceil(u64::from(used.max(1)))).unwrap_or(u32::MAX)
    };
    let accelerators = scale(
        excess.accelerators.into(),
        own.accelerators.into(),
        used.accelerators.into(),
    );
    Resources::new(
        scale(excess.millicores, own.millicores, used.millicores),
        scale(excess.memory_mib, own.memory_mib, used.memory_mib),
        u16::try_from(accelerators).unwrap_or(u16::MAX),
    )
}
