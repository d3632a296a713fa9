//! HTTP API for callers: submits and cancels jobs, and reports their states.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_adapter::callers;
use daisymast_http::server;
use daisymast_jobs::{job, queue, spec};
use daisymast_organisations::access;
use daisymast_protocol::outcome;
use daisymast_scheduler::{action, lease};
use daisymast_types::ids;
use serde::Serialize;
use smol::Timer;

use crate::authentication;
use crate::clock;
use crate::constants;
use crate::context;
use crate::peers;

const JSON: &str = "application/json";

/// Handles one request of a caller.
pub async fn serve(context: Arc<context::Context>, request: server::Request) -> server::Response {
    let checked = match authentication::check(&context, &request).await {
        Ok(checked) => checked,
        Err(refusal) => return refusal,
    };
    let caller = checked.caller;
    let host = request.header("host").unwrap_or_default();
    let queue = checked.config.route(host, &request.path);
    let rest = queue.map(|queue| &request.path[queue.prefix.len()..]);
    match (request.method.as_str(), queue, rest) {
        ("POST", Some(queue), Some(id)) => {
            let Some(job) = spec::JobId::parse(id) else {
                return server::Response::text(400, "the job id needs 16 hexadecimal digits");
            };
            match callers::parse_submission(&request.body) {
                Ok(spec) => submit(&context, job, queue, spec, &caller).await,
                Err(error) => server::Response::text(400, error.to_string()),
            }
        }
        ("GET", Some(queue), Some("")) => {
            let queue = queue.name.clone();
            read(&context, peers::Request::Pending { queue }).await
        }
        // Jobs of a queue that was removed from the configuration remain readable under their old
        // path.
        ("GET", ..) => match job_id_of_path(&request.path) {
            Some(job) => read(&context, peers::Request::State { job, caller }).await,
            None => not_found(),
        },
        ("DELETE", ..) => match job_id_of_path(&request.path) {
            Some(job) => cancel(&context, job, caller).await,
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

fn refuse_store_unavailable() -> server::Response {
    server::Response::text(503, "the store is not reached; the job was not accepted")
        .with_retry_after(constants::STORE_RETRY_AFTER_S)
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

fn refuse(reason: &'static str) -> server::Response {
    server::Response::text(503, reason).with_retry_after(constants::RETRY_AFTER_S)
}

/// Rejects a request. If this node is not ready, also closes the connection, so that the caller
/// reconnects to another node.
fn refuse_unreachable(context: &context::Context, reason: &'static str) -> server::Response {
    if context.is_ready() {
        refuse(reason)
    } else {
        refuse(reason).with_connection_close()
    }
}

/// Outcome of forwarding a request to the leader.
enum ForwardOutcome {
    Served(peers::Served),
    /// The leader rejected the request without effect; an immediate retry would be rejected as
    /// well.
    Refused,
    /// The request certainly had no effect.
    NoEffect,
    /// The leader does not know the queue or the organisation, so the request certainly had no effect.
    UnknownQueue,
    /// The cap of the organisation can never allow the job, which certainly never runs.
    OverCap(action::OverCap),
    /// The job lies beyond the rate of its organisation, of which too many such jobs wait, and certainly
    /// never runs. It lies within the rate again after the given time in milliseconds.
    OverRate(u64),
    /// The request may have taken effect.
    Unknown,
}

impl ForwardOutcome {
    fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused => "no_store",
            Self::NoEffect => "no_scheduler",
            Self::UnknownQueue => "unknown_queue",
            Self::OverCap(_) => "over_cap",
            Self::OverRate(_) => "over_rate",
            Self::Unknown => "unknown",
        }
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
    caller: &access::Caller,
) -> server::Response {
    let request = peers::Request::Submit {
        job,
        queue: queue.name.clone(),
        spec,
        terms: None,
        organisation: caller.organisation().cloned(),
    };
    let started = Instant::now();
    let forwarded = forward(context, &request, Some(queue), leader_wait(context)).await;
    context.metrics.observe_submission(started.elapsed());
    context.metrics.count_request("submit", forwarded.name());
    if !matches!(forwarded, ForwardOutcome::Served(_)) {
        log_unserved(context, "submit", job, &forwarded, started.elapsed());
    }
    match forwarded {
        ForwardOutcome::Served(peers::Served::IdTaken) => {
            server::Response::text(409, "the job id is not available")
        }
        ForwardOutcome::Served(_) => server::Response::new(200, JSON, "{}"),
        ForwardOutcome::NoEffect | ForwardOutcome::UnknownQueue => {
            refuse_unreachable(context, "no scheduler is reached; the job was not accepted")
        }
        ForwardOutcome::Refused => refuse_store_unavailable(),
        ForwardOutcome::OverCap(over_cap) => refuse_over_cap(&over_cap),
        ForwardOutcome::OverRate(retry_ms) => refuse_over_rate(retry_ms),
        ForwardOutcome::Unknown => server::Response::text(504, "the outcome is not known"),
    }
}

/// Time that a submission may wait for a leader.
fn leader_wait(context: &context::Context) -> Duration {
    if context.leadership().is_some() {
        return constants::LEADER_WAIT;
    }
    let time_since_contact = context.candidate().time_since_contact(clock::now());
    constants::LEADER_WAIT.saturating_sub(time_since_contact)
}

async fn cancel(
    context: &Arc<context::Context>,
    job: spec::JobId,
    caller: access::Caller,
) -> server::Response {
    let request = peers::Request::Cancel { job, caller };
    let started = Instant::now();
    let forwarded = forward(context, &request, None, constants::FORWARD_DEADLINE).await;
    context.metrics.count_request("cancel", forwarded.name());
    if !matches!(forwarded, ForwardOutcome::Served(_)) {
        log_unserved(context, "cancel", job, &forwarded, started.elapsed());
    }
    match forwarded {
        ForwardOutcome::Served(peers::Served::NoSuchJob) => {
            server::Response::text(410, "no such job")
        }
        ForwardOutcome::Served(_) => server::Response::new(200, JSON, "{}"),
        ForwardOutcome::NoEffect
        | ForwardOutcome::UnknownQueue
        | ForwardOutcome::OverCap(_)
        | ForwardOutcome::OverRate(_)
        | ForwardOutcome::Refused => refuse_unreachable(context, "no scheduler is reached"),
        ForwardOutcome::Unknown => server::Response::text(504, "the outcome is not known"),
    }
}

async fn read(context: &Arc<context::Context>, request: peers::Request) -> server::Response {
    let forwarded = forward(context, &request, None, constants::FORWARD_DEADLINE).await;
    context.metrics.count_request("read", forwarded.name());
    let served = match forwarded {
        ForwardOutcome::Served(served) => served,
        ForwardOutcome::NoEffect
        | ForwardOutcome::UnknownQueue
        | ForwardOutcome::OverCap(_)
        | ForwardOutcome::OverRate(_)
        | ForwardOutcome::Refused
        | ForwardOutcome::Unknown => {
            return refuse_unreachable(context, "no scheduler is reached");
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

/// Sends a request to the leader, and to its successor if the first does not answer. This is safe
/// because all requests are idempotent. While no attempt may have taken effect, waits for a leader
/// for at most `max_wait`. `queue` is the queue of a submission.
async fn forward(
    context: &Arc<context::Context>,
    request: &peers::Request,
    queue: Option<&queue::Queue>,
    max_wait: Duration,
) -> ForwardOutcome {
    let started = Instant::now();
    let mut unknown = false;
    loop {
        match forward_once(context, request, queue).await {
            ForwardOutcome::Served(served) => return ForwardOutcome::Served(served),
            refused @ (ForwardOutcome::Refused
            | ForwardOutcome::OverCap(_)
            | ForwardOutcome::OverRate(_)) => {
                return if unknown {
                    ForwardOutcome::Unknown
                } else {
                    refused
                };
            }
            ForwardOutcome::NoEffect | ForwardOutcome::UnknownQueue => {}
            ForwardOutcome::Unknown => unknown = true,
        }
        let limit = if unknown {
            constants::FORWARD_DEADLINE
        } else {
            max_wait
        };
        if started.elapsed() + constants::FORWARD_RETRY_DELAY >= limit {
            return if unknown {
                ForwardOutcome::Unknown
            } else {
                ForwardOutcome::NoEffect
            };
        }
        Timer::after(constants::FORWARD_RETRY_DELAY).await;
    }
}

/// Sends a request to the leader once. A submission to a queue that the leader does not know is
/// sent again with the queue's settings, which most submissions need not carry.
async fn forward_once(
    context: &Arc<context::Context>,
    request: &peers::Request,
    queue: Option<&queue::Queue>,
) -> ForwardOutcome {
    match (send_to_leader(context, request).await, request, queue) {
        (ForwardOutcome::UnknownQueue, request @ peers::Request::Submit { .. }, Some(queue)) => {
            let mut with_terms = request.clone();
            if let peers::Request::Submit { terms, .. } = &mut with_terms {
                *terms = Some(queue.clone());
            }
            send_to_leader(context, &with_terms).await
        }
        (outcome, ..) => outcome,
    }
}

async fn send_to_leader(
    context: &Arc<context::Context>,
    request: &peers::Request,
) -> ForwardOutcome {
    let reply = if context.leadership().is_some() {
        peers::handle_as_leader(context, request.clone()).await
    } else {
        let leader = context.candidate().elected().cloned();
        let Some(elected) = leader.filter(|elected| !elected.leader.resigned) else {
            return ForwardOutcome::NoEffect;
        };
        let address = elected.leader.node.address;
        match peers::call(context, address, request, constants::FORWARD_TIMEOUT).await {
            outcome::Outcome::Done(reply) => reply,
            outcome::Outcome::NoEffect(_) => return ForwardOutcome::NoEffect,
            outcome::Outcome::Unknown(_) => return ForwardOutcome::Unknown,
        }
    };
    match reply {
        peers::Reply::Served(served) => ForwardOutcome::Served(served),
        peers::Reply::Unavailable => ForwardOutcome::Refused,
        peers::Reply::NotLeader => ForwardOutcome::NoEffect,
        peers::Reply::UnknownQueue => ForwardOutcome::UnknownQueue,
        peers::Reply::OverCap(over_cap) => ForwardOutcome::OverCap(over_cap),
        peers::Reply::OverRate { retry_ms } => ForwardOutcome::OverRate(retry_ms),
        peers::Reply::Unknown
        | peers::Reply::Pong(_)
        | peers::Reply::Advice(_)
        | peers::Reply::Relayed(_) => ForwardOutcome::Unknown,
    }
}
