//! Workers: control leases, tasks and requests.

use daisymast_types::ids::{BootId, Epoch, InstanceId, JobName, RequestId, RunKey, TaskKey};
use daisymast_types::quantities::Resources;
use serde::{Deserialize, Serialize};

use crate::task::{TaskReport, TaskSpec};

/// Proof of the right to change a worker. The worker refuses any other than the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseStamp {
    /// Start of the worker process that granted the lease.
    pub boot: BootId,
    /// Rises with each change of the holder.
    pub epoch: Epoch,
}

/// Reading of the worker's own monotonic clock, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerMillis(pub u64);

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkerRequest {
    /// Asks for the control lease.
    Acquire {
        /// Instance that asks.
        holder: InstanceId,
        /// Time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Extends the control lease and the task leases of the listed runs. Tasks that are not
    /// exclusive are extended by each renewal.
    Renew {
        /// Current lease.
        stamp: LeaseStamp,
        /// Runs whose exclusive tasks are extended.
        keep_runs: Vec<RunKey>,
        /// Last change that the holder has seen.
        since: u64,
        /// Time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Gives the control lease back.
    Release {
        /// Current lease.
        stamp: LeaseStamp,
    },
    /// Starts one attempt of a task.
    Start {
        /// Current lease.
        stamp: LeaseStamp,
        /// Worker time from which the message is refused.
        not_after: WorkerMillis,
        /// Task to start.
        task: TaskSpec,
    },
    /// Stops a task. Stopping a task that has ended changes nothing.
    Stop {
        /// Current lease.
        stamp: LeaseStamp,
        /// Task to stop.
        task: TaskKey,
        /// Whether the task saves its progress first.
        checkpoint: bool,
    },
    /// Limits the processors of a running task.
    Throttle {
        /// Current lease.
        stamp: LeaseStamp,
        /// Task to limit.
        task: TaskKey,
        /// Thousandths of a core that it may use.
        millicores: u32,
    },
    /// Hands a caller's request to a service replica.
    Serve {
        /// Current lease.
        stamp: LeaseStamp,
        /// Worker time from which the message is refused.
        not_after: WorkerMillis,
        /// The request.
        request: ServeRequest,
    },
    /// Asks what became of a request. One that never ran is refused from now on.
    Resolve {
        /// Start of the worker's process that got the request. Another start does not remember what
        /// ran before it and refuses the question with [`Refusal::StaleLease`].
        boot: BootId,
        /// Request in question.
        id: RequestId,
    },
    /// Asks what became of a task attempt. One that never ran is refused from now on.
    ResolveTask {
        /// Attempt in question.
        task: TaskKey,
    },
    /// Lets the worker drop the results of ended tasks that were recorded.
    Forget {
        /// Current lease.
        stamp: LeaseStamp,
        /// Ended tasks.
        tasks: Vec<TaskKey>,
    },
}

/// A caller's request as a replica gets it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// Id that the answer must carry.
    pub id: RequestId,
    /// Service that is asked.
    pub service: JobName,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// Body from the caller.
    pub body: String,
}

/// A replica's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request that is answered.
    pub id: RequestId,
    /// Body for the caller.
    pub body: String,
    /// Length of the body in bytes.
    pub length: u64,
    /// [`daisymast_types::hashing::digest`] of the body, as 32 hexadecimal digits.
    pub digest: String,
}

/// A reply of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum WorkerReply {
    /// The control lease was granted.
    Granted(Grant),
    /// Another instance holds the control lease.
    Held {
        /// Current holder.
        holder: InstanceId,
        /// Time until the lease expires, in milliseconds.
        remaining_ms: u64,
    },
    /// The control lease was renewed.
    Renewed {
        /// Worker time at the renewal.
        clock: WorkerMillis,
        /// Number of the last change in `changes`, or `since` if there is none.
        seq: u64,
        /// Tasks that started or ended since `since`.
        changes: Vec<TaskReport>,
        /// Measured use, which lags.
        usage: Resources,
        /// Whether the worker is leaving.
        leaving: bool,
    },
    /// The request took effect.
    Ok,
    /// The replica's answer.
    Served {
        /// The whole answer.
        answer: Answer,
    },
    /// What became of a request or a task attempt.
    Resolved {
        /// The finding.
        fate: Fate,
    },
    /// The request was refused and took no effect.
    Refused {
        /// Reason.
        reason: Refusal,
    },
}

/// A granted control lease with all that the new holder needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The lease.
    pub stamp: LeaseStamp,
    /// Worker time at the grant.
    pub clock: WorkerMillis,
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
    /// What the worker can hold.
    pub capacity: Resources,
    /// Requests that the worker serves at one time.
    pub slots: u32,
    /// Number of the last change in `tasks`.
    pub seq: u64,
    /// Running tasks, and ended ones that were not forgotten.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// What became of a request or a task attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum Fate {
    /// It never ran here and will not run: the worker refuses it from now on.
    NeverRan,
    /// It runs now.
    Running,
    /// The request was answered.
    Answered {
        /// The whole answer.
        answer: Answer,
    },
    /// The task attempt ended.
    Ended {
        /// Its report.
        report: TaskReport,
    },
    /// It ran and failed without an answer.
    Failed,
}

/// Why a worker refused a request. A refusal means that nothing took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The lease has expired, or the stamp or the start of the process is not the current one.
    StaleLease,
    /// The message came after its `not_after`.
    Late,
    /// The task does not fit in what is free.
    NoCapacity,
    /// All slots or connections are in use.
    NoSlot,
    /// No replica of the service runs here.
    NoReplica,
    /// The id is known: it runs, has run, or was resolved as never run.
    Duplicate,
    /// The worker is leaving.
    Leaving,
    /// No such task is known.
    UnknownTask,
    /// The message is malformed.
    Invalid,
}
