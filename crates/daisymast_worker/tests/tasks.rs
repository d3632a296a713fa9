//! Tests of running tasks: they stay within the capacity, run at most once and end with their
//! lease.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use common::{
    TestHarness, batch, exclusive, forget, key, refused, renew, replica, resolve_task, resolved,
    stop,
};
use daisymast_protocol::task::{TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Fate, LeaseStamp, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::quantities::Resources;
use daisymast_worker::model::{LogEvent, ModelReply};
use daisymast_worker::settings::ModelSettings;

fn new_harness() -> TestHarness {
    TestHarness::new(ModelSettings {
        capacity: Resources::new(4_000, 8_192, 1),
        ..ModelSettings::default()
    })
}

fn sized(run: u64, size: Resources) -> TaskSpec {
    TaskSpec {
        size,
        ..batch(run, 1_000)
    }
}

fn throttle(stamp: LeaseStamp, run: u64, millicores: u32) -> WorkerRequest {
    WorkerRequest::Throttle {
        stamp,
        task: key(run),
        millicores,
    }
}

fn states(changes: &[TaskReport]) -> Vec<(u64, TaskState, u64)> {
    let changes = changes.iter();
    changes
        .map(|task| (task.spec.key.run.0, task.state, task.elapsed_ms))
        .collect()
}

/// Guards against a task that exceeds the free CPU, memory or accelerators.
#[test]
fn start_beyond_the_capacity_is_refused() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    let first = sized(1, Resources::new(1_000, 1_024, 1));
    assert_eq!(harness.start(stamp, first), WorkerReply::Ok);
    for size in [
        Resources::new(3_001, 1, 0),
        Resources::new(1, 7_169, 0),
        Resources::new(1, 1, 1),
        Resources::new(u32::MAX, u32::MAX, u16::MAX),
    ] {
        let reply = harness.start(stamp, sized(2, size));
        assert_eq!(reply, refused(Refusal::NoCapacity), "{size:?}");
    }
    let rest = sized(2, Resources::new(3_000, 7_168, 0));
    assert_eq!(harness.start(stamp, rest), WorkerReply::Ok);
    assert_eq!(harness.model.used(), Resources::new(4_000, 8_192, 1));
    harness.tick(1_000);
    assert_eq!(harness.model.used(), Resources::ZERO);
}

/// Guards against an attempt that runs twice because its start is sent again.
#[test]
fn attempt_runs_once() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    let duplicate = refused(Refusal::Duplicate);
    assert_eq!(harness.start(stamp, batch(1, 1_000)), WorkerReply::Ok);
    assert_eq!(harness.start(stamp, batch(1, 1_000)), duplicate);
    harness.tick(1_000);
    assert_eq!(harness.start(stamp, batch(1, 1_000)), duplicate);
    assert_eq!(harness.call(forget(stamp, 1)), WorkerReply::Ok);
    assert_eq!(harness.start(stamp, batch(1, 1_000)), duplicate);
    assert_eq!(harness.work_log().len(), 2);
}

/// Guards against an attempt that is resolved as never run and then run by a delayed start.
#[test]
fn attempt_resolved_as_never_run_is_refused_for_ten_minutes() {
    let mut harness = new_harness();
    assert_eq!(harness.call(resolve_task(1)), resolved(Fate::NeverRan));
    harness.now = 599_999;
    let stamp = harness.lease_stamp();
    assert_eq!(
        harness.start(stamp, batch(1, 1_000)),
        refused(Refusal::Duplicate)
    );
    assert_eq!(harness.call(resolve_task(1)), resolved(Fate::NeverRan));
}

/// Guards against an outcome that does not match the state of the attempt, before and after the
/// report is forgotten.
#[test]
fn resolve_reports_the_fate_of_an_attempt() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, batch(1, 1_000));
    assert_eq!(harness.call(resolve_task(1)), resolved(Fate::Running));
    harness.tick(1_200);
    let report = TaskReport {
        spec: batch(1, 1_000),
        state: TaskState::Succeeded,
        elapsed_ms: 1_000,
    };
    let ended = resolved(Fate::Ended { report });
    assert_eq!(harness.call(resolve_task(1)), ended);
    harness.call(forget(stamp, 1));
    assert_eq!(harness.call(resolve_task(1)), ended);
}

/// Guards against an exclusive task that still runs when its owner may already restart it
/// elsewhere, 10 s after the last extension.
#[test]
fn exclusive_task_expires_ten_seconds_after_its_last_extension() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, exclusive(1, 100_000));
    harness.start(stamp, exclusive(2, 100_000));
    harness.now = 5_000;
    harness.call(renew(stamp, &[1], 2, 0));
    harness.tick(9_999);
    assert_eq!(harness.task_changes(stamp, 2).1, []);
    harness.tick(10_000);
    let (seq, changes) = harness.task_changes(stamp, 2);
    assert_eq!(states(&changes), [(2, TaskState::Expired, 10_000)]);
    harness.tick(15_000);
    let (_, changes) = harness.task_changes(stamp, seq);
    assert_eq!(states(&changes), [(1, TaskState::Expired, 15_000)]);
}

