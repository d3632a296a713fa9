//! Requests of operators.

use daisymast_types::ids::{Generation, InstanceId, JobName, Release, WorkerId, Zone};
use serde::{Deserialize, Serialize};

use crate::timeline::TimelineEvent;

/// A request of an operator to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Replaces the manifest if the generation in force is `expected`.
    Submit {
        /// Generation that the operator's change is based on.
        expected: Generation,
        /// The manifest as JSON text.
        manifest: String,
    },
    /// Reads the manifest in force at this instance.
    Manifest,
    /// Reads the instance's status.
    Status,
    /// Reads the events from `after` on.
    Timeline {
        /// Sequence number of the last event that the operator has.
        after: u64,
    },
}

/// A reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OperatorReply {
    /// The manifest was accepted.
    Accepted {
        /// Its generation.
        generation: Generation,
    },
    /// Another change came first; nothing was changed.
    Conflict {
        /// Generation that the operator expected.
        expected: Generation,
        /// Generation that is in force.
        actual: Generation,
        /// Release that is in force.
        release: Option<Release>,
    },
    /// The manifest has faults; nothing was changed.
    Invalid {
        /// One line for each fault: field, value and what is allowed.
        faults: Vec<String>,
    },
    /// Whether the change was accepted could not be learned before the deadline.
    Unknown {
        /// Reason in plain words.
        reason: String,
    },
    /// The change was surely not accepted.
    Unavailable {
        /// Reason in plain words.
        reason: String,
    },
    /// The manifest in force.
    Manifest {
        /// Its generation.
        generation: Generation,
        /// The manifest as JSON text, empty if none was accepted.
        manifest: String,
    },
    /// The instance's status.
    Status(Status),
    /// Events in order of their sequence numbers.
    Timeline {
        /// Each event with its sequence number.
        events: Vec<(u64, TimelineEvent)>,
    },
}

/// Status of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: Option<InstanceId>,
    /// Its availability zone.
    pub zone: Option<Zone>,
    /// Generation in force here.
    pub generation: Generation,
    /// Whether the instance is draining.
    pub draining: bool,
    /// Live instances in its view.
    pub peers: Vec<InstanceId>,
    /// Workers that it holds.
    pub workers: Vec<WorkerId>,
    /// Ledger partitions that it owns.
    pub partitions: Vec<u16>,
    /// Running tasks by job, on the workers that it holds.
    pub running: Vec<(JobName, u32)>,
    /// Runs that it owns: job, tasks done, tasks in all, whether the run is parked.
    pub runs: Vec<RunStatus>,
}

/// Progress of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Job of the run.
    pub job: JobName,
    /// Key of the run, as 16 hexadecimal digits.
    pub run: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks in all.
    pub tasks: u32,
    /// Tasks that failed too often and wait for an operator.
    pub parked: u32,
}
