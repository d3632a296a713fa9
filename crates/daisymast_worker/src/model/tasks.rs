//! Running and ended tasks of a worker.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::limits::{EXCLUSIVE_TASK_LEASE, SHARED_TASK_LEASE};
use daisymast_protocol::task::{Kind, TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{JobName, RunKey, TaskKey};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use super::history::History;
use super::log::{Log, LogEvent};

/// Time at which a task ends, and the state in which it ends.
pub(super) type TaskEnd = (Monotonic, TaskState);

#[derive(Clone, Debug)]
struct Running {
    /// The task. Its size holds the current CPU limit.
    spec: TaskSpec,
    /// CPU limit at the start of the task.
    millicores: u32,
    started: Monotonic,
    end: Option<TaskEnd>,
    lease_expires_at: Monotonic,
    seq: u64,
}

impl Running {
    fn report(&self, now: Monotonic, state: TaskState) -> TaskReport {
        let elapsed = (now - self.started).as_millis();
        TaskReport {
            spec: self.spec.clone(),
            state,
            elapsed_ms: u64::try_from(elapsed).unwrap_or(u64::MAX),
        }
    }

    /// Returns the planned end or the lease expiry, whichever comes first.
    fn next_end(&self) -> TaskEnd {
        let expiry = (self.lease_expires_at, TaskState::Expired);
        match self.end {
            Some(end) if end.0 <= expiry.0 => end,
            _ => expiry,
        }
    }
}

#[derive(Clone, Debug)]
struct Ended {
    report: TaskReport,
    seq: u64,
}

/// All tasks that a worker knows. The sum of the running ones never exceeds the capacity.
#[derive(Clone, Debug)]
pub(super) struct Tasks {
    capacity: Resources,
    used: Resources,
    running: BTreeMap<TaskKey, Running>,
    /// Ended tasks whose reports the holder has not acknowledged yet with a `Forget`.
    ended: BTreeMap<TaskKey, Ended>,
    history: History<TaskKey>,
    /// Sequence number of the last change.
    seq: u64,
}

impl Tasks {
    pub(super) fn new(capacity: Resources, remembered: usize) -> Self {
        Self {
            capacity,
            used: Resources::ZERO,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            history: History::new(remembered),
            seq: 0,
        }
    }

    pub(super) fn start(
        &mut self,
        now: Monotonic,
        spec: TaskSpec,
        end: Option<TaskEnd>,
        log: &mut Log,
    ) -> Result<(), Refusal> {
        let key = spec.key;
        if self.is_known(key) {
            return Err(Refusal::Duplicate);
        }
        let fits = spec.size.fits_in(self.capacity - self.used);
        if !fits || !self.history.make_room(now, self.tracked_count()) {
            return Err(Refusal::NoCapacity);
        }
        self.used += spec.size;
        let event = LogEvent::TaskStarted {
            task: key,
            size: spec.size,
            exclusive: spec.exclusive,
        };
        log.add(now, event);
        let running = Running {
            millicores: spec.size.millicores,
            started: now,
            end,
            lease_expires_at: now + lease_ttl(&spec),
            seq: self.next_seq(),
            spec,
        };
        self.running.insert(key, running);
        Ok(())
    }

    /// Stops a task. Has no effect on a task that has ended already.
    pub(super) fn stop(
        &mut self,
        now: Monotonic,
        key: TaskKey,
        log: &mut Log,
    ) -> Result<(), Refusal> {
        if self.running.contains_key(&key) {
            self.end_task(key, (now, TaskState::Stopped), log);
            return Ok(());
        }
        match self.history.get(&key) {
            Some(Fate::Ended { .. }) => Ok(()),
            _ if self.ended.contains_key(&key) => Ok(()),
            _ => Err(Refusal::UnknownTask),
        }
    }

    /// Sets the CPU limit of a task, at most to the limit that it was started with. Other tasks may
    /// use the freed CPU, so raising the limit again fails if they do.
    pub(super) fn throttle(
        &mut self,
        now: Monotonic,
        key: TaskKey,
        millicores: u32,
    ) -> Result<(), Refusal> {
        let seq = self.seq + 1;
        let task = self.running.get_mut(&key).ok_or(Refusal::UnknownTask)?;
        let (former, limit) = (task.spec.size, millicores.min(task.millicores));
        if limit == 0 {
            return Err(Refusal::Invalid);
        }
        let size = Resources {
            millicores: limit,
            ..former
        };
        let used_by_others = self.used - former;
        if !size.fits_in(self.capacity - used_by_others) {
            return Err(Refusal::NoCapacity);
        }
        self.used = used_by_others + size;
        task.spec.size = size;
        task.seq = seq;
        if let Some((at, _)) = &mut task.end {
            let slowdown = f64::from(former.millicores) / f64::from(limit);
            let remaining = (*at - now).as_secs_f64() * slowdown;
            *at = now + Duration::try_from_secs_f64(remaining).unwrap_or(Duration::MAX);
        }
        self.seq = seq;
        Ok(())
    }

    /// Drops the reports of ended tasks and moves their outcomes to the history.
    pub(super) fn forget(&mut self, now: Monotonic, keys: &[TaskKey]) {
        for key in keys {
            if let Some(ended) = self.ended.remove(key) {
                // `start` has reserved the room in the history.
                let report = ended.report;
                self.history.insert(now, *key, Fate::Ended { report });
            }
        }
    }

    /// Returns the [`Fate`] of a task. One that never ran is refused from now on.
    pub(super) fn resolve(&mut self, now: Monotonic, key: TaskKey) -> Result<Fate, Refusal> {
        if self.running.contains_key(&key) {
            return Ok(Fate::Running);
        }
        if let Some(ended) = self.ended.get(&key) {
            let report = ended.report.clone();
            return Ok(Fate::Ended { report });
        }
        if let Some(fate) = self.history.get(&key) {
            return Ok(fate.clone());
        }
        if !self.history.make_room(now, self.tracked_count()) {
            return Err(Refusal::NoCapacity);
        }
        self.history.insert(now, key, Fate::NeverRan);
        Ok(Fate::NeverRan)
    }

    /// Extends the leases of all shared tasks, and of the exclusive tasks of `keep_runs`.
    pub(super) fn extend_leases(&mut self, now: Monotonic, keep_runs: &[RunKey]) {
        for (key, task) in &mut self.running {
            if !task.spec.exclusive || keep_runs.contains(&key.run) {
                task.lease_expires_at = now + lease_ttl(&task.spec);
            }
        }
    }

    /// Ends the tasks whose run time or lease is over, in the order of their ends.
    pub(super) fn advance(&mut self, now: Monotonic, log: &mut Log) {
        let ends = self
            .running
            .iter()
            .map(|(key, task)| (task.next_end(), *key));
        let mut due: Vec<(TaskEnd, TaskKey)> = ends.filter(|((at, _), _)| *at <= now).collect();
        due.sort_by_key(|((at, _), key)| (*at, *key));
        for (end, key) in due {
            self.end_task(key, end, log);
        }
    }

    /// Postpones the end of each task by the duration of a freeze. Leases still expire on time.
    pub(super) fn delay_ends(&mut self, by: Duration) {
        for task in self.running.values_mut() {
            if let Some((at, _)) = &mut task.end {
                *at = *at + by;
            }
        }
    }

    /// Returns the tasks that changed after sequence number `since`, oldest change first.
    pub(super) fn changes(&self, now: Monotonic, since: u64) -> Vec<TaskReport> {
        let running = self.running.values().filter(|task| task.seq > since);
        let running = running.map(|task| (task.seq, task.report(now, TaskState::Running)));
        let ended = self.ended.values().filter(|task| task.seq > since);
        let ended = ended.map(|task| (task.seq, task.report.clone()));
        let mut changes: Vec<(u64, TaskReport)> = running.chain(ended).collect();
        changes.sort_by_key(|(seq, _)| *seq);
        changes.into_iter().map(|(_, report)| report).collect()
    }

    pub(super) fn seq(&self) -> u64 {
        self.seq
    }

    pub(super) fn used(&self) -> Resources {
        self.used
    }

    pub(super) fn has_replica(&self, service: &JobName) -> bool {
        let mut specs = self.running.values().map(|task| &task.spec);
        specs.any(|spec| spec.kind == Kind::Service && spec.job == *service)
    }

    fn end_task(&mut self, key: TaskKey, (at, state): TaskEnd, log: &mut Log) {
        if let Some(task) = self.running.remove(&key) {
            self.used -= task.spec.size;
            log.add(at, LogEvent::TaskEnded { task: key, state });
            let ended = Ended {
                report: task.report(at, state),
                seq: self.next_seq(),
            };
            self.ended.insert(key, ended);
        }
    }

    fn is_known(&self, key: TaskKey) -> bool {
        self.running.contains_key(&key)
            || self.ended.contains_key(&key)
            || self.history.get(&key).is_some()
    }

    /// Number of tasks that still need an entry in the history.
    fn tracked_count(&self) -> usize {
        self.running.len() + self.ended.len()
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

fn lease_ttl(spec: &TaskSpec) -> Duration {
    if spec.exclusive {
        EXCLUSIVE_TASK_LEASE
    } else {
        SHARED_TASK_LEASE
    }
}
