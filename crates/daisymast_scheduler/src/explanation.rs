//! Where a request or a job would go now, and why.

use daisymast_jobs::job;
use daisymast_jobs::spec;
use daisymast_organisations::organisation;
use daisymast_types::ids;
use daisymast_types::quantities;
use serde::{Deserialize, Serialize};

/// What is to be explained.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// A job that was accepted.
    Job(spec::JobId),
    /// A request that is not sent.
    Request {
        /// Queue of the request.
        queue: ids::QueueName,
        /// Organisation of the caller.
        organisation: Option<ids::Organisation>,
        /// Content of the request.
        spec: spec::JobSpec,
    },
}

/// Answer of the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The request or the job is known.
    Explained(Explanation),
    /// No such job is open, or it has ended long ago.
    UnknownJob,
    /// The configuration has no such queue.
    UnknownQueue,
    /// The configuration has no such organisation.
    UnknownOrganisation,
    /// A task or a gang of the request is larger than the cap of its organisation.
    OverCap,
}

/// Where a request or a job would go now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// State of the job; that of a request is `queued`.
    pub state: job::State,
    /// Queue.
    pub queue: ids::QueueName,
    /// Organisation, if there is one.
    pub organisation: Option<OrganisationUse>,
    /// Steps that are not done.
    pub steps: Vec<StepPlan>,
}

/// What an organisation uses of its cap.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// Organisation.
    pub name: ids::Organisation,
    /// Resources of its running tasks.
    pub used: quantities::Resources,
    /// Its cap, if that is known.
    pub cap: Option<organisation::Cap>,
}

/// Where the waiting tasks of a step would go now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepPlan {
    /// Position of the step in the job.
    pub step: u16,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of tasks that wait for a worker.
    pub waiting: u32,
    /// Number of tasks that have a worker.
    pub placed: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// What happens to the waiting tasks.
    pub verdict: Verdict,
    /// Place in the order of the waiting steps, 1 for the first.
    pub position: Option<u32>,
    /// Number of steps in that order.
    pub order_length: u32,
    /// Time until the latest start that meets the time objective, in milliseconds; negative if it has
    /// passed.
    pub slack_ms: Option<i64>,
    /// Workers on which tasks would start now, with the number of tasks.
    pub starts: Vec<(ids::WorkerId, u32)>,
    /// Number of workers that cannot take a task, by the first reason that applies.
    pub passed_over: Vec<(Reason, u32)>,
    /// Expected time until the tasks may start, in milliseconds.
    pub expected_wait_ms: Option<u64>,
}

/// What happens to the waiting tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Steps that it depends on are not done.
    AfterOtherSteps,
    /// All tasks have workers.
    Placed,
    /// The step is stopped, or starts again after a delay.
    Pausing,
    /// The organisation is at its cap.
    AtCap,
    /// All tasks start.
    Starts,
    /// Some of the tasks start.
    StartsPartly,
    /// The advice service is asked for permission first.
    NeedsAdvice,
    /// Tasks wait for a place near their data, or for one rack.
    WaitsForNearPlace,
    /// There is no room.
    NoRoom,
}

/// Why a worker cannot take a task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It is not registered.
    NotRegistered,
    /// It shuts down.
    Draining,
    /// It has failed repeatedly.
    Quarantined,
    /// It has not answered the last call, or not yet in this term.
    NoAnswer,
    /// It does not have the required label.
    Label,
    /// The advice service has denied it.
    Denied,
    /// It has no room for a task.
    NoRoom,
    /// A gang has reserved it.
    Reserved,
    /// The step has as many tasks there as it may, or its service has failed there.
    Limit,
    /// The organisation is at its cap.
    Cap,
}
