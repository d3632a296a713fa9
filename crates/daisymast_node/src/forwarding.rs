//! Sends callers' requests to the leader, directly or through another node.

use std::sync::Arc;

use daisymast_jobs::queue;
use daisymast_protocol::outcome;
use daisymast_scheduler::{action, lease};
use daisymast_types::time;
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::peers;
use crate::submission::{self, Failure, Step};

/// Outcome of forwarding a request to the leader.
#[derive(Clone, Debug)]
pub enum ForwardOutcome {
    /// The leader answered.
    Served {
        /// The answer.
        served: peers::Served,
        /// Whether it came through another node.
        is_via_peer: bool,
    },
    /// The request certainly had no effect.
    Refused(submission::Cause),
    /// The cap of the organisation can never allow the job, which certainly never runs.
    OverCap(action::OverCap),
    /// The job lies beyond the rate of its organisation, of which too many such jobs wait, and certainly
    /// never runs. It lies within the rate again after the given time in milliseconds.
    OverRate(u64),
    /// The request may have taken effect.
    Unknown,
}

/// Result of sending a request once.
struct Attempt {
    /// Term of the leader that the result says something about, for
    /// [`submission::Submission::on_failure`].
    term: u64,
    /// Whether the request went through another node.
    is_via_peer: bool,
    result: Result<Answer, Failure>,
}

/// The leader's decision on a request.
enum Answer {
    Served(peers::Served),
    OverCap(action::OverCap),
    OverRate(u64),
}

impl ForwardOutcome {
    /// Returns the label of the outcome in metrics and log events.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Served { .. } => "served",
            Self::Refused(cause) => cause.name(),
            Self::OverCap(_) => "over_cap",
            Self::OverRate(_) => "over_rate",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the label of the path by which the request was answered.
    pub fn path(&self) -> &'static str {
        match self {
            Self::Served {
                is_via_peer: true, ..
            } => "peer",
            Self::Served { .. } => "direct",
            Self::Refused(_) | Self::OverCap(_) | Self::OverRate(_) | Self::Unknown => "none",
        }
    }
}

/// Sends a request to the leader, to its successor or through another node until it is answered. This
/// is safe because all requests are idempotent. `queue` is the queue of a submission.
pub async fn forward(
    context: &Arc<context::Context>,
    request: &peers::Request,
    queue: Option<&queue::Queue>,
    deadline_ms: Option<u64>,
) -> ForwardOutcome {
    let now = clock::now();
    let mut pending = submission::Submission::new(now, deadline_ms, leaderless_ms(context, now));
    loop {
        let now = clock::now();
        let paths = paths(context, now);
        let attempt = match pending.next(&paths, now) {
            Step::Wait(pause) => {
                Timer::after(pause).await;
                continue;
            }
            Step::Refuse(cause) => return ForwardOutcome::Refused(cause),
            Step::Unknown => return ForwardOutcome::Unknown,
            Step::Send { term, until } => {
                attempt_direct(context, request, queue, term, until).await
            }
            Step::SendVia { until } => attempt_via_peer(context, request, queue, until).await,
        };
        match attempt.result {
            // An earlier call may have been taken by a leader that knew another cap or rate.
            Ok(Answer::OverCap(_) | Answer::OverRate(_)) if pending.is_open() => {
                return ForwardOutcome::Unknown;
            }
            Ok(Answer::OverCap(over_cap)) => return ForwardOutcome::OverCap(over_cap),
            Ok(Answer::OverRate(retry_ms)) => return ForwardOutcome::OverRate(retry_ms),
            Ok(Answer::Served(served)) => {
                return ForwardOutcome::Served {
                    served,
                    is_via_peer: attempt.is_via_peer,
                };
            }
            Err(failure) => {
                if failure == Failure::StoreAway {
                    context.request_reach();
                }
                pending.on_failure(attempt.term, failure, clock::now());
            }
        }
    }
}

/// Sends a request to the leader of a term.
async fn attempt_direct(
    context: &Arc<context::Context>,
    request: &peers::Request,
    queue: Option<&queue::Queue>,
    term: u64,
    until: time::Monotonic,
) -> Attempt {
    let send = |request| send_to_leader(context, request, term, until);
    Attempt {
        term,
        is_via_peer: false,
        result: with_terms(request, queue, send).await,
    }
}

/// Sends a request through another node. Its leader is not known here: a call that certainly had no effect
/// counts for the earliest term, and one whose outcome is unknown for the latest.
async fn attempt_via_peer(
    context: &Arc<context::Context>,
    request: &peers::Request,
    queue: Option<&queue::Queue>,
    until: time::Monotonic,
) -> Attempt {
    let send = |request| send_via_peer(context, request, until);
    let result = with_terms(request, queue, send).await;
    let is_unknown = matches!(result, Err(Failure::Unknown));
    Attempt {
        term: if is_unknown { u64::MAX } else { 0 },
        is_via_peer: true,
        result,
    }
}

/// Time for which no leader has been reached, in milliseconds.
fn leaderless_ms(context: &context::Context, now: time::Monotonic) -> u64 {
    if context.term().is_some() {
        return 0;
    }
    let silence = context.candidate().time_since_contact(now);
    lease::millis(silence.saturating_sub(constants::PING_INTERVAL))
}

