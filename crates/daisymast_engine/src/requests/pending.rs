//! One request of a caller from its arrival to its end.

use std::time::Duration;

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::worker::Answer;
use daisymast_types::hashing;
use daisymast_types::ids::{BootId, InstanceId, RequestId, Token, WorkerId};
use daisymast_types::time::Monotonic;

use super::admission::AdmissionPermit;

/// Number of an exchange within one instance. A late reply finds no exchange under its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestKey(pub(crate) u64);

/// Where the answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller(Token),
    Peer(Token),
}

/// Where a request stands. Only `Serving`, `Resolving` and `Forwarding` can have an effect at a
/// worker that is not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Admitted, waits for its share of the capacity.
    Queued,
    /// Waits for the acknowledgement of its claim.
    Claiming,
    /// Surely not claimed so far, because the partition has no owner at the moment. The claim is
    /// sent again at `retry`.
    ClaimBackoff { retry_at: Monotonic },
    /// Waits for the list of endpoints.
    AwaitingEndpoints,
    /// The only worker is between two holders. The list is looked at again at `retry`.
    AwaitingHolder { retry_at: Monotonic },
    /// Sent to the holder of a worker.
    Serving { target: AttemptTarget },
    /// The outcome at the worker is unknown and was asked for `asked` times. `retry` is the time of
    /// the next question; a question is open if it is empty.
    Resolving {
        target: AttemptTarget,
        queries_sent: u32,
        retry_at: Option<Monotonic>,
    },
    /// Handed to an instance of another zone.
    Forwarding,
}

/// The worker that got a request, and the start of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptTarget {
    pub(crate) holder: InstanceId,
    pub(crate) worker: WorkerId,
    pub(crate) boot: BootId,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Completion {
    Answered(Answer),
    NotRun(NotRunReason),
    Unknown,
}

/// A request and all that is known of it.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// Empty once the answer was given.
    pub(crate) reply_to: Option<ReplyTo>,
    pub(crate) request: CallerRequest,
    pub(crate) deadline: Monotonic,
    pub(crate) state: State,
    /// Quota and slot that are given back when the caller has its answer.
    pub(crate) permit: Option<AdmissionPermit>,
    /// Time of the first attempt to claim the request.
    pub(crate) claim_started_at: Option<Monotonic>,
    /// Whether this instance has to settle the claim of the request.
    pub(crate) claimed: bool,
    /// Whether an instance of another zone sent the request.
    pub(crate) forwarded: bool,
    /// Whether an earlier attempt may have run. No `NotRun` is given from then on.
    pub(crate) may_have_run: bool,
    /// Attempts at workers and instances of other zones so far.
    pub(crate) attempts: u32,
    /// Workers that were tried.
    pub(crate) tried: Vec<WorkerId>,
    /// Instances of other zones that could not be reached.
    pub(crate) unreachable: Vec<InstanceId>,
    /// Reason to give if no further attempt is possible.
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

    /// Whether the request is one that may run only once.
    pub(crate) fn at_most_once(&self) -> bool {
        !self.request.idempotent
    }
}

impl Completion {
    /// The reply to the caller that asked for `id`.
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

/// Time after which another attempt is sensible, in milliseconds; nothing where a repeat cannot help.
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

/// Whether an answer is whole and belongs to `id`.
pub(crate) fn is_intact(answer: &Answer, id: &RequestId) -> bool {
    answer.id == *id
        && usize::try_from(answer.length).is_ok_and(|length| length == answer.body.len())
        && answer.digest == body_digest(&answer.body)
}

/// Digest of an answer's body as it stands in [`Answer::digest`].
pub(crate) fn body_digest(body: &str) -> String {
    format!("{:032x}", hashing::digest(body.as_bytes()))
}
