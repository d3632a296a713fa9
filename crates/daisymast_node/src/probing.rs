//! Looks at this node's paths to the store and to other nodes while the leader is suspected.

use std::sync::Arc;

use daisymast_adapter::keys;
use daisymast_election::record;
use daisymast_protocol::outcome;
use daisymast_types::time;
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::peers;
use crate::reach;

/// Looks at the paths while the leader is suspected, for as long as the process runs.
pub async fn run(context: Arc<context::Context>) {
    let mut last = clock::now();
    let mut listed_at = time::Monotonic::ZERO;
    loop {
        Timer::after(constants::ELECTION_POLL_INTERVAL).await;
        let now = clock::now();
        if !has_healthy_leader(&context, now) {
            context.metrics.add_leaderless(now - last);
            context.request_reach();
        }
        last = now;
        if now - listed_at >= constants::MEMBERS_INTERVAL {
            listed_at = now;
            remember_members(&context, now);
        }
        let round_at = context.reach().round_at();
        let is_due = round_at.is_none_or(|at| now - at >= constants::REACH_INTERVAL);
        if is_due && context.take_reach_request() {
            look(&context).await;
        }
    }
}

/// Remembers the other nodes, as far as the leader lists them.
fn remember_members(context: &context::Context, now: time::Monotonic) {
    let others = context.other_members();
    context.reach().on_members(&others, now);
}

/// Whether the leader answers and reports no failed commit.
fn has_healthy_leader(context: &context::Context, now: time::Monotonic) -> bool {
    if let Some(leadership) = context.leadership() {
        return leadership.stale_ms(now) == 0;
    }
    let candidate = context.candidate();
    candidate.is_leader_healthy(now) && candidate.commit_age().is_zero()
}

/// Reads from the store, and asks other nodes for their paths, at the same time.
async fn look(context: &Arc<context::Context>) {
    let started = clock::now();
    let chosen = context.reach().choose();
    let asked: Vec<_> = chosen
        .into_iter()
        .map(|peer| {
            let context = Arc::clone(context);
            let executor = Arc::clone(&context.executor);
            executor.spawn(async move { ask(&context, peer).await })
        })
        .collect();
    let store = async {
        let read = context
            .store
            .read(keys::LEADER, constants::REACH_TIMEOUT)
            .await;
        context.reach().on_store_read(read.is_ok(), clock::now());
    };
    let answers = async {
        let mut answers = Vec::new();
        for task in asked {
            answers.push(task.await);
        }
        answers
    };
    let ((), answers) = future::zip(store, answers).await;
    context.reach().on_round(answers, started);
}

/// Asks a node whether it reaches a leader, and takes over the leader that it names.
async fn ask(context: &context::Context, peer: record::Member) -> reach::PeerAnswer {
    let request = peers::Request::Reach;
    let call = peers::call(context, peer.address, &request, constants::REACH_TIMEOUT);
    let reaches_leader = match call.await {
        outcome::Outcome::Done(peers::Reply::Reach(answer)) => {
            if let Some(known) = answer.known {
                context.candidate().on_elected(known.into(), clock::now());
            }
            Some(answer.reaches_leader)
        }
        _ => None,
    };
    reach::PeerAnswer {
        peer,
        reaches_leader,
    }
}
