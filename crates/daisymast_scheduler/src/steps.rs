//! Steps that are ready to run: their waiting tasks and the workers that may run them.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::queue;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;

use crate::constants;
use crate::lease;
use crate::progress;

/// Answer of the advice service for a step on a worker.
#[derive(Clone, Debug)]
pub enum Permission {
    /// The worker may run the step, with a ticket that is valid until the given time.
    Allowed(Arc<str>, time::Monotonic),
    /// The worker may not run the step.
    Denied,
}

/// Scheduling tier of a step. Lower values are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// On time, and from a queue of priority 0.
    Urgent,
    /// On time.
    InTime,
    /// The time objective can no longer be met; a late completion still has some value.
    Late,
    /// So late that completion has no value any more.
    Expired,
}

/// Multiple of the time objective up to which a late completion has some value.
const LATE_FACTOR: u32 = 3;

/// A step whose predecessors are done.
#[derive(Clone, Debug)]
pub struct ReadyStep {
    /// Step ID.
    pub id: spec::StepId,
    /// Queue of the job.
    pub queue: ids::QueueName,
    /// Job specification.
    pub spec: Arc<spec::JobSpec>,
    /// Service whose workers run the step.
    pub service: ids::ServiceName,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Parameters of the advice service, if the queue needs its permission.
    pub advice: Option<queue::Advice>,
    /// Positions of the tasks that wait for a worker.
    pub waiting: Vec<u32>,
    /// Number of tasks of the step on each worker, by worker index.
    pub placed: collections::FastMap<usize, u32>,
    /// Whether all tasks of the step were placed at some time.
    pub was_placed: bool,
    /// Whether the remaining runs of the step's gang are being stopped.
    pub aborting: bool,
    /// Answers of the advice service, by worker index.
    pub permissions: collections::FastMap<usize, Permission>,
    /// Number of the open request to the advice service, if there is one.
    pub open_request: Option<u64>,
    /// Earliest time of the next request to the advice service.
    pub next_request: time::Monotonic,
    /// No task is placed before this time.
    pub not_before: time::Monotonic,
    /// Progress of the step's runs.
    pub progress: progress::StepProgress,
    /// Whether the step has waited for near places. It does so once, as a job must not have nothing
    /// running for long.
    pub has_waited: bool,
    /// Deadlines that follow from the job's time objective.
    pub deadlines: Deadlines,
    /// Organisation that the job belongs to.
    pub organisation: Option<ids::Organisation>,
    /// Whether the job lies within the rate of its organisation; `true` for a job of none.
    pub within_rate: bool,
}

/// Deadlines of a step that follow from the time objective of its job.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Latest start of the first task with which the job still ends on time.
    pub latest_start: time::Monotonic,
    /// When the job is due to end.
    pub due_at: time::Monotonic,
    /// Time objective, counted from acceptance of the job.
    pub allowance: Duration,
}

impl Deadlines {
    /// Returns the deadlines with another time objective.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::steps;
    /// use daisymast_types::time;
    /// let deadlines = steps::Deadlines {
    ///     latest_start: time::Monotonic::from_millis(4_000),
    ///     due_at: time::Monotonic::from_millis(9_000),
    ///     allowance: Duration::from_millis(6_000),
    /// };
    /// let shorter = deadlines.with_allowance(Duration::from_millis(5_500));
    /// assert_eq!(shorter.due_at, time::Monotonic::from_millis(8_500));
    /// let longer = shorter.with_allowance(Duration::from_millis(8_000));
    /// assert_eq!(longer.latest_start, time::Monotonic::from_millis(6_000));
    /// ```
    #[must_use]
    pub fn with_allowance(self, allowance: Duration) -> Self {
        let shift = |deadline: time::Monotonic| {
            let since_start = deadline - time::Monotonic::ZERO;
            time::Monotonic::ZERO + (since_start + allowance).saturating_sub(self.allowance)
        };
        Self {
            latest_start: shift(self.latest_start),
            due_at: shift(self.due_at),
            allowance,
        }
    }
}

impl ReadyStep {
    /// Applies changed settings of the queue.
    pub fn apply(&mut self, queue: &queue::Queue) {
        self.service = queue.service.clone();
        self.priority = queue.priority;
        self.advice = queue.advice;
        if self.advice.is_none() {
            self.permissions.clear();
        }
        let allowance_ms = allowance_ms(queue, &self.spec);
        self.deadlines = self
            .deadlines
            .with_allowance(Duration::from_millis(allowance_ms));
    }

    /// Returns the step's part of the job specification.
    ///
    /// # Panics
    ///
    /// Panics if the job has no such step; steps are only created for existing ones.
    pub fn step_spec(&self) -> &spec::Step {
        &self.spec.steps[usize::from(self.id.step)]
    }

