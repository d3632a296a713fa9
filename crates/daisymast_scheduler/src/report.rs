//! What workers answer.

use std::sync::Arc;

use daisymast_jobs::spec;
use serde::Serialize;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Its work is done.
    Done,
    /// It failed through its own fault or that of the worker.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease of the worker expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// A run that is at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: spec::TaskId,
    /// Its run.
    pub run: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in hundredths.
    pub percent: u8,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Number of this end; numbers rise within one life of the worker.
    pub number: u64,
    /// The task.
    pub task: spec::TaskId,
    /// Its run.
    pub run: u32,
    /// How it ended.
    pub end: End,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// What runs on a worker and what has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time of this life of the worker, if it tells it.
    pub born: Option<u64>,
    /// Runs at work.
    pub running: Vec<Running>,
    /// Ends that are not noted yet, oldest first.
    pub ended: Vec<Ended>,
}

/// Most ends in one report; a report with as many may be incomplete.
pub const ENDS_PER_REPORT: usize = 500;

/// Outcome of a look at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldOutcome {
    /// It answered.
    Report(Report),
    /// It has seen a higher token: another scheduler was elected.
    Fenced,
    /// Another worker is at the address.
    WrongWorker,
    /// No answer, or one that says nothing.
    Failed,
}

/// Why a worker refused an order. It did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fenced,
    /// It has ended or stopped this run or a later one.
    OldRun,
    /// The lease that the order would give has expired.
    Expired,
    /// It has no room.
    NoRoom,
    /// The ticket is missing or has expired.
    Ticket,
    /// Another worker is at the address.
    WrongWorker,
    /// It considers itself unhealthy.
    Unhealthy,
    /// It does not understand the order.
    Malformed,
}

/// Outcome of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out, with the worker's clock.
    Taken(u64),
    /// It was refused, with the worker's clock if it told it.
    Refused(Refusal, Option<u64>),
    /// It surely did not reach the worker.
    NoEffect,
    /// It may have been carried out, or may still be.
    Unknown,
}
