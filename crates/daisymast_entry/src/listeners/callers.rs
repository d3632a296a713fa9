//! Listener for callers: `POST /v1/requests` and `GET /v1/requests/<id>`.

use std::time::Duration;

use daisymast_http::json;
use daisymast_http::server::{Request, Response};
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::limits;
use daisymast_telemetry::metrics::Metrics;
use daisymast_types::ids::RequestId;

use crate::inbox::{self, Inbox, SubmitOutcome};
use crate::labels;

/// HTTP path under which callers submit requests and query their status.
pub const PATH: &str = "/v1/requests";
/// Value of the `listener` label in metrics.
pub(crate) const NAME: &str = "callers";
/// Additional time to wait for the reply after the request's own timeout.
const REPLY_GRACE: Duration = Duration::from_secs(1);
/// Maximum time to wait for the reply to a status query.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after which a caller may retry a request that was rejected because of overload.
const RETRY_AFTER_MS: u64 = 500;

/// Handles one HTTP request.
pub(crate) async fn handle(inbox: Inbox, metrics: Metrics, request: Request) -> Response {
    let status_id = request
        .path
        .strip_prefix(PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    let reply = match (request.method.as_str(), status_id) {
        ("POST", None) if request.path == PATH => {
            match serde_json::from_slice::<CallerRequest>(&request.body) {
                Ok(request) => submit(&inbox, request).await,
                Err(error) => {
                    metrics.count_answer("caller", "malformed");
                    return malformed(&error);
                }
            }
        }
        ("GET", Some(id)) if !id.is_empty() => status(&inbox, RequestId::from(id)).await,
        _ => return super::no_route(&request),
    };
    metrics.count_answer("caller", labels::caller(&reply));
    encode(&reply)
}

async fn submit(inbox: &Inbox, request: CallerRequest) -> CallerReply {
    let id = request.id.clone();
    let timeout = Duration::from_millis(request.timeout_ms).min(limits::REQUEST_TIMEOUT_MAX);
    let outcome = inbox.submit(NAME, timeout + REPLY_GRACE, |answer| {
        inbox::Request::Caller(request, answer)
    });
    match outcome.await {
        SubmitOutcome::Replied(reply) => reply,
        // The instance never received the request, so it cannot have run.
        SubmitOutcome::Overloaded => CallerReply::NotRun {
            id,
            reason: NotRunReason::Overloaded,
            retry_after_ms: Some(RETRY_AFTER_MS),
        },
        SubmitOutcome::TimedOut => unknown(id),
    }
}

async fn status(inbox: &Inbox, id: RequestId) -> CallerReply {
    let outcome = inbox.submit(NAME, STATUS_TIMEOUT, |answer| {
        inbox::Request::CallerStatus(id.clone(), answer)
    });
    match outcome.await {
        SubmitOutcome::Replied(reply) => reply,
        // Without a reply, the state of the request is unknown.
        SubmitOutcome::Overloaded | SubmitOutcome::TimedOut => unknown(id),
    }
}

fn unknown(id: RequestId) -> CallerReply {
    let status = format!("{PATH}/{id}");
    CallerReply::Unknown { id, status }
}

/// Response to a body that cannot be decoded: nothing ran, and the request id is unknown.
fn malformed(error: &serde_json::Error) -> Response {
    let body = serde_json::json!({
        "outcome": "not_run",
        "id": "",
        "reason": NotRunReason::Invalid,
        "retry_after_ms": null,
        "error": error.to_string(),
    });
    Response::new(400, json::CONTENT_TYPE, body.to_string())
}

fn encode(reply: &CallerReply) -> Response {
    let status = match reply {
        CallerReply::Done { .. } => 200,
        CallerReply::NotRun { reason, .. } => not_run_status(*reason),
        CallerReply::Unknown { .. } => 504,
    };
    let mut response = json::encode_response(reply);
    if response.status.is_success() {
        response = Response::new(status, response.content_type, response.body);
    }
    response
}

fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::Invalid | NotRunReason::TooOld => 400,
        NotRunReason::UnknownService => 404,
        NotRunReason::IdReused => 409,
        NotRunReason::Overloaded
        | NotRunReason::DeadlineUnreachable
        | NotRunReason::LedgerUnavailable
        | NotRunReason::NoEndpoint
        | NotRunReason::Draining => 503,
    }
}
