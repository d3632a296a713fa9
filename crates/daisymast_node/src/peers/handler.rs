//! Handles the requests of other nodes.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::advice;
use daisymast_election::record;
use daisymast_http::{msgpack, server};
use daisymast_jobs::spec;
use daisymast_scheduler::{explanation, scheduler};

use super::{KnownLeader, Pong, ReachAnswer, Reply, Request};
use crate::clock;
use crate::constants;
use crate::context;
use crate::forwarding;
use crate::relay;

/// Handles a request of another node.
pub async fn serve(context: Arc<context::Context>, request: server::Request) -> server::Response {
    let request: Request = match msgpack::decode_request(&request.body) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    msgpack::encode_response(&handle(&context, request).await)
}

async fn handle(context: &Arc<context::Context>, request: Request) -> Reply {
    match request {
        Request::Ping {
            from,
            version,
            wanted,
            roster,
        } => {
            let mut pong = pong(context, from, roster);
            add_configuration(context, &mut pong, wanted.then_some(version));
            Reply::Pong(Box::new(pong))
        }
        Request::Ask {
            step,
            workers,
            timeout_ms,
        } => Reply::Advice(
            request_advice(context, step, &workers, Duration::from_millis(timeout_ms)).await,
        ),
        Request::Relay(exchange) => relay::serve(context, exchange).await,
        Request::Via(encoded) => match encoded.decode() {
            Some(request) => forwarding::serve_via(context, request).await,
            None => Reply::NotLeader,
        },
        Request::Reach => Reply::Reach(Box::new(reach_answer(context))),
        Request::Elected(known) => {
            context.candidate().on_elected(known.into(), clock::now());
            Reply::Noted
        }
        Request::Explain(subject) => explain(context, &subject),
        request => handle_as_leader(context, request).await,
    }
}

/// Handles a caller's request if this node is the leader.
pub async fn handle_as_leader(context: &Arc<context::Context>, request: Request) -> Reply {
    let Some(leadership) = context.leadership() else {
        return Reply::NotLeader;
    };
    match request {
        Request::Submit {
            job,
            queue,
            spec,
            terms,
            organisation,
        } => {
            if let Some(terms) = terms {
                leadership.add_queue(terms);
            }
            let submission = scheduler::Submission {
                job,
                queue,
                organisation,
                spec,
            };
            leadership.submit(submission).await
        }
        Request::Cancel { job, caller } => leadership.cancel(job, &caller).await,
        Request::State { job, caller } => leadership.state(job, &caller).await,
        Request::Pending { queue } => leadership.pending(&queue).await,
        Request::Ping { .. }
        | Request::Ask { .. }
        | Request::Relay(_)
        | Request::Via(_)
        | Request::Reach
        | Request::Elected(_)
        | Request::Explain(_) => Reply::NotLeader,
    }
}

fn reach_answer(context: &context::Context) -> ReachAnswer {
    let now = clock::now();
    let leads = context
        .leadership()
        .is_some_and(|leadership| leadership.stale_ms(now) == 0);
    let candidate = context.candidate();
    ReachAnswer {
        reaches_leader: leads
            || (context.term().is_none()
                && candidate.is_leader_healthy(now)
                && candidate.time_since_contact(now) <= constants::PATH_CONTACT_AGE
                && candidate.commit_age().is_zero()),
        known: candidate.elected().map(KnownLeader::from),
    }
}

fn explain(context: &context::Context, subject: &explanation::Subject) -> Reply {
    match context.leadership() {
        Some(leadership) => {
            let (term, answer) = leadership.explain(subject);
            Reply::Explained { term, answer }
        }
        None => Reply::LedBy(context.candidate().elected().map(KnownLeader::from)),
    }
}

/// Adds the version of the node's configuration and its confirmation, and the configuration itself if the
/// sender of the ping wants one later than `wanted_after`.
fn add_configuration(context: &context::Context, pong: &mut Pong, wanted_after: Option<u64>) {
    let config = context.config();
    pong.version = config.as_ref().map_or(0, |config| config.version);
    if wanted_after.is_some_and(|version| pong.version > version) {
        pong.config = config.map(|config| (*config).clone());
    }
    if context.checks_keys() {
        let now = clock::now();
        pong.confirmed = context.freshness().report(pong.version, now);
    }
}

/// Answers a ping, but for the configuration, which [`add_configuration`] adds.
fn pong(context: &context::Context, from: record::Member, roster: u64) -> Pong {
    let now = clock::now();
    let leadership = context.leadership();
    let leads = context.term();
    let (stale_ms, members) = match &leadership {
        Some(leadership) => {
            leadership.on_ping(from, now);
            let mut members = leadership.members(now);
            if record::members_digest(&members) == roster {
                members.clear();
            }
            (leadership.stale_ms(now), members)
        }
        None => (0, Vec::new()),
    };
    let candidate = context.candidate();
    Pong {
        leads,
        stale_ms,
        members,
        known: candidate.elected().map(KnownLeader::from),
        content: leads.is_some() || candidate.is_leader_healthy(now),
        version: 0,
        config: None,
        confirmed: None,
    }
}

/// Requests advice from the advice service that this node is configured with.
pub async fn request_advice(
    context: &context::Context,
    step: spec::StepId,
    workers: &[String],
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    let address = context.settings.advice?;
    advice::request(&context.advice, address, step, workers, timeout).await
}
