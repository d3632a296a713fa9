//! API keys that are withdrawn while nodes are cut off, with real node processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::run_job;
use daisymast_adapter::keys::CONFIGURATION;
use daisymast_cluster::{programs, wait};
use daisymast_http::{client, executor};
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_soak::{cell, plan, relay};
use daisymast_stand_in::{fixtures, store};
use smol::Timer;

/// Keys of one organisation, each of which replaces the one before it.
const KEYS: [&str; 3] = ["parts-1", "parts-2", "parts-3"];
const FOREIGN: &str = "saws-1";
/// Time in which a node honours keys again after all faults are cleared.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Asks a node for the state of a job. Returns the status of the response.
async fn ask(client: &client::Client, node: SocketAddr, job: u64, key: &str) -> Option<u16> {
    let path = format!("{}{}", fixtures::prefix(plan::QUEUES[0]), spec::JobId(job));
    let key = format!("Token {key}");
    let call = client::Call::new(node, &path, RESPONSE_TIMEOUT)
        .with_header("Host", fixtures::HOST)
        .with_header("Authorization", &key);
    match client.get(&call).await {
        outcome::Outcome::Done(response) => Some(response.status.as_u16()),
        outcome::Outcome::NoEffect(_) | outcome::Outcome::Unknown(_) => None,
    }
}

/// Writes a version in which one of [`KEYS`] is valid.
fn write_keys(store: &store::Store, version: u64, key: &str) {
    let organisations =
        [("parts", key), ("saws", FOREIGN)].map(|(name, key)| (name, vec![key.to_owned()]));
    fixtures::write_organisations(store, version, &plan::QUEUES, &organisations);
}

/// Calls all nodes with a withdrawn key from the end of the bound on, for `duration`.
async fn check_refusals(
    client: &client::Client,
    cell: &cell::Cell,
    withdrawn: &str,
    duration: Duration,
) {
    let withdrawn_at = Instant::now();
    let bound = withdrawn_at + Duration::from_millis(fixtures::REVOCATION_MS);
    Timer::at(bound).await;
    while bound.elapsed() < duration {
        for node in &cell.nodes {
            let status = ask(client, node.callers, 11, withdrawn).await;
            assert!(
                !status.is_some_and(|status| (200..300).contains(&status)),
                "{} honours a withdrawn key after {:?}",
                node.name,
                withdrawn_at.elapsed()
            );
        }
        Timer::after(CALL_INTERVAL).await;
    }
}

/// Waits until all nodes honour the valid key, and refuse the withdrawn one as unknown.
async fn wait_until_applied(client: &client::Client, cell: &cell::Cell, [old, new]: [&str; 2]) {
    for node in &cell.nodes {
        wait::until(RECOVERY_TIMEOUT, "the keys are applied", async || {
            let valid = ask(client, node.callers, 11, new).await;
            let withdrawn = ask(client, node.callers, 11, old).await;
            (valid == Some(200) && withdrawn == Some(401)).then_some(())
        })
        .await;
    }
}

/// Guards against withdrawn keys that a node honours beyond the bound, because the node is cut off
/// or because no node can read the configuration, though the scheduler works; against valid keys that
/// stay refused afterwards; and against another organisation that learns of a job.
#[test]
fn withdrawn_keys_expire_on_all_nodes() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("withdrawn_keys");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        let client = client::Client::new(executor.clone(), client::Settings::default());
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        run_job(&cell, 11).await;
        let first = &cell.nodes[0];
        assert_eq!(ask(&client, first.callers, 11, FOREIGN).await, Some(410));
        assert_eq!(ask(&client, first.callers, 11, "none").await, Some(401));

        // One node is cut off from the store and from all others.
        let leader = cell.leader().expect("a scheduler is elected");
        let cut = (leader + 1) % cell.nodes.len();
        cell.nodes[cut].store.set_mode(relay::Mode::Cut);
        for node in &cell.nodes {
            node.peers.set_mode(relay::Mode::Cut);
        }
        write_keys(&cell.store, 2, KEYS[1]);
        check_refusals(&client, &cell, KEYS[0], Duration::from_secs(1)).await;
        let cut_off = ask(&client, cell.nodes[cut].callers, 11, KEYS[1]).await;
        assert_eq!(cut_off, Some(503), "the node says that it does not know");
        for node in &cell.nodes {
            node.store.restore();
            node.peers.restore();
        }
        wait_until_applied(&client, &cell, [KEYS[0], KEYS[1]]).await;

        // The configuration cannot be read, while the store is in order otherwise.
        cell.store.set_faults(store::Faults {
            hidden_key: Some(CONFIGURATION),
            ..store::Faults::default()
        });
        write_keys(&cell.store, 3, KEYS[2]);
        check_refusals(&client, &cell, KEYS[1], Duration::from_secs(2)).await;
        cell.store.set_faults(store::Faults::default());
        wait_until_applied(&client, &cell, [KEYS[1], KEYS[2]]).await;
    });
}
