//! Tests of the control lease: at any time, at most one instance can change a worker.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use common::{
    TestHarness, acquire, batch, forget, refused, renew, replica, request, serve, start, stop,
};
use daisymast_protocol::worker::{LeaseStamp, Refusal, WorkerMillis, WorkerReply, WorkerRequest};
use daisymast_types::ids::{BootId, Epoch};
use daisymast_worker::settings::ModelSettings;

fn new_harness() -> TestHarness {
    TestHarness::new(ModelSettings::default())
}

fn messages_under(stamp: LeaseStamp) -> Vec<WorkerRequest> {
    vec![
        renew(stamp, &[], 0, 0),
        start(stamp, batch(9, 1_000)),
        serve(stamp, "r-9"),
        stop(stamp, 1),
        WorkerRequest::Throttle {
            stamp,
            task: common::key(1),
            millicores: 100,
        },
        forget(stamp, 1),
        WorkerRequest::Release { stamp },
    ]
}

/// Guards against a lease that is granted to a second holder before that of the first one expires.
#[test]
fn held_lease_is_refused_until_it_expires() {
    let mut harness = new_harness();
    let first = harness.acquire_lease("i-1", 3_000);
    assert_eq!(first.stamp.epoch, Epoch(1));
    harness.now = 2_999;
    let held = WorkerReply::Held {
        holder: "i-1".into(),
        remaining_ms: 1,
    };
    assert_eq!(harness.call(acquire("i-2", 3_000)), held);
    harness.now = 3_000;
    assert_eq!(harness.acquire_lease("i-2", 3_000).stamp.epoch, Epoch(2));
}

/// Guards against a holder that loses its lease by requesting it again, for example after a lost
/// reply.
#[test]
fn holder_acquires_its_live_lease_again() {
    let mut harness = new_harness();
    let first = harness.acquire_lease("i-1", 3_000);
    harness.now = 2_000;
    assert_eq!(harness.acquire_lease("i-1", 3_000).stamp, first.stamp);
    harness.now = 4_999;
    assert!(matches!(
        harness.call(acquire("i-2", 3_000)),
        WorkerReply::Held { .. }
    ));
}

/// Guards against messages of a former holder that take effect after its lease expired, for example
/// because it was paused.
#[test]
fn messages_under_an_expired_lease_are_refused() {
    let mut harness = new_harness();
    let old = harness.acquire_lease("i-1", 3_000).stamp;
    assert_eq!(harness.start(old, replica(1)), WorkerReply::Ok);
    harness.now = 3_000;
    let log = harness.log();
    for message in messages_under(old) {
        assert_eq!(
            harness.call(message.clone()),
            refused(Refusal::StaleLease),
            "{message:?}"
        );
    }
    // The messages stay refused once the same or another instance holds the lease again.
    for holder in ["i-1", "i-2"] {
        let new = harness.acquire_lease(holder, 1_000).stamp;
        assert!(new.epoch > old.epoch);
        for message in messages_under(old) {
            assert_eq!(harness.call(message), refused(Refusal::StaleLease));
        }
        harness.now += 1_000;
    }
    assert_eq!(harness.log().len(), log.len() + 2);
}

/// Guards against a stamp from before a restart of the worker that is accepted after it.
#[test]
fn stamp_of_another_boot_is_refused() {
    let mut harness = new_harness();
    let mut stamp = harness.lease_stamp();
    stamp.boot = BootId(8);
    for message in messages_under(stamp) {
        assert_eq!(harness.call(message), refused(Refusal::StaleLease));
    }
}

/// Guards against a renewal that is buffered during a freeze and then renews a lease that expired
/// meanwhile.
#[test]
fn buffered_renewal_does_not_revive_an_expired_lease() {
    let mut harness = new_harness();
    let stamp = harness.acquire_lease("i-1", 3_000).stamp;
    harness.update_faults(|faults| faults.freeze = true);
    let renewal = harness.call_deferred(renew(stamp, &[], 0, 0));
    let task_start = harness.call_deferred(start(stamp, batch(1, 1_000)));
    assert_eq!(harness.tick(10_000), []);
    harness.update_faults(|faults| faults.freeze = false);
    let stale = refused(Refusal::StaleLease);
    assert_eq!(
        harness.tick(10_000),
        [(renewal, stale.clone()), (task_start, stale)]
    );
    assert_eq!(harness.work_log(), []);
}

