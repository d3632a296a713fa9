//! Tests of the sweep that stops undeclared tasks.

use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::WorkerRequest;
use daisymast_types::ids::Generation;

use crate::testing::{TestHarness, heartbeat, manifest, replica, task};

fn ready(tasks: u32) -> TestHarness {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    for index in 0..tasks {
        let mut undeclared = task("retired", 1, index);
        undeclared.size.millicores = 10;
        undeclared.size.memory_mib = 10;
        harness
            .worker("w-1")
            .report(&undeclared, TaskState::Running);
    }
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    harness.run_to(500);
    harness
}

/// Guards against tasks that keep running after their job was removed from the manifest or their
/// instance crashed, and against stopping declared tasks.
#[test]
fn undeclared_task_is_stopped() {
    let mut harness = ready(1);
    harness.run_for(5_000);
    assert!(harness.take_stop().is_none(), "stopped without a manifest");
    harness
        .instance
        .set_manifest(Generation(1), manifest(&[("quotes", 1)]));
    harness.run_for(100);
    assert_eq!(harness.take_stop(), Some(task("retired", 1, 0).key));
    let undeclared = task("retired", 1, 0);
    harness
        .worker("w-1")
        .report(&undeclared, TaskState::Stopped);
    harness.run_for(12_000);
    assert!(harness.take_stop().is_none());
    assert!(harness.has_record("task.stopped"));
}

/// Guards against a burst of stops that delays starts, and against a rate limit that is too low.
#[test]
fn at_most_twenty_stops_per_second() {
    let mut harness = ready(60);
    harness
        .instance
        .set_manifest(Generation(1), manifest(&[("quotes", 1)]));
    let mut sent: Vec<u64> = Vec::new();
    for _ in 0..80 {
        harness.run_for(50);
        while let Some(key) = harness.take_stop() {
            sent.push(harness.now);
            let mut undeclared = task("retired", 1, key.index);
            undeclared.size = daisymast_types::quantities::Resources::new(10, 10, 0);
            harness
                .worker("w-1")
                .report(&undeclared, TaskState::Stopped);
        }
    }
    assert_eq!(sent.len(), 60);
    for window in sent.windows(21) {
        assert!(window[20] - window[0] >= 1_000, "{window:?}");
    }
}

/// Guards against an instance with an outdated manifest that stops tasks which a newer one
/// declares.
#[test]
fn instance_with_an_outdated_manifest_stops_nothing() {
    let mut harness = ready(1);
    let mut newer = heartbeat("entry-2", "Waco", &[]);
    newer.generation = Generation(2);
    harness.live_peers.push(newer);
    harness.run_for(600);
    harness
        .instance
        .set_manifest(Generation(1), manifest(&[("quotes", 1)]));
    harness.run_for(3_000);
    assert!(harness.take_stop().is_none());
}

/// Guards against ended replicas that accumulate on the worker. No run owner collects their
/// results.
#[test]
fn ended_replicas_are_dropped_from_the_worker() {
    let mut harness = ready(0);
    harness
        .instance
        .set_manifest(Generation(1), manifest(&[("quotes", 1)]));
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Failed);
    harness.run_for(7_000);
    let open = harness.take_call(|request| matches!(request, WorkerRequest::Forget { .. }));
    assert!(open.is_some());
}
