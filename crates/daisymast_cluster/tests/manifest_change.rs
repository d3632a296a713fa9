//! Changes manifests under load.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, CellConfig};
use daisymast_cluster::load::{Load, RequestRecord};
use daisymast_cluster::wait;
use daisymast_protocol::operator::OperatorReply;
use daisymast_types::ids::Generation;

/// Time within which a configuration must be in force at all instances.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);
const CHANGES: u32 = 20;

/// Guards against instances that apply a manifest late, and against changes that make requests
/// fail.
#[test]
fn manifest_changes_reach_all_instances_in_time() {
    cell::run("manifest_change", CellConfig::default(), async |cell| {
        let pace = Duration::from_millis(20);
        let mut times = Vec::new();
        let mut records = Vec::new();
        for change in 1..=CHANGES {
            // Each change has its own second of load, so that the load is bounded but does not end
            // before the last change.
            let quotes = cell.send(Load::quotes(50, pace));
            let invoices = cell.send(Load::invoices(50, pace));
            times.push(measure_change(cell, change).await);
            records.extend(quotes.finish().await);
            records.extend(invoices.finish().await);
        }
        times.sort_unstable();
        let (median, largest) = (times[times.len() / 2], times[times.len() - 1]);
        cell::print_measurement(&format!(
            "{CHANGES} changes in force at all instances: median {median:?}, maximum {largest:?}"
        ));
        let unserved: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| !record.last().end.is_done())
            .collect();
        assert!(unserved.is_empty(), "requests not served: {unserved:?}");
        cell.assert_no_violations(&records).await;
    });
}

/// Submits a manifest and returns the time until all instances report it in force. Changes go
/// through the instances in turn.
async fn measure_change(cell: &Cell, change: u32) -> Duration {
    let index = usize::try_from(change).expect("a small number") % cell.instances.len();
    let through = cell.instances.keys().nth(index).expect("an instance");
    let (expected, generation) = (Generation(change.into()), Generation(u64::from(change) + 1));
    // 2 to 4 replicas of the small service.
    let manifest = cell::manifest(2 + change % 3);
    let sent = Instant::now();
    let reply = cell.submit(through, expected, manifest).await;
    assert_eq!(reply, OperatorReply::Accepted { generation });
    let left = PROPAGATION_TIMEOUT.saturating_sub(sent.elapsed());
    wait::until(
        left,
        "the change is in force at all instances",
        async || {
            let statuses = cell.statuses().await;
            let all = statuses
                .values()
                .all(|status| status.generation == generation);
            (all && statuses.len() == cell.instances.len()).then_some(())
        },
    )
    .await;
    sent.elapsed()
}