/// Guards against a message that takes effect at or after its `not_after` deadline, when its sender
/// no longer waits for it.
#[test]
fn messages_past_their_deadline_are_refused() {
    let mut harness = new_harness();
    let stamp = harness.lease_stamp();
    assert_eq!(harness.start(stamp, replica(1)), WorkerReply::Ok);
    harness.now = 500;
    let start_by = |limit| WorkerRequest::Start {
        stamp,
        not_after: WorkerMillis(limit),
        task: batch(2, 1_000),
    };
    let serve_by = |limit| WorkerRequest::Serve {
        stamp,
        not_after: WorkerMillis(limit),
        request: request("r-1"),
    };
    assert_eq!(harness.call(start_by(500)), refused(Refusal::Late));
    assert_eq!(harness.call(serve_by(500)), refused(Refusal::Late));
    assert_eq!(harness.call(start_by(501)), WorkerReply::Ok);
    harness.call_deferred(serve_by(501));
}

/// Guards against a released lease that still permits changes, and against a hand-over that has to
/// wait until the released lease expires.
#[test]
fn released_lease_is_free_at_once() {
    let mut harness = new_harness();
    let old = harness.acquire_lease("i-1", 3_000).stamp;
    let release = WorkerRequest::Release { stamp: old };
    assert_eq!(harness.call(release), WorkerReply::Ok);
    assert_eq!(
        harness.start(old, batch(1, 1_000)),
        refused(Refusal::StaleLease)
    );
    assert!(harness.acquire_lease("i-2", 3_000).stamp.epoch > old.epoch);
}

/// Guards against a new holder that does not learn of the running tasks, and against a renewal of
/// the former holder that is never answered.
#[test]
fn new_holder_gets_all_tasks_and_the_old_renewal_is_refused() {
    let mut harness = new_harness();
    let old = harness.acquire_lease("i-1", 3_000).stamp;
    assert_eq!(harness.start(old, replica(1)), WorkerReply::Ok);
    assert_eq!(harness.start(old, batch(2, 1_000)), WorkerReply::Ok);
    assert!(harness.tick(1_500).is_empty());
    let waiting = harness.call_deferred(renew(old, &[], 3, 20_000));
    assert_eq!(harness.tick(4_499), []);
    assert_eq!(
        harness.tick(4_500),
        [(waiting, refused(Refusal::StaleLease))]
    );
    let grant = harness.acquire_lease("i-2", 3_000);
    let states: Vec<_> = grant.tasks.iter().map(|task| task.spec.key.run.0).collect();
    assert_eq!((states, grant.seq), (vec![1, 2], 3));
    assert_eq!(grant.clock, WorkerMillis(4_500));
}

/// Guards against a time to live that is zero or lets one holder block a worker for too long.
#[test]
fn time_to_live_is_bounded() {
    for ttl_ms in [0, 60_001, u64::MAX] {
        let reply = new_harness().call(acquire("i-1", ttl_ms));
        assert_eq!(reply, refused(Refusal::Invalid), "{ttl_ms}");
    }
}

/// Guards against an `ignore_fencing` fault without effect: tests that rely on lease timing alone
/// would still be protected by fencing.
#[test]
fn worker_without_fencing_accepts_any_stamp() {
    let mut harness = new_harness();
    let old = harness.acquire_lease("i-1", 3_000).stamp;
    harness.update_faults(|faults| faults.ignore_fencing = true);
    harness.now = 3_000;
    harness.acquire_lease("i-2", 3_000);
    assert_eq!(harness.start(old, batch(1, 1_000)), WorkerReply::Ok);
    assert_eq!(
        harness.call(renew(old, &[], 0, 0)),
        refused(Refusal::StaleLease)
    );
}
