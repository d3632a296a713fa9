//! Actions that the scheduler asks its caller to carry out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::ids;
use daisymast_types::time;

use crate::decision;

/// Worker to call, and what ties the outcome to the call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Index of the worker in the fleet.
    pub index: usize,
    /// Worker ID, which the request names so that another worker at the same address rejects it.
    pub id: ids::WorkerId,
    /// Address of the worker's control endpoint.
    pub address: SocketAddr,
    /// Fencing token of the call. The worker refuses calls with a lower one from then on.
    pub fence: u64,
    /// When the call was requested.
    pub sent_at: time::Monotonic,
}

/// Answer to a caller request, sent once the records that it depends on are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is accepted.
    Accepted,
    /// The job is cancelled, or had already reached a final state.
    Cancelled,
    /// There is no job with this ID.
    NoSuchJob,
    /// The job was not accepted and never runs, because the scheduler does not know its queue.
    UnknownQueue,
    /// The submission had no effect, because a job of another organisation has this ID.
    IdTaken,
    /// The job was not accepted and never runs, because the store takes no records at present.
    Refused,
}

/// Request to start a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// Worker to start the task on.
    pub target: Target,
    /// Task to start.
    pub task: spec::TaskId,
    /// Run number; a worker refuses numbers that it has already ended or stopped.
    pub run: u32,
    /// Job specification, which holds the payload.
    pub spec: Arc<spec::JobSpec>,
    /// End of the lease, in milliseconds of the worker's clock.
    pub deadline_ms: u64,
    /// Checkpoint to resume from, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the advice service, if the queue needs its permission.
    pub ticket: Option<Arc<str>>,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Renew the lease of a worker and read its running and ended runs (long poll).
    PollWorker {
        /// Worker to poll.
        target: Target,
        /// New end of the lease, in milliseconds of the worker's clock. `None` leaves the lease
        /// unchanged: the worker is idle, its clock is unknown, or it did not answer the previous
        /// call.
        deadline_ms: Option<u64>,
        /// Acknowledges all ended runs up to this number, so that the worker can drop them.
        acked_end: u64,
        /// How long the worker may delay its answer while no run ends.
        wait: Duration,
    },
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop {
        /// Worker that holds the run.
        target: Target,
        /// Task of the run.
        task: spec::TaskId,
        /// Run number.
        run: u32,
    },
    /// Ask the advice service which workers may run a step.
    RequestAdvice {
        /// Request number, to be passed back with the answer.
        call: u64,
        /// Node that sends the request to the advice service.
        node: ids::InstanceId,
        /// Step to run.
        step: spec::StepId,
        /// IDs of the workers to ask about.
        workers: Vec<String>,
        /// Time limit for the request, including the wait for earlier ones of the same node.
        timeout: Duration,
    },
    /// Answer a caller request.
    Answer {
        /// Number of the caller request.
        token: u64,
        /// The answer to send.
        answer: Answer,
    },
    /// A worker has seen the fencing token of a later term: stop scheduling.
    Deposed,
    /// Write a decision to the structured log.
    Log(decision::Decision),
}

impl Action {
    /// Returns the worker that a call is made to, `None` if the action is no such call.
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::PollWorker { target, .. } | Self::Stop { target, .. } => Some(target),
            Self::Start(start) => Some(&start.target),
            Self::RequestAdvice { .. } | Self::Answer { .. } | Self::Deposed | Self::Log(_) => None,
        }
    }
}
