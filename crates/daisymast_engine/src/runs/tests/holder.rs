//! A fake of the instance that holds all workers, with the tasks and task leases on them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use daisymast_placement::reclaim::{self, Candidate};
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::{TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{Epoch, Partition, RunKey, TaskKey, Team, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Timestamp;

/// Fault of the connection to the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Good,
    /// The call takes effect, but its reply is lost.
    LosesReplies,
    /// The call is lost before it takes effect. The caller sees the same as for a lost reply.
    LosesCalls,
    /// The call takes effect 900 ms after the caller got an unknown outcome.
    Delays,
}

/// Duration of the lease of an exclusive task, in milliseconds.
const TASK_LEASE_MS: u64 = 10_000;
/// Time for which a poll keeps the leases of a run's tasks extended, in milliseconds.
const RUN_EXTENSION_MS: u64 = 3_000;

/// The fake holder. Records the calls that it receives.
pub(crate) struct Holder {
    pub(crate) workers: BTreeMap<WorkerId, Resources>,
    /// Workers that the holder has lost: it answers as if it had never held them.
    pub(crate) lost_workers: BTreeSet<WorkerId>,
    pub(crate) tasks: BTreeMap<TaskKey, (WorkerId, TaskReport)>,
    /// Attempts that were resolved as never run, and must not be started later.
    tombstones: BTreeSet<TaskKey>,
    pub(crate) reserved: BTreeMap<(WorkerId, RunKey), Resources>,
    /// Workers that refuse reservations and starts.
    pub(crate) full: BTreeSet<WorkerId>,
    /// Received starts, with their times in milliseconds.
    pub(crate) starts: Vec<(u64, TaskKey, WorkerId)>,
    pub(crate) stops: Vec<TaskKey>,
    pub(crate) reserves: Vec<WorkerId>,
    /// Times of the accepted polls, in milliseconds.
    pub(crate) polls: Vec<u64>,
    pub(crate) start_link: Link,
    pub(crate) poll_link: Link,
    /// Time of the last poll of each run, in milliseconds.
    last_polls: BTreeMap<RunKey, u64>,
    /// Expiry of each task's lease, in milliseconds.
    leases: BTreeMap<TaskKey, u64>,
    /// Delayed calls, with the times at which they take effect.
    delayed: Vec<(u64, PeerRequest)>,
    epochs: BTreeMap<Partition, Epoch>,
    /// Whether polls under a lower epoch than seen before are refused. `false` stands for a holder
    /// that the newer owner has not polled yet.
    pub(crate) refuses_stale_epochs: bool,
}

impl Holder {
    pub(crate) fn new(workers: u32) -> Self {
        let capacity = Resources::new(8_000, 16 * 1_024, 0);
        Self {
            workers: (1..=workers)
                .map(|number| (WorkerId::from(format!("w-{number}")), capacity))
                .collect(),
            lost_workers: BTreeSet::new(),
            tasks: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            reserved: BTreeMap::new(),
            full: BTreeSet::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            reserves: Vec::new(),
            polls: Vec::new(),
            start_link: Link::Good,
            poll_link: Link::Good,
            last_polls: BTreeMap::new(),
            leases: BTreeMap::new(),
            delayed: Vec::new(),
            epochs: BTreeMap::new(),
            refuses_stale_epochs: true,
        }
    }

    pub(crate) fn held(&self) -> Vec<WorkerId> {
        let held = self
            .workers
            .keys()
            .filter(|one| !self.lost_workers.contains(*one));
        held.cloned().collect()
    }

    /// Ends all running tasks in the given state.
    pub(crate) fn end_all(&mut self, state: TaskState) {
        for (_, report) in self.tasks.values_mut() {
            if report.state == TaskState::Running {
                report.state = state;
            }
        }
    }

    pub(crate) fn running(&self) -> usize {
        let running = |one: &&(WorkerId, TaskReport)| one.1.state == TaskState::Running;
        self.tasks.values().filter(running).count()
    }

    /// Runs of the running tasks.
    pub(crate) fn running_runs(&self) -> BTreeSet<RunKey> {
        let running = |one: &&(WorkerId, TaskReport)| one.1.state == TaskState::Running;
        let running = self.tasks.values().filter(running);
        running.map(|(_, report)| report.spec.key.run).collect()
    }

    fn teams(&self, worker: &WorkerId) -> Vec<(Team, Resources)> {
        let running = self
            .tasks
            .values()
            .filter(|(on, report)| on == worker && report.state == TaskState::Running);
        let specs = running.map(|(_, report)| &report.spec);
        specs.map(|spec| (spec.team.clone(), spec.size)).collect()
    }

    fn classes(&self, worker: &WorkerId) -> Vec<(Urgency, Resources)> {
        let on = self.tasks.values().filter(|(on, _)| on == worker);
        let running = on.filter(|(_, report)| report.state == TaskState::Running);
        running
            .map(|(_, report)| (report.spec.urgency, report.spec.size))
            .collect()
    }

    /// Stops tasks to free capacity, as the control component does.
    fn reclaim(
        &mut self,
        worker: WorkerId,
        run: RunKey,
        size: Resources,
        from: &[Urgency],
    ) -> PeerReply {
        let on = self.tasks.values().filter(|(on, _)| *on == worker);
        let running: Vec<Candidate> = on
            .filter(|(_, report)| report.state == TaskState::Running)
            .map(|(_, report)| Candidate {
                task: report.spec.key,
                urgency: report.spec.urgency,
                size: report.spec.size,
                service: false,
                elapsed: Duration::from_millis(report.elapsed_ms),
            })
            .collect();
        let Some(victims) = reclaim::victims(self.free(&worker), size, from, &running) else {
            return PeerReply::Refused(Refusal::NoCapacity);
        };
        self.reserved.insert((worker, run), size);
        for task in victims {
            self.stops.push(task);
            if let Some((_, report)) = self.tasks.get_mut(&task) {
                report.state = TaskState::Stopped;
            }
        }
        PeerReply::Ok
    }

    fn free(&self, worker: &WorkerId) -> Resources {
        let running = self
            .tasks
            .values()
            .filter(|(on, report)| on == worker && report.state == TaskState::Running)
            .map(|(_, report)| report.spec.size);
        let reserved = self.reserved.iter().filter(|((on, _), _)| on == worker);
        let used = running
            .chain(reserved.map(|(_, size)| *size))
            .fold(Resources::ZERO, |sum, size| sum + size);
        self.workers[worker].saturating_sub(used)
    }

    /// Extends or expires task leases, and applies delayed calls that are due.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        let clock = now.mono.as_millis();
        while self.delayed.first().is_some_and(|(due, _)| *due <= clock) {
            let (_, request) = self.delayed.remove(0);
            let _ = self.answer(now, request);
        }
        for (key, (worker, report)) in &mut self.tasks {
            let lease = self.leases.entry(*key).or_insert(clock + TASK_LEASE_MS);
            let is_polled = self
                .last_polls
                .get(&key.run)
                .is_some_and(|at| clock - at < RUN_EXTENSION_MS);
            if is_polled && !self.lost_workers.contains(worker) {
                *lease = clock + TASK_LEASE_MS;
            }
            if report.state == TaskState::Running && *lease <= clock {
                report.state = TaskState::Expired;
            }
        }
    }

    pub(crate) fn call(&mut self, now: Timestamp, request: PeerRequest) -> Outcome<PeerReply> {
        let is_start = matches!(request, PeerRequest::Start { .. });
        let link = if is_start {
            self.start_link
        } else {
            Link::Good
        };
        if let PeerRequest::Start { worker, task } = &request {
            let start = (now.mono.as_millis(), task.key, worker.clone());
            self.starts.push(start);
        }
        let unknown = Outcome::Unknown(CallError::new("call", "holder", "deadline passed"));
        match link {
            Link::Good => Outcome::Done(self.answer(now, request)),
            Link::LosesReplies => {
                let _ = self.answer(now, request);
                unknown
            }
            Link::LosesCalls => unknown,
            Link::Delays => {
                self.delayed.push((now.mono.as_millis() + 900, request));
                unknown
            }
        }
    }

    fn answer(&mut self, now: Timestamp, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Capacity => PeerReply::Capacity(
                self.held()
                    .into_iter()
                    .map(|worker| WorkerCapacity {
                        capacity: self.workers[&worker],
                        free: self.free(&worker),
                        open: true,
                        teams: self.teams(&worker),
                        classes: self.classes(&worker),
                        worker,
                    })
                    .collect(),
            ),
            PeerRequest::Start { worker, task } => self.start(worker, task),
            PeerRequest::PollRuns {
                partition,
                epoch,
                runs,
                recorded,
            } => {
                let seen = self.epochs.entry(partition).or_insert(epoch);
                if self.refuses_stale_epochs && epoch < *seen {
                    return PeerReply::StaleEpoch;
                }
                *seen = epoch.max(*seen);
                self.polls.push(now.mono.as_millis());
                for task in recorded {
                    self.tasks.remove(&task);
                }
                let clock = now.mono.as_millis();
                self.last_polls.extend(runs.iter().map(|run| (*run, clock)));
                let lost_workers = &self.lost_workers;
                let listed = self.tasks.values().filter(|(worker, report)| {
                    runs.contains(&report.spec.key.run) && !lost_workers.contains(worker)
                });
                PeerReply::Runs(listed.cloned().collect())
            }
            PeerRequest::ResolveTask { worker, task } => self.resolve(&worker, task),
            PeerRequest::Stop { task, .. } => {
                self.stops.push(task);
                if let Some((_, report)) = self.tasks.get_mut(&task) {
                    report.state = TaskState::Stopped;
                }
                PeerReply::Ok
            }
            PeerRequest::Reserve { worker, run, size } => {
                self.reserves.push(worker.clone());
                if self.full.contains(&worker) || !size.fits_in(self.free(&worker)) {
                    return PeerReply::Refused(Refusal::NoCapacity);
                }
                self.reserved.insert((worker, run), size);
                PeerReply::Ok
            }
            PeerRequest::Reclaim {
                worker,
                run,
                size,
                classes,
            } => self.reclaim(worker, run, size, &classes),
            PeerRequest::Unreserve { worker, run } => {
                self.reserved.remove(&(worker, run));
                PeerReply::Ok
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn start(&mut self, worker: WorkerId, spec: TaskSpec) -> PeerReply {
        if self.lost_workers.contains(&worker) {
            return PeerReply::NotHolder { holder: None };
        }
        if self.tasks.contains_key(&spec.key) || self.tombstones.contains(&spec.key) {
            return PeerReply::Refused(Refusal::Duplicate);
        }
        // A start consumes the reservation of its run, as far as it is large enough.
        if let Some(reserved) = self.reserved.get_mut(&(worker.clone(), spec.key.run)) {
            *reserved = reserved.saturating_sub(spec.size);
        }
        if self.full.contains(&worker) || !spec.size.fits_in(self.free(&worker)) {
            return PeerReply::Refused(Refusal::NoCapacity);
        }
        let runs_elsewhere = self.tasks.values().any(|(_, report)| {
            let key = report.spec.key;
            report.state == TaskState::Running
                && (key.run, key.index) == (spec.key.run, spec.key.index)
        });
        assert!(!runs_elsewhere, "{} runs in two places", spec.key);
        let report = TaskReport {
            state: TaskState::Running,
            elapsed_ms: 0,
            spec,
        };
        self.tasks.insert(report.spec.key, (worker, report));
        PeerReply::Ok
    }

    fn resolve(&mut self, worker: &WorkerId, task: TaskKey) -> PeerReply {
        if self.lost_workers.contains(worker) {
            return PeerReply::NotHolder { holder: None };
        }
        PeerReply::Fate(match self.tasks.get(&task) {
            None => {
                self.tombstones.insert(task);
                Fate::NeverRan
            }
            Some((_, report)) if report.state == TaskState::Running => Fate::Running,
            Some((_, report)) => Fate::Ended {
                report: report.clone(),
            },
        })
    }
}
