//! HTTP API for callers: submits and cancels jobs, and reports their states.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_adapter::callers;
use daisymast_http::server;
use daisymast_jobs::{job, queue, spec};
use daisymast_organisations::access;
use daisymast_scheduler::{action, lease};
use daisymast_types::ids;
use serde::Serialize;

use crate::authentication;
use crate::clock;
use crate::context;
use crate::forwarding::{self, ForwardOutcome};
use crate::peers;
use crate::submission;

const JSON: &str = "application/json";

/// Handles one request of a caller.
pub async fn serve(context: Arc<context::Context>, request: server::Request) -> server::Response {
    let checked = match authentication::check(&context, &request).await {
        Ok(checked) => checked,
        Err(refusal) => return refusal,
    };
    let caller = checked.caller;
    let deadline_ms = request
        .header(callers::DEADLINE_HEADER)
        .and_then(|value| value.trim().parse().ok());
    let host = request.header("host").unwrap_or_default();
    let queue = checked.config.route(host, &request.path);
    let rest = queue.map(|queue| &request.path[queue.prefix.len()..]);
    match (request.method.as_str(), queue, rest) {
        ("POST", Some(queue), Some(id)) => {
            let Some(job) = spec::JobId::parse(id) else {
                return server::Response::text(400, "the job id needs 16 hexadecimal digits");
            };
            match callers::parse_submission(&request.body) {
                Ok(spec) => submit(&context, job, queue, spec, (&caller, deadline_ms)).await,
                Err(error) => server::Response::text(400, error.to_string()),
            }
        }
        ("GET", Some(queue), Some("")) => {
            let queue = queue.name.clone();
            read(&context, peers::Request::Pending { queue }, deadline_ms).await
        }
        // Jobs of a queue that was removed from the configuration remain readable under their old
        // path.
        ("GET", ..) => match job_id_of_path(&request.path) {
            Some(job) => read(&context, peers::Request::State { job, caller }, deadline_ms).await,
            None => not_found(),
        },
        ("DELETE", ..) => match job_id_of_path(&request.path) {
            Some(job) => cancel(&context, job, caller, deadline_ms).await,
            None => not_found(),
        },
        (_, None, _) => not_found(),
        _ => server::Response::text(405, "method not allowed"),
    }
}

fn job_id_of_path(path: &str) -> Option<spec::JobId> {
    spec::JobId::parse(path.rsplit('/').next()?)
}

fn not_found() -> server::Response {
    server::Response::text(404, "no such queue")
}

/// Refuses a job that the cap of its organisation can never allow.
fn refuse_over_cap(over_cap: &action::OverCap) -> server::Response {
    server::Response::text(422, over_cap.to_string())
}

/// Refuses a job beyond the rate of its organisation, with the time to come back.
fn refuse_over_rate(retry_ms: u64) -> server::Response {
    let seconds = u32::try_from(retry_ms.div_ceil(1_000)).unwrap_or(u32::MAX);
    let reason = "too many jobs beyond the organisation's rate wait; the job was not accepted";
    server::Response::text(429, reason).with_retry_after(seconds)
}

/// Answers a request that may have taken effect. Another node may know more if this one is not ready.
fn report_unknown(context: &context::Context) -> server::Response {
    let response = server::Response::text(504, "the outcome is not known");
    if context.is_ready() {
        response
    } else {
        response.with_connection_close()
    }
}

/// Rejects a request that certainly had no effect. If other nodes serve better, also closes the
/// connection, so that the caller reconnects to one of them.
fn refuse_for(context: &context::Context, cause: submission::Cause) -> server::Response {
    let reason = match cause {
        submission::Cause::NoLeader => "no scheduler is reached; nothing was done",
        submission::Cause::StoreAway => "the store is not reached; nothing was done",
        submission::Cause::CutOff => "this node is cut off; nothing was done",
        submission::Cause::Overload => "too many requests wait; nothing was done",
        submission::Cause::UnknownQueue => "the scheduler does not know the queue yet",
    };
    let outage = context.reach().store_outage(clock::now());
    let seconds = submission::retry_after(cause, outage, fastrand::u32(..));
    let response = server::Response::text(503, reason).with_retry_after(seconds);
    if cause == submission::Cause::CutOff || !context.is_ready() {
        response.with_connection_close()
    } else {
        response
    }
}

/// Log event for a request that this node could not complete.
#[derive(Serialize)]
struct Unserved {
    event: &'static str,
    kind: &'static str,
    job: String,
    outcome: &'static str,
    /// Time for which the request was held, in milliseconds.
    held_ms: u64,
    /// The leader known to this node, and the time since its last answer in milliseconds.
    scheduler: Option<ids::InstanceId>,
    silence_ms: u64,
}

