//! Tasks that workers run, and reports about them.

use daisymast_types::ids::{JobName, TaskKey, Team};
use daisymast_types::quantities::{Resources, Urgency};
use serde::{Deserialize, Serialize};

/// Kind of the job to which a task belongs. Each kind has its own scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A long-running service. Its tasks are replicas that serve requests.
    Service,
    /// A recurring batch job.
    Batch,
    /// A gang job: all its tasks must run at the same time.
    Gang,
}

/// Specification of one task attempt, as it is sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Identity of the attempt: run, task index and attempt number.
    pub key: TaskKey,
    /// Job that declares the task.
    pub job: JobName,
    /// Team to which the resources of the task are charged.
    pub team: Team,
    /// Kind of the job.
    pub kind: Kind,
    /// Urgency of the job.
    pub urgency: Urgency,
    /// Resources that the task may use.
    pub size: Resources,
    /// Whether the task must never run in two places at the same time.
    pub exclusive: bool,
    /// Expected run time in milliseconds; zero for a service. A stand-in worker runs the task for
    /// this time.
    pub run_ms: u64,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task ended successfully.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The worker stopped the task because its task lease expired.
    Expired,
}

impl TaskState {
    /// Returns whether the task is no longer running.
    pub fn is_ended(self) -> bool {
        self != Self::Running
    }
}

/// Report of a worker about one task attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task, with its current size: a throttled task has a lower CPU limit than at its start.
    pub spec: TaskSpec,
    /// State of the task.
    pub state: TaskState,
    /// Time since the start, or from start to end for an ended task, in milliseconds.
    pub elapsed_ms: u64,
}
