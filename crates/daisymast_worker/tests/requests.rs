//! Guards against requests that are served twice, by the wrong service or beyond the slots.
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

/// A worker with one replica of the service.
fn new_harness() -> (TestHarness, LeaseStamp) {
    harness_with(ModelSettings::default())
}

fn harness_with(settings: ModelSettings) -> (TestHarness, LeaseStamp) {
    let mut harness = TestHarness::new(settings);
    let stamp = harness.lease_stamp();
    assert_eq!(harness.start(stamp, replica(1)), WorkerReply::Ok);
    (harness, stamp)
}

/// Guards against an answer that cannot be checked against its request.
#[test]
fn answer_belongs_to_its_request() {
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

/// Guards against a repeated request that is served twice.
#[test]
fn request_is_served_once() {
    let (mut harness, stamp) = new_harness();
    harness.call_deferred(serve(stamp, "r-1"));
    let duplicate = refused(Refusal::Duplicate);
    assert_eq!(harness.call(serve(stamp, "r-1")), duplicate);
    harness.tick(20);
    assert_eq!(harness.call(serve(stamp, "r-1")), duplicate);
}

/// Guards against a lost reply after which nobody can tell what became of the request.
#[test]
fn resolve_tells_what_became_of_a_request() {
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

/// Guards against a true "not run" that a delayed message makes false.
#[test]
fn request_resolved_as_never_run_is_refused() {
    let (mut harness, stamp) = new_harness();
    assert_eq!(harness.call(resolve("r-1")), resolved(Fate::NeverRan));
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::Duplicate)
    );
    // The same holds for a message that was buffered before the question, but handled after it.
    harness.update_faults(|faults| faults.freeze = true);
    let resolving = harness.call_deferred(resolve("r-2"));
    let serving = harness.call_deferred(serve(stamp, "r-2"));
    harness.update_faults(|faults| faults.freeze = false);
    let replies = harness.tick(10);
    let never = (resolving, resolved(Fate::NeverRan));
    assert_eq!(replies, [never, (serving, refused(Refusal::Duplicate))]);
}

/// Guards against a worker that restarted and says of a request of its former process that it never
/// ran: a request that may not be repeated would then run a second time.
#[test]
fn restarted_worker_does_not_speak_for_its_former_process() {
    let (mut harness, stamp) = new_harness();
    harness.call_deferred(serve(stamp, "r-1"));
    harness.model = WorkerModel::new(ModelSettings::default(), BootId(8));
    // The holder has not noticed the restart, so it asks under its former lease.
    let question = || resolve_with_boot(stamp.boot, "r-1");
    assert_eq!(harness.call(question()), refused(Refusal::StaleLease));
    let grant = harness.acquire_lease("i-1", 3_000);
    assert_eq!(harness.call(question()), refused(Refusal::StaleLease));
    let present = resolve_with_boot(grant.stamp.boot, "r-1");
    assert_eq!(harness.call(present), resolved(Fate::NeverRan));
}

/// Guards against a request at a worker on which its service does not run.
#[test]
fn request_needs_a_running_replica() {
    let (mut harness, stamp) = new_harness();
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::NoReplica)
    );
    // A batch of the same name takes no requests.
    let mut named = batch(2, 1_000);
    named.job = "quotes".into();
    assert_eq!(harness.start(stamp, named), WorkerReply::Ok);
    assert_eq!(
        harness.call(serve(stamp, "r-1")),
        refused(Refusal::NoReplica)
    );
    // What was refused did not run and may come again.
    assert_eq!(harness.start(stamp, replica(3)), WorkerReply::Ok);
    harness.call_deferred(serve(stamp, "r-1"));
}

/// Guards against a stop of a replica that cuts off a request in flight.
#[test]
fn stop_does_not_cut_off_a_request_in_flight() {
    let (mut harness, stamp) = new_harness();
    let exchange = harness.call_deferred(serve(stamp, "r-1"));
    assert_eq!(harness.call(stop(stamp, 1)), WorkerReply::Ok);
    let replies = harness.tick(20);
    assert!(matches!(&replies[..], [(id, WorkerReply::Served { .. })] if *id == exchange));
}

/// Guards against more requests at one time than there are slots.
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

/// Guards against waiting renewals and requests that use more connections than there are.
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

/// Guards against a failure that looks like an answer or like a request that never ran.
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

/// Guards against a partition that lets messages of the cut-off instance take effect.
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

/// Guards against a memory that forgets an answer for which a caller may still ask.
#[test]
fn full_memory_refuses_instead_of_forgetting() {
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