    /// Resources that a task of the step occupies on a worker.
    pub fn size(&self) -> quantities::Resources {
        task_size(self.step_spec())
    }

    /// Whether the step is long-running and all its tasks were placed once, so that those that wait
    /// start again.
    pub fn is_restart(&self) -> bool {
        self.was_placed && self.step_spec().lasting
    }

    /// Whether the step is urgent, and within the rate of its organisation. What lies beyond it uses
    /// neither the room nor the advice requests that are kept for urgent steps.
    pub fn is_urgent(&self) -> bool {
        self.priority == 0 && self.within_rate
    }

    /// Whether the step may use the capacity that is kept free for urgent steps. A task that starts
    /// again takes no more than it had; others may have taken its place meanwhile.
    pub fn uses_reserve(&self) -> bool {
        self.is_urgent() || self.is_restart()
    }

    /// Returns the scheduling tier of the step at a given time. A long-running step whose tasks were
    /// all placed once stays on time: a task that ended is a loss of service, however old the step
    /// is.
    pub fn tier(&self, now: time::Monotonic) -> Tier {
        if now <= self.deadlines.latest_start || self.is_restart() {
            if self.priority == 0 {
                Tier::Urgent
            } else {
                Tier::InTime
            }
        } else if now <= self.deadlines.due_at + self.deadlines.allowance * (LATE_FACTOR - 1) {
            Tier::Late
        } else {
            Tier::Expired
        }
    }

    /// Returns the ticket for a worker, if it will still be valid when a start that is decided now
    /// arrives there.
    pub fn ticket(&self, worker_index: usize, now: time::Monotonic) -> Option<Arc<str>> {
        match self.permissions.get(&worker_index)? {
            Permission::Allowed(ticket, until) if is_valid(*until, now) => Some(Arc::clone(ticket)),
            Permission::Allowed(..) | Permission::Denied => None,
        }
    }

    /// Whether there is a ticket for a worker that will still be valid when a start that is decided
    /// now arrives there.
    pub fn has_ticket(&self, worker_index: usize, now: time::Monotonic) -> bool {
        matches!(
            self.permissions.get(&worker_index),
            Some(Permission::Allowed(_, until)) if is_valid(*until, now)
        )
    }

    /// Whether the advice service has denied the worker.
    pub fn is_denied(&self, worker_index: usize) -> bool {
        matches!(
            self.permissions.get(&worker_index),
            Some(Permission::Denied)
        )
    }

    /// Whether the worker needs no permission or was granted one, even if its ticket has expired.
    pub fn is_allowed(&self, worker_index: usize) -> bool {
        self.advice.is_none()
            || matches!(
                self.permissions.get(&worker_index),
                Some(Permission::Allowed(..))
            )
    }

    /// Updates the count of tasks on a worker after one of them has left it.
    pub fn remove_placed(&mut self, worker_index: usize) {
        if let Some(count) = self.placed.get_mut(&worker_index) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Whether a ticket is valid for long enough to start a task with it.
fn is_valid(until: time::Monotonic, now: time::Monotonic) -> bool {
    until > now + constants::MIN_TICKET_VALIDITY
}

/// Returns the resources that a task of a step occupies on a worker. Tasks that only use processors
/// left idle by others count with no processors.
pub fn task_size(step: &spec::Step) -> quantities::Resources {
    let mut size = step.size;
    if step.fills {
        size.millicores = 0;
    }
    size
}

/// Returns the time objective of a job, counted from its acceptance, in milliseconds.
pub fn allowance_ms(queue: &queue::Queue, spec: &spec::JobSpec) -> u64 {
    let advice = queue.advice.map_or(0.0, |advice| {
        advice.decide_ms + advice.per_worker_ms * constants::MAX_WORKERS_PER_REQUEST as f64
    });
    let total_ms = spec.critical_path_ms() as f64 + advice;
    lease::millis(Duration::from_secs_f64(
        (queue.stretch * total_ms + queue.latency_ms).clamp(0.0, 1e9) / 1_000.0,
    ))
}

/// Returns the longest chain of declared run times from the start of a step to the end of the job,
/// in milliseconds.
pub fn remaining_path_ms(spec: &spec::JobSpec, from: u16) -> u64 {
    let mut path_ms = vec![0_u64; spec.steps.len()];
    for position in (0..spec.steps.len()).rev() {
        path_ms[position] += u64::from(spec.steps[position].estimate_ms);
        for &predecessor in &spec.steps[position].after {
            let predecessor = usize::from(predecessor);
            path_ms[predecessor] = path_ms[predecessor].max(path_ms[position]);
        }
    }
    path_ms.get(usize::from(from)).copied().unwrap_or(0)
}
