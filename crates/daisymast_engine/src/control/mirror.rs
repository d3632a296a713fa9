//! The holder's copy of a worker's tasks, capacity and reservations.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::task::{Kind, TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Grant, WorkerMillis};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{JobName, RunKey, TaskKey, Team};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

/// Weight of the previous smoothed service time against one new sample.
const SMOOTHING_WEIGHT: u64 = 7;

/// A start that was sent and that the worker has not reported yet.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    pub(super) spec: TaskSpec,
    /// Time on the worker's clock after which it refuses the start.
    pub(super) not_after: WorkerMillis,
    /// Whether the call is still open. If not, its outcome is unknown.
    pub(super) awaits_reply: bool,
}

/// A task and the time at which its current state was first reported.
#[derive(Clone, Debug)]
pub(super) struct TrackedTask {
    pub(super) report: TaskReport,
    pub(super) seen_at: Monotonic,
}

/// A task that started or ended.
#[derive(Clone, Debug)]
pub(super) struct TaskChange {
    pub(super) task: TaskKey,
    pub(super) job: JobName,
    /// Final state, or `None` if the task started.
    pub(super) ended: Option<TaskState>,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    size: Resources,
    until: Monotonic,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Mirror {
    pub(super) capacity: Resources,
    pub(super) slots: u32,
    /// Sequence number of the last applied change.
    pub(super) seq: u64,
    pub(super) leaving: bool,
    /// Number of open requests to replicas. Each takes a slot.
    pub(super) serving: u32,
    tasks: FastMap<TaskKey, TrackedTask>,
    pending_starts: FastMap<TaskKey, PendingStart>,
    reservations: FastMap<RunKey, Reservation>,
    used: Resources,
    running: FastMap<JobName, u32>,
    service_us: FastMap<JobName, u64>,
}

impl Mirror {
    /// Replaces the copy by the state in a grant. Under a new lease, pending starts can no longer
    /// take effect and are dropped together with the reservations. If the grant repeats the current
    /// lease, both are kept.
    pub(super) fn reset(
        &mut self,
        now: Monotonic,
        grant: &Grant,
        is_same_lease: bool,
    ) -> Vec<TaskChange> {
        let known = std::mem::take(&mut self.tasks);
        if !is_same_lease {
            self.pending_starts.clear();
            self.reservations.clear();
        }
        self.running.clear();
        self.used = Resources::ZERO;
        self.capacity = grant.capacity;
        self.slots = grant.slots;
        self.seq = grant.seq;
        self.leaving = grant.leaving;
        self.service_us
            .retain(|job, _| grant.tasks.iter().any(|task| task.spec.job == *job));
        let mut changes = Vec::new();
        for report in &grant.tasks {
            let was_ended = known
                .get(&report.spec.key)
                .is_some_and(|task| task.report.state.is_ended());
            let change = self.apply_report(now, report.clone());
            // Tasks that run when a lease is granted were started earlier, so they are no changes.
            changes.extend(change.filter(|change| change.ended.is_some() && !was_ended));
        }
        changes
    }

    /// Applies the task reports of a renewal in order.
    pub(super) fn renew(
        &mut self,
        now: Monotonic,
        seq: u64,
        leaving: bool,
        changes: Vec<TaskReport>,
    ) -> Vec<TaskChange> {
        self.seq = seq;
        self.leaving = leaving;
        let changes = changes.into_iter();
        changes
            .filter_map(|report| self.apply_report(now, report))
            .collect()
    }

    /// Applies one task report. Returns the change if the task started or ended.
    pub(super) fn apply_report(
        &mut self,
        now: Monotonic,
        report: TaskReport,
    ) -> Option<TaskChange> {
        let task = report.spec.key;
        let old = self.tasks.get(&task).map(|known| known.report.state);
        if old == Some(TaskState::Running) && report.state == TaskState::Running {
            self.resize(report);
            return None;
        }
        if old.is_some_and(TaskState::is_ended) {
            return None;
        }
        self.pending_starts.remove(&task);
        if old.is_some() {
            self.release_resources(&task);
        }
        let job = report.spec.job.clone();
        let ended = report.state.is_ended().then_some(report.state);
        if ended.is_none() {
            self.used += report.spec.size;
            *self.running.entry(job.clone()).or_default() += 1;
        }
        self.tasks.insert(
            task,
            TrackedTask {
                report,
                seen_at: now,
            },
        );
        Some(TaskChange { task, job, ended })
    }

    /// Removes ended tasks that the worker has dropped.
    pub(super) fn forget(&mut self, tasks: &[TaskKey]) {
        for task in tasks {
            if self.is_ended(task) {
                self.tasks.remove(task);
            }
        }
    }

    /// Removes starts of unknown outcome whose deadline has passed on the worker's clock. The
    /// worker would have reported them by now, so they took no effect.
    pub(super) fn discard_expired_starts(&mut self, clock: WorkerMillis) {
        self.pending_starts
            .retain(|_, start| start.awaits_reply || clock <= start.not_after);
    }

    /// Capacity that is free for `run`. Pending starts and reservations of other runs count as
    /// used.
    pub(super) fn free(&self, now: Monotonic, run: Option<RunKey>) -> Resources {
        let mut used = self.used;
        for start in self.pending_starts.values() {
            used += start.spec.size;
        }
        for (owner, reservation) in &self.reservations {
            if Some(*owner) != run && now < reservation.until {
                used += reservation.size;
            }
        }
        self.capacity.saturating_sub(used)
    }

    /// Specs of running tasks and pending starts.
    fn active_specs(&self) -> impl Iterator<Item = &TaskSpec> {
        let running = self
            .tasks
            .values()
            .filter(|known| !known.report.state.is_ended())
            .map(|known| &known.report.spec);
        running.chain(self.pending_starts.values().map(|start| &start.spec))
    }