fn paths(context: &context::Context, now: time::Monotonic) -> submission::Paths {
    let own_term = context.term();
    let (term, is_reached) = {
        let candidate = context.candidate();
        let elected = candidate.elected();
        let elected = elected.filter(|elected| !elected.leader.resigned);
        (
            elected.map(|elected| elected.term),
            candidate.is_leader_reached(now),
        )
    };
    let is_isolated = context.is_cut_off(now);
    let reach = context.reach();
    submission::Paths {
        term: own_term.or(term),
        is_reached: own_term.is_some() || is_reached,
        has_peer: reach.path(now).is_some(),
        store: reach.store(now),
        is_isolated,
    }
}

/// Sends a request. If the leader does not know the queue of a submission, sends it again with the
/// queue's settings, which most submissions need not carry.
async fn with_terms<F: Future<Output = Result<Answer, Failure>>>(
    request: &peers::Request,
    queue: Option<&queue::Queue>,
    send: impl Fn(peers::Request) -> F,
) -> Result<Answer, Failure> {
    match (send(request.clone()).await, request, queue) {
        (Err(Failure::UnknownQueue), request @ peers::Request::Submit { .. }, Some(queue)) => {
            let mut with_terms = request.clone();
            if let peers::Request::Submit { terms, .. } = &mut with_terms {
                *terms = Some(queue.clone());
            }
            send(with_terms).await
        }
        (sent, ..) => sent,
    }
}

async fn send_to_leader(
    context: &Arc<context::Context>,
    request: peers::Request,
    term: u64,
    until: time::Monotonic,
) -> Result<Answer, Failure> {
    let call = async {
        if context.term().is_some() {
            let answer = async { Some(peers::handler::handle_as_leader(context, request).await) };
            let reply = future::or(answer, async {
                Timer::after(until - clock::now()).await;
                None
            });
            return judge(reply.await.ok_or(Failure::Unknown)?);
        }
        let elected = context.candidate().elected().cloned();
        let Some(elected) = elected.filter(|elected| elected.term == term) else {
            return Err(Failure::NoEffect);
        };
        let address = elected.leader.node.address;
        let timeout = until - clock::now();
        judge(completed(
            peers::call(context, address, &request, timeout).await,
        )?)
    };
    // A call to a leader that was replaced would only hold the request back.
    future::or(call, async {
        wait_for_later_term(context, term).await;
        Err(Failure::Unknown)
    })
    .await
}

async fn wait_for_later_term(context: &context::Context, term: u64) {
    loop {
        Timer::after(constants::TERM_CHECK_INTERVAL).await;
        let candidate = context.candidate();
        let elected = candidate.elected();
        if elected.is_some_and(|elected| elected.term > term && !elected.leader.resigned) {
            return;
        }
    }
}

async fn send_via_peer(
    context: &Arc<context::Context>,
    request: peers::Request,
    until: time::Monotonic,
) -> Result<Answer, Failure> {
    let now = clock::now();
    let Some(address) = context.reach().path(now).map(|peer| peer.address) else {
        return Err(Failure::NoEffect);
    };
    let Some(encoded) = peers::EncodedRequest::new(&request) else {
        return Err(Failure::NoEffect);
    };
    let request = peers::Request::Via(encoded);
    judge(completed(
        peers::call(context, address, &request, until - now).await,
    )?)
}

/// Returns the reply of a call, or what the lack of one says about the request.
fn completed(outcome: outcome::Outcome<peers::Reply>) -> Result<peers::Reply, Failure> {
    match outcome {
        outcome::Outcome::Done(reply) => Ok(reply),
        outcome::Outcome::NoEffect(_) => Err(Failure::NoEffect),
        outcome::Outcome::Unknown(_) => Err(Failure::Unknown),
    }
}

/// Returns the leader's decision, or why the leader has not taken the request.
fn judge(reply: peers::Reply) -> Result<Answer, Failure> {
    match reply {
        peers::Reply::Served(served) => Ok(Answer::Served(served)),
        peers::Reply::OverCap(over_cap) => Ok(Answer::OverCap(over_cap)),
        peers::Reply::OverRate { retry_ms } => Ok(Answer::OverRate(retry_ms)),
        peers::Reply::Unavailable => Err(Failure::StoreAway),
        peers::Reply::Overloaded => Err(Failure::Overload),
        peers::Reply::NotLeader => Err(Failure::NoEffect),
        peers::Reply::UnknownQueue => Err(Failure::UnknownQueue),
        peers::Reply::Unknown
        | peers::Reply::Pong(_)
        | peers::Reply::Advice(_)
        | peers::Reply::Relayed(_)
        | peers::Reply::Explained { .. }
        | peers::Reply::LedBy(_)
        | peers::Reply::Reach(_)
        | peers::Reply::Noted => Err(Failure::Unknown),
    }
}

/// Handles a request that another node sends through this one. It is sent to the leader once, and never
/// to a third node.
pub async fn serve_via(context: &Arc<context::Context>, request: peers::Request) -> peers::Reply {
    if context.term().is_some() {
        return peers::handler::handle_as_leader(context, request).await;
    }
    let elected = {
        let candidate = context.candidate();
        let is_path = candidate.time_since_contact(clock::now()) <= constants::PATH_CONTACT_AGE;
        let elected = candidate.elected().filter(|_| is_path);
        elected.filter(|elected| !elected.leader.resigned).cloned()
    };
    let Some(elected) = elected else {
        return peers::Reply::NotLeader;
    };
    let address = elected.leader.node.address;
    let timeout = constants::FORWARD_TIMEOUT;
    match peers::call(context, address, &request, timeout).await {
        outcome::Outcome::Done(reply) => reply,
        outcome::Outcome::NoEffect(_) => peers::Reply::NotLeader,
        outcome::Outcome::Unknown(_) => peers::Reply::Unknown,
    }
}
