//! Protocol between nodes: the messages, and calls to other nodes. [`handler`] answers them.

use std::net::SocketAddr;
use std::time::Duration;

use daisymast_election::record;
use daisymast_http::{client, msgpack};
use daisymast_jobs::{job, queue, spec};
use daisymast_organisations::{access, freshness};
use daisymast_protocol::outcome;
use daisymast_relay::wire;
use daisymast_scheduler::{action, config, explanation};
use daisymast_types::{ids, time};
use serde::{Deserialize, Serialize};

use crate::context;

pub mod handler;

const PATH: &str = "/peer";

/// A request to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Asks whether the node is alive and whether it is the leader.
    Ping {
        /// The node that sends the ping.
        from: record::Member,
        /// Configuration version of the sender.
        version: u64,
        /// Whether the sender wants a later configuration, because the store has not delivered it.
        wanted: bool,
        /// Digest of the member list known to the sender.
        roster: u64,
    },
    /// Submits a job to the leader.
    Submit {
        /// Id of the job.
        job: spec::JobId,
        /// Queue of the job.
        queue: ids::QueueName,
        /// Content of the job.
        spec: spec::JobSpec,
        /// Settings of the queue, if the leader said that it does not know it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        terms: Option<queue::Queue>,
        /// Organisation of the caller.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        organisation: Option<ids::Organisation>,
    },
    /// Asks the leader for the state of a job.
    State {
        /// Id of the job.
        job: spec::JobId,
        /// For whom the caller acts.
        #[serde(default, skip_serializing_if = "access::Caller::is_unchecked")]
        caller: access::Caller,
    },
    /// Asks the leader to cancel a job.
    Cancel {
        /// Id of the job.
        job: spec::JobId,
        /// For whom the caller acts.
        #[serde(default, skip_serializing_if = "access::Caller::is_unchecked")]
        caller: access::Caller,
    },
    /// Asks the leader for the number of jobs in a queue that have not started.
    Pending {
        /// Name of the queue.
        queue: ids::QueueName,
    },
    /// Requests advice from the advice service on behalf of the leader.
    Ask {
        /// The step that is to run.
        step: spec::StepId,
        /// Ids of the candidate workers.
        workers: Vec<String>,
        /// Timeout of the advice request, in milliseconds.
        timeout_ms: u64,
    },
    /// Brings calls to workers that the node makes for the leader, and asks for their outcomes.
    Relay(wire::Exchange),
    /// A caller's request of a node that does not reach the leader, which the receiver sends to the
    /// leader once.
    Via(EncodedRequest),
    /// Asks whether the node reaches a leader that can commit.
    Reach,
    /// Names the leader that was just elected.
    Elected(KnownLeader),
    /// Asks the leader where a request or a job would go now. Nothing is changed, stored or counted.
    Explain(explanation::Subject),
}

impl Request {
    /// Whether this is a caller's request to the leader.
    pub fn is_of_caller(&self) -> bool {
        matches!(
            self,
            Self::Submit { .. } | Self::State { .. } | Self::Cancel { .. } | Self::Pending { .. }
        )
    }
}

/// A caller's request inside another request. It is encoded, because a request that contains others at
/// any depth could exhaust the stack of the thread that decodes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EncodedRequest(Vec<u8>);

impl EncodedRequest {
    /// Encodes a request of a caller; `None` for any other.
    ///
    /// ```
    /// use daisymast_node::peers::{EncodedRequest, Request};
    /// let request = Request::Pending { queue: "quotes".into() };
    /// let decoded = EncodedRequest::new(&request).unwrap().decode();
    /// assert!(matches!(decoded, Some(Request::Pending { .. })));
    /// assert!(EncodedRequest::new(&Request::Reach).is_none());
    /// ```
    pub fn new(request: &Request) -> Option<Self> {
        let is_of_caller = request.is_of_caller();
        let encoded = rmp_serde::to_vec_named(request).ok();
        encoded.filter(|_| is_of_caller).map(Self)
    }

    /// Returns the request, `None` if it cannot be decoded or is not one of a caller.
    pub fn decode(&self) -> Option<Request> {
        let request: Request = rmp_serde::from_slice(&self.0).ok()?;
        request.is_of_caller().then_some(request)
    }
}

/// The leader that a node knows of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KnownLeader {
    /// Term of the leader.
    pub term: u64,
    /// Content of the leader key.
    pub leader: record::Leader,
}

impl From<&record::Elected> for KnownLeader {
    fn from(elected: &record::Elected) -> Self {
        Self {
            term: elected.term,
            leader: elected.leader.clone(),
        }
    }
}

