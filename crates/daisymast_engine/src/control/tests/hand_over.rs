//! Tests of leases that change their holder.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{InstanceId, Token, WorkerId};

use crate::testing::{TestHarness, WORKER_BOOT, answer, call_error, heartbeat, replica, request};

const WORKERS: [&str; 8] = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7", "w-8"];

/// An instance with one known peer in its zone that has sent no heartbeat yet.
fn harness_with_silent_peer() -> TestHarness {
    TestHarness::new(&WORKERS, &[("entry-2", "Austin")])
}

fn is_hand_over(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::HandOver { .. })
}

/// Sends a request to each worker and asks for a hand-over of its lease. Returns the workers for
/// which the hand-over was accepted, with the token of the open request.
fn request_all_hand_overs(harness: &mut TestHarness) -> Vec<(&'static str, Token)> {
    // Only the workers for which the peer is the preferred holder are handed over.
    let mut accepted = Vec::new();
    for name in WORKERS {
        let worker = WorkerId::from(name);
        let serve = PeerRequest::Serve {
            worker: worker.clone(),
            boot: WORKER_BOOT,
            request: request("quotes", "q-1"),
        };
        let token = harness.send_as_peer("entry-2", serve);
        let reply = harness.call_as_peer(PeerRequest::HandOver { worker });
        if reply == PeerReply::Ok {
            accepted.push((name, token));
        } else {
            assert_eq!(reply, PeerReply::Refused(Refusal::Invalid));
        }
    }
    accepted
}

/// Guards against a hand-over that releases the lease while a request is open.
#[test]
fn hand_over_waits_for_open_calls() {
    let mut harness = harness_with_silent_peer();
    for name in WORKERS {
        let quotes = replica("quotes", 0);
        harness.worker(name).report(&quotes, TaskState::Running);
    }
    harness.run_to(2_000);
    harness.live_peers.push(heartbeat("entry-2", "Austin", &[]));
    harness.run_for(1_000);
    let accepted = request_all_hand_overs(&mut harness);
    assert!((1..WORKERS.len()).contains(&accepted.len()), "{accepted:?}");
    harness.run_for(900);
    assert!(!harness.has_record("lease.released"));
    let (name, token) = accepted[0];
    let open = harness
        .take_call(|_| true)
        .into_iter()
        .chain(std::iter::from_fn(|| harness.take_call(|_| true)))
        .find(|open| open.worker.as_str() == name)
        .expect("the open request");
    assert!(matches!(open.request, WorkerRequest::Serve { .. }));
    let reply = WorkerReply::Served {
        answer: answer("q-1", "Plaza 4"),
    };
    harness.reply(open.call, Outcome::Done(reply));
    assert!(matches!(
        harness.take_answer(token),
        Some(PeerReply::Served(_))
    ));
    harness.run_for(700);
    let released: Vec<_> = harness
        .records
        .iter()
        .filter(|(step, _)| step == "lease.released")
        .collect();
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].1, name);
}

/// Guards against hand-overs at every change of the membership view, and against acquiring a lease
/// that a live holder has not released.
#[test]
fn preferred_instance_requests_hand_over_after_two_seconds() {
    let mut harness = harness_with_silent_peer();
    for worker in harness.workers.values_mut() {
        worker.holder = Some(InstanceId::from("entry-2"));
    }
    harness
        .live_peers
        .push(heartbeat("entry-2", "Austin", &WORKERS));
    // The instance is the preferred holder of some workers from the first tick at 50 ms on.
    harness.run_to(2_000);
    assert!(harness.take_peer_call(is_hand_over).is_none());
    harness.run_to(5_000);
    let asked = harness
        .take_peer_call(is_hand_over)
        .expect("a hand-over request");
    assert_eq!(asked.to, InstanceId::from("entry-2"));
    assert!(!harness.has_record("lease.acquired"));
    let PeerRequest::HandOver { worker } = asked.request else {
        unreachable!()
    };
    harness.worker(worker.as_str()).holder = None;
    harness.reply_peer(asked.call, Outcome::Done(PeerReply::Ok));
    harness.run_for(300);
    assert!(harness.has_record("lease.acquired"));
}

/// Guards against workers that stay without a holder after theirs has crashed.
#[test]
fn leases_of_a_dead_holder_are_acquired_when_free() {
    let mut harness = harness_with_silent_peer();
    for worker in harness.workers.values_mut() {
        worker.holder = Some(InstanceId::from("entry-2"));
    }
    harness
        .live_peers
        .push(heartbeat("entry-2", "Austin", &WORKERS));
    harness.run_to(3_000);
    harness.live_peers.clear();
    for worker in harness.workers.values_mut() {
        worker.holder = None;
        worker.epoch += 1;
    }
    harness.run_for(5_000);
    let PeerReply::Capacity(held) = harness.call_as_peer(PeerRequest::Capacity) else {
        unreachable!()
    };
    assert_eq!(held.len(), WORKERS.len());
}

/// Guards against a new instance that acquires all leases before the first heartbeats arrive.
#[test]
fn new_instance_waits_for_heartbeats_before_acquiring() {
    let mut harness = harness_with_silent_peer();
    harness.run_to(1_000);
    assert!(harness.records.is_empty(), "{:?}", harness.records);
    harness.run_to(1_600);
    assert!(harness.has_record("lease.acquired"));
}

/// Guards against a draining instance that acquires leases.
#[test]
fn draining_instance_acquires_no_lease() {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.event(crate::event::Event::Drain);
    harness.run_to(2_000);
    assert!(harness.worker_calls.is_empty());
    assert!(harness.is_stopped);
}

/// Guards against a worker that stays without a holder because its preferred holder is live but
/// partitioned from it, and against a hand-over back to that instance, which could not use the
/// lease.
#[test]
fn worker_without_holder_is_acquired_by_a_non_preferred_instance() {
    let mut harness = harness_with_silent_peer();
    harness.live_peers.push(heartbeat("entry-2", "Austin", &[]));
    harness.run_to(5_000);
    let held = |harness: &mut TestHarness| match harness.call_as_peer(PeerRequest::Capacity) {
        PeerReply::Capacity(found) => found.len(),
        other => panic!("{other:?}"),
    };
    let preferred = held(&mut harness);
    assert!((1..WORKERS.len()).contains(&preferred), "{preferred}");
    harness.run_to(12_000);
    assert_eq!(held(&mut harness), WORKERS.len());
}

/// Guards against a hand-over request for a worker that this instance cannot reach.
#[test]
fn no_hand_over_is_requested_for_an_unreachable_worker() {
    let mut harness = harness_with_silent_peer();
    harness
        .live_peers
        .push(heartbeat("entry-2", "Austin", &WORKERS));
    for worker in harness.workers.values_mut() {
        worker.answers_lease_calls = false;
    }
    while harness.now < 10_000 {
        harness.run_for(50);
        while let Some(open) = harness.take_call(|_| true) {
            harness.reply(open.call, Outcome::NoEffect(call_error()));
        }
    }
    assert!(harness.take_peer_call(is_hand_over).is_none());
}
