//! Tests of serving requests: each request is served at most once, only by a replica of its
//! service, and within the slots of the worker.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use common::{
    TestHarness, batch, refused, renew, replica, request, resolve, resolve_with_boot, resolved,
    serve, start, stop,
};
use daisymast_protocol::worker::{Fate, LeaseStamp, Refusal, WorkerReply};
use daisymast_types::hashing;
use daisymast_types::ids::BootId;
use daisymast_worker::model::{self, LogEvent, ModelReply, WorkerModel};
use daisymast_worker::settings::ModelSettings;

/// A worker with default settings and one running replica.
fn new_harness() -> (TestHarness, LeaseStamp) {
    harness_with(ModelSettings::default())
}

fn harness_with(settings: ModelSettings) -> (TestHarness, LeaseStamp) {
    let mut harness = TestHarness::new(settings);
    let stamp = harness.lease_stamp();
    assert_eq!(harness.start(stamp, replica(1)), WorkerReply::Ok);
    (harness, stamp)
}

/// Guards against an answer whose ID, length or digest does not match the request.
#[test]
fn answer_matches_its_request() {
    let (mut harness, stamp) = new_harness();
    let exchange = harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.tick(19), []);
    let answer = model::answer(&request("r-1"));
    assert_eq!(answer.body, "quotes:r-1:plaza");
    assert_eq!(answer.length, 16);
    assert_eq!(
        answer.digest,
        format!("{:032x}", hashing::digest(answer.body.as_bytes()))
    );
    assert_eq!(
        harness.tick(20),
        [(exchange, WorkerReply::Served { answer })]
    );
}

/// Guards against a request that is served again when it is repeated during or after serving.
#[test]
fn request_is_served_once() {
    let (mut harness, stamp) = new_harness();
    harness.call_deferred(serve(stamp, "r-1"));
    let duplicate = refused(Refusal::Duplicate);
    assert_eq!(harness.call(serve(stamp, "r-1")), duplicate);
    harness.tick(20);
    assert_eq!(harness.call(serve(stamp, "r-1")), duplicate);
}

/// Guards against a lost reply after which the outcome of the request can no longer be found out.
#[test]
fn resolve_reports_the_fate_of_a_request() {
    let (mut harness, stamp) = new_harness();
    harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.call(resolve("r-1")), resolved(Fate::Running));
    harness.tick(20);
    let answer = model::answer(&request("r-1"));
    assert_eq!(
        harness.call(resolve("r-1")),
        resolved(Fate::Answered { answer })
    );
}

/// Guards against a request that is resolved as never run and then run by a delayed message.
#[test]
fn request_resolved_as_never_run_is_refused() {
    let (mut harness, stamp) = new_harness();
    assert_eq!(harness.call(resolve("r-1")), resolved(Fate::NeverRan));
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::Duplicate)
    );
    // The same holds if both messages are buffered during a freeze: the request is handled after
    // the question about it.
    harness.update_faults(|faults| faults.freeze = true);
    let resolving = harness.call_deferred(resolve("r-2"));
    let serving = harness.call_deferred(serve(stamp, "r-2"));
    harness.update_faults(|faults| faults.freeze = false);
    let replies = harness.tick(10);
    let never = (resolving, resolved(Fate::NeverRan));
    assert_eq!(replies, [never, (serving, refused(Refusal::Duplicate))]);
}

/// Guards against a restarted worker that reports a request to its former process as never run. A
/// non-idempotent request would then run twice.
#[test]
fn restarted_worker_does_not_resolve_requests_of_its_former_process() {
    let (mut harness, stamp) = new_harness();
    harness.call_deferred(serve(stamp, "r-1"));
    harness.model = WorkerModel::new(ModelSettings::default(), BootId(8));
    // The holder has not noticed the restart and still uses the former boot ID.
    let question = || resolve_with_boot(stamp.boot, "r-1");
    assert_eq!(harness.call(question()), refused(Refusal::StaleLease));
    let grant = harness.acquire_lease("i-1", 3_000);
    assert_eq!(harness.call(question()), refused(Refusal::StaleLease));
    let current = resolve_with_boot(grant.stamp.boot, "r-1");
    assert_eq!(harness.call(current), resolved(Fate::NeverRan));
}

