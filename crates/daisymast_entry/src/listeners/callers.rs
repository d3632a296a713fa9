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

/// Path of requests.
pub const PATH: &str = "/v1/requests";
/// Name in metrics.
pub(crate) const NAME: &str = "callers";
/// Time beyond a request's own timeout for which its answer is awaited.
const REPLY_GRACE: Duration = Duration::from_secs(1);
/// Time for the answer to a status query.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a caller may repeat a request that met a full queue.
const RETRY_AFTER_MS: u64 = 500;

/// Answers one HTTP request.
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
                    metrics.answer("caller", "malformed");
                    return malformed(&error);
                }
            }
        }
        ("GET", Some(id)) if !id.is_empty() => status(&inbox, RequestId::from(id)).await,
        _ => return super::no_route(&request),
    };
    metrics.answer("caller", labels::caller(&reply));
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
        // The instance never saw the request, so it surely does not run.
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
        // Nothing was learned of the request.
        SubmitOutcome::Overloaded | SubmitOutcome::TimedOut => unknown(id),
    }
}

fn unknown(id: RequestId) -> CallerReply {
    let status = format!("{PATH}/{id}");
    CallerReply::Unknown { id, status }
}

/// The id of a request that does not decode is not known. Nothing ran.
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
    let mut response = json::response(reply);
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
