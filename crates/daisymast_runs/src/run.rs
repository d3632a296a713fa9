//! One open run, as its owner follows it.

use daisymast_ledger::entry::{Entry, RunOpened, TaskEnd};
use daisymast_ledger::record::RunRecord;
use daisymast_protocol::task::{TaskReport, TaskSpec};
use daisymast_protocol::worker::Fate;
use daisymast_types::ids::{TaskKey, WorkerId};
use daisymast_types::time::{Monotonic, UnixMillis};

use crate::job::Job;
use crate::lease::{self, Contact};
use crate::task::{self, Phase, Task};

/// Time within which a claimed attempt has to be sent to its holder. Later the attempt is given up,
/// which is safe because only the owner that claimed it could have sent it.
pub const START_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// What became of sending a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The attempt runs.
    Started,
    /// The worker or its holder refused it; it did not start.
    Refused,
    /// It was not sent, or its holder has changed; it may be sent again.
    NotSent,
    /// It may run, or may start until the given time.
    Unknown(Monotonic),
}

/// What became of recording the claim of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is durable.
    Recorded,
    /// It is surely not recorded.
    NotRecorded,
    /// It may be recorded. The same entry may be recorded again.
    Unknown,
}

/// An open run.
#[derive(Clone, Debug)]
pub struct Run {
    /// What was recorded when it was opened.
    pub opened: RunOpened,
    /// Its job under the manifest in force, if that is known.
    pub job: Option<Job>,
    /// Time of the takeover, if the run was opened under a former owner, which may go on polling it.
    taken_over_at: Option<Monotonic>,
    tasks: Vec<Task>,
}

impl Run {
    /// A run that this owner opened.
    pub fn new(opened: RunOpened, job: Option<Job>, now: Monotonic) -> Self {
        Self {
            tasks: (0..opened.tasks).map(|_| Task::new(now)).collect(),
            opened,
            job,
            taken_over_at: None,
        }
    }

    /// A run as a new owner finds it in the ledger. Its claimed tasks may run under the former one.
    pub fn adopt(record: &RunRecord, job: Option<Job>, now: Monotonic) -> Self {
        let mut run = Self::new(record.opened.clone(), job, now);
        run.taken_over_at = Some(now);
        for (index, task) in &record.tasks {
            if let Some(found) = run.task_mut(*index) {
                *found = Task::adopt(task, now);
            }
        }
        run
    }

    /// All tasks by index.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }

    /// Key of the latest attempt of a task.
    pub fn key(&self, index: u32) -> TaskKey {
        TaskKey {
            run: self.opened.run,
            index,
            attempt: self.task(index).map_or(0, |task| task.attempt),
        }
    }

    /// Tasks that need a worker now.
    pub fn waiting(&self, now: Monotonic) -> Vec<u32> {
        self.task_indices(|task| matches!(task.phase, Phase::Waiting(from) if from <= now))
    }

    /// Number of tasks in a phase.
    pub fn count(&self, matches: impl Fn(&Phase) -> bool) -> u32 {
        let found = self.tasks.iter().filter(|task| matches(&task.phase));
        u32::try_from(found.count()).unwrap_or(u32::MAX)
    }

    /// Begins the next attempt of a task on a worker. The start may be sent only after the entry is
    /// recorded.
    pub fn claim(&mut self, index: u32, worker: WorkerId) -> Option<Entry> {
        let run = self.opened.run;
        let task = self.task_mut(index)?;
        task.attempt += 1;
        task.worker = Some(worker.clone());
        task.phase = Phase::Claiming;
        Some(Entry::TaskClaim {
            run,
            index,
            attempt: task.attempt,
            worker,
        })
    }

