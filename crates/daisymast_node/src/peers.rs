//! Messages between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::advice;
use daisymast_election::record;
use daisymast_http::{client, msgpack, server};
use daisymast_jobs::{job, spec};
use daisymast_protocol::outcome;
use daisymast_scheduler::config;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::context;

const PATH: &str = "/peer";

/// A message to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks whether the node is alive and whether it schedules.
    Ping {
        /// The node that asks.
        from: record::Member,
        /// Version of its configuration.
        version: u64,
        /// Whether it wants a later configuration, as it has not come from the store.
        wanted: bool,
        /// Digest of the nodes that it knows.
        roster: u64,
    },
    /// Hands a job to the scheduler.
    Submit {
        /// Id of the job.
        job: spec::JobId,
        /// Its queue.
        queue: ids::QueueName,
        /// Its content.
        spec: spec::JobSpec,
    },
    /// Asks the scheduler for the state of a job.
    State {
        /// Id of the job.
        job: spec::JobId,
    },
    /// Cancels a job at the scheduler.
    Cancel {
        /// Id of the job.
        job: spec::JobId,
    },
    /// Asks the scheduler for the number of jobs that have not started.
    Pending {
        /// The queue.
        queue: ids::QueueName,
    },
    /// Asks the advice service on behalf of the scheduler.
    Ask {
        /// The step.
        step: spec::StepId,
        /// Workers to ask about.
        workers: Vec<String>,
        /// Time for the question, in milliseconds.
        timeout_ms: u64,
    },
}

/// Who schedules, as a node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownLeader {
    /// Term.
    pub term: u64,
    /// The scheduler.
    pub leader: record::Leader,
}

/// Answer to a ping.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pong {
    /// Term in which the answering node schedules.
    pub leads: Option<u64>,
    /// Time since its last confirmed commit, in milliseconds.
    pub stale_ms: u64,
    /// Nodes that are alive, as the scheduler knows them; none if the node that asked knows the same.
    pub members: Vec<record::Member>,
    /// Version of the answering node's configuration.
    pub version: u64,
    /// Who schedules.
    pub known: Option<KnownLeader>,
    /// Whether the answering node reaches a scheduler that has the store.
    pub content: bool,
    /// A later configuration than that of the node that asked, if it wants one.
    pub config: Option<config::Configuration>,
}

/// Answer to a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Served {
    /// The job is accepted.
    Accepted,
    /// The job is queued.
    Queued,
    /// The job is running.
    Running,
    /// The job is done.
    Completed,
    /// The job has failed.
    Failed,
    /// The job is cancelled.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// Number of jobs that have not started.
    Pending(u64),
}

impl From<job::State> for Served {
    fn from(state: job::State) -> Self {
        match state {
            job::State::Queued => Self::Queued,
            job::State::Running => Self::Running,
            job::State::Completed => Self::Completed,
            job::State::Failed => Self::Failed,
            job::State::Cancelled => Self::Cancelled,
        }
    }
}

/// An answer of another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a ping.
    Pong(Box<Pong>),
    /// The scheduler's answer to a caller.
    Served(Served),
    /// The node does not schedule and did nothing.
    NotLeader,
    /// The scheduler has no store now and did nothing.
    Unavailable,
    /// The node stopped scheduling before the outcome was known.
    Unknown,
    /// Answer of the advice service, if it came in time.
    Advice(Option<Vec<(String, String)>>),
}

/// Sends a message to a node.
pub async fn call(
    context: &context::Context,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> outcome::Outcome<Reply> {
    let peer = address.to_string();
    let call = client::Call::new(address, PATH, timeout).named(step_name(request), &peer);
    msgpack::post(&context.peers, &call, request).await
}

fn step_name(request: &Request) -> &'static str {
    match request {
        Request::Ping { .. } => "ping",
        Request::Submit { .. } => "submit",
        Request::State { .. } => "read state",
        Request::Cancel { .. } => "cancel",
        Request::Pending { .. } => "count pending",
        Request::Ask { .. } => "ask for advice",
    }
}

/// Answers a message of another node.
pub async fn serve(context: Arc<context::Context>, request: server::Request) -> server::Response {
    let request: Request = match msgpack::request(&request.body) {
        Ok(request) => request,
        Err(refusal) => return refusal,
    };
    msgpack::response(&handle(&context, request).await)
}

async fn handle(context: &Arc<context::Context>, request: Request) -> Reply {
    match request {
        Request::Ping {
            from,
            version,
            wanted,
            roster,
        } => {
            let config = context.config();
            let mut pong = pong(context, from, roster);
            pong.version = config.as_ref().map_or(0, |config| config.version);
            if wanted && pong.version > version {
                pong.config = config.map(|config| (*config).clone());
            }
            Reply::Pong(Box::new(pong))
        }
        Request::Ask {
            step,
            workers,
            timeout_ms,
        } => Reply::Advice(
            query_advice(context, step, &workers, Duration::from_millis(timeout_ms)).await,
        ),
        request => handle_as_leader(context, request).await,
    }
}

/// Answers a caller's request if this process schedules.
pub async fn handle_as_leader(context: &Arc<context::Context>, request: Request) -> Reply {
    let Some(leadership) = context.leadership() else {
        return Reply::NotLeader;
    };
    match request {
        Request::Submit { job, queue, spec } => leadership.submit(job, queue, spec).await,
        Request::Cancel { job } => leadership.cancel(job).await,
        Request::State { job } => leadership.state(job).await,
        Request::Pending { queue } => leadership.pending(&queue).await,
        Request::Ping { .. } | Request::Ask { .. } => Reply::NotLeader,
    }
}

fn pong(context: &context::Context, from: record::Member, roster: u64) -> Pong {
    let now = clock::now();
    let leadership = context.leadership();
    let leads = context.term();
    let (stale_ms, members) = match &leadership {
        Some(leadership) => {
            leadership.on_ping(from, now);
            let mut members = leadership.members(now);
            if record::roster(&members) == roster {
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
        known: candidate.elected().map(|elected| KnownLeader {
            term: elected.term,
            leader: elected.leader.clone(),
        }),
        content: leads.is_some() || candidate.is_content(now),
        version: 0,
        config: None,
    }
}

/// Asks the advice service from this node.
pub async fn query_advice(
    context: &context::Context,
    step: spec::StepId,
    workers: &[String],
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    let address = context.settings.advice?;
    advice::ask(&context.advice, address, step, workers, timeout).await
}
