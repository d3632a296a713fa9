//! A journal batch that no node can decode, such as one of a later release, with real node processes.

mod common;

use std::time::Duration;

use common::run_job;
use daisymast_cluster::{process, programs};
use daisymast_http::executor;
use daisymast_soak::cell;
use daisymast_stand_in::store;
use smol::Timer;

/// Time for which the batch stays in the journal.
const UNREADABLE_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of writes of the leader key in that time. Each node tries a few times, and writes
/// the key twice each time: when it is elected and when it resigns.
const MAX_ELECTION_WRITES: u64 = 60;
/// Key behind all batches that the test writes.
const BATCH: &str = "daisymast/log/000000900000";

/// Guards against a leader that goes on without the records of a batch that it cannot decode: accepted
/// jobs would be unknown, and tasks would run twice. Also guards against nodes that replace each
/// other without a pause meanwhile.
#[test]
fn no_node_leads_without_a_batch_that_it_cannot_decode() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("unreadable_journal");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        run_job(&cell, 31).await;
        let leader = cell.leader().expect("a scheduler is elected");
        cell.store.put(BATCH, vec![0xc1, 0xff, 0x00]);
        let elections = cell.store.write_count(store::LEADER);
        cell.nodes[leader].signal(process::Signal::Kill);
        Timer::after(UNREADABLE_PERIOD).await;
        let writes = cell.store.write_count(store::LEADER) - elections;
        assert!(writes > 0, "a node was elected");
        assert!(writes <= MAX_ELECTION_WRITES, "{writes} writes");
        let logs: String = cell
            .nodes
            .iter()
            .map(|node| folder.join(format!("{}.log", node.name)))
            .map(|path| std::fs::read_to_string(path).unwrap_or_default())
            .collect();
        assert!(logs.contains("failed to decode journal batch"));
        assert!(logs.contains(BATCH), "the log names the batch");
        cell.store.remove(BATCH);
        run_job(&cell, 32).await;
    });
}