/// Guards against replicas that end as soon as the worker loses its holder, and against orphaned
/// replicas that never end.
#[test]
fn replica_outlives_its_holder_by_ten_minutes() {
    let mut harness = new_harness();
    let stamp = harness.acquire_lease("i-1", 3_000).stamp;
    harness.start(stamp, replica(1));
    harness.now = 1_000;
    harness.call(renew(stamp, &[], 1, 0));
    harness.tick(600_999);
    assert_eq!(harness.model.used().millicores, 1_000);
    harness.tick(601_000);
    assert_eq!(harness.model.used(), Resources::ZERO);
}

/// Guards against a freeze that counts as run time of a task, and against a freeze that prolongs
/// the lease of an exclusive task.
#[test]
fn freeze_delays_run_times_and_not_leases() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, exclusive(1, 5_000));
    harness.start(stamp, batch(2, 5_000));
    harness.now = 1_000;
    harness.update_faults(|faults| faults.freeze = true);
    harness.now = 21_000;
    harness.update_faults(|faults| faults.freeze = false);
    harness.tick(21_000);
    let (seq, changes) = harness.task_changes(stamp, 2);
    assert_eq!(states(&changes), [(1, TaskState::Expired, 10_000)]);
    harness.tick(24_999);
    assert_eq!(harness.task_changes(stamp, seq).1, []);
    harness.tick(25_000);
    let (_, changes) = harness.task_changes(stamp, seq);
    assert_eq!(states(&changes), [(2, TaskState::Succeeded, 25_000)]);
}

/// Guards against a stop that fails when it is repeated, that does not free the capacity, or that
/// succeeds for an unknown task.
#[test]
fn stop_frees_the_capacity_and_is_idempotent() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, replica(1));
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    assert_eq!(harness.model.used(), Resources::ZERO);
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    assert_eq!(harness.call(stop(stamp, 2)), refused(Refusal::UnknownTask));
    let (_, changes) = harness.task_changes(stamp, 0);
    assert_eq!(states(&changes), [(1, TaskState::Stopped, 0)]);
}

/// Guards against a CPU limit that frees no capacity, and against one that is raised into capacity
/// that other tasks use.
#[test]
fn throttle_frees_cpu_and_slows_the_task() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, sized(1, Resources::new(4_000, 1_024, 0)));
    harness.now = 500;
    assert_eq!(harness.call(throttle(stamp, 1, 1_000)), WorkerReply::Ok);
    let other = sized(2, Resources::new(3_000, 1_024, 0));
    assert_eq!(harness.start(stamp, other), WorkerReply::Ok);
    assert_eq!(
        harness.call(throttle(stamp, 1, 1_001)),
        refused(Refusal::NoCapacity)
    );
    assert_eq!(
        harness.call(throttle(stamp, 1, 0)),
        refused(Refusal::Invalid)
    );
    assert_eq!(
        harness.call(throttle(stamp, 3, 1)),
        refused(Refusal::UnknownTask)
    );
    let (_, changes) = harness.task_changes(stamp, 0);
    assert_eq!(changes[0].spec.size.millicores, 1_000);
    // The other task ends at 1,500 ms. The throttled one had half of its work left at 500 ms and
    // runs at a quarter of the speed.
    harness.tick(1_500);
    assert_eq!(harness.call(throttle(stamp, 1, 9_000)), WorkerReply::Ok);
    assert_eq!(harness.model.used().millicores, 4_000);
    harness.tick(1_749);
    assert_eq!(harness.model.used().millicores, 4_000);
    harness.tick(1_750);
    assert_eq!(harness.model.used(), Resources::ZERO);
}

/// Guards against an end report that is dropped before the holder has acknowledged it.
#[test]
fn ended_tasks_are_reported_until_they_are_forgotten() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, batch(1, 1_000));
    harness.start(stamp, batch(2, 9_000));
    harness.tick(1_000);
    assert_eq!(harness.acquire_lease("i-1", 60_000).tasks.len(), 2);
    // Forgetting a running task has no effect.
    harness.call(forget(stamp, 2));
    harness.call(forget(stamp, 1));
    let tasks = harness.acquire_lease("i-1", 60_000).tasks;
    assert_eq!(states(&tasks), [(2, TaskState::Running, 1_000)]);
}

