//! Runs of tasks that are assigned to a worker, and the orders about them.

use std::sync::Arc;

use daisymast_types::quantities;
use daisymast_types::time;

use crate::constants;

/// State of a run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The placement is not stored yet; no start was sent.
    Journaling,
    /// The start was sent and is not answered yet.
    Starting,
    /// The worker has accepted the start, or has reported the run.
    Running {
        /// Reading of the worker's clock in that answer, in milliseconds.
        since: u64,
    },
    /// A former scheduler placed the run; the worker has not been polled since.
    Inherited,
    /// The run is to be stopped.
    Stopping {
        /// Reading of the worker's clock in its answer to the stop, in milliseconds; `None` until
        /// it answers.
        accepted_at: Option<u64>,
    },
}

/// When an order was sent, and to which process of its worker as far as was known. A process that has
/// started under the same ID since may carry it out, too.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentOrder {
    /// When the order was sent at the earliest; zero if its answer may be that of an earlier order.
    pub at: time::Monotonic,
    /// Process that the order was meant for.
    pub incarnation: u32,
}

/// A run that is assigned to a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number.
    pub run: u32,
    /// Resources that the run occupies.
    pub size: quantities::Resources,
    /// State of the run.
    pub state: RunState,
    /// When the run was placed.
    pub placed_at: time::Monotonic,
    /// How often the start was sent.
    pub send_count: u8,
    /// Whether the last start that was sent got no answer.
    pub start_unknown: bool,
    /// The last start that was sent.
    pub start_order: SentOrder,
    /// Process that the first stop which was sent and not answered was meant for.
    pub stop_incarnation: Option<u32>,
    /// When an unanswered stop is sent again.
    pub retry_at: time::Monotonic,
    /// Until when the run may go on in a process that has started under the same ID, if that took the
    /// start. Counts until the known process has answered.
    pub lease_end: time::Monotonic,
    /// Process that was known when the reading of the run's state arrived.
    pub confirmed_by: u32,
    /// Ticket of the advice service, if the queue needs one.
    pub ticket: Option<Arc<str>>,
    /// Last reported progress, in percent.
    pub percent: u8,
    /// When the progress last changed.
    pub last_progress: time::Monotonic,
    /// Whether the run repeats one of a long-running step that failed, on this worker or on several.
    /// If it fails as well, that says nothing new of the worker.
    pub repeats_failure: bool,
}

impl Run {
    /// Creates a run of which no start was sent yet.
    pub fn new(run: u32, size: quantities::Resources, now: time::Monotonic) -> Self {
        Self {
            run,
            size,
            state: RunState::Journaling,
            placed_at: now,
            send_count: 0,
            start_unknown: false,
            start_order: SentOrder::default(),
            stop_incarnation: None,
            retry_at: now,
            lease_end: time::Monotonic::ZERO,
            confirmed_by: 0,
            ticket: None,
            percent: 0,
            last_progress: now,
            repeats_failure: false,
        }
    }

    /// Whether the run is at work: tasks of long-running steps say so by their progress.
    pub fn is_at_work(&self) -> bool {
        self.percent >= constants::AT_WORK_PERCENT
    }

    /// Whether it is not known if the last start has taken effect.
    pub fn has_open_start(&self) -> bool {
        match self.state {
            RunState::Starting => true,
            RunState::Stopping { accepted_at: None } => self.start_unknown,
            RunState::Journaling
            | RunState::Running { .. }
            | RunState::Inherited
            | RunState::Stopping { .. } => false,
        }
    }

    /// Whether a start of the run was sent that got no answer, and may be carried out late.
    pub fn has_unanswered_start(&self) -> bool {
        self.send_count > 1 || self.start_unknown
    }

    /// Whether it is still open if the run shows that its worker is sound. On a worker on
    /// probation, no other task starts meanwhile.
    pub fn is_trial(&self, now: time::Monotonic) -> bool {
        !self.is_at_work() && now - self.placed_at < constants::MAX_TRIAL_TIME
    }
}
