//! Messages between the leader and its relays.
//!
//! Rows that occur in large numbers are encoded as arrays without field names.

use std::net::SocketAddr;
use std::sync::Arc;

use daisymast_jobs::spec;
use daisymast_scheduler::report;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// Calls for a relay to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Identifies the leader's connection state. Outcomes of an earlier session are not delivered.
    pub session: u64,
    /// Fencing token of all calls, at least the term of the leader and below the next one.
    pub term: u64,
    /// How long the relay may wait for outcomes before it answers, in milliseconds.
    pub wait_ms: u64,
    /// Job payloads that the calls refer to by position. Tasks of a step share theirs.
    pub payloads: Vec<Arc<str>>,
    /// The calls.
    pub calls: Vec<Call>,
    /// When the calls become too old to be made; `None` until the relay has told its clock, which
    /// earlier releases do not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expiry: Option<Expiry>,
}

/// A time on the clock of a relay's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Expiry {
    /// The process. Another one does not make the calls.
    pub process: u64,
    /// The time, in milliseconds.
    pub clock_ms: u64,
}

/// One call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call(
    /// Number of the call in its session.
    pub u64,
    /// Worker to call.
    pub ids::WorkerId,
    /// Address of the worker.
    pub SocketAddr,
    /// What the worker is asked to do.
    pub Operation,
);

/// Task ID: job, occurrence, step, and position in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task(pub spec::JobId, pub u32, pub u16, pub u32);

impl From<spec::TaskId> for Task {
    fn from(id: spec::TaskId) -> Self {
        Self(id.step.job, id.step.occurrence, id.step.step, id.index)
    }
}

impl From<Task> for spec::TaskId {
    fn from(task: Task) -> Self {
        let step = spec::StepId {
            job: task.0,
            occurrence: task.1,
            step: task.2,
        };
        step.task(task.3)
    }
}

/// What a worker is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Renew the lease and report running and ended runs.
    Poll {
        /// New end of the lease on the worker's clock, in milliseconds; `None` leaves it unchanged.
        deadline_ms: Option<u64>,
        /// Highest number of an ended run that is stored.
        acked_end: u64,
        /// How long the worker may delay its answer while no run ends, in milliseconds.
        wait_ms: u64,
    },
    /// Start a task.
    Start {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// Position of the job's payload in [`Exchange::payloads`].
        payload: usize,
        /// End of the lease on the worker's clock, in milliseconds.
        deadline_ms: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<Arc<str>>,
        /// Ticket of the advice service.
        ticket: Option<Arc<str>>,
    },
    /// Stop a run.
    Stop {
        /// Task of the run.
        task: Task,
        /// Run number.
        run: u32,
    },
}

/// Outcomes of calls that have ended since the last exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Identifies the relay's process. A new process knows nothing of earlier calls.
    pub process: u64,
    /// Whether the relay is shutting down and should get no further calls.
    pub draining: bool,
    /// Numbers of the calls with their outcomes.
    pub outcomes: Vec<(u64, Outcome)>,
    /// Reading of the relay's clock, in milliseconds; `None` from earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_ms: Option<u64>,
}

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The worker answered a poll.
    Report(Report),
    /// A poll got no report.
    NoReport(PollFailure),
    /// An order was answered, or not.
    Order(report::OrderOutcome),
    /// The relay did not make the call, because it had waited for too long.
    NotSent,
}

/// Why a poll got no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollFailure {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another worker uses the address.
    WrongWorker,
    /// There was no answer, or one that cannot be interpreted.
    Failed,
}

/// Report of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker process, if it reports one.
    pub started_at: Option<u64>,
    /// Runs in progress, `None` if they are left out.
    pub running: Option<Vec<Running>>,
    /// Ended runs.
    pub ended: Vec<Ended>,
}

/// Task, run number, progress in percent, and checkpoint of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running(pub Task, pub u32, pub u8, pub Option<Arc<str>>);

/// Sequence number, task, run number, end, and checkpoint of an ended run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended(
    pub u64,
    pub Task,
    pub u32,
    pub report::End,
    pub Option<Arc<str>>,
);

impl Report {
    /// Encodes a report, without its running runs if `is_full` is false.
    pub fn new(report: report::Report, is_full: bool) -> Self {
        let running = report.running.into_iter();
        let running =
            running.map(|run| Running(run.task.into(), run.run, run.percent, run.checkpoint));
        let ended = report.ended.into_iter();
        let ended = ended.map(|end| {
            Ended(
                end.number,
                end.task.into(),
                end.run,
                end.end,
                end.checkpoint,
            )
        });
        Self {
            clock_ms: report.clock_ms,
            started_at: report.started_at,
            running: is_full.then(|| running.collect()),
            ended: ended.collect(),
        }
    }
}

impl From<Report> for report::Report {
    fn from(report: Report) -> Self {
        let is_partial = report.running.is_none();
        let running = report.running.into_iter().flatten();
        let running = running.map(|Running(task, run, percent, checkpoint)| report::Running {
            task: task.into(),
            run,
            checkpoint,
            percent,
        });
        let ended = report.ended.into_iter();
        let ended = ended.map(|Ended(number, task, run, end, checkpoint)| report::Ended {
            number,
            task: task.into(),
            run,
            end,
            checkpoint,
        });
        Self {
            clock_ms: report.clock_ms,
            started_at: report.started_at,
            is_partial,
            running: running.collect(),
            ended: ended.collect(),
        }
    }
}

impl From<PollFailure> for report::PollOutcome {
    fn from(failure: PollFailure) -> Self {
        match failure {
            PollFailure::Fenced => Self::Fenced,
            PollFailure::WrongWorker => Self::WrongWorker,
            PollFailure::Failed => Self::Failed,
        }
    }
}
