//! Tasks as workers run them.

use daisymast_types::ids::{JobName, TaskKey, Team};
use daisymast_types::quantities::{Resources, Urgency};
use serde::{Deserialize, Serialize};

/// What kind of job a task belongs to. Each kind has a scheduling policy of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A long-lived service; its tasks are replicas that take requests.
    Service,
    /// A recurring batch.
    Batch,
    /// A job that needs all its tasks at once.
    Gang,
}

/// One attempt of a task, as it is sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Identity of the attempt.
    pub key: TaskKey,
    /// Job that declares the task.
    pub job: JobName,
    /// Team that pays for the task.
    pub team: Team,
    /// Kind of the job.
    pub kind: Kind,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Size that the task may use.
    pub size: Resources,
    /// Whether the task may never run in two places at once.
    pub exclusive: bool,
    /// Expected run time in milliseconds; zero for a service. Stand-in workers run that long.
    pub run_ms: u64,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Runs now.
    Running,
    /// Ended with success.
    Succeeded,
    /// Ended with a failure.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Stopped by the worker because its task lease expired.
    Expired,
}

impl TaskState {
    /// Whether the task runs no longer.
    pub fn is_ended(self) -> bool {
        self != Self::Running
    }
}

/// A task and its state, as a worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task as it was started.
    pub spec: TaskSpec,
    /// Its state.
    pub state: TaskState,
    /// Run time so far, in milliseconds.
    pub elapsed_ms: u64,
}