    /// The claim was recorded or not. Returns the entry if it has to be recorded again.
    pub fn on_claim(&mut self, index: u32, outcome: ClaimOutcome, now: Monotonic) -> Option<Entry> {
        let run = self.opened.run;
        let task = self.task_mut(index)?;
        if task.phase != Phase::Claiming {
            return None;
        }
        match outcome {
            ClaimOutcome::Recorded => {
                task.phase = Phase::Claimed(now);
                task.contact = Contact::LastExtension(now);
                None
            }
            ClaimOutcome::NotRecorded => {
                task.attempt -= 1;
                task.phase = Phase::Waiting(now + task::RETRY_PAUSE);
                None
            }
            ClaimOutcome::Unknown => Some(Entry::TaskClaim {
                run,
                index,
                attempt: task.attempt,
                worker: task.worker.clone()?,
            }),
        }
    }

    /// Tasks whose claim is recorded and whose start can be sent.
    pub fn startable(&self) -> Vec<u32> {
        self.task_indices(|task| matches!(task.phase, Phase::Claimed(_)))
    }

    /// The attempt as it is sent to the holder, with its worker.
    pub fn start(&mut self, index: u32) -> Option<(WorkerId, TaskSpec)> {
        let spec = self.job.as_ref()?.task_spec(self.key(index));
        let task = self.task_mut(index)?;
        let worker = task.worker.clone()?;
        task.phase = Phase::Starting;
        Some((worker, spec))
    }

    /// The outcome of a start.
    pub fn on_start(&mut self, key: TaskKey, outcome: StartOutcome, now: Monotonic) {
        let Some(task) = self.current_attempt(key) else {
            return;
        };
        if task.phase != Phase::Starting {
            return;
        }
        match outcome {
            StartOutcome::Started => {
                task.contact = Contact::LastExtension(now);
                task.phase = Phase::Active { uncertain: false };
            }
            StartOutcome::Refused => task.mark_lost(now),
            StartOutcome::NotSent => {
                let (Contact::LastExtension(since) | Contact::TakenOver(since)) = task.contact;
                task.phase = Phase::Claimed(since);
            }
            StartOutcome::Unknown(until) => {
                task.contact = Contact::LastExtension(until.max(now));
                task.phase = Phase::Active { uncertain: true };
            }
        }
    }

    /// A worker's report. Returns whether the result is recorded, so that the worker may forget it.
    pub fn on_report(&mut self, report: &TaskReport, now: Monotonic) -> bool {
        let ended = task::end_of_state(report.state);
        let key = report.spec.key;
        let Some(task) = self.current_attempt(key) else {
            // An older attempt: its end was recorded before the next one was claimed.
            return ended.is_some() && key.attempt < self.key(key.index).attempt;
        };
        match (&task.phase, ended) {
            (Phase::Starting | Phase::Active { .. }, None) => {
                task.contact = Contact::LastExtension(now);
                task.phase = Phase::Active { uncertain: false };
                false
            }
            (Phase::Starting | Phase::Active { .. }, Some(end)) => {
                task.phase = Phase::Unrecorded(end, now);
                false
            }
            (Phase::Waiting(_) | Phase::Done | Phase::Parked, Some(_)) => true,
            _ => false,
        }
    }

    /// A poll failed, or its reply was lost: a holder may have extended any task of the run until
    /// now.
    pub fn on_poll_failed(&mut self, now: Monotonic) {
        for task in &mut self.tasks {
            if let (Phase::Active { .. }, Contact::LastExtension(at)) = (&task.phase, task.contact)
            {
                task.contact = Contact::LastExtension(at.max(now));
            }
        }
    }

    /// A holder answered a poll that was sent at `sent`, for the tasks on `workers`. A task that it
    /// did not report has to be asked after.
    pub fn on_poll_reply(&mut self, sent: Monotonic, holds: impl Fn(&WorkerId) -> bool) {
        for task in &mut self.tasks {
            let unreported = match task.contact {
                Contact::LastExtension(at) => at < sent,
                Contact::TakenOver(_) => true,
            };
            if task.phase == (Phase::Active { uncertain: false })
                && unreported
                && task.worker.as_ref().is_some_and(&holds)
            {
                task.phase = Phase::Active { uncertain: true };
            }
        }
    }

    /// Attempts that the worker has to be asked after.
    pub fn uncertain_tasks(&self) -> Vec<u32> {
        self.task_indices(|task| task.phase == Phase::Active { uncertain: true })
    }

