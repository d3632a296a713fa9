//! Observations at workers, callers and instances during a session.

use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::task::{TaskSpec, TaskState};
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, TaskKey, WorkerId};
use daisymast_types::quantities::Resources;

/// One observation, made outside the component under test.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A worker joined.
    WorkerJoined {
        /// Worker that joined.
        worker: WorkerId,
        /// Total resources of the worker.
        capacity: Resources,
    },
    /// A worker started a task attempt.
    TaskStarted {
        /// Worker on which the attempt runs.
        worker: WorkerId,
        /// Specification of the task, with the number of the attempt.
        spec: TaskSpec,
    },
    /// A task attempt ended on a worker.
    TaskEnded {
        /// Worker on which the attempt ran.
        worker: WorkerId,
        /// Key of the task, with the number of the attempt.
        key: TaskKey,
        /// Final state of the attempt.
        state: TaskState,
    },
    /// A worker process crashed, which ended its tasks.
    WorkerDied {
        /// Worker that crashed.
        worker: WorkerId,
    },
    /// A worker told the platform that it is leaving.
    WorkerLeaving {
        /// Worker that is leaving.
        worker: WorkerId,
    },
    /// A replica started to process a request.
    RequestStarted {
        /// Worker of the replica.
        worker: WorkerId,
        /// ID of the request.
        id: RequestId,
    },
    /// A caller sent a request.
    CallerAsked {
        /// Instance that received the request.
        instance: InstanceId,
        /// ID of the request.
        id: RequestId,
        /// Service that the request is for.
        service: JobName,
        /// Whether the request may be executed more than once.
        idempotent: bool,
        /// Body of the request.
        body: String,
    },
    /// A caller received the reply to its request.
    CallerAnswered {
        /// Instance that answered.
        instance: InstanceId,
        /// ID under which the caller sent the request.
        id: RequestId,
        /// Reply that the caller received.
        reply: CallerReply,
    },
    /// A caller's connection was closed because the instance crashed.
    CallerCutOff {
        /// Instance that crashed.
        instance: InstanceId,
        /// ID of the unanswered request.
        id: RequestId,
    },
    /// An instance was asked to drain.
    Draining {
        /// Instance that has to drain.
        instance: InstanceId,
    },
    /// An instance stopped after it drained.
    Drained {
        /// Instance that stopped.
        instance: InstanceId,
    },
    /// An instance process crashed or was restarted.
    InstanceRestarted {
        /// Instance that crashed or was restarted.
        instance: InstanceId,
    },
    /// An operator's manifest was accepted.
    Accepted {
        /// Generation of the manifest.
        generation: Generation,
        /// Names of the jobs and services that the manifest declares.
        declared: Vec<JobName>,
    },
    /// A generation came into force at an instance.
    InForce {
        /// Instance that applied the generation.
        instance: InstanceId,
        /// Generation that is now in force.
        generation: Generation,
    },
}

/// Observations of a session. A paused worker reports its events late, so that the observations
/// need not be in the order of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Virtual time in milliseconds, and the observation.
    pub seen: Vec<(u64, Seen)>,
}

impl Trace {
    /// Appends an observation that was made at virtual time `at`, in milliseconds.
    pub fn push(&mut self, at: u64, seen: Seen) {
        self.seen.push((at, seen));
    }
}
