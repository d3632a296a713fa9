//! State of one caller request from its arrival until its reply and settlement.

use std::time::Duration;

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::worker::Answer;
use daisymast_types::hashing;
use daisymast_types::ids::{BootId, InstanceId, RequestId, Token, WorkerId};
use daisymast_types::time::Monotonic;

use super::admission::AdmissionPermit;

/// Identifies a pending request within this process. Keys are not reused, so a late reply finds no
/// request under its key and is ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestKey(pub(crate) u64);

/// Recipient of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller(Token),
    Peer(Token),
}

/// Progress of a pending request. Only in `Serving`, `Resolving` and `Forwarding` can the request
/// have an effect at a worker that is not known here yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Admitted, waiting for a slot.
    Queued,
    /// Waiting for the reply to its claim.
    Claiming,
    /// Known not to be claimed, because the partition has no owner at the moment. The claim is sent
    /// again at `retry_at`.
    ClaimBackoff { retry_at: Monotonic },
    /// Waiting for the endpoint list.
    AwaitingEndpoints,
    /// The service's only worker is being handed over to another holder. The endpoint list is
    /// checked again at `retry_at`.
    AwaitingHolder { retry_at: Monotonic },
    /// Sent to the holder of a worker, waiting for the reply.
    Serving { target: AttemptTarget },
    /// The outcome at the worker is unknown and has been queried `queries_sent` times. The next
    /// query is sent at `retry_at`, which is `None` while one is in flight.
    Resolving {
        target: AttemptTarget,
        queries_sent: u32,
        retry_at: Option<Monotonic>,
    },
    /// Forwarded to an instance of another zone, waiting for the reply.
    Forwarding,
}

/// Worker that a request was sent to, its holder, and the boot id of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptTarget {
    pub(crate) holder: InstanceId,
    pub(crate) worker: WorkerId,
    pub(crate) boot: BootId,
}

/// Final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Completion {
    Answered(Answer),
    NotRun(NotRunReason),
    Unknown,
}

/// A caller request with the state needed to complete it.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// Recipient of the reply, `None` once the reply was sent.
    pub(crate) reply_to: Option<ReplyTo>,
    pub(crate) request: CallerRequest,
    pub(crate) deadline: Monotonic,
    pub(crate) state: State,
    /// Quota and slot, released when the caller gets its reply.
    pub(crate) permit: Option<AdmissionPermit>,
    /// Time of the first attempt to claim the request, `None` if it was not attempted.
    pub(crate) claim_started_at: Option<Monotonic>,
    /// Whether this instance is responsible for settling the claim.
    pub(crate) claimed: bool,
    /// Whether the request was forwarded by an instance of another zone.
    pub(crate) forwarded: bool,
    /// Whether an earlier attempt may have run, in which case `NotRun` must not be returned.
    pub(crate) may_have_run: bool,
    /// Attempts so far at workers and at instances of other zones.
    pub(crate) attempts: u32,
    /// Workers that were already tried.
    pub(crate) tried: Vec<WorkerId>,
    /// Instances of other zones that could not be reached.
    pub(crate) unreachable: Vec<InstanceId>,
    /// Reason to report if no further attempt is possible.
    pub(crate) reason: NotRunReason,
}

impl PendingRequest {
    pub(crate) fn new(reply_to: ReplyTo, request: CallerRequest, now: Monotonic) -> Self {
        Self {
            reply_to: Some(reply_to),
            deadline: now + Duration::from_millis(request.timeout_ms),
            request,
            state: State::Queued,
            permit: None,
            claim_started_at: None,
            claimed: false,
            forwarded: matches!(reply_to, ReplyTo::Peer(_)),
            may_have_run: false,
            attempts: 0,
            tried: Vec::new(),
            unreachable: Vec::new(),
            reason: NotRunReason::NoEndpoint,
        }
    }

    /// Whether the request must not run more than once.
    pub(crate) fn at_most_once(&self) -> bool {
        !self.request.idempotent
    }
}

impl Completion {
    /// Converts the outcome to the reply for the request `id`.
    pub(crate) fn reply(self, id: &RequestId) -> CallerReply {
        let id = id.clone();
        match self {
            Self::Answered(answer) => CallerReply::Done {
                id,
                body: answer.body,
            },
            Self::NotRun(reason) => CallerReply::NotRun {
                id,
                reason,
                retry_after_ms: retry_after(reason),
            },
            Self::Unknown => CallerReply::Unknown {
                status: format!("/v1/requests/{id}"),
                id,
            },
        }
    }
}

/// Retry hint in milliseconds, `None` if a retry cannot succeed.
fn retry_after(reason: NotRunReason) -> Option<u64> {
    match reason {
        NotRunReason::Draining => Some(100),
        NotRunReason::Overloaded
        | NotRunReason::DeadlineUnreachable
        | NotRunReason::NoEndpoint
        | NotRunReason::LedgerUnavailable => Some(1_000),
        NotRunReason::Invalid
        | NotRunReason::UnknownService
        | NotRunReason::TooOld
        | NotRunReason::IdReused => None,
    }
}

/// Whether an answer belongs to `id` and its length and digest match its body.
pub(crate) fn is_intact(answer: &Answer, id: &RequestId) -> bool {
    answer.id == *id
        && usize::try_from(answer.length).is_ok_and(|length| length == answer.body.len())
        && answer.digest == body_digest(&answer.body)
}

/// Digest of an answer's body in the format of [`Answer::digest`].
pub(crate) fn body_digest(body: &str) -> String {
    format!("{:032x}", hashing::digest(body.as_bytes()))
}
