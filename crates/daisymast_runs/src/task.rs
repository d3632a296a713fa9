//! State of one task of a run, kept by the owner of the run.

use std::time::Duration;

use daisymast_ledger::entry::TaskEnd;
use daisymast_ledger::record::TaskRecord;
use daisymast_protocol::task::TaskState;
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use crate::lease::Contact;

/// Number of failed attempts after which a task is parked.
pub const FAILURES_MAX: usize = 3;
/// Delay after an attempt that did not run, so that a refused start is not repeated every tick.
pub const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Phase in the life cycle of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Needs a worker from the given time on.
    Waiting(Monotonic),
    /// The claim of the attempt is being recorded.
    Claiming,
    /// The claim was recorded at the given time, and the start has not been sent.
    Claimed(Monotonic),
    /// The start is being sent.
    Starting,
    /// The attempt is running or may be running.
    Active {
        /// Whether the state of the attempt is unknown and must be requested from the worker.
        uncertain: bool,
    },
    /// The end of the attempt is being recorded.
    Ending(TaskEnd),
    /// The end is not recorded yet. Recording is attempted from the given time on.
    Unrecorded(TaskEnd, Monotonic),
    /// The task succeeded.
    Done,
    /// The task failed [`FAILURES_MAX`] times and is not retried.
    Parked,
}

/// A task and its latest attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Phase of the latest attempt.
    pub phase: Phase,
    /// Number of the latest attempt, 0 if there was none.
    pub attempt: u32,
    /// Worker of the latest attempt, `None` if there was none.
    pub worker: Option<WorkerId>,
    /// Worker of each failed attempt.
    pub failed_workers: Vec<WorkerId>,
    /// Last extension of the latest attempt.
    pub contact: Contact,
}

impl Task {
    /// Creates a task that was never claimed and needs a worker from `now` on.
    pub fn new(now: Monotonic) -> Self {
        Self {
            phase: Phase::Waiting(now),
            attempt: 0,
            worker: None,
            failed_workers: Vec::new(),
            contact: Contact::LastExtension(now),
        }
    }

    /// Restores a task from the ledger after a takeover.
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

    /// Whether an attempt is assigned to a worker but not yet known to run there. Its size is not
    /// part of the holder's reports.
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

    /// Records that the attempt was lost; its end has to be written to the ledger.
    pub(crate) fn mark_lost(&mut self, now: Monotonic) {
        self.phase = Phase::Unrecorded(TaskEnd::Lost, now);
    }

    /// Moves on to the next phase after the end of the latest attempt was recorded.
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

/// Task end that corresponds to a reported state, `None` while the attempt is running.
pub(crate) fn end_of_state(state: TaskState) -> Option<TaskEnd> {
    match state {
        TaskState::Running => None,
        TaskState::Succeeded => Some(TaskEnd::Succeeded),
        TaskState::Failed => Some(TaskEnd::Failed),
        TaskState::Stopped | TaskState::Expired => Some(TaskEnd::Lost),
    }
}
