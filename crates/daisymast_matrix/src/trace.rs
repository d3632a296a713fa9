//! What workers, callers and instances saw during a session.

use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::task::{TaskSpec, TaskState};
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, TaskKey, WorkerId};
use daisymast_types::quantities::Resources;

/// One observation, made outside the component under test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A worker joined with this capacity.
    WorkerJoined {
        /// The worker.
        worker: WorkerId,
        /// What it can hold.
        capacity: Resources,
    },
    /// A worker started a task attempt.
    TaskStarted {
        /// The worker.
        worker: WorkerId,
        /// The task.
        spec: TaskSpec,
    },
    /// A task attempt ended on a worker.
    TaskEnded {
        /// The worker.
        worker: WorkerId,
        /// The task.
        key: TaskKey,
        /// How it ended.
        state: TaskState,
    },
    /// A worker process died, and its tasks with it.
    WorkerDied {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker told the platform that it is leaving.
    WorkerLeaving {
        /// The worker.
        worker: WorkerId,
    },
    /// A replica began to work on a request.
    RequestStarted {
        /// The worker.
        worker: WorkerId,
        /// The request.
        id: RequestId,
    },
    /// A caller sent a request.
    CallerAsked {
        /// Instance that was asked.
        instance: InstanceId,
        /// The request.
        id: RequestId,
        /// Service that was asked.
        service: JobName,
        /// Whether a repeat is harmless.
        idempotent: bool,
        /// Body of the request.
        body: String,
    },
    /// A caller got its answer.
    CallerAnswered {
        /// Instance that answered.
        instance: InstanceId,
        /// The request as the caller knows it.
        id: RequestId,
        /// The answer.
        reply: CallerReply,
    },
    /// A caller's connection broke because the instance died.
    CallerCutOff {
        /// Instance that died.
        instance: InstanceId,
        /// The request.
        id: RequestId,
    },
    /// An instance was asked to drain.
    Draining {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance ended by itself after draining.
    Drained {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance process died or was started again.
    InstanceRestarted {
        /// The instance.
        instance: InstanceId,
    },
    /// An operator's manifest was accepted; `declared` are the names of its jobs.
    Accepted {
        /// Generation of the manifest.
        generation: Generation,
        /// Names of the declared jobs.
        declared: Vec<JobName>,
    },
    /// A generation came into force at an instance.
    InForce {
        /// The instance.
        instance: InstanceId,
        /// The generation.
        generation: Generation,
    },
}

/// Observations in the order of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Milliseconds of virtual time and what was seen then.
    pub seen: Vec<(u64, Seen)>,
}

impl Trace {
    /// Adds an observation.
    pub fn push(&mut self, at: u64, seen: Seen) {
        self.seen.push((at, seen));
    }
}
