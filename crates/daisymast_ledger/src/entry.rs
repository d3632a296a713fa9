//! Entries of a partition.

use daisymast_protocol::caller::NotRunReason;
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, RunKey, WorkerId};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

/// One recorded fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Entry {
    /// A non-idempotent request was claimed.
    Claim {
        /// The request.
        request: RequestId,
        /// Digest of service and body, as 32 hexadecimal digits.
        digest: String,
        /// Instance that runs it.
        by: InstanceId,
    },
    /// A claimed request ended.
    Settle {
        /// The request.
        request: RequestId,
        /// How it ended.
        result: Settled,
    },
    /// A run was opened.
    RunOpened(RunOpened),
    /// An attempt of a task was claimed for a worker.
    TaskClaim {
        /// Run of the task.
        run: RunKey,
        /// Index of the task.
        index: u32,
        /// Attempt, from 1.
        attempt: u32,
        /// Worker that may run the attempt.
        worker: WorkerId,
    },
    /// An attempt of a task is over.
    TaskDone {
        /// Run of the task.
        run: RunKey,
        /// Index of the task.
        index: u32,
        /// Attempt that is over.
        attempt: u32,
        /// How it ended.
        end: TaskEnd,
    },
    /// A run is over; no task of it is started again.
    RunClosed {
        /// The run.
        run: RunKey,
    },
}

/// How a claimed request ended. The body of an answer is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settled {
    /// It was answered.
    Answered,
    /// It surely did not run and will not run.
    NotRun(NotRunReason),
}

/// What is recorded when a run is opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunOpened {
    /// The run.
    pub run: RunKey,
    /// Its job.
    pub job: JobName,
    /// Why the run exists.
    pub origin: Origin,
    /// Tasks of the run.
    pub tasks: u32,
    /// Generation of the manifest that declared the job. An owner with an older manifest must not
    /// take the job for a retired one.
    pub generation: Generation,
    /// Wall time until which the run could be opened again if its record were lost. The record is
    /// kept until then, even if the run is closed. Nothing for a gang job, whose record its owner
    /// drops when its declaration is no longer in force and a day has passed.
    pub until: Option<UnixMillis>,
}

/// Why a run exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Origin {
    /// A recurring batch was due at this time.
    Due(UnixMillis),
    /// A manifest declares a gang job; the run was opened at this time.
    Declared(UnixMillis),
}

/// How an attempt of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEnd {
    /// The task is complete.
    Succeeded,
    /// The task failed on its worker.
    Failed,
    /// The attempt never ran, was stopped, or its lease expired. It does not count as a failure.
    Lost,
}