    /// The worker's answer to the question after an attempt.
    pub fn on_fate(&mut self, key: TaskKey, fate: &Fate, now: Monotonic) {
        let Some(task) = self.current_attempt(key) else {
            return;
        };
        if !matches!(task.phase, Phase::Active { .. }) {
            return;
        }
        match fate {
            Fate::NeverRan => task.mark_lost(now),
            Fate::Running => {
                task.contact = Contact::LastExtension(now);
                task.phase = Phase::Active { uncertain: false };
            }
            Fate::Ended { report } => {
                let end = task::end_of_state(report.state).unwrap_or(TaskEnd::Lost);
                task.phase = Phase::Unrecorded(end, now);
            }
            Fate::Failed => task.phase = Phase::Unrecorded(TaskEnd::Failed, now),
            Fate::Answered { .. } => {}
        }
    }

    /// Gives up attempts that surely run no longer. Returns them. `all_live` tells whether this owner
    /// has heard of all other instances during a whole lease, so that no instance which it does not
    /// see can have extended an attempt.
    pub fn expire(&mut self, now: Monotonic, all_live: bool) -> Vec<TaskKey> {
        let run = self.opened.run;
        // Without a manifest the strict rule is the safe one.
        let exclusive = self.job.as_ref().is_none_or(|job| job.exclusive);
        let takeover = self.taken_over_at.filter(|_| !all_live);
        let mut expired = Vec::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            let is_expired = match task.phase {
                Phase::Claimed(since) => now - since >= START_TIMEOUT,
                Phase::Active { .. } => now >= lease::expiry(task.contact, exclusive, takeover),
                _ => false,
            };
            if is_expired {
                task.mark_lost(now);
                let attempt = task.attempt;
                expired.push(TaskKey {
                    run,
                    index,
                    attempt,
                });
            }
        }
        expired
    }

    /// Ends that have to be recorded now, each with the attempt that ended.
    pub fn take_unrecorded_ends(&mut self, now: Monotonic) -> Vec<(TaskKey, TaskEnd)> {
        let run = self.opened.run;
        let mut ends = Vec::new();
        for (index, task) in (0..).zip(&mut self.tasks) {
            if let Phase::Unrecorded(end, from) = task.phase
                && from <= now
            {
                task.phase = Phase::Ending(end);
                let attempt = task.attempt;
                ends.push((
                    TaskKey {
                        run,
                        index,
                        attempt,
                    },
                    end,
                ));
            }
        }
        ends
    }

    /// The end of an attempt was recorded or not. Returns whether the task was parked by it.
    pub fn on_end(&mut self, key: TaskKey, recorded: bool, now: Monotonic) -> bool {
        let Some(task) = self.current_attempt(key) else {
            return false;
        };
        let Phase::Ending(end) = task.phase else {
            return false;
        };
        if recorded {
            task.apply_end(end, now);
        } else {
            task.phase = Phase::Unrecorded(end, now + task::RETRY_PAUSE);
        }
        task.phase == Phase::Parked
    }

    /// Whether the run can be closed: all tasks are complete, or the rest is parked and the run is
    /// no longer due.
    pub fn is_closable(&self, wall: UnixMillis) -> bool {
        let done = self.count(|phase| *phase == Phase::Done);
        let parked = self.count(|phase| *phase == Phase::Parked);
        let late = self.opened.until.is_some_and(|until| until <= wall);
        done == self.opened.tasks || (late && done + parked == self.opened.tasks)
    }

    /// One task.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(usize::try_from(index).ok()?)
    }

    fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(usize::try_from(index).ok()?)
    }

    /// The task whose latest attempt is `key`.
    fn current_attempt(&mut self, key: TaskKey) -> Option<&mut Task> {
        let task = self.task_mut(key.index)?;
        (task.attempt == key.attempt).then_some(task)
    }

    fn task_indices(&self, matches: impl Fn(&Task) -> bool) -> Vec<u32> {
        self.tasks()
            .filter(|(_, task)| matches(task))
            .map(|(index, _)| index)
            .collect()
    }
}