/// Guards against a request that is served on a worker without a replica of its service.
#[test]
fn request_needs_a_running_replica() {
    let (mut harness, stamp) = new_harness();
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::NoReplica)
    );
    // A batch task with the name of the service does not count as a replica.
    let mut same_name = batch(2, 1_000);
    same_name.job = "quotes".into();
    assert_eq!(harness.start(stamp, same_name), WorkerReply::Ok);
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::NoReplica)
    );
    // A refused request did not run, so it may be sent again.
    assert_eq!(harness.start(stamp, replica(3)), WorkerReply::Ok);
    harness.call_deferred(serve(stamp, "r-1"));
}

/// Guards against a request in flight that gets no answer because its replica is stopped.
#[test]
fn request_in_flight_survives_the_stop_of_its_replica() {
    let (mut harness, stamp) = new_harness();
    let exchange = harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    let replies = harness.tick(20);
    assert!(matches!(&replies[..], [(id, WorkerReply::Served { .. })] if *id == exchange));
}

/// Guards against more concurrent requests than the worker has slots.
#[test]
fn request_beyond_the_slots_is_refused() {
    let (mut harness, stamp) = new_harness();
    for number in 0..8 {
        harness.call_deferred(serve(stamp, &format!("r-{number}")));
    }
    assert_eq!(harness.call(serve(stamp, "r-8")), refused(Refusal::NoSlot));
    assert_eq!(harness.tick(20).len(), 8);
    harness.call_deferred(serve(stamp, "r-8"));
}

/// Guards against waiting renewals and requests that together exceed the configured connections.
#[test]
fn exchanges_beyond_the_connections_are_refused() {
    let settings = ModelSettings {
        connections: 2,
        ..ModelSettings::default()
    };
    let (mut harness, stamp) = harness_with(settings);
    harness.call_deferred(renew(stamp, &[], 1, 10_000));
    harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.call(serve(stamp, "r-2")), refused(Refusal::NoSlot));
    let renewal = harness.call(renew(stamp, &[], 1, 10_000));
    assert!(
        matches!(renewal, WorkerReply::Renewed { .. }),
        "{renewal:?}"
    );
}

/// Guards against a failed request that is reported as answered or as never run.
#[test]
fn failed_request_is_reported_as_failed() {
    let (mut harness, stamp) = new_harness();
    harness.update_faults(|faults| faults.failure_rate = 1.0);
    let exchange = harness.call_deferred(serve(stamp, "r-1"));
    let failed = resolved(Fate::Failed);
    assert_eq!(harness.tick(20), [(exchange, failed.clone())]);
    assert_eq!(harness.call(resolve("r-1")), failed);
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::Duplicate)
    );
    let ended = harness.log().pop().unwrap().event;
    assert!(matches!(
        ended,
        LogEvent::RequestEnded {
            answered: false,
            ..
        }
    ));
}

/// Guards against an injected network partition during which messages of the refused caller take
/// effect.
#[test]
fn refused_caller_cannot_reach_the_worker() {
    let (mut harness, stamp) = new_harness();
    harness.update_faults(|faults| faults.refuse = vec!["i-1".to_owned()]);
    let log = harness.log();
    let message = start(stamp, batch(2, 1_000));
    let reply = harness
        .model
        .on_request_from(harness.time(), "i-1", message.clone());
    assert_eq!(reply, ModelReply::Unreachable);
    assert_eq!(harness.log(), log);
    let reply = harness
        .model
        .on_request_from(harness.time(), "i-2", message);
    assert_eq!(reply, ModelReply::Answer(WorkerReply::Ok));
}

/// Guards against a full history that evicts an answer for which a caller may still ask.
#[test]
fn full_history_refuses_new_requests() {
    let settings = ModelSettings {
        remembered_ids: 1,
        ..ModelSettings::default()
    };
    let (mut harness, stamp) = harness_with(settings);
    harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.call(serve(stamp, "r-2")), refused(Refusal::NoSlot));
    harness.tick(20);
    assert_eq!(harness.call(resolve("r-2")), refused(Refusal::NoSlot));
    harness.tick(120_020);
    let stamp = harness.lease_stamp();
    harness.call_deferred(serve(stamp, "r-2"));
}
