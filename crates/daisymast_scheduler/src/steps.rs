//! A step that is ready: which of its tasks wait, and where they may run.

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

/// What the advice service said of a worker for a step.
#[derive(Clone, Debug)]
pub enum Permission {
    /// It may run the step, with a ticket until a time.
    Allowed(Arc<str>, time::Monotonic),
    /// It may not.
    Denied,
}

/// How urgent a step is against others; lower values come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// Of the most urgent queue and still in time.
    Urgent,
    /// Still in time.
    InTime,
    /// Its time objective is missed, which a late end still partly meets.
    Late,
    /// Too late for any credit.
    Expired,
}

/// Factor from the time objective to the latest end that still counts.
const LATE_FACTOR: u32 = 3;

/// A step that is ready.
#[derive(Clone, Debug)]
pub struct ReadyStep {
    /// Its id.
    pub id: spec::StepId,
    /// Queue of its job.
    pub queue: ids::QueueName,
    /// Content of its job.
    pub spec: Arc<spec::JobSpec>,
    /// Service whose workers run it.
    pub service: ids::ServiceName,
    /// Urgency of the queue, 0 first.
    pub priority: u32,
    /// Terms of the advice service.
    pub advice: Option<queue::Advice>,
    /// Tasks that wait for a worker.
    pub waiting: Vec<u32>,
    /// Tasks of it on each worker.
    pub placed: collections::FastMap<usize, u32>,
    /// Whether its gang is being stopped.
    pub aborting: bool,
    /// What the advice service said.
    pub permissions: collections::FastMap<usize, Permission>,
    /// Open question.
    pub open_request: Option<u64>,
    /// Time of the next question.
    pub next_request: time::Monotonic,
    /// Nothing is placed before this time.
    pub not_before: time::Monotonic,
    /// When the first task is to start so that the job ends in time.
    pub latest_start: time::Monotonic,
    /// When the job is to end.
    pub due_at: time::Monotonic,
    /// Length of the time objective.
    pub allowance: Duration,
}

impl ReadyStep {
    /// The step's content.
    ///
    /// # Panics
    /// The id names no step of the content, which the constructor's caller excludes.
    pub fn step_spec(&self) -> &spec::Step {
        &self.spec.steps[usize::from(self.id.step)]
    }

    /// Room that a task takes on a worker.
    pub fn size(&self) -> quantities::Resources {
        task_size(self.step_spec())
    }

    /// How urgent the step is now.
    pub fn tier(&self, now: time::Monotonic) -> Tier {
        if now <= self.latest_start {
            if self.priority == 0 {
                Tier::Urgent
            } else {
                Tier::InTime
            }
        } else if now <= self.due_at + self.allowance * (LATE_FACTOR - 1) {
            Tier::Late
        } else {
            Tier::Expired
        }
    }

    /// Ticket for a worker that is still valid when a start that is decided now arrives.
    pub fn ticket(&self, worker_index: usize, now: time::Monotonic) -> Option<Arc<str>> {
        match self.permissions.get(&worker_index)? {
            Permission::Allowed(ticket, until) if *until > now + constants::MIN_TICKET_VALIDITY => {
                Some(Arc::clone(ticket))
            }
            Permission::Allowed(..) | Permission::Denied => None,
        }
    }

    /// Whether a worker is known to be forbidden.
    pub fn is_denied(&self, worker_index: usize) -> bool {
        matches!(
            self.permissions.get(&worker_index),
            Some(Permission::Denied)
        )
    }

    /// Whether a worker is known to be allowed, with or without a valid ticket.
    pub fn is_allowed(&self, worker_index: usize) -> bool {
        self.advice.is_none()
            || matches!(
                self.permissions.get(&worker_index),
                Some(Permission::Allowed(..))
            )
    }

    /// Notes that a task left a worker.
    pub fn remove_placed(&mut self, worker_index: usize) {
        if let Some(count) = self.placed.get_mut(&worker_index) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Room that a task of a step takes on a worker. Tasks that fill take no processors.
pub fn task_size(step: &spec::Step) -> quantities::Resources {
    let mut size = step.size;
    if step.fills {
        size.millicores = 0;
    }
    size
}

/// Time objective of a job, in milliseconds from its acceptance.
pub fn allowance_ms(queue: &queue::Queue, spec: &spec::JobSpec) -> u64 {
    let advice = queue.advice.map_or(0.0, |advice| {
        advice.decide_ms + advice.per_worker_ms * constants::MAX_WORKERS_PER_REQUEST as f64
    });
    let chain = spec.critical_path_ms() as f64 + advice;
    lease::millis(Duration::from_secs_f64(
        (queue.stretch * chain + queue.latency_ms).clamp(0.0, 1e9) / 1_000.0,
    ))
}

/// Longest chain of declared run times from the start of a step to the end of the job.
pub fn remaining_path_ms(spec: &spec::JobSpec, from: u16) -> u64 {
    let mut tails = vec![0_u64; spec.steps.len()];
    for position in (0..spec.steps.len()).rev() {
        tails[position] += u64::from(spec.steps[position].estimate_ms);
        for &before in &spec.steps[position].after {
            let before = usize::from(before);
            tails[before] = tails[before].max(tails[position]);
        }
    }
    tails.get(usize::from(from)).copied().unwrap_or(0)
}
