//! Actions that the scheduler asks its caller to carry out.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_organisations::organisation;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;
use serde::{Deserialize, Serialize};

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
    /// The job was not accepted and never runs, because the scheduler does not know its queue or
    /// organisation.
    UnknownQueue,
    /// The submission had no effect, because a job of another organisation has this ID.
    IdTaken,
    /// The job was not accepted and never runs, because the store takes no records at present.
    Refused,
    /// The job was not accepted and never runs, because the cap of its organisation can never allow it.
    OverCap(OverCap),
    /// The job was not accepted and never runs, because it lies beyond the rate of its organisation and
    /// too many such jobs of it wait.
    OverRate {
        /// When a submission lies within the rate again, in milliseconds from now.
        retry_ms: u64,
    },
}

/// A task or gang that is larger than the cap of its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverCap {
    /// Size of a task.
    pub size: quantities::Resources,
    /// Number of tasks that have to run at the same time: all of a gang, otherwise 1.
    pub tasks: u32,
    /// Cap of the organisation.
    pub cap: organisation::Cap,
}

impl fmt::Display for OverCap {
    /// States the need and the cap.
    ///
    /// ```
    /// use daisymast_organisations::organisation;
    /// use daisymast_scheduler::action;
    /// use daisymast_types::quantities;
    /// let over_cap = action::OverCap {
    ///     size: quantities::Resources::new(18_000, 1_024, 0),
    ///     tasks: 20,
    ///     cap: organisation::Cap { millicores: Some(320_000), ..organisation::Cap::default() },
    /// };
    /// assert_eq!(
    ///     over_cap.to_string(),
    ///     "the job needs 20 x (18 cores, 1024 MB, 0 GPUs) at once, more than the organisation's cap of \
    ///      320 cores; it was not accepted"
    /// );
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = |millicores: u32| f64::from(millicores) / 1_000.0;
        let Self { size, tasks, cap } = self;
        let limits = [
            cap.millicores
                .map(|limit| format!("{} cores", cores(limit))),
            cap.memory_mib.map(|limit| format!("{limit} MB")),
            cap.accelerators.map(|limit| format!("{limit} GPUs")),
        ];
        let limits: Vec<String> = limits.into_iter().flatten().collect();
        write!(
            f,
            "the job needs {tasks} x ({} cores, {} MB, {} GPUs) at once, more than the organisation's cap \
             of {}; it was not accepted",
            cores(size.millicores),
            size.memory_mib,
            size.accelerators,
            limits.join(", ")
        )
    }
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
