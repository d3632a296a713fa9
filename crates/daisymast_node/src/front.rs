//! Requests of callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_adapter::callers;
use daisymast_http::server;
use daisymast_jobs::{job, spec};
use daisymast_protocol::outcome;
use daisymast_scheduler::lease;
use daisymast_types::ids;
use serde::Serialize;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::peers;

const JSON: &str = "application/json";

/// Answers one request of a caller.
pub async fn serve(context: Arc<context::Context>, request: server::Request) -> server::Response {
    let Some(config) = context.config() else {
        return refuse("no configuration yet");
    };
    let host = request.header("host").unwrap_or_default();
    let queue = config.route(host, &request.path);
    let rest = queue.map(|queue| &request.path[queue.prefix.len()..]);
    match (request.method.as_str(), queue, rest) {
        ("POST", Some(queue), Some(id)) => {
            let Some(job) = spec::JobId::parse(id) else {
                return server::Response::text(400, "the job id needs 16 hexadecimal digits");
            };
            match callers::submission(&request.body) {
                Ok(spec) => submit(&context, job, queue.name.clone(), spec).await,
                Err(error) => server::Response::text(400, error.to_string()),
            }
        }
        ("GET", Some(queue), Some("")) => {
            let queue = queue.name.clone();
            read(&context, peers::Request::Pending { queue }).await
        }
        // Jobs of a queue that was removed stay known under their old address.
        ("GET", ..) => match last_part(&request.path) {
            Some(job) => read(&context, peers::Request::State { job }).await,
            None => not_found(),
        },
        ("DELETE", ..) => match last_part(&request.path) {
            Some(job) => cancel(&context, job).await,
            None => not_found(),
        },
        (_, None, _) => not_found(),
        _ => server::Response::text(405, "method not allowed"),
    }
}

fn last_part(path: &str) -> Option<spec::JobId> {
    spec::JobId::parse(path.rsplit('/').next()?)
}

fn not_found() -> server::Response {
    server::Response::text(404, "no such queue")
}

fn refuse_storeless() -> server::Response {
    server::Response::text(503, "the store is not reached; the job was not accepted")
        .with_retry_after(constants::STORELESS_RETRY_S)
}

fn refuse(reason: &'static str) -> server::Response {
    server::Response::text(503, reason).with_retry_after(constants::RETRY_AFTER_S)
}

/// Refuses a request, and sends the caller away from a node that is cut off.
fn refuse_cut_off(context: &context::Context, reason: &'static str) -> server::Response {
    if context.is_ready() {
        refuse(reason)
    } else {
        refuse(reason).closing()
    }
}

/// What came of a request to the scheduler.
enum Forwarded {
    Served(peers::Served),
    /// The scheduler has refused it: it surely took no effect, and would not soon.
    Refused,
    /// It surely took no effect.
    NoEffect,
    /// It may have taken effect.
    Unknown,
}

impl Forwarded {
    fn name(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Refused => "no_store",
            Self::NoEffect => "no_scheduler",
            Self::Unknown => "unknown",
        }
    }
}

/// A request that this node could not have served, as the log tells it.
#[derive(Serialize)]
struct Unserved {
    event: &'static str,
    kind: &'static str,
    job: String,
    outcome: &'static str,
    /// Time for which the request was held, in milliseconds.
    held_ms: u64,
    /// The scheduler that this node knows, and the time since it last answered, in milliseconds.
    scheduler: Option<ids::InstanceId>,
    silence_ms: u64,
}

fn log_unserved(
    context: &context::Context,
    kind: &'static str,
    job: spec::JobId,
    forwarded: &Forwarded,
    held: Duration,
) {
    let (term, scheduler, silence) = {
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
        silence_ms: lease::millis(silence),
    };
    context.decisions.record(term, &unserved);
}

async fn submit(
    context: &Arc<context::Context>,
    job: spec::JobId,
    queue: ids::QueueName,
    spec: spec::JobSpec,
) -> server::Response {
    let request = peers::Request::Submit { job, queue, spec };
    let begun = Instant::now();
    let forwarded = forward(context, &request, patience(context)).await;
    context.metrics.submitted(begun.elapsed());
    context.metrics.request("submit", forwarded.name());
    if !matches!(forwarded, Forwarded::Served(_)) {
        log_unserved(context, "submit", job, &forwarded, begun.elapsed());
    }
    match forwarded {
        Forwarded::Served(_) => server::Response::new(200, JSON, "{}"),
        Forwarded::NoEffect => {
            refuse_cut_off(context, "no scheduler is reached; the job was not accepted")
        }
        Forwarded::Refused => refuse_storeless(),
        Forwarded::Unknown => server::Response::text(504, "the outcome is not known"),
    }
}

