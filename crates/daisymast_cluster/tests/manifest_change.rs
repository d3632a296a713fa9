//! Manifests are changed under load.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::load::{Load, RequestRecord};
use daisymast_cluster::wait;
use daisymast_protocol::operator::OperatorReply;
use daisymast_types::ids::Generation;

/// A configuration is in force everywhere within this time.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);
const CHANGES: u32 = 20;

/// Guards against instances that learn of a change late, and against changes that disturb requests.
#[test]
fn manifest_changes_reach_all_instances_in_time() {
    cell::run("manifest_change", CellConfig::default(), async |cell| {
        let pace = Duration::from_millis(20);
        let mut times = Vec::new();
        let mut records = Vec::new();
        for change in 1..=CHANGES {
            // Each change has its own second of load, so that the load is bounded but never ends early.
            let quotes = cell.send(Load::quotes(50, pace));
            let invoices = cell.send(Load::invoices(50, pace));
            times.push(measure_change(cell, change).await);
            records.extend(quotes.finish().await);
            records.extend(invoices.finish().await);
        }
        times.sort_unstable();
        let (median, largest) = (times[times.len() / 2], times[times.len() - 1]);
        cell::print_measurement(&format!(
            "{CHANGES} changes in force everywhere: median {median:?}, largest {largest:?}"
        ));
        let unserved: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.last().end.is_done())
            .collect();
        assert!(unserved.is_empty(), "without an answer: {unserved:?}");
        cell.assert_no_violations(&records).await;
    });
}

/// Time from the submission, sent through each instance in turn, to a look that finds the change at
/// all instances.
async fn measure_change(cell: &Cell, change: u32) -> Duration {
    let index = usize::try_from(change).expect("a small number") % cell.instances.len();
    let through = cell.instances.keys().nth(index).expect("an instance");
    let (expected, generation) = (Generation(change.into()), Generation(u64::from(change) + 1));
    // Between 2 and 4 replicas of the small service.
    let manifest = cell::manifest(2 + change % 3);
    let sent = Instant::now();
    let reply = cell.submit(through, expected, manifest).await;
    assert_eq!(reply, OperatorReply::Accepted { generation });
    let left = PROPAGATION_TIMEOUT.saturating_sub(sent.elapsed());
    wait::until(left, "the change is in force everywhere", async || {
        let statuses = cell.statuses().await;
        let all = statuses
            .values()
            .all(|status| status.generation == generation);
        (all && statuses.len() == cell.instances.len()).then_some(())
    })
    .await;
    sent.elapsed()
}
