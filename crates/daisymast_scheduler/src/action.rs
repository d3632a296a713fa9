//! What the scheduler asks its shell to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::ids;

use crate::decision;

/// A worker and its place in the fleet, which replies name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Place in the fleet.
    pub index: usize,
    /// Id.
    pub id: ids::WorkerId,
    /// Address.
    pub address: SocketAddr,
}

/// Answer to a caller, given when what it says is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted.
    Accepted,
    /// The job is cancelled, or had ended.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// The job was not accepted and never runs, as it cannot be stored now.
    Refused,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// Worker.
    pub target: Target,
    /// Task.
    pub task: spec::TaskId,
    /// Run.
    pub run: u32,
    /// Content of the job.
    pub spec: Arc<spec::JobSpec>,
    /// End of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the advice service.
    pub ticket: Option<Arc<str>>,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Extend the lease of a worker and read what runs there.
    Hold {
        /// Worker.
        target: Target,
        /// End of the lease on the worker's clock; none before its clock is known.
        deadline_ms: Option<u64>,
        /// Highest end that is stored.
        noted: u64,
        /// Time for which the worker may wait for an end.
        wait: Duration,
    },
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop {
        /// Worker.
        target: Target,
        /// Task.
        task: spec::TaskId,
        /// Run.
        run: u32,
    },
    /// Ask which workers may run a step.
    Ask {
        /// Number that the reply names.
        call: u64,
        /// Node that asks.
        advisor: ids::InstanceId,
        /// Step.
        step: spec::StepId,
        /// Workers to ask about.
        workers: Vec<String>,
        /// Time for the whole question.
        timeout: Duration,
    },
    /// Answer a caller.
    Answer {
        /// Number of the caller's request.
        token: u64,
        /// The answer.
        answer: Answer,
    },
    /// A worker has seen a later term.
    Deposed,
    /// Log a decision.
    Log(decision::Decision),
}
