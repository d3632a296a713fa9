//! One task of a run, as the owner of the run follows it.

use std::time::Duration;

use daisymast_ledger::entry::TaskEnd;
use daisymast_ledger::record::TaskRecord;
use daisymast_protocol::task::TaskState;
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use crate::lease::Contact;

/// Failures after which a task is parked.
pub const FAILURES_MAX: usize = 3;
/// Pause after an attempt that did not run, so that a refusal is not repeated in each tick.
pub const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Needs a worker, not before the given time.
    Waiting(Monotonic),
    /// The claim of the attempt is being recorded.
    Claiming,
    /// The claim is recorded since the given time; the start was not sent.
    Claimed(Monotonic),
    /// The start was sent.
    Starting,
    /// The attempt runs or may run.
    Active {
        /// Whether the worker has to be asked what became of it.
        uncertain: bool,
    },
    /// The end of the attempt is being recorded.
    Ending(TaskEnd),
    /// The end could not be recorded; it is tried again from the given time.
    Unrecorded(TaskEnd, Monotonic),
    /// The task is complete.
    Done,
    /// The task failed too often.
    Parked,
}

/// A task with its latest attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Latest attempt, 0 if there was none.
    pub attempt: u32,
    /// Worker of the latest attempt.
    pub worker: Option<WorkerId>,
    /// Workers on which an attempt failed.
    pub failed_workers: Vec<WorkerId>,
    /// Last extension of the attempt.
    pub contact: Contact,
}

impl Task {
    /// A task that was never claimed.
    pub fn new(now: Monotonic) -> Self {
        Self {
            phase: Phase::Waiting(now),
            attempt: 0,
            worker: None,
            failed_workers: Vec::new(),
            contact: Contact::LastExtension(now),
        }
    }

    /// A task as a new owner finds it in the ledger.
    pub fn adopt(record: &TaskRecord, now: Monotonic) -> Self {
        let phase = match record.end {
            None => Phase::Active { uncertain: true },
            Some(TaskEnd::Succeeded) => Phase::Done,
            Some(TaskEnd::Failed) if record.failed.len() >= FAILURES_MAX => Phase::Parked,
            Some(TaskEnd::Failed | TaskEnd::Lost) => Phase::Waiting(now),
        };
        Self {
            phase,
            attempt: record.attempt,
            worker: Some(record.worker.clone()),
            failed_workers: record.failed.clone(),
            contact: Contact::TakenOver(now),
        }
    }

    /// Whether an attempt uses a worker or may use it soon.
    pub fn is_start_pending(&self) -> bool {
        match self.phase {
            Phase::Claiming | Phase::Claimed(_) | Phase::Starting => true,
            Phase::Waiting(_)
            | Phase::Active { .. }
            | Phase::Ending(_)
            | Phase::Unrecorded(..)
            | Phase::Done
            | Phase::Parked => false,
        }
    }

    pub(crate) fn mark_lost(&mut self, now: Monotonic) {
        self.phase = Phase::Unrecorded(TaskEnd::Lost, now);
    }

    /// The end of the latest attempt is recorded.
    pub(crate) fn apply_end(&mut self, end: TaskEnd, now: Monotonic) {
        self.phase = match end {
            TaskEnd::Succeeded => Phase::Done,
            TaskEnd::Lost => Phase::Waiting(now + RETRY_PAUSE),
            TaskEnd::Failed => {
                self.failed_workers.extend(self.worker.clone());
                if self.failed_workers.len() >= FAILURES_MAX {
                    Phase::Parked
                } else {
                    Phase::Waiting(now)
                }
            }
        };
    }
}

/// What a worker's report means for the attempt; nothing while it runs.
pub(crate) fn end_of_state(state: TaskState) -> Option<TaskEnd> {
    match state {
        TaskState::Running => None,
        TaskState::Succeeded => Some(TaskEnd::Succeeded),
        TaskState::Failed => Some(TaskEnd::Failed),
        TaskState::Stopped | TaskState::Expired => Some(TaskEnd::Lost),
    }
}
