//! State of one open run, kept by its owner.

use daisymast_ledger::entry::{Entry, RunOpened, TaskEnd};
use daisymast_ledger::record::RunRecord;
use daisymast_protocol::task::{TaskReport, TaskSpec};
use daisymast_protocol::worker::Fate;
use daisymast_types::ids::{TaskKey, WorkerId};
use daisymast_types::time::{Monotonic, UnixMillis};

use crate::job::Job;
use crate::lease::{self, Contact};
use crate::task::{self, Phase, Task};

/// Time within which a claimed attempt must be sent to its holder. After that the attempt counts as
/// lost, which is safe because only the owner that claimed it could have sent it.
pub const START_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Outcome of sending the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The attempt is running.
    Started,
    /// The worker or its holder refused the attempt, so it did not start.
    Refused,
    /// The start was not sent, or the holder has changed. It may be sent again.
    NotSent,
    /// The attempt may be running, or may still start until the given time.
    Unknown(Monotonic),
}

/// Outcome of recording the claim of an attempt in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is durable.
    Recorded,
    /// The claim is certain not to be recorded.
    NotRecorded,
    /// The claim may be recorded. The same entry may be written again.
    Unknown,
}

/// State of an open run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Ledger entry with which it was opened.
    pub opened: RunOpened,
    /// Its job in the manifest in force, `None` if no manifest is known or the job is not declared.
    pub job: Option<Job>,
    /// Time of the takeover if the run was opened by a former owner, which may still poll it.
    taken_over_at: Option<Monotonic>,
    tasks: Vec<Task>,
}

impl Run {
    /// Creates a run that this owner opened.
    pub fn new(opened: RunOpened, job: Option<Job>, now: Monotonic) -> Self {
        Self {
            tasks: (0..opened.tasks).map(|_| Task::new(now)).collect(),
            opened,
            job,
            taken_over_at: None,
        }
    }

    /// Restores a run from the ledger after a takeover. Its claimed tasks may still be running on
    /// behalf of the former owner.
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

    /// All tasks with their indices.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &Task)> {
        (0..).zip(&self.tasks)
    }

    /// Key of the latest attempt of a task; attempt 0 if there was none.
    pub fn key(&self, index: u32) -> TaskKey {
        TaskKey {
            run: self.opened.run,
            index,
            attempt: self.task(index).map_or(0, |task| task.attempt),
        }
    }

    /// Indices of the tasks that need a worker now.
    pub fn waiting(&self, now: Monotonic) -> Vec<u32> {
        self.task_indices(|task| matches!(task.phase, Phase::Waiting(from) if from <= now))
    }

    /// Number of tasks whose phase matches.
    pub fn count(&self, matches: impl Fn(&Phase) -> bool) -> u32 {
        let found = self.tasks.iter().filter(|task| matches(&task.phase));
        u32::try_from(found.count()).unwrap_or(u32::MAX)
    }

    /// Begins the next attempt of a task on a worker and returns the ledger entry to record. The
    /// start must not be sent before the entry is recorded.
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

    /// Handles the outcome of recording a claim. Returns the entry if it must be written again.
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

    /// Indices of the tasks whose claim is recorded and whose start can be sent.
    pub fn startable(&self) -> Vec<u32> {
        self.task_indices(|task| matches!(task.phase, Phase::Claimed(_)))
    }

    /// Begins sending the start of an attempt. Returns its worker and its specification.
    pub fn start(&mut self, index: u32) -> Option<(WorkerId, TaskSpec)> {
        let spec = self.job.as_ref()?.task_spec(self.key(index));
        let task = self.task_mut(index)?;
        let worker = task.worker.clone()?;
        task.phase = Phase::Starting;
        Some((worker, spec))
    }

    /// Handles the outcome of sending a start.
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

    /// Handles a worker's report. Returns whether the result is recorded in the ledger, so that the
    /// worker may discard it.
    pub fn on_report(&mut self, report: &TaskReport, now: Monotonic) -> bool {
        let ended = task::end_of_state(report.state);
        let key = report.spec.key;
        let Some(task) = self.current_attempt(key) else {
            // The end of an older attempt was recorded before the next one was claimed.
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

    /// Handles a poll that failed or whose reply was lost: a holder may have extended any task of
    /// the run until now.
    pub fn on_poll_failed(&mut self, now: Monotonic) {
        for task in &mut self.tasks {
            if let (Phase::Active { .. }, Contact::LastExtension(at)) = (&task.phase, task.contact)
            {
                task.contact = Contact::LastExtension(at.max(now));
            }
        }
    }

    /// Handles a holder's reply to a poll that was sent at `sent`. `holds` tells whether the holder
    /// covers a worker. Tasks on these workers that the reply did not report become uncertain.
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

    /// Indices of the tasks whose worker must be asked for the state of the attempt.
    pub fn uncertain_tasks(&self) -> Vec<u32> {
        self.task_indices(|task| task.phase == Phase::Active { uncertain: true })
    }

    /// Handles the worker's answer about the state of an attempt.
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

    /// Marks attempts as lost that are certain not to run any more, and returns them. `all_live`
    /// tells whether this owner has received heartbeats from all other instances for a whole
    /// [`lease::ATTEMPT_LEASE`], so that no other instance can have extended an attempt unnoticed.
    pub fn expire(&mut self, now: Monotonic, all_live: bool) -> Vec<TaskKey> {
        let run = self.opened.run;
        // Without a manifest, treating the task as exclusive is the safe choice.
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

    /// Removes and returns the task ends that have to be recorded now, with the attempts that
    /// ended.
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

    /// Handles the outcome of recording the end of an attempt. Returns whether the task is now
    /// parked.
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

    /// Whether the run can be closed: all tasks are done, or the remaining ones are parked and the
    /// run is no longer due.
    pub fn is_closable(&self, wall: UnixMillis) -> bool {
        let done = self.count(|phase| *phase == Phase::Done);
        let parked = self.count(|phase| *phase == Phase::Parked);
        let late = self.opened.until.is_some_and(|until| until <= wall);
        done == self.opened.tasks || (late && done + parked == self.opened.tasks)
    }

    /// Task with the given index.
    pub fn task(&self, index: u32) -> Option<&Task> {
        self.tasks.get(usize::try_from(index).ok()?)
    }

    fn task_mut(&mut self, index: u32) -> Option<&mut Task> {
        self.tasks.get_mut(usize::try_from(index).ok()?)
    }

    /// Task whose latest attempt is `key`; `None` if the attempt is outdated.
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
