//! Answers of workers to polls and orders.

use std::sync::Arc;

use daisymast_jobs::spec;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The task was completed.
    Done,
    /// The run failed, through its own fault or that of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Task of the run.
    pub task: spec::TaskId,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Sequence number of this entry; numbers increase until the worker restarts.
    pub number: u64,
    /// Task of the run.
    pub task: spec::TaskId,
    /// Run number.
    pub run: u32,
    /// How the run ended.
    pub end: End,
    /// Latest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// The running and ended runs of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of the worker process, if it reports one; tells restarts apart.
    pub started_at: Option<u64>,
    /// Whether `running` was left out, so that nothing follows from a run that it does not list.
    pub is_partial: bool,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ended runs that were not acknowledged yet, oldest first.
    pub ended: Vec<Ended>,
}

/// Maximum number of ended runs in a report. A report with this many may be incomplete.
pub const MAX_RUN_ENDS_PER_REPORT: usize = 500;

/// Outcome of polling a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The worker answered with a report.
    Report(Report),
    /// The worker has seen a higher fencing token: another scheduler was elected.
    Fenced,
    /// Another worker uses the address.
    WrongWorker,
    /// There was no answer, or one that cannot be interpreted.
    Failed,
}

/// Why a worker refused an order. A refused order has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already ended or stopped this run or a later one of the task.
    OldRun,
    /// The lease that the order would give has already expired.
    Expired,
    /// The worker has too little free capacity.
    NoRoom,
    /// The ticket of the advice service is missing or has expired.
    Ticket,
    /// Another worker uses the address.
    WrongWorker,
    /// The worker considers itself unhealthy.
    Unhealthy,
    /// The worker could not parse the order.
    Malformed,
}

/// Outcome of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The worker carried it out. Holds the reading of the worker's clock, in milliseconds.
    Accepted(u64),
    /// The worker refused it. Holds the reading of the worker's clock, if the answer has one.
    Refused(Refusal, Option<u64>),
    /// The order did not reach the worker.
    NoEffect,
    /// It is unknown whether the order was, or will be, carried out.
    Unknown,
}
