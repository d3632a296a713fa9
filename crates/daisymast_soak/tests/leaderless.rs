//! Submissions to real node processes while there is no leader, or the store is away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_cluster::{process, programs};
use daisymast_http::{client, executor};
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_soak::{cell, plan};
use daisymast_stand_in::{fixtures, store};
use smol::Timer;

/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_millis(3_000);
const INTERVAL: Duration = Duration::from_millis(40);
/// Time limit from the loss of the leader to the next acceptance. An election takes about 0.7 s; the
/// rest is a margin for a busy machine.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time limit for a refusal while the store is away: a commit fails for 0.5 s, and the node's own read
/// of the store for 0.25 s.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// A submission and its answer.
struct Answer {
    sent: Instant,
    held: Duration,
    /// `None` if there was no answer.
    status: Option<u16>,
}

/// Submits jobs to the nodes at these positions in turn, one every [`INTERVAL`], and returns the answers.
async fn submit_for(
    executor: &executor::Executor,
    cell: &cell::Cell,
    nodes: &[usize],
    duration: Duration,
) -> Vec<Answer> {
    let client = Arc::new(client::Client::new(
        Arc::clone(executor),
        client::Settings::default(),
    ));
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < duration {
        let node = cell.nodes[nodes[calls.len() % nodes.len()]].callers;
        let client = Arc::clone(&client);
        let id = spec::JobId(fastrand::u64(100..));
        calls.push(executor.spawn(async move { submit(&client, node, id).await }));
        Timer::after(INTERVAL).await;
    }
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    answers
}

async fn submit(client: &client::Client, node: std::net::SocketAddr, id: spec::JobId) -> Answer {
    let path = format!("{}{id}", fixtures::prefix(plan::QUEUES[0]));
    let body = fixtures::submission(&id.to_string(), &plan::Job::probe().steps);
    let call = client::Call::new(node, &path, DEADLINE).with_header("Host", fixtures::HOST);
    let sent = Instant::now();
    let answer = client.post(&call, "application/json", body.into()).await;
    Answer {
        sent,
        held: sent.elapsed(),
        status: match answer {
            outcome::Outcome::Done(response) => Some(response.status.as_u16()),
            outcome::Outcome::NoEffect(_) | outcome::Outcome::Unknown(_) => None,
        },
    }
}

/// Opens a cell in a folder of this name, and calls `check` once it accepts jobs.
fn with_cell(name: &str, check: impl AsyncFnOnce(&executor::Executor, &cell::Cell)) {
    let _turn = programs::turn();
    let folder = programs::folder().join("daisymast_soak").join(name);
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        // The nodes learn of each other from the leader.
        Timer::after(Duration::from_secs(1)).await;
        check(&executor, &cell).await;
    });
}

/// Guards against submissions that are held to their deadline, or end with an unknown outcome, when the
/// leader is killed: each other node waits for the next leader and asks it.
#[test]
fn submissions_survive_the_loss_of_the_leader() {
    with_cell("lost_leader", async |executor, cell| {
        let leader = cell.leader().expect("a scheduler is elected");
        let others: Vec<_> = (0..plan::NODES).filter(|node| *node != leader).collect();
        let kill = async {
            Timer::after(Duration::from_millis(500)).await;
            cell.nodes[leader].signal(process::Signal::Kill);
            Instant::now()
        };
        let submit = submit_for(executor, cell, &others, Duration::from_secs(4));
        let (killed, answers) = futures_lite::future::zip(kill, submit).await;
        for answer in &answers {
            let at = answer.sent.saturating_duration_since(killed);
            assert!(
                matches!(answer.status, Some(200 | 503)),
                "status {:?} after {:?}, sent {at:?} after the kill",
                answer.status,
                answer.held
            );
        }
        let after = answers.iter().filter(|answer| answer.sent > killed);
        let accepted = after.filter(|answer| answer.status == Some(200));
        let next = accepted
            .map(|answer| answer.sent + answer.held - killed)
            .min();
        assert!(next.is_some_and(|next| next < TAKEOVER_TIMEOUT), "{next:?}");
    });
}

/// Guards against submissions that are held, or end with an unknown outcome, while the store rejects all
/// calls, and against nodes that do not accept jobs once it is back.
#[test]
fn submissions_are_refused_at_once_while_the_store_is_away() {
    with_cell("store_away", async |executor, cell| {
        let nodes: Vec<_> = (0..plan::NODES).collect();
        cell.store.set_faults(store::Faults {
            outage: store::Outage::Busy,
            ..store::Faults::default()
        });
        let answers = submit_for(executor, cell, &nodes, Duration::from_secs(3)).await;
        for answer in &answers {
            assert_eq!(answer.status, Some(503), "after {:?}", answer.held);
            assert!(answer.held < REFUSAL_TIMEOUT, "held for {:?}", answer.held);
        }
        cell.store.set_faults(store::Faults::default());
        Timer::after(Duration::from_secs(1)).await;
        let answers = submit_for(executor, cell, &nodes, Duration::from_secs(1)).await;
        let accepted = answers.iter().filter(|answer| answer.status == Some(200));
        assert_eq!(accepted.count(), answers.len(), "all are accepted again");
    });
}
