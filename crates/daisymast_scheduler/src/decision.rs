//! Decisions, as the log tells them.

use daisymast_jobs::spec;
use daisymast_types::ids;
use serde::{Serialize, Serializer};

use crate::report;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its job was cancelled or has failed.
    JobEnded,
    /// Its gang lost a member.
    GangBroken,
    /// It made no progress.
    Hung,
    /// The outcome of its start is not known.
    StartUnknown,
    /// It is not expected on the worker.
    Stray,
}

/// A decision that touches a job or changes what the scheduler believes of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision {
    /// A job was taken in; it is accepted once that is stored.
    Submitted {
        /// The job.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Its queue.
        queue: ids::QueueName,
        /// Version of the configuration.
        version: u64,
        /// Time objective, in milliseconds.
        allowance_ms: u64,
    },
    /// Tasks of a step were given workers.
    Placed {
        /// The job.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// The step.
        step: u16,
        /// The run.
        run: u32,
        /// Number of tasks placed.
        tasks: usize,
        /// Number of tasks of the step that still wait.
        waiting: usize,
        /// Time left until the latest start in time, negative if it has passed, in milliseconds.
        slack_ms: i64,
        /// Worker of the first task.
        worker: ids::WorkerId,
    },
    /// A run ended in another way than done.
    Ended {
        /// The job.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// The step.
        step: u16,
        /// The task.
        task: u32,
        /// The run.
        run: u32,
        /// The worker.
        worker: ids::WorkerId,
        /// How it ended.
        end: report::End,
        /// Time since it was placed, in milliseconds.
        after_ms: u64,
    },
    /// A run is stopped.
    Stopping {
        /// The job.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// The step.
        step: u16,
        /// The task.
        task: u32,
        /// The run.
        run: u32,
        /// The worker.
        worker: ids::WorkerId,
        /// Why.
        reason: StopReason,
        /// Further runs of the step that are stopped with it.
        others: usize,
    },
    /// A job came to its end.
    Finished {
        /// The job.
        #[serde(serialize_with = "text")]
        job: spec::JobId,
        /// Its state.
        state: &'static str,
        /// Time since it was accepted, in milliseconds.
        after_ms: u64,
    },
    /// A worker does not answer.
    WorkerSuspected {
        /// The worker.
        worker: ids::WorkerId,
        /// Runs on it.
        runs: usize,
    },
    /// A worker answers again, or for the first time in this term.
    WorkerKnown {
        /// The worker.
        worker: ids::WorkerId,
        /// Runs on it.
        runs: usize,
        /// Whether it is another life.
        reborn: bool,
    },
    /// The lease of a worker has surely expired; its tasks wait again.
    LeaseExpired {
        /// The worker.
        worker: ids::WorkerId,
        /// Runs that are given up.
        runs: usize,
    },
    /// A worker is left out for a time.
    Quarantined {
        /// The worker.
        worker: ids::WorkerId,
        /// Failed runs on end.
        strikes: u32,
    },
}

fn text<S: Serializer>(job: &spec::JobId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}