    /// Resources of all running tasks and pending starts, by urgency.
    pub(super) fn usage_by_urgency(&self) -> Vec<(Urgency, Resources)> {
        let mut classes: BTreeMap<Urgency, Resources> = BTreeMap::new();
        for spec in self.active_specs() {
            *classes.entry(spec.urgency).or_default() += spec.size;
        }
        classes.into_iter().collect()
    }

    /// Resources of running tasks and pending starts of batch and gang jobs, by team.
    pub(super) fn usage_by_team(&self) -> Vec<(Team, Resources)> {
        let mut teams: BTreeMap<&Team, Resources> = BTreeMap::new();
        for spec in self.active_specs() {
            if spec.kind != Kind::Service {
                *teams.entry(&spec.team).or_default() += spec.size;
            }
        }
        let teams = teams.into_iter();
        teams.map(|(team, size)| (team.clone(), size)).collect()
    }

    /// Adds a start that is being sent and deducts its size from the reservation of its run.
    pub(super) fn add_pending_start(&mut self, task: TaskKey, start: PendingStart) {
        if let Some(reservation) = self.reservations.get_mut(&task.run) {
            reservation.size = reservation.size.saturating_sub(start.spec.size);
        }
        self.pending_starts.insert(task, start);
    }

    /// Removes a start that certainly took no effect.
    pub(super) fn remove_pending_start(&mut self, task: &TaskKey) {
        self.pending_starts.remove(task);
    }

    /// Marks a start as having an unknown outcome. It counts as used until the worker reports it or
    /// its deadline passes.
    pub(super) fn mark_outcome_unknown(&mut self, task: &TaskKey) {
        if let Some(start) = self.pending_starts.get_mut(task) {
            start.awaits_reply = false;
        }
    }

    pub(super) fn pending_start(&self, task: &TaskKey) -> Option<&PendingStart> {
        self.pending_starts.get(task)
    }

    /// Reserves capacity until `until`. Replaces an earlier reservation of the same run.
    pub(super) fn reserve(&mut self, run: RunKey, size: Resources, until: Monotonic) {
        self.reservations.insert(run, Reservation { size, until });
    }

    pub(super) fn unreserve(&mut self, run: RunKey) {
        self.reservations.remove(&run);
    }

    /// Drops expired reservations.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.reservations
            .retain(|_, reservation| now < reservation.until);
    }

    /// Number of reservations and pending starts.
    pub(super) fn outstanding(&self) -> usize {
        self.reservations.len() + self.pending_starts.len()
    }

    pub(super) fn contains(&self, task: &TaskKey) -> bool {
        self.tasks.contains_key(task) || self.pending_starts.contains_key(task)
    }

    pub(super) fn is_ended(&self, task: &TaskKey) -> bool {
        self.tasks
            .get(task)
            .is_some_and(|known| known.report.state.is_ended())
    }

    pub(super) fn task(&self, task: &TaskKey) -> Option<&TrackedTask> {
        self.tasks.get(task)
    }

    pub(super) fn tasks(&self) -> impl Iterator<Item = &TrackedTask> {
        self.tasks.values()
    }

    /// Runs with a running exclusive task or a pending start. May contain duplicates.
    pub(super) fn runs(&self) -> impl Iterator<Item = RunKey> {
        let running = self
            .tasks
            .iter()
            .filter(|(_, known)| known.report.spec.exclusive && !known.report.state.is_ended())
            .map(|(task, _)| task.run);
        running.chain(self.pending_starts.keys().map(|task| task.run))
    }

    /// Keys of running tasks and pending starts.
    pub(super) fn started_or_starting(&self) -> impl Iterator<Item = TaskKey> {
        let running = self
            .tasks
            .iter()
            .filter(|(_, known)| !known.report.state.is_ended())
            .map(|(task, _)| *task);
        running.chain(self.pending_starts.keys().copied())
    }

    /// Number of running tasks of each job.
    pub(super) fn running(&self) -> impl Iterator<Item = (&JobName, u32)> {
        self.running.iter().map(|(job, count)| (job, *count))
    }

    pub(super) fn has_replica(&self, service: &JobName) -> bool {
        self.running.contains_key(service)
    }

    pub(super) fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.serving)
    }

    /// Updates the smoothed service time with the duration of one request.
    pub(super) fn record_service_time(&mut self, service: &JobName, span: Duration) {
        let sample = u64::try_from(span.as_micros()).unwrap_or(u64::MAX >> 4);
        if self.has_replica(service) {
            let smoothed = self.service_us.entry(service.clone()).or_insert(sample);
            *smoothed =
                (smoothed.saturating_mul(SMOOTHING_WEIGHT) + sample) / (SMOOTHING_WEIGHT + 1);
        }
    }

    /// Smoothed service time in microseconds, or 0 if there is no sample.
    pub(super) fn service_us(&self, service: &JobName) -> u64 {
        self.service_us.get(service).copied().unwrap_or(0)
    }

    /// Updates the size of a running task, which the worker lowers when it throttles the task.
    fn resize(&mut self, report: TaskReport) {
        if let Some(known) = self.tasks.get_mut(&report.spec.key) {
            self.used = self.used.saturating_sub(known.report.spec.size) + report.spec.size;
            known.report.spec = report.spec;
        }
    }

    fn release_resources(&mut self, task: &TaskKey) {
        let Some(known) = self.tasks.get(task) else {
            return;
        };
        let spec = &known.report.spec;
        self.used = self.used.saturating_sub(spec.size);
        if let Some(count) = self.running.get_mut(&spec.job) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&spec.job);
                self.service_us.remove(&spec.job);
            }
        }
    }
}
