//! Tests of requests to replicas.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Answer, Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{JobName, RequestId, Token, WorkerId};

use crate::testing::{
    TestHarness, WORKER_BOOT, WorkerCall, answer, call_error, refused, replica, request,
};

fn ready() -> TestHarness {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    harness.run_to(500);
    harness
}

fn serve(harness: &mut TestHarness, service: &str, id: &str) -> Token {
    let request = PeerRequest::Serve {
        worker: WorkerId::from("w-1"),
        boot: WORKER_BOOT,
        request: request(service, id),
    };
    harness.send_as_peer("entry-2", request)
}

fn take_serve(harness: &mut TestHarness) -> Option<WorkerCall> {
    harness.take_call(|request| matches!(request, WorkerRequest::Serve { .. }))
}

fn free_slots(harness: &mut TestHarness) -> Vec<u32> {
    let service = JobName::from("quotes");
    match harness.call_as_peer(PeerRequest::Endpoints { service }) {
        PeerReply::Endpoints(found) => found.iter().map(|one| one.free_slots).collect(),
        other => panic!("{other:?}"),
    }
}

/// Guards against a reply to the peer that claims more or less than is known of the outcome.
#[test]
fn worker_outcome_maps_to_the_matching_peer_reply() {
    let whole = WorkerReply::Served {
        answer: answer("q-1", "Plaza 4"),
    };
    let cases = [
        (
            Outcome::Done(whole),
            PeerReply::Served(answer("q-1", "Plaza 4")),
        ),
        (
            refused(Refusal::NoSlot),
            PeerReply::Refused(Refusal::NoSlot),
        ),
        (
            Outcome::NoEffect(call_error()),
            PeerReply::Refused(Refusal::NoSlot),
        ),
        (Outcome::Unknown(call_error()), PeerReply::Uncertain),
        (Outcome::Done(WorkerReply::Ok), PeerReply::Uncertain),
    ];
    for (outcome, expected) in cases {
        let mut harness = ready();
        let token = serve(&mut harness, "quotes", "q-1");
        let open = take_serve(&mut harness).expect("the request");
        assert_eq!(harness.take_answer(token), None);
        harness.reply(open.call, outcome);
        assert_eq!(harness.take_answer(token), Some(expected));
        assert_eq!(free_slots(&mut harness), [8]);
    }
}

/// Guards against passing on the answer to another request, or a truncated or altered answer.
#[test]
fn corrupted_answer_is_reported_as_uncertain() {
    let good = answer("q-1", "Plaza 4");
    let short = Answer {
        body: "Plaza".to_owned(),
        ..good.clone()
    };
    let changed = Answer {
        body: "Plaza 5".to_owned(),
        ..good
    };
    for corrupted in [answer("q-2", "Plaza 4"), short, changed] {
        let mut harness = ready();
        let token = serve(&mut harness, "quotes", "q-1");
        let open = take_serve(&mut harness).expect("the request");
        let reply = WorkerReply::Served { answer: corrupted };
        harness.reply(open.call, Outcome::Done(reply));
        assert_eq!(harness.take_answer(token), Some(PeerReply::Uncertain));
    }
}

/// Guards against more open requests on a worker than it has slots.
#[test]
fn slots_are_taken_when_a_request_is_sent() {
    let mut harness = ready();
    for n in 0..8 {
        serve(&mut harness, "quotes", &format!("q-{n}"));
    }
    let ninth = serve(&mut harness, "quotes", "q-8");
    let full = PeerReply::Refused(Refusal::NoSlot);
    assert_eq!(harness.take_answer(ninth), Some(full));
    assert!(free_slots(&mut harness).is_empty());
    let open = take_serve(&mut harness).expect("a request");
    harness.reply(open.call, Outcome::Unknown(call_error()));
    assert_eq!(free_slots(&mut harness), [1]);
}

/// Guards against sending a request to a worker without a replica of its service.
#[test]
fn request_without_replica_is_refused() {
    let mut harness = ready();
    let token = serve(&mut harness, "invoices", "q-1");
    let reply = harness.take_answer(token);
    assert_eq!(reply, Some(PeerReply::Refused(Refusal::NoReplica)));
}

/// Guards against a resolution that passes on an answer to another request, or that hides a known
/// outcome.
#[test]
fn resolved_answer_is_verified() {
    let cases = [
        (Fate::NeverRan, PeerReply::Fate(Fate::NeverRan)),
        (
            Fate::Answered {
                answer: answer("q-2", "Plaza 4"),
            },
            PeerReply::Uncertain,
        ),
    ];
    for (fate, expected) in cases {
        let mut harness = ready();
        let resolve = PeerRequest::Resolve {
            worker: WorkerId::from("w-1"),
            boot: WORKER_BOOT,
            id: RequestId::from("q-1"),
        };
        let token = harness.send_as_peer("entry-2", resolve);
        let open = harness
            .take_call(|request| matches!(request, WorkerRequest::Resolve { .. }))
            .expect("a resolve call");
        harness.reply(open.call, Outcome::Done(WorkerReply::Resolved { fate }));
        assert_eq!(harness.take_answer(token), Some(expected));
    }
}

/// Guards against a reply "never ran" for a request that ran before the worker restarted, while the
/// holder has not noticed the restart.
#[test]
fn resolution_refused_by_a_restarted_worker_is_uncertain() {
    let mut harness = ready();
    let resolve = PeerRequest::Resolve {
        worker: WorkerId::from("w-1"),
        boot: WORKER_BOOT,
        id: RequestId::from("q-1"),
    };
    let token = harness.send_as_peer("entry-2", resolve);
    let open = harness
        .take_call(
            |request| matches!(request, WorkerRequest::Resolve { boot, .. } if *boot == WORKER_BOOT),
        )
        .expect("a resolve call with that boot id");
    let reason = Refusal::StaleLease;
    harness.reply(open.call, Outcome::Done(WorkerReply::Refused { reason }));
    assert_eq!(harness.take_answer(token), Some(PeerReply::Uncertain));
    assert!(free_slots(&mut harness).is_empty(), "the lease is lost");
}
