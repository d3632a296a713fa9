//! Follows the leader: pings it, and runs for election when it fails.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_election::{candidate, former_leases, record};
use daisymast_protocol::outcome;
use daisymast_scheduler::{constants as limits, lease};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::leadership;
use crate::peers;

/// Follows the leader, or leads, for as long as the process runs.
pub async fn run(context: Arc<context::Context>) {
    let mut last_led_term = 0;
    loop {
        if let Some(term) = own_term(&context)
            && term > last_led_term
        {
            // A campaign whose response was lost may still have won the election.
            last_led_term = term;
            let now = clock::now();
            let won = leadership::WonElection {
                term,
                sent: None,
                answered: now,
                former: former_leases::Former::Unknown,
            };
            run_term(&context, won).await;
            continue;
        }
        if context.is_draining() {
            Timer::after(constants::PING_INTERVAL).await;
            continue;
        }
        let step = context.candidate().next(clock::now());
        match step {
            candidate::Step::Follow => {
                Timer::after(constants::ELECTION_POLL_INTERVAL).await;
            }
            candidate::Step::Inspect => {
                if !inspect(&context).await {
                    Timer::after(constants::STORE_RETRY_DELAY).await;
                }
                Timer::after(constants::INSPECT_INTERVAL).await;
            }
            candidate::Step::Probe => probe(&context).await,
            candidate::Step::Campaign {
                term,
                reason,
                delay,
            } => {
                log_campaign(&context, term, reason, delay);
                if wait_for_larger(&context, term, delay).await
                    && let Some(won) = campaign(&context, term).await
                {
                    last_led_term = won.term;
                    run_term(&context, won).await;
                }
            }
        }
    }
}

/// Waits so that larger machines are elected first. Returns whether a leader is still wanted.
async fn wait_for_larger(context: &context::Context, term: u64, delay: Duration) -> bool {
    let started = clock::now();
    loop {
        let now = clock::now();
        let left = delay.saturating_sub(now - started);
        {
            let candidate = context.candidate();
            let known = candidate.elected().map_or(0, |elected| elected.term);
            if known > term || candidate.is_leader_healthy(now) {
                return false;
            }
        }
        if left.is_zero() {
            return true;
        }
        Timer::after(left.min(constants::ELECTION_POLL_INTERVAL)).await;
    }
}

/// Log event for an attempt to become the leader.
#[derive(Serialize)]
struct Campaign {
    event: &'static str,
    reason: candidate::Reason,
    delay_ms: u64,
    /// Time since the leader last answered, in milliseconds.
    silence_ms: u64,
    /// Time without a confirmed commit that the leader last reported, in milliseconds.
    stale_ms: u64,
    /// Number of known nodes.
    members: usize,
}

fn log_campaign(context: &context::Context, term: u64, reason: candidate::Reason, delay: Duration) {
    let campaign = {
        let candidate = context.candidate();
        Campaign {
            event: "campaign",
            reason,
            delay_ms: lease::millis(delay),
            silence_ms: lease::millis(candidate.time_since_contact(clock::now())),
            stale_ms: lease::millis(candidate.commit_age()),
            members: candidate.members().len(),
        }
    };
    context.decisions.record(term, &campaign);
}

/// Pings the leader at regular intervals for as long as the process runs.
pub async fn ping_loop(context: Arc<context::Context>) {
    loop {
        ping(&context).await;
        let known = context.candidate().elected().map(|elected| elected.term);
        let started = clock::now();
        // A newly discovered leader is pinged immediately to find out whether it is alive.
        while clock::now() - started < constants::PING_INTERVAL
            && context.candidate().elected().map(|elected| elected.term) == known
        {
            Timer::after(constants::ELECTION_POLL_INTERVAL).await;
        }
    }
}

async fn ping(context: &context::Context) {
    let elected = context.candidate().elected().cloned();
    let Some(elected) = elected else {
        for seed in context.settings.seeds.clone() {
            if seed != context.settings.peers {
                ping_address(context, seed, None).await;
            }
        }
        return;
    };
    let address = elected.leader.node.address;
    if address != context.settings.peers {
        ping_address(context, address, Some(elected.term)).await;
    }
}

/// Pings a node. `term` is the term in which it is believed to lead.
pub(crate) async fn ping_address(
    context: &context::Context,
    address: std::net::SocketAddr,
    term: Option<u64>,
) {
    let request = context.ping();
    let sent = clock::now();
    let answer = peers::call(context, address, &request, constants::PING_TIMEOUT).await;
    let pong = match answer {
        outcome::Outcome::Done(peers::Reply::Pong(pong)) => pong,
        outcome::Outcome::NoEffect(_) => {
            if term.is_some() {
                context.candidate().on_connection_refused();
            }
            return;
        }
        outcome::Outcome::Done(_) | outcome::Outcome::Unknown(_) => return,
    };
    let now = clock::now();
    if let Some(config) = pong.config {
        context.configure(config);
    }
    context.on_peer_config_version(pong.version, now);
    if let Some(report) = pong.confirmed {
        context.freshness().on_report(report, sent);
    }
    let mut candidate = context.candidate();
    if let Some(known) = pong.known {
        let elected = record::Elected {
            term: known.term,
            leader: known.leader,
        };
        candidate.on_elected(elected, now);
    }
    match term {
        Some(term) if pong.leads == Some(term) => {
            candidate.on_pong(Duration::from_millis(pong.stale_ms), pong.members, now);
        }
        Some(term) => candidate.on_not_leader(term),
        None => {}
    }
}

