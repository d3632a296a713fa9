//! Gang jobs, which start all tasks or none.

use daisymast_protocol::task::TaskState;
use daisymast_types::ids::WorkerId;

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{TestInstance, gang, manifest};
use crate::runs::tests::holder::Holder;

/// Guards against reservations in another order than by worker id, and against a gang job that is
/// run again after its end.
#[test]
fn gang_job_reserves_in_order_and_starts_all_tasks() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![], vec![gang("model", 24)]));
    instance.run(&mut store, &mut holder, 5_000);
    assert_eq!(holder.running(), 24);
    // 24 tasks fill three workers; which three is up to placement.
    assert_eq!(holder.reserves.len(), 3);
    assert!(
        holder.reserves.is_sorted_by(|a, b| a < b),
        "{:?}",
        holder.reserves
    );
    holder.end_all(TaskState::Succeeded);
    instance.run(&mut store, &mut holder, 20_000);
    assert!(instance.runs.status().is_empty());
    assert_eq!(holder.starts.len(), 24, "it runs once");
}

/// Guards against a partial start of a gang, and against reservations that leave capacity idle
/// after one of them was refused.
#[test]
fn refused_reservation_releases_all_others() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    holder.full.insert(WorkerId::from("w-3"));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![], vec![gang("model", 24)]));
    instance.run(&mut store, &mut holder, 10_000);
    assert!(holder.starts.is_empty());
    assert!(holder.reserved.is_empty(), "{:?}", holder.reserved);
    assert!(holder.reserves.len() >= 9, "it is tried again");
    assert_eq!(instance.event_count("task.claimed"), 0);
    holder.full.clear();
    instance.run(&mut store, &mut holder, 15_000);
    assert_eq!(holder.running(), 24);
}

/// Guards against starts whose claims are not durable, and against reservations that are never
/// released.
#[test]
fn gang_starts_nothing_until_its_claims_are_recorded() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance = TestInstance::new("a", 1, &holder, manifest(vec![], vec![]));
    instance.run(&mut store, &mut holder, 5_000);
    instance.set_manifest(manifest(vec![], vec![gang("model", 12)]));
    while instance.event_count("run.opened") == 0 {
        let next = instance.now.mono.as_millis() + 50;
        instance.run(&mut store, &mut holder, next);
    }
    store.down = true;
    instance.run(&mut store, &mut holder, 12_000);
    assert!(!holder.reserves.is_empty() && holder.starts.is_empty());
    store.down = false;
    instance.run(&mut store, &mut holder, 18_000);
    assert_eq!(holder.running(), 12);
    assert!(holder.reserved.values().all(|size| size.millicores == 0));
}

/// Guards against a new release that restarts a gang job with an unchanged declaration, against a
/// changed declaration that starts nothing, and against another run when an earlier declaration is
/// restored.
#[test]
fn gang_job_is_rerun_only_when_its_declaration_changes() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let declared = manifest(vec![], vec![gang("model", 8)]);
    let mut instance = TestInstance::new("a", 1, &holder, declared.clone());
    instance.run(&mut store, &mut holder, 5_000);
    assert_eq!(holder.running(), 8);
    let mut next = declared.clone();
    next.release = "r2".into();
    instance.set_manifest(next.clone());
    instance.run(&mut store, &mut holder, 10_000);
    assert_eq!((holder.running(), holder.starts.len()), (8, 8));
    let unchanged = holder.running_runs();

    next.gang_jobs[0].revision = 1;
    instance.set_manifest(next);
    instance.run(&mut store, &mut holder, 20_000);
    assert_eq!((holder.running(), holder.starts.len()), (8, 16));
    assert_ne!(holder.running_runs(), unchanged, "the old run is stopped");

    instance.set_manifest(declared);
    instance.run(&mut store, &mut holder, 40_000);
    assert_eq!((holder.running(), holder.starts.len()), (0, 16));
}
