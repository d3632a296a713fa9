//! Tests of requests to replicas.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Answer, Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{JobName, RequestId, Token, WorkerId};

use crate::testing::{Bench, WORKER_BOOT, WorkerCall, answer, lost, refused, replica, request};

fn ready() -> Bench {
    let mut bench = Bench::new(&["w-1"], &[]);
    let quotes = replica("quotes", 0);
    bench.worker("w-1").report(&quotes, TaskState::Running);
    bench.run_to(500);
    bench
}

fn serve(bench: &mut Bench, service: &str, id: &str) -> Token {
    let request = PeerRequest::Serve {
        worker: WorkerId::from("w-1"),
        boot: WORKER_BOOT,
        request: request(service, id),
    };
    bench.ask("entry-2", request)
}

fn take_serve(bench: &mut Bench) -> Option<WorkerCall> {
    bench.take_call(|request| matches!(request, WorkerRequest::Serve { .. }))
}

fn free_slots(bench: &mut Bench) -> Vec<u32> {
    let service = JobName::from("quotes");
    match bench.answer_to(PeerRequest::Endpoints { service }) {
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
            Outcome::NoEffect(lost()),
            PeerReply::Refused(Refusal::NoSlot),
        ),
        (Outcome::Unknown(lost()), PeerReply::Uncertain),
        (Outcome::Done(WorkerReply::Ok), PeerReply::Uncertain),
    ];
    for (outcome, expected) in cases {
        let mut bench = ready();
        let token = serve(&mut bench, "quotes", "q-1");
        let open = take_serve(&mut bench).expect("the request");
        assert_eq!(bench.answer(token), None);
        bench.reply(open.call, outcome);
        assert_eq!(bench.answer(token), Some(expected));
        assert_eq!(free_slots(&mut bench), [8]);
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
        let mut bench = ready();
        let token = serve(&mut bench, "quotes", "q-1");
        let open = take_serve(&mut bench).expect("the request");
        let reply = WorkerReply::Served { answer: corrupted };
        bench.reply(open.call, Outcome::Done(reply));
        assert_eq!(bench.answer(token), Some(PeerReply::Uncertain));
    }
}

/// Guards against more open requests on a worker than it has slots.
#[test]
fn slots_are_taken_when_a_request_is_sent() {
    let mut bench = ready();
    for n in 0..8 {
        serve(&mut bench, "quotes", &format!("q-{n}"));
    }
    let ninth = serve(&mut bench, "quotes", "q-8");
    let full = PeerReply::Refused(Refusal::NoSlot);
    assert_eq!(bench.answer(ninth), Some(full));
    assert!(free_slots(&mut bench).is_empty());
    let open = take_serve(&mut bench).expect("a request");
    bench.reply(open.call, Outcome::Unknown(lost()));
    assert_eq!(free_slots(&mut bench), [1]);
}

/// Guards against sending a request to a worker without a replica of its service.
#[test]
fn request_without_replica_is_refused() {
    let mut bench = ready();
    let token = serve(&mut bench, "invoices", "q-1");
    let reply = bench.answer(token);
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
        let mut bench = ready();
        let resolve = PeerRequest::Resolve {
            worker: WorkerId::from("w-1"),
            boot: WORKER_BOOT,
            id: RequestId::from("q-1"),
        };
        let token = bench.ask("entry-2", resolve);
        let open = bench
            .take_call(|request| matches!(request, WorkerRequest::Resolve { .. }))
            .expect("a question");
        bench.reply(open.call, Outcome::Done(WorkerReply::Resolved { fate }));
        assert_eq!(bench.answer(token), Some(expected));
    }
}

/// Guards against a reply "never ran" for a request that ran before the worker restarted, while the
/// holder has not noticed the restart.
#[test]
fn resolution_refused_by_a_restarted_worker_is_uncertain() {
    let mut bench = ready();
    let resolve = PeerRequest::Resolve {
        worker: WorkerId::from("w-1"),
        boot: WORKER_BOOT,
        id: RequestId::from("q-1"),
    };
    let token = bench.ask("entry-2", resolve);
    let open = bench
        .take_call(
            |request| matches!(request, WorkerRequest::Resolve { boot, .. } if *boot == WORKER_BOOT),
        )
        .expect("a question to that start of the worker");
    let reason = Refusal::StaleLease;
    bench.reply(open.call, Outcome::Done(WorkerReply::Refused { reason }));
    assert_eq!(bench.answer(token), Some(PeerReply::Uncertain));
    assert!(free_slots(&mut bench).is_empty(), "the lease is lost");
}