fn log_unserved(
    context: &context::Context,
    kind: &'static str,
    job: spec::JobId,
    forwarded: &ForwardOutcome,
    held: Duration,
) {
    let (term, scheduler, time_since_contact) = {
        let candidate = context.candidate();
        let elected = candidate.elected();
        (
            elected.map_or(0, |elected| elected.term),
            elected.map(|elected| elected.leader.node.id.clone()),
            candidate.time_since_contact(clock::now()),
        )
    };
    let unserved = Unserved {
        event: "unserved",
        kind,
        job: job.to_string(),
        outcome: forwarded.name(),
        held_ms: lease::millis(held),
        scheduler,
        silence_ms: lease::millis(time_since_contact),
    };
    context.decisions.record(term, &unserved);
}

async fn submit(
    context: &Arc<context::Context>,
    job: spec::JobId,
    queue: &queue::Queue,
    spec: spec::JobSpec,
    (caller, deadline_ms): (&access::Caller, Option<u64>),
) -> server::Response {
    let request = peers::Request::Submit {
        job,
        queue: queue.name.clone(),
        spec,
        terms: None,
        organisation: caller.organisation().cloned(),
    };
    let started = Instant::now();
    let forwarded = forwarding::forward(context, &request, Some(queue), deadline_ms).await;
    context.metrics.observe_submission(started.elapsed());
    context.metrics.count_request("submit", forwarded.name());
    context
        .metrics
        .count_submission(forwarded.path(), forwarded.name());
    if !matches!(forwarded, ForwardOutcome::Served { .. }) {
        log_unserved(context, "submit", job, &forwarded, started.elapsed());
    }
    match forwarded {
        ForwardOutcome::Served {
            served: peers::Served::IdTaken,
            ..
        } => server::Response::text(409, "the job id is not available"),
        ForwardOutcome::Served { .. } => server::Response::new(200, JSON, "{}"),
        ForwardOutcome::Refused(cause) => refuse_for(context, cause),
        ForwardOutcome::OverCap(over_cap) => refuse_over_cap(&over_cap),
        ForwardOutcome::OverRate(retry_ms) => refuse_over_rate(retry_ms),
        ForwardOutcome::Unknown => report_unknown(context),
    }
}

async fn cancel(
    context: &Arc<context::Context>,
    job: spec::JobId,
    caller: access::Caller,
    deadline_ms: Option<u64>,
) -> server::Response {
    let request = peers::Request::Cancel { job, caller };
    let started = Instant::now();
    let forwarded = forwarding::forward(context, &request, None, deadline_ms).await;
    context.metrics.count_request("cancel", forwarded.name());
    if !matches!(forwarded, ForwardOutcome::Served { .. }) {
        log_unserved(context, "cancel", job, &forwarded, started.elapsed());
    }
    match forwarded {
        ForwardOutcome::Served {
            served: peers::Served::NoSuchJob,
            ..
        } => server::Response::text(410, "no such job"),
        ForwardOutcome::Served { .. } => server::Response::new(200, JSON, "{}"),
        ForwardOutcome::Refused(cause) => refuse_for(context, cause),
        ForwardOutcome::OverCap(_) | ForwardOutcome::OverRate(_) | ForwardOutcome::Unknown => {
            report_unknown(context)
        }
    }
}

async fn read(
    context: &Arc<context::Context>,
    request: peers::Request,
    deadline_ms: Option<u64>,
) -> server::Response {
    let forwarded = forwarding::forward(context, &request, None, deadline_ms).await;
    context.metrics.count_request("read", forwarded.name());
    let served = match forwarded {
        ForwardOutcome::Served { served, .. } => served,
        ForwardOutcome::Refused(cause) => return refuse_for(context, cause),
        ForwardOutcome::OverCap(_) | ForwardOutcome::OverRate(_) | ForwardOutcome::Unknown => {
            return refuse_for(context, submission::Cause::NoLeader);
        }
    };
    let state = match served {
        peers::Served::NoSuchJob | peers::Served::IdTaken => {
            return server::Response::text(410, "no such job");
        }
        peers::Served::Pending(count) => {
            return server::Response::new(200, JSON, callers::pending_body(count));
        }
        peers::Served::Accepted | peers::Served::Queued => job::State::Queued,
        peers::Served::Running => job::State::Running,
        peers::Served::Completed => job::State::Completed,
        peers::Served::Failed => job::State::Failed,
        peers::Served::Cancelled => job::State::Cancelled,
    };
    server::Response::new(200, JSON, callers::state_body(state))
}
