//! A checkpoint that the store refuses because a value of it is too large, with real node processes.

mod common;

use std::time::Duration;

use common::run_job;
use daisymast_cluster::{process, programs, wait};
use daisymast_http::executor;
use daisymast_jobs::{queue, record};
use daisymast_soak::cell;
use daisymast_stand_in::store;
use smol::Timer;

/// Key of a batch that the test writes.
const BATCH: &str = "daisymast/log/000000900000";
/// Number of queues in that batch, which the next checkpoint repeats: more than 128 KiB, from which on
/// a checkpoint is due.
const QUEUES: usize = 3_000;
/// Largest value that the store accepts, less than the checkpoint.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Time for which the cell runs with a refused checkpoint.
const OBSERVED_PERIOD: Duration = Duration::from_secs(6);
/// Time within which a node takes over from one that was killed.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);

fn queues() -> Vec<record::Record> {
    let terms = |number| queue::Queue {
        name: format!("queue-{number}").as_str().into(),
        host: "unused".to_owned(),
        prefix: format!("/unused-{number}/"),
        service: "unused".into(),
        priority: 1,
        attempts: 1,
        stretch: 1.0,
        latency_ms: 1.0,
        advice: None,
        public: false,
    };
    (0..QUEUES)
        .map(|number| record::Record::Queue {
            terms: terms(number),
        })
        .collect()
}

/// Guards against leaders that repeat a refused checkpoint until another node replaces them, which
/// then does the same (review/7).
#[test]
fn a_leader_goes_on_without_a_checkpoint_that_the_store_refuses() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("refused_checkpoint");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        run_job(&cell, 31).await;
        let batch = record::encode(&queues()).expect("a valid batch");
        assert!(batch.len() > 128 * 1024, "a checkpoint is due");
        let former = cell.leader().expect("a scheduler is elected");
        cell.store.put(BATCH, batch);
        cell.store.set_max_value_bytes(MAX_VALUE_BYTES);
        let elections = cell.store.write_count(store::LEADER);
        cell.nodes[former].signal(process::Signal::Kill);
        wait::until(TAKEOVER_TIMEOUT, "a node takes over", async || {
            (cell.store.write_count(store::LEADER) > elections).then_some(())
        })
        .await;
        for id in 32..44 {
            run_job(&cell, id).await;
        }
        let elections = cell.store.write_count(store::LEADER);
        Timer::after(OBSERVED_PERIOD).await;
        run_job(&cell, 44).await;
        assert_eq!(cell.store.write_count(store::LEADER), elections);
        let logs: String = cell
            .nodes
            .iter()
            .map(|node| folder.join(format!("{}.log", node.name)))
            .map(|path| std::fs::read_to_string(path).unwrap_or_default())
            .collect();
        assert!(
            logs.contains("refuses a commit of"),
            "the log names the cause"
        );
    });
}