impl From<KnownLeader> for record::Elected {
    fn from(known: KnownLeader) -> Self {
        Self {
            term: known.term,
            leader: known.leader,
        }
    }
}

/// Answer to a ping.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pong {
    /// Term in which the answering node leads, if it does.
    pub leads: Option<u64>,
    /// Time in milliseconds without a confirmed commit, 0 while the store seems reachable.
    pub stale_ms: u64,
    /// Live members known to the leader; empty if the sender's digest matches.
    pub members: Vec<record::Member>,
    /// Configuration version of the answering node.
    pub version: u64,
    /// The leader known to the answering node.
    pub known: Option<KnownLeader>,
    /// Whether the answering node reaches a leader that can commit to the store.
    pub content: bool,
    /// A later configuration than the sender's, if the sender wants one.
    pub config: Option<config::Configuration>,
    /// When the answering node last knew the newest configuration version, if callers need keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed: Option<freshness::Report>,
}

/// Answer to the question whether a node reaches a leader that can commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReachAnswer {
    /// Whether it does.
    pub reaches_leader: bool,
    /// The leader known to the answering node.
    pub known: Option<KnownLeader>,
}

/// The leader's answer to a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Served {
    /// The job was accepted.
    Accepted,
    /// The job is queued.
    Queued,
    /// The job is running.
    Running,
    /// The job is completed.
    Completed,
    /// The job has failed.
    Failed,
    /// The job is cancelled.
    Cancelled,
    /// The job does not exist.
    NoSuchJob,
    /// Number of jobs that have not started.
    Pending(u64),
    /// The job was not accepted, since its id names a job of another organisation.
    IdTaken,
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

/// Answer to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a ping.
    Pong(Box<Pong>),
    /// The leader's answer to a caller's request.
    Served(Served),
    /// The node is not the leader and did nothing.
    NotLeader,
    /// The leader cannot reach the store and did nothing.
    Unavailable,
    /// The leader does not know the queue or the organisation and did nothing. The node may have a later
    /// configuration, and can send the queue's settings with the job.
    UnknownQueue,
    /// The cap of the organisation can never allow the job; the leader did nothing.
    OverCap(action::OverCap),
    /// The job lies beyond the rate of its organisation, of which too many such jobs wait; the leader did
    /// nothing.
    OverRate {
        /// When a submission lies within the rate again, in milliseconds.
        retry_ms: u64,
    },
    /// The node stopped leading before the outcome was known.
    Unknown,
    /// Allowed workers with their tickets, or `None` if the advice service did not answer in time.
    Advice(Option<Vec<(String, String)>>),
    /// Outcomes of calls that the node made for the leader.
    Relayed(wire::ExchangeReply),
    /// Too many requests wait at the leader, which did nothing.
    Overloaded,
    /// Answer to [`Request::Reach`].
    Reach(Box<ReachAnswer>),
    /// The news of an election was received.
    Noted,
    /// Where a request or a job would go now.
    Explained {
        /// Term of the leader.
        term: u64,
        /// The leader's answer.
        answer: explanation::Answer,
    },
    /// The node is not the leader; it names the one that it knows.
    LedBy(Option<KnownLeader>),
}

/// Sends a request to another node.
pub async fn call(
    context: &context::Context,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> outcome::Outcome<Reply> {
    call_before(context, address, request, timeout, None).await
}

/// Sends a request to another node, unless that takes until `send_by`.
pub async fn call_before(
    context: &context::Context,
    address: SocketAddr,
    request: &Request,
    timeout: Duration,
    send_by: Option<time::Monotonic>,
) -> outcome::Outcome<Reply> {
    post(&context.peers, address, request, (timeout, send_by)).await
}

/// Sends a request to a node, with a timeout and the time by which it has to be sent.
pub(crate) async fn post(
    client: &client::Client,
    address: SocketAddr,
    request: &Request,
    (timeout, send_by): (Duration, Option<time::Monotonic>),
) -> outcome::Outcome<Reply> {
    let peer = address.to_string();
    let mut call =
        client::Call::new(address, PATH, timeout).with_error_context(step_name(request), &peer);
    call.send_by = send_by;
    msgpack::post(client, &call, request).await
}

fn step_name(request: &Request) -> &'static str {
    match request {
        Request::Ping { .. } => "ping",
        Request::Submit { .. } => "submit",
        Request::State { .. } => "read state",
        Request::Cancel { .. } => "cancel",
        Request::Pending { .. } => "count pending",
        Request::Ask { .. } => "ask for advice",
        Request::Relay(_) => "relay calls",
        Request::Via(_) => "send through a node",
        Request::Reach => "ask for the leader",
        Request::Elected(_) => "name the leader",
        Request::Explain(_) => "explain",
    }
}
