//! Requests of operators and the replies to them.

use daisymast_types::ids::{Generation, InstanceId, JobName, Release, WorkerId, Zone};
use serde::{Deserialize, Serialize};

use crate::timeline::TimelineEvent;

/// A request of an operator to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Replaces the manifest, provided that the generation in force is `expected`.
    Submit {
        /// Generation on which the change is based.
        expected: Generation,
        /// The manifest as JSON text.
        manifest: String,
    },
    /// Reads the manifest in force at this instance.
    Manifest,
    /// Reads the status of the instance.
    Status,
    /// Reads the timeline events after sequence number `after`.
    Timeline {
        /// Sequence number of the last event that the operator has received.
        after: u64,
    },
}

/// A reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OperatorReply {
    /// The manifest was accepted.
    Accepted {
        /// Generation of the accepted manifest.
        generation: Generation,
    },
    /// Another change was accepted first; nothing was changed.
    Conflict {
        /// Generation that the operator expected.
        expected: Generation,
        /// Generation in force.
        actual: Generation,
        /// Release in force; `None` if it is not known.
        release: Option<Release>,
    },
    /// The manifest is invalid; nothing was changed.
    Invalid {
        /// One line per error: field, value and allowed range.
        faults: Vec<String>,
    },
    /// It is not known whether the change was accepted: the deadline passed without an answer.
    Unknown {
        /// Human-readable reason.
        reason: String,
    },
    /// The change was definitely not accepted.
    Unavailable {
        /// Human-readable reason.
        reason: String,
    },
    /// The manifest in force.
    Manifest {
        /// Generation of the manifest.
        generation: Generation,
        /// The manifest as JSON text; empty if none was accepted.
        manifest: String,
    },
    /// Answers [`OperatorRequest::Status`].
    Status(Status),
    /// Timeline events, ordered by sequence number.
    Timeline {
        /// Sequence number and event.
        events: Vec<(u64, TimelineEvent)>,
    },
}

/// Status of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance ID.
    pub instance: Option<InstanceId>,
    /// Availability zone of the instance.
    pub zone: Option<Zone>,
    /// Generation of the manifest in force at this instance.
    pub generation: Generation,
    /// Whether the instance is draining.
    pub draining: bool,
    /// Other instances that this instance considers alive.
    pub peers: Vec<InstanceId>,
    /// Workers whose control lease this instance holds.
    pub workers: Vec<WorkerId>,
    /// Ledger partitions that this instance owns.
    pub partitions: Vec<u16>,
    /// Number of running tasks by job, on the workers that this instance holds.
    pub running: Vec<(JobName, u32)>,
    /// Progress of the runs that this instance owns.
    pub runs: Vec<RunStatus>,
}

/// Progress of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Job to which the run belongs.
    pub job: JobName,
    /// Key of the run, as 16 hexadecimal digits.
    pub run: String,
    /// Number of finished tasks.
    pub done: u32,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of tasks that failed too often and are not retried until an operator acts.
    pub parked: u32,
}
