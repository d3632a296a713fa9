//! The request path together with the control component of the same instance.

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{Generation, Token};

use super::harness::non_idempotent_request;
use crate::testing::{TestHarness, WorkerCall, answer, call_error, manifest, refused, replica};

/// An instance that holds two workers with one replica each.
fn bench_with_replicas() -> TestHarness {
    let mut harness = TestHarness::new(&["w-1", "w-2"], &[]);
    for (name, index) in [("w-1", 0), ("w-2", 1)] {
        let spec = replica("quotes", index);
        harness.worker(name).report(&spec, TaskState::Running);
    }
    harness
        .instance
        .set_manifest(Generation(1), manifest(&[("quotes", 2)]));
    harness.run_to(500);
    harness
}

/// Forwards a claimed request to the instance, as an instance of another zone does.
fn submit_forward(harness: &mut TestHarness) -> Token {
    let request = CallerRequest {
        timeout_ms: 2_000,
        ..non_idempotent_request()
    };
    harness.send_as_peer(
        "entry-9",
        PeerRequest::Forward {
            request,
            claimed: true,
        },
    )
}

fn take_serve_call(harness: &mut TestHarness) -> WorkerCall {
    let serve = |request: &WorkerRequest| matches!(request, WorkerRequest::Serve { .. });
    harness.take_call(serve).expect("a request to a worker")
}

fn take_resolve_call(harness: &mut TestHarness) -> WorkerCall {
    let resolve = |request: &WorkerRequest| matches!(request, WorkerRequest::Resolve { .. });
    harness.take_call(resolve).expect("a question to a worker")
}

fn answer_request(harness: &mut TestHarness, open: &WorkerCall) {
    let answer = answer(non_idempotent_request().id.as_str(), "42 USD");
    harness.reply(open.call, Outcome::Done(WorkerReply::Served { answer }));
}

fn done_reply() -> Option<PeerReply> {
    let (id, body) = (non_idempotent_request().id, "42 USD".to_owned());
    Some(PeerReply::Forwarded(CallerReply::Done { id, body }))
}

/// Guards against losing an answer between the components of one instance.
#[test]
fn local_holder_returns_worker_answer() {
    let mut harness = bench_with_replicas();
    let token = submit_forward(&mut harness);
    let open = take_serve_call(&mut harness);
    assert_eq!(harness.take_answer(token), None);
    answer_request(&mut harness, &open);
    assert_eq!(harness.take_answer(token), done_reply());
}

/// Guards against giving up at the first worker without a free slot.
#[test]
fn refused_request_is_retried_at_other_worker() {
    let mut harness = bench_with_replicas();
    let token = submit_forward(&mut harness);
    let first = take_serve_call(&mut harness);
    harness.reply(first.call, refused(Refusal::NoSlot));
    let second = take_serve_call(&mut harness);
    assert_ne!(first.worker, second.worker);
    answer_request(&mut harness, &second);
    assert_eq!(harness.take_answer(token), done_reply());
}

/// Guards against a second execution after a lost reply, and against losing an answer that the
/// worker still has.
#[test]
fn lost_reply_is_resolved_before_retry() {
    let mut harness = bench_with_replicas();
    let token = submit_forward(&mut harness);
    let first = take_serve_call(&mut harness);
    harness.reply(first.call, Outcome::Unknown(call_error()));
    let query = take_resolve_call(&mut harness);
    assert_eq!(query.worker, first.worker);
    let fate = Fate::Answered {
        answer: answer(non_idempotent_request().id.as_str(), "42 USD"),
    };
    harness.reply(query.call, Outcome::Done(WorkerReply::Resolved { fate }));
    assert_eq!(harness.take_answer(token), done_reply());
}

/// Guards against failing a request that is known never to have run.
#[test]
fn request_that_never_ran_is_retried_at_other_worker() {
    let mut harness = bench_with_replicas();
    let token = submit_forward(&mut harness);
    let first = take_serve_call(&mut harness);
    harness.reply(first.call, Outcome::Unknown(call_error()));
    let query = take_resolve_call(&mut harness);
    let fate = Fate::NeverRan;
    harness.reply(query.call, Outcome::Done(WorkerReply::Resolved { fate }));
    let second = take_serve_call(&mut harness);
    assert_ne!(first.worker, second.worker);
    answer_request(&mut harness, &second);
    assert_eq!(harness.take_answer(token), done_reply());
}