/// Guards against a waiting renewal that does not return when a task changes, when its wait is
/// over, or when the worker starts to leave.
#[test]
fn waiting_renewal_is_answered_by_a_change() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, batch(1, 1_000));
    let ModelReply::Answer(_) = harness.send(renew(stamp, &[], 0, 20_000)) else {
        panic!("renewal waits although there is a change to report")
    };
    let first = harness.call_deferred(renew(stamp, &[], 1, 20_000));
    assert_eq!(harness.tick(999), []);
    let replies = harness.tick(1_000);
    let (exchange, WorkerReply::Renewed { seq, changes, .. }) = &replies[0] else {
        panic!("{replies:?}")
    };
    assert_eq!((*exchange, *seq), (first, 2));
    assert_eq!(states(changes), [(1, TaskState::Succeeded, 1_000)]);
    let second = harness.call_deferred(renew(stamp, &[], 2, 5_000));
    assert_eq!(harness.tick(5_999), []);
    assert_eq!(harness.tick(6_000)[0].0, second);
    let third = harness.call_deferred(renew(stamp, &[], 2, 5_000));
    harness.update_faults(|faults| faults.leaving = true);
    let replies = harness.tick(6_001);
    assert_eq!(replies[0].0, third);
    assert!(matches!(
        replies[0].1,
        WorkerReply::Renewed { leaving: true, .. }
    ));
}

/// Guards against a leaving worker that accepts new work, that stops its running tasks, or that
/// does not log the refusals.
#[test]
fn leaving_worker_refuses_new_work_and_keeps_running_tasks() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.start(stamp, replica(1));
    harness.update_faults(|faults| faults.leaving = true);
    let leaving = refused(Refusal::Leaving);
    assert_eq!(harness.start(stamp, batch(2, 1_000)), leaving);
    assert_eq!(harness.call(common::serve(stamp, "r-1")), leaving);
    assert!(harness.acquire_lease("i-1", 60_000).leaving);
    assert_eq!(harness.model.used().millicores, 1_000);
    let refusal = LogEvent::WorkRefused {
        epoch: stamp.epoch,
        reason: Refusal::Leaving,
    };
    let logged = harness
        .log_with_refusals()
        .into_iter()
        .map(|entry| entry.event);
    assert_eq!(logged.filter(|event| *event == refusal).count(), 2);
}

/// Guards against injected failures and speed factors without effect.
#[test]
fn failure_rate_and_speed_apply_to_new_tasks() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    harness.update_faults(|faults| faults.failure_rate = 1.0);
    harness.start(stamp, replica(1));
    harness.start(stamp, batch(2, 1_000));
    harness.tick(50);
    let (seq, changes) = harness.task_changes(stamp, 0);
    let failed = TaskState::Failed;
    assert_eq!(states(&changes), [(1, failed, 50), (2, failed, 50)]);
    harness.update_faults(|faults| (faults.failure_rate, faults.speed) = (0.0, 0.5));
    harness.start(stamp, batch(3, 1_000));
    harness.tick(2_049);
    assert_eq!(harness.model.used().millicores, 1_000);
    harness.tick(2_050);
    let (_, changes) = harness.task_changes(stamp, seq);
    assert_eq!(states(&changes), [(3, TaskState::Succeeded, 2_000)]);
}

/// Guards against a history of IDs that grows without bound, or that evicts an ID which the worker
/// must still refuse.
#[test]
fn full_history_refuses_new_tasks() {
    let mut harness = TestHarness::new(ModelSettings {
        remembered_ids: 2,
        ..ModelSettings::default()
    });
    let stamp = harness.lease_stamp();
    assert_eq!(harness.call(resolve_task(1)), resolved(Fate::NeverRan));
    assert_eq!(harness.start(stamp, batch(2, 1_000)), WorkerReply::Ok);
    let full = refused(Refusal::NoCapacity);
    assert_eq!(harness.start(stamp, batch(3, 1_000)), full);
    assert_eq!(harness.call(resolve_task(3)), full);
    harness.tick(600_000);
    // The tombstone of the first task may be evicted now; the report of the second one may not.
    let stamp = harness.lease_stamp();
    assert_eq!(harness.start(stamp, batch(3, 1_000)), WorkerReply::Ok);
    assert_eq!(harness.start(stamp, batch(4, 1_000)), full);
}

/// Guards against a reported usage that is never stale or always equals the declared size. Real
/// usage lags and differs from it.
#[test]
fn reported_usage_lags_and_differs_from_the_declared_size() {
    let mut harness = TestHarness::new(ModelSettings {
        usage_percent: 150,
        ..ModelSettings::default()
    });
    let stamp = harness.lease_stamp();
    harness.start(stamp, replica(1));
    let usage = |harness: &mut TestHarness| match harness.call(renew(stamp, &[], 0, 0)) {
        WorkerReply::Renewed { usage, .. } => usage.millicores,
        other => panic!("{other:?}"),
    };
    assert_eq!(usage(&mut harness), 0);
    harness.now = 1_000;
    assert_eq!(usage(&mut harness), 1_500);
}
