//! Requests of callers and their answers.

use daisymast_types::ids::{JobName, RequestId};
use serde::{Deserialize, Serialize};

/// A caller's request, posted to `/v1/requests`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// Id chosen by the caller; a UUID of version 7 if the request is not idempotent.
    pub id: RequestId,
    /// Service that is asked.
    pub service: JobName,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// Time within which the caller wants the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Body for the service.
    pub body: String,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CallerReply {
    /// The request was served.
    Done {
        /// Id of the request.
        id: RequestId,
        /// The service's whole answer.
        body: String,
    },
    /// The request was not run and will not run under this submission.
    NotRun {
        /// Id of the request.
        id: RequestId,
        /// Why it was not run.
        reason: NotRunReason,
        /// Time after which a new attempt is sensible, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The request may or may not have run.
    Unknown {
        /// Id of the request.
        id: RequestId,
        /// Path at which any instance tells what became of it.
        status: String,
    },
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The request is malformed, or its id does not fit its kind.
    Invalid,
    /// The manifest in force declares no such service.
    UnknownService,
    /// The queue of its kind is full, or the team's quota is used up.
    Overloaded,
    /// The deadline could not be met.
    DeadlineUnreachable,
    /// The ledger could not record the claim.
    LedgerUnavailable,
    /// No replica of the service could be reached.
    NoEndpoint,
    /// The instance is draining.
    Draining,
    /// The id is older than the ledger's memory allows.
    TooOld,
    /// The id was used with another body.
    IdReused,
}
