//! Entries that another program has left among those of the workers, with real node processes.

mod common;

use common::run_job;
use daisymast_cluster::{process, programs};
use daisymast_http::executor;
use daisymast_soak::cell;
use daisymast_stand_in::store;

/// Number of odd entries: more than fit on a page of the list, so that a page ends with an odd key.
const ODD_ENTRIES: usize = 520;
/// Maximum number of lines that a process logs about odd entries, each of which it names once.
const MAX_LOGGED_ENTRIES: usize = 64;

/// Returns the value of an odd entry: very deeply nested, with a number too large, with a port out of
/// range, or no text at all.
fn odd_value(number: usize) -> Vec<u8> {
    let entry = |address: &str, cpu: &str| {
        format!(
            r#"{{"service":"desk","address":"{address}","zone":"a","state":"ready",
            "capacity":{{"cpu":{cpu},"mem_mb":65536}},"labels":["a","r-a"],"born":1}}"#
        )
        .into_bytes()
    };
    match number % 5 {
        0 => [b"[".repeat(50_000), b"]".repeat(50_000)].concat(),
        1 => entry("127.0.0.1:9", "99999999999999999999"),
        2 => entry("127.0.0.1:99999", "8000"),
        3 => entry("127.0.0.1:9", "1e999"),
        _ => vec![0xff, 0x00, 0xfe],
    }
}

/// Guards against a list of workers that the scheduler can no longer read or follow, and against a
/// process that ends, because of an entry that no worker has written.
#[test]
fn odd_entries_among_the_workers_do_no_harm() {
    let _turn = programs::turn();
    let folder = programs::folder()
        .join("daisymast_soak")
        .join("odd_entries");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the log folder is created");
    executor::run(2, async |executor| {
        let cell = cell::Cell::open(&executor, &folder)
            .await
            .expect("the cell opens");
        for number in 0..ODD_ENTRIES {
            // These keys precede those of the workers.
            let key = format!("servers/!odd & #{number} \u{e9}+%");
            cell.store.put(&key, odd_value(number));
        }
        cell.start_all().expect("the nodes start");
        cell.wait_until_ready().await;
        assert!(cell.leader().is_some(), "a scheduler is elected");
        run_job(&cell, 11).await;
        // Entries that arrive while the list is followed.
        for number in 0..20 {
            cell.store
                .put(&format!("servers/z-odd-{number}"), odd_value(number));
        }
        run_job(&cell, 12).await;
        let leader = cell.leader().expect("a scheduler is elected");
        let elections = cell.store.write_count(store::LEADER);
        cell.nodes[leader].signal(process::Signal::Kill);
        run_job(&cell, 13).await;
        assert!(cell.store.write_count(store::LEADER) > elections);
        for (position, node) in cell.nodes.iter().enumerate() {
            if position != leader {
                assert!(!node.has_exited(), "{} has ended", node.name);
            }
            let log = std::fs::read_to_string(folder.join(format!("{}.log", node.name)))
                .unwrap_or_default();
            let lines = log.matches("ignoring invalid registration").count();
            assert!(lines <= MAX_LOGGED_ENTRIES, "{}: {lines} lines", node.name);
            if position == leader {
                assert!(lines > 0, "{} names the entries", node.name);
            }
        }
    });
}
