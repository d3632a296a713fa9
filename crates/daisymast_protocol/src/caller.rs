//! Requests of callers and the replies to them.

use daisymast_types::ids::{JobName, RequestId};
use serde::{Deserialize, Serialize};

/// A caller's request, posted to `/v1/requests`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// ID chosen by the caller. A non-idempotent request needs a UUIDv7, whose timestamp gives its
    /// age.
    pub id: RequestId,
    /// Service to which the request is addressed.
    pub service: JobName,
    /// Whether the request may safely be run more than once.
    pub idempotent: bool,
    /// Time within which the caller needs the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Body that is passed to the service.
    pub body: String,
}

/// Reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CallerReply {
    /// The request was served.
    Done {
        /// Id of the request.
        id: RequestId,
        /// Body of the complete answer of the service.
        body: String,
    },
    /// The request did not run and will not run because of this submission.
    NotRun {
        /// Id of the request.
        id: RequestId,
        /// Reason why the request did not run.
        reason: NotRunReason,
        /// Time after which the caller may try again, in milliseconds; `None` if a retry cannot
        /// succeed.
        retry_after_ms: Option<u64>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Id of the request.
        id: RequestId,
        /// HTTP path at which any instance reports the outcome of the request.
        status: String,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The request is malformed or has a value out of range, or it is not idempotent and its ID is
    /// not a canonical UUIDv7 or lies in the future.
    Invalid,
    /// The manifest in force does not declare the service.
    UnknownService,
    /// The queue of its flow is full, or the quota of the team is exhausted.
    Overloaded,
    /// The request cannot be answered before its deadline.
    DeadlineUnreachable,
    /// The ledger could not record the claim.
    LedgerUnavailable,
    /// No replica of the service is reachable, or no manifest is in force.
    NoEndpoint,
    /// The instance is draining and takes no new requests.
    Draining,
    /// The ID is older than [`crate::limits::REQUEST_ID_MAX_AGE`], so the ledger may have dropped
    /// its record.
    TooOld,
    /// The ID was already used with another service or body.
    IdReused,
}