/// Reads the leader key and the heartbeat key of the journal. Returns whether the store answered.
async fn inspect(context: &context::Context) -> bool {
    let timeout = constants::STORE_TIMEOUT;
    let (leader, heartbeat) = future::zip(
        context.store.read(keys::LEADER, timeout),
        context.store.read(keys::HEARTBEAT, timeout),
    )
    .await;
    let answered = leader.is_ok() && heartbeat.is_ok();
    context.reach().on_store_read(answered, clock::now());
    let (Ok(leader), Ok(heartbeat)) = (leader, heartbeat) else {
        context.candidate().on_store_failed(clock::now());
        return false;
    };
    let elected = leader.and_then(|item| {
        let leader = serde_json::from_slice(&item.value).ok()?;
        Some(record::Elected {
            term: item.revision,
            leader,
        })
    });
    let heartbeat = heartbeat.map_or(0, |item| item.revision);
    context
        .candidate()
        .on_inspect(elected, heartbeat, clock::now());
    true
}

/// Asks the other nodes whether they can reach the leader.
async fn probe(context: &Arc<context::Context>) {
    let others = context.other_followers();
    // This node counts itself as one that does not reach the leader.
    let mut poll = candidate::ProbeResult {
        asked: others.len() + 1,
        agreed: 1,
    };
    let (sender, receiver) = async_channel::unbounded();
    let asked: Vec<_> = others
        .into_iter()
        .map(|member| {
            let context = Arc::clone(context);
            let executor = Arc::clone(&context.executor);
            let sender = sender.clone();
            executor.spawn(async move {
                let agrees = misses_leader(&context, &member).await;
                // The vote may be decided.
                let _ = sender.try_send(agrees);
            })
        })
        .collect();
    drop(sender);
    // Waiting for nodes that are cut off, too, would delay the election by a timeout.
    while poll.agreed * 2 <= poll.asked
        && let Ok(agrees) = receiver.recv().await
    {
        poll.agreed += usize::from(agrees);
    }
    drop(asked);
    context.candidate().on_probe_result(poll);
}

/// Returns whether another node answers that it does not reach the leader either.
async fn misses_leader(context: &context::Context, member: &record::Member) -> bool {
    let request = context.ping();
    let sent = clock::now();
    let call = peers::call(context, member.address, &request, constants::PING_TIMEOUT);
    match call.await {
        outcome::Outcome::Done(peers::Reply::Pong(pong)) => {
            if let Some(report) = pong.confirmed {
                context.freshness().on_report(report, sent);
            }
            !pong.content
        }
        _ => false,
    }
}

/// Returns the term in which the store names this run of this process as the leader.
fn own_term(context: &context::Context) -> Option<u64> {
    let candidate = context.candidate();
    let elected = candidate.elected()?;
    let leader = &elected.leader;
    let mine = leader.node.id == context.settings.instance && leader.life == context.incarnation;
    (mine && !leader.resigned).then_some(elected.term)
}

/// Tries to become the leader by replacing the leader key at the given term.
async fn campaign(context: &Arc<context::Context>, term: u64) -> Option<leadership::WonElection> {
    let known = context
        .candidate()
        .elected()
        .map_or(0, |elected| elected.term);
    if known > term || context.is_draining() {
        return None;
    }
    let former = context.candidate().former(term);
    let sent = clock::now();
    let leader = context.leader(false, former.remaining(sent, limits::LEADER_LEASE));
    let value = serde_json::to_vec(&leader).ok()?;
    let transaction = store::Transaction::default()
        .expect(keys::LEADER, term)
        .put(keys::LEADER, value);
    let committed = context
        .store
        .commit(&transaction, constants::STORE_TIMEOUT)
        .await;
    match committed {
        Ok(store::CommitOutcome::Done(term)) => {
            let answered = clock::now();
            let elected = record::Elected { term, leader };
            context.candidate().on_elected(elected, answered);
            Some(leadership::WonElection {
                term,
                sent: Some(sent),
                answered,
                former,
            })
        }
        Ok(
            store::CommitOutcome::Conflict(_)
            | store::CommitOutcome::Refused
            | store::CommitOutcome::Invalid(_),
        )
        | Err(_) => {
            inspect(context).await;
            None
        }
    }
}

/// Tells the other nodes of the election, so that their requests do not wait until they hear of it from
/// the store.
fn announce(context: &Arc<context::Context>, term: u64) {
    let (others, elected) = {
        let candidate = context.candidate();
        let elected = candidate.elected().filter(|elected| elected.term == term);
        (candidate.members().to_vec(), elected.cloned())
    };
    let Some(elected) = elected else {
        return;
    };
    for member in others {
        if member.id == context.settings.instance {
            continue;
        }
        let context = Arc::clone(context);
        let executor = Arc::clone(&context.executor);
        let request = peers::Request::Elected(peers::KnownLeader::from(&elected));
        let call = async move {
            let call = peers::call(&context, member.address, &request, constants::PING_TIMEOUT);
            if let outcome::Outcome::Unknown(error) | outcome::Outcome::NoEffect(error) = call.await
            {
                log::debug!("failed to announce the election: {error}");
            }
        };
        executor.spawn(call).detach();
    }
}

async fn run_term(context: &Arc<context::Context>, won: leadership::WonElection) {
    let term = won.term;
    log::info!("elected in term {term}");
    context.set_term(term);
    // Before that, the node would answer pings that it does not lead.
    announce(context, term);
    leadership::run(context, won).await;
    context.set_term(0);
    log::info!("term {term} ended");
}
