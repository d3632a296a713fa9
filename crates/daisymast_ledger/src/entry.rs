//! Entries that a ledger partition records.

use daisymast_protocol::caller::NotRunReason;
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, RunKey, WorkerId};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

/// One entry of a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Entry {
    /// A non-idempotent request was claimed.
    Claim {
        /// The request.
        request: RequestId,
        /// Digest of service and body, as 32 hexadecimal digits.
        digest: String,
        /// Instance that executes the request.
        by: InstanceId,
    },
    /// A claimed request ended.
    Settle {
        /// The request.
        request: RequestId,
        /// Result of the request.
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
    /// An attempt of a task ended.
    TaskDone {
        /// Run of the task.
        run: RunKey,
        /// Index of the task.
        index: u32,
        /// Attempt that ended, from 1.
        attempt: u32,
        /// Result of the attempt.
        end: TaskEnd,
    },
    /// A run was closed; none of its tasks is started again.
    RunClosed {
        /// The run.
        run: RunKey,
    },
}

/// Result of a claimed request. The body of an answer is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settled {
    /// The request was answered.
    Answered,
    /// The request did not run and cannot run later.
    NotRun(NotRunReason),
}

/// Properties of a run that are recorded when it is opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunOpened {
    /// The run.
    pub run: RunKey,
    /// Job that declares the run.
    pub job: JobName,
    /// Why the run exists.
    pub origin: Origin,
    /// Number of tasks of the run.
    pub tasks: u32,
    /// Generation of the manifest that declared the job. It keeps an owner with an older manifest
    /// from treating the job as retired.
    pub generation: Generation,
    /// Wall-clock time until which the run could be opened again if its record were lost. The
    /// record is kept until then, even if the run is closed. `None` for a gang job, whose record
    /// the owner deletes one day after the run was opened, once the declaration is no longer in
    /// force.
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
    /// The task completed successfully.
    Succeeded,
    /// The task failed on its worker.
    Failed,
    /// The attempt never ran, was stopped, or its lease expired. It does not count as a failure.
    Lost,
}
