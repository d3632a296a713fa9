//! Runs of tasks that are assigned to a worker, and the orders about them.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::job;
use daisymast_types::ids;
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
    /// The run has ended or was never seen, but a start of it may still be carried out by a process
    /// that starts under the worker's ID.
    Unsettled,
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

/// What a run counts against the cap of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Organisation that the job of the run belongs to.
    pub organisation: ids::Organisation,
    /// Declared size of the task. Tasks that only use processors left idle by others count whole: what
    /// they use is running all the same.
    pub size: quantities::Resources,
}

impl Charge {
    /// Returns what a task of a step counts, `None` if its job belongs to no organisation.
    pub fn of(job: &job::Job, step: u16) -> Option<Self> {
        let step = job.spec.steps.get(usize::from(step))?;
        Some(Self {
            organisation: job.organisation.clone()?,
            size: step.size,
        })
    }
}

/// A run that is assigned to a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number.
    pub run: u32,
    /// Resources that the run occupies.
    pub size: quantities::Resources,
    /// What the run counts against the cap of an organisation.
    pub charge: Option<Charge>,
    /// State of the run.
    pub state: RunState,
    /// When the run was placed.
    pub placed_at: time::Monotonic,
    /// How often the start was sent.
    pub send_count: u8,
    /// Whether the last start that was sent got no answer.
    pub start_unknown: bool,
    /// When the last start without an answer was given up.
    pub unknown_at: time::Monotonic,
    /// Whether a start was answered, or the worker has reported the run.
    seen: bool,
    /// Number of starts that were sent, got no answer and have not been seen to take effect.
    unanswered_starts: u8,
    /// Until when one of them may be carried out, also by a process that has started under the same ID
    /// since; zero if there is none.
    pub late_until: time::Monotonic,
    /// Process of the worker in which the run has ended or was stopped, so that it refuses each further
    /// start of the run.
    pub closed_in: Option<u32>,
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
            charge: None,
            state: RunState::Journaling,
            placed_at: now,
            send_count: 0,
            start_unknown: false,
            unknown_at: time::Monotonic::ZERO,
            seen: false,
            unanswered_starts: 0,
            late_until: time::Monotonic::ZERO,
            closed_in: None,
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
            | RunState::Unsettled
            | RunState::Stopping { .. } => false,
        }
    }

    /// Records that the last start got no answer. A process that has started since refuses the ticket
    /// of a start that was meant for the former one.
    pub fn on_start_unanswered(&mut self, now: time::Monotonic) {
        self.start_unknown = true;
        self.unknown_at = now;
        self.add_open_start(now);
    }

    /// Records that the run is to be stopped while the last start is open: it counts as unanswered until
    /// its outcome is known.
    pub fn on_stopped_while_open(&mut self, now: time::Monotonic) {
        if self.state == RunState::Starting && !self.start_unknown {
            self.on_start_unanswered(now + constants::MAX_DELIVERY_TIME);
        }
    }

    /// Handles the outcome of a start of a run that is not starting any more. `is_answered` says that
    /// the start cannot take effect from now on.
    pub fn on_late_outcome(&mut self, is_answered: bool, now: time::Monotonic) {
        let was_stopped = self.start_unknown
            && matches!(self.state, RunState::Stopping { .. } | RunState::Unsettled);
        if is_answered && was_stopped {
            self.on_reported();
            self.start_unknown = false;
        } else if !is_answered && !was_stopped && self.send_count > 1 {
            // One of several starts has taken effect before this one was given up.
            self.add_open_start(now);
        }
    }

    /// Adds a start that gets no answer, and may be carried out for as long as any call.
    pub fn add_open_start(&mut self, now: time::Monotonic) {
        if self.ticket.is_none() {
            self.unanswered_starts = self.unanswered_starts.saturating_add(1);
            self.late_until = self.late_until.max(now + constants::MAX_ORDER_AGE);
        }
    }

    /// Records that starts which a former scheduler sent may be carried out until a given time.
    pub fn inherit_open_start(&mut self, open_start: job::OpenStart, late_until: time::Monotonic) {
        self.unanswered_starts = match open_start {
            job::OpenStart::No => return,
            job::OpenStart::Single => 1,
            job::OpenStart::Repeated => 2,
        };
        self.late_until = late_until;
    }

    /// Records that a start was answered.
    pub fn on_start_answered(&mut self) {
        self.seen = true;
    }

    /// Records that the worker has reported the run, in progress or ended. If no start was answered, one
    /// of those without an answer has taken effect, and each takes effect once.
    pub fn on_reported(&mut self) {
        // A former scheduler sent the starts of a run of which this one sent none.
        let has_open_answer = self.send_count > 0 && !self.start_unknown;
        if std::mem::replace(&mut self.seen, true) || has_open_answer {
            return;
        }
        self.unanswered_starts = self.unanswered_starts.saturating_sub(1);
        if self.unanswered_starts == 0 {
            self.late_until = time::Monotonic::ZERO;
        }
    }

    /// Lets the run start again in place, where it is not present.
    pub fn begin_again(&mut self) {
        self.state = RunState::Starting;
        self.send_count = 0;
        self.seen = false;
    }

    /// Whether a start of the run may still be carried out that got no answer.
    pub fn may_start_late(&self, now: time::Monotonic) -> bool {
        now < self.late_until
    }

    /// Returns when the lease has ended with certainty of a process that carries out a start of the run
    /// late, if it holds the longest lease that workers accept.
    pub fn late_lease_end(&self, longest_lease: Duration) -> time::Monotonic {
        if self.late_until == time::Monotonic::ZERO {
            return time::Monotonic::ZERO;
        }
        self.late_until + longest_lease
    }

    /// Whether the run was given up, and a report that answers a poll of this time, but does not list
    /// the run, shows that it may start again: no start of it can be carried out late any more, or the
    /// process that made the report has not refused the run.
    pub fn is_settled(&self, polled_at: time::Monotonic, incarnation: u32) -> bool {
        self.state == RunState::Unsettled
            && (polled_at >= self.late_until || self.closed_in != Some(incarnation))
    }

    /// Whether the start was sent as often as it may be without an answer.
    pub fn has_no_sends_left(&self) -> bool {
        let max_sends = match self.ticket {
            Some(_) => constants::MAX_TICKET_START_SENDS,
            None => constants::MAX_START_SENDS,
        };
        self.send_count >= max_sends
    }

    /// Whether the last start got no answer, and a report that answers a poll of this time, but does
    /// not list the run, shows that it has not taken effect.
    pub fn has_lost_start(&self, polled_at: time::Monotonic) -> bool {
        self.state == RunState::Starting && self.start_unknown && polled_at >= self.unknown_at
    }

    /// Whether it is still open if the run shows that its worker is sound. On a worker on
    /// probation, no other task starts meanwhile.
    pub fn is_trial(&self, now: time::Monotonic) -> bool {
        !self.is_at_work() && now - self.placed_at < constants::MAX_TRIAL_TIME
    }
}
