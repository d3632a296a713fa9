//! Messages to workers: control leases, tasks and requests.

use daisymast_types::ids::{BootId, Epoch, InstanceId, JobName, RequestId, RunKey, TaskKey};
use daisymast_types::quantities::Resources;
use serde::{Deserialize, Serialize};

use crate::task::{TaskReport, TaskSpec};

/// Fencing token of a control lease. The worker refuses messages with any other than the current
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseStamp {
    /// Boot ID of the worker process that granted the lease.
    pub boot: BootId,
    /// Epoch of the lease. It rises with each lease that is newly granted.
    pub epoch: Epoch,
}

/// Time on the monotonic clock of the worker, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkerMillis(pub u64);

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkerRequest {
    /// Acquires the control lease.
    Acquire {
        /// Instance that requests the lease.
        holder: InstanceId,
        /// Requested time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Renews the control lease and waits for task changes (long poll). Also extends the task
    /// leases of all shared tasks, and of the exclusive tasks of the listed runs.
    Renew {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Runs whose exclusive tasks get their leases extended.
        keep_runs: Vec<RunKey>,
        /// Sequence number of the last change that the holder has seen.
        since: u64,
        /// Longest time to wait for a change, in milliseconds; 0 returns at once.
        wait_ms: u64,
    },
    /// Releases the control lease.
    Release {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
    },
    /// Starts one attempt of a task.
    Start {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Deadline on the worker's clock. From this time on the message is refused.
        not_after: WorkerMillis,
        /// Task to start.
        task: TaskSpec,
    },
    /// Stops a task. Has no effect on a task that has ended already.
    Stop {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Task to stop.
        task: TaskKey,
        /// Whether the task writes a checkpoint first.
        checkpoint: bool,
    },
    /// Sets the CPU limit of a running task.
    Throttle {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Task to limit.
        task: TaskKey,
        /// New limit in thousandths of a core.
        millicores: u32,
    },
    /// Passes the request of a caller to a service replica.
    Serve {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Deadline on the worker's clock. From this time on the message is refused.
        not_after: WorkerMillis,
        /// The request.
        request: ServeRequest,
    },
    /// Asks for the outcome of a request. One that never ran is refused from now on.
    Resolve {
        /// Boot ID of the worker process that received the request. Another process does not know
        /// what ran before its start, so it refuses the message with [`Refusal::StaleLease`].
        boot: BootId,
        /// ID of the request.
        id: RequestId,
    },
    /// Asks for the outcome of a task attempt. One that never ran is refused from now on.
    ResolveTask {
        /// Task attempt.
        task: TaskKey,
    },
    /// Acknowledges that the results of ended tasks are recorded. The worker may drop their
    /// reports.
    Forget {
        /// Stamp of the current lease.
        stamp: LeaseStamp,
        /// Acknowledged tasks.
        tasks: Vec<TaskKey>,
    },
}

/// Request of a caller, as it is passed to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeRequest {
    /// ID of the request; the answer must repeat it.
    pub id: RequestId,
    /// Service to which the request is addressed.
    pub service: JobName,
    /// Whether the request may safely be run more than once.
    pub idempotent: bool,
    /// Body of the request.
    pub body: String,
}

/// Complete answer of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// ID of the answered request.
    pub id: RequestId,
    /// Body of the answer.
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
        /// Time of the reply on the worker's clock.
        clock: WorkerMillis,
        /// Sequence number of the last change, at least `since`.
        seq: u64,
        /// Tasks that started or ended since `since`.
        changes: Vec<TaskReport>,
        /// Measured resource usage of all tasks. It lags behind the running tasks.
        usage: Resources,
        /// Whether the worker is leaving.
        leaving: bool,
    },
    /// The request took effect.
    Ok,
    /// Answers `Serve`.
    Served {
        /// Complete answer of the replica.
        answer: Answer,
    },
    /// Answers `Resolve` and `ResolveTask`, and `Serve` if the request failed.
    Resolved {
        /// Outcome of the request or task attempt.
        fate: Fate,
    },
    /// The request was refused and took no effect.
    Refused {
        /// Reason of the refusal.
        reason: Refusal,
    },
}

/// A granted control lease and the state of the worker that the new holder needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing token of the lease.
    pub stamp: LeaseStamp,
    /// Time of the grant on the worker's clock.
    pub clock: WorkerMillis,
    /// Time to live of the lease in milliseconds.
    pub ttl_ms: u64,
    /// Total capacity for tasks.
    pub capacity: Resources,
    /// Largest number of requests that the worker serves at the same time.
    pub slots: u32,
    /// Sequence number of the last change in `tasks`.
    pub seq: u64,
    /// Running tasks, and ended tasks that no holder has acknowledged with `Forget`.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// Outcome of a request or a task attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fate", rename_all = "snake_case")]
pub enum Fate {
    /// It never ran on this worker and will not run: the worker refuses it from now on.
    NeverRan,
    /// It is still running.
    Running,
    /// The request was answered.
    Answered {
        /// Complete answer of the replica.
        answer: Answer,
    },
    /// The task attempt ended.
    Ended {
        /// Report about the ended attempt.
        report: TaskReport,
    },
    /// The request ran and failed without an answer.
    Failed,
}

/// Reason why a worker refused a message. A refused message took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The lease has expired, or the lease stamp or boot ID is not the current one.
    StaleLease,
    /// The message arrived at or after its `not_after` time.
    Late,
    /// The task does not fit in the free capacity, or the history of task IDs is full.
    NoCapacity,
    /// All request slots or connections are in use, or the history of request IDs is full.
    NoSlot,
    /// No replica of the service runs on this worker.
    NoReplica,
    /// The ID is known already: it is running, has run, or was resolved as never run.
    Duplicate,
    /// The worker is leaving.
    Leaving,
    /// The worker does not know the task.
    UnknownTask,
    /// The message is malformed or has a value out of range.
    Invalid,
}
