//! Manifests are changed under load.

use std::time::{Duration, Instant};

use daisymast_cluster::cell::{self, Cell, Plan};
use daisymast_cluster::load::{Load, Record};
use daisymast_cluster::wait;
use daisymast_protocol::operator::OperatorReply;
use daisymast_types::ids::Generation;

/// A configuration is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(5);
const CHANGES: u32 = 20;

/// Guards against instances that learn of a change late, and against changes that disturb requests.
#[test]
fn changes_are_in_force_everywhere_in_time() {
    cell::run("manifest_change", Plan::default(), async |cell| {
        let pace = Duration::from_millis(20);
        let mut times = Vec::new();
        let mut records = Vec::new();
        for change in 1..=CHANGES {
            // Each change has its own second of load, so that the load is bounded but never ends early.
            let quotes = cell.send(Load::quotes(50, pace));
            let invoices = cell.send(Load::invoices(50, pace));
            times.push(change_once(cell, change).await);
            records.extend(quotes.finish().await);
            records.extend(invoices.finish().await);
        }
        times.sort_unstable();
        let (median, largest) = (times[times.len() / 2], times[times.len() - 1]);
        cell::report(&format!(
            "{CHANGES} changes in force everywhere: median {median:?}, largest {largest:?}"
        ));
        let unserved: Vec<&Record> = records
            .iter()
            .filter(|one| !one.last().end.is_done())
            .collect();
        assert!(unserved.is_empty(), "without an answer: {unserved:?}");
        cell.judge(&records).await;
    });
}

/// Time from the submission, sent through each instance in turn, to a look that finds the change at
/// all instances.
async fn change_once(cell: &Cell, change: u32) -> Duration {
    let index = usize::try_from(change).expect("a small number") % cell.instances.len();
    let through = cell.instances.keys().nth(index).expect("an instance");
    let (expected, generation) = (Generation(change.into()), Generation(u64::from(change) + 1));
    // Between 2 and 4 replicas of the small service.
    let manifest = cell::manifest(2 + change % 3);
    let sent = Instant::now();
    let reply = cell.submit(through, expected, manifest).await;
    assert_eq!(reply, OperatorReply::Accepted { generation });
    let left = IN_FORCE.saturating_sub(sent.elapsed());
    wait::until(left, "the change is in force everywhere", async || {
        let statuses = cell.statuses().await;
        let all = statuses.values().all(|one| one.generation == generation);
        (all && statuses.len() == cell.instances.len()).then_some(())
    })
    .await;
    sent.elapsed()
}