/// Time for which a submission may wait for a scheduler.
fn patience(context: &context::Context) -> Duration {
    if context.lead().is_some() {
        return constants::LEADER_WAIT;
    }
    let silence = context.candidate().time_since_contact(clock::now());
    constants::LEADER_WAIT.saturating_sub(silence)
}

async fn cancel(context: &Arc<context::Context>, job: spec::JobId) -> server::Response {
    let request = peers::Request::Cancel { job };
    let begun = Instant::now();
    let forwarded = forward(context, &request, constants::FORWARD_LIMIT).await;
    context.metrics.request("cancel", forwarded.name());
    if !matches!(forwarded, Forwarded::Served(_)) {
        log_unserved(context, "cancel", job, &forwarded, begun.elapsed());
    }
    match forwarded {
        Forwarded::Served(peers::Served::NoSuchJob) => server::Response::text(410, "no such job"),
        Forwarded::Served(_) => server::Response::new(200, JSON, "{}"),
        Forwarded::NoEffect | Forwarded::Refused => {
            refuse_cut_off(context, "no scheduler is reached")
        }
        Forwarded::Unknown => server::Response::text(504, "the outcome is not known"),
    }
}

async fn read(context: &Arc<context::Context>, request: peers::Request) -> server::Response {
    let forwarded = forward(context, &request, constants::FORWARD_LIMIT).await;
    context.metrics.request("read", forwarded.name());
    let served = match forwarded {
        Forwarded::Served(served) => served,
        Forwarded::NoEffect | Forwarded::Refused | Forwarded::Unknown => {
            return refuse_cut_off(context, "no scheduler is reached");
        }
    };
    let state = match served {
        peers::Served::NoSuchJob => return server::Response::text(410, "no such job"),
        peers::Served::Pending(count) => {
            return server::Response::new(200, JSON, callers::pending(count));
        }
        peers::Served::Accepted | peers::Served::Queued => job::State::Queued,
        peers::Served::Running => job::State::Running,
        peers::Served::Completed => job::State::Completed,
        peers::Served::Failed => job::State::Failed,
        peers::Served::Cancelled => job::State::Cancelled,
    };
    server::Response::new(200, JSON, callers::state(state))
}

/// Sends a request to the scheduler, and to its successor if the first does not answer. All requests
/// are idempotent. While nothing was sent, it waits for a scheduler for at most `patience`.
async fn forward(
    context: &Arc<context::Context>,
    request: &peers::Request,
    patience: Duration,
) -> Forwarded {
    let begun = Instant::now();
    let mut unknown = false;
    loop {
        match attempt(context, request).await {
            Forwarded::Served(served) => return Forwarded::Served(served),
            Forwarded::Refused if !unknown => return Forwarded::Refused,
            Forwarded::Refused => return Forwarded::Unknown,
            Forwarded::NoEffect => {}
            Forwarded::Unknown => unknown = true,
        }
        let limit = if unknown {
            constants::FORWARD_LIMIT
        } else {
            patience
        };
        if begun.elapsed() + constants::FORWARD_RETRY >= limit {
            return if unknown {
                Forwarded::Unknown
            } else {
                Forwarded::NoEffect
            };
        }
        Timer::after(constants::FORWARD_RETRY).await;
    }
}

async fn attempt(context: &Arc<context::Context>, request: &peers::Request) -> Forwarded {
    let reply = if context.lead().is_some() {
        peers::at_leader(context, request.clone()).await
    } else {
        let leader = context.candidate().elected().cloned();
        let Some(elected) = leader.filter(|elected| !elected.leader.resigned) else {
            return Forwarded::NoEffect;
        };
        let address = elected.leader.node.address;
        match peers::call(context, address, request, constants::FORWARD_TIMEOUT).await {
            outcome::Outcome::Done(reply) => reply,
            outcome::Outcome::NoEffect(_) => return Forwarded::NoEffect,
            outcome::Outcome::Unknown(_) => return Forwarded::Unknown,
        }
    };
    match reply {
        peers::Reply::Served(served) => Forwarded::Served(served),
        peers::Reply::Unavailable => Forwarded::Refused,
        peers::Reply::NotLeader => Forwarded::NoEffect,
        peers::Reply::Unknown | peers::Reply::Pong(_) | peers::Reply::Advice(_) => {
            Forwarded::Unknown
        }
    }
}
