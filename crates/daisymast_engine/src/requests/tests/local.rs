//! The request path together with the control component of the same instance.

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{Generation, Token};

use super::harness::non_idempotent_request;
use crate::testing::{Bench, WorkerCall, answer, lost, manifest, refused, replica};

/// An instance that holds two workers with one replica each.
fn bench_with_replicas() -> Bench {
    let mut bench = Bench::new(&["w-1", "w-2"], &[]);
    for (name, index) in [("w-1", 0), ("w-2", 1)] {
        let spec = replica("quotes", index);
        bench.worker(name).report(&spec, TaskState::Running);
    }
    bench
        .instance
        .force_manifest(Generation(1), manifest(&[("quotes", 2)]));
    bench.run_to(500);
    bench
}

/// Forwards a claimed request to the instance, as an instance of another zone does.
fn submit_forward(bench: &mut Bench) -> Token {
    let request = CallerRequest {
        timeout_ms: 2_000,
        ..non_idempotent_request()
    };
    bench.ask(
        "entry-9",
        PeerRequest::Forward {
            request,
            claimed: true,
        },
    )
}

fn take_serve_call(bench: &mut Bench) -> WorkerCall {
    let serve = |request: &WorkerRequest| matches!(request, WorkerRequest::Serve { .. });
    bench.take_call(serve).expect("a serve call to a worker")
}

fn take_resolve_call(bench: &mut Bench) -> WorkerCall {
    let resolve = |request: &WorkerRequest| matches!(request, WorkerRequest::Resolve { .. });
    bench
        .take_call(resolve)
        .expect("a resolve call to a worker")
}

fn answer_request(bench: &mut Bench, open: &WorkerCall) {
    let answer = answer(non_idempotent_request().id.as_str(), "42 USD");
    bench.reply(open.call, Outcome::Done(WorkerReply::Served { answer }));
}

fn done_reply() -> Option<PeerReply> {
    let (id, body) = (non_idempotent_request().id, "42 USD".to_owned());
    Some(PeerReply::Forwarded(CallerReply::Done { id, body }))
}

/// Guards against losing an answer between the components of one instance.
#[test]
fn local_holder_returns_worker_answer() {
    let mut bench = bench_with_replicas();
    let token = submit_forward(&mut bench);
    let open = take_serve_call(&mut bench);
    assert_eq!(bench.answer(token), None);
    answer_request(&mut bench, &open);
    assert_eq!(bench.answer(token), done_reply());
}

/// Guards against giving up at the first worker without a free slot.
#[test]
fn refused_request_is_retried_at_other_worker() {
    let mut bench = bench_with_replicas();
    let token = submit_forward(&mut bench);
    let first = take_serve_call(&mut bench);
    bench.reply(first.call, refused(Refusal::NoSlot));
    let second = take_serve_call(&mut bench);
    assert_ne!(first.worker, second.worker);
    answer_request(&mut bench, &second);
    assert_eq!(bench.answer(token), done_reply());
}

/// Guards against a second execution after a lost reply, and against losing an answer that the
/// worker still has.
#[test]
fn lost_reply_is_resolved_before_retry() {
    let mut bench = bench_with_replicas();
    let token = submit_forward(&mut bench);
    let first = take_serve_call(&mut bench);
    bench.reply(first.call, Outcome::Unknown(lost()));
    let query = take_resolve_call(&mut bench);
    assert_eq!(query.worker, first.worker);
    let fate = Fate::Answered {
        answer: answer(non_idempotent_request().id.as_str(), "42 USD"),
    };
    bench.reply(query.call, Outcome::Done(WorkerReply::Resolved { fate }));
    assert_eq!(bench.answer(token), done_reply());
}

/// Guards against failing a request that is known never to have run.
#[test]
fn request_that_never_ran_is_retried_at_other_worker() {
    let mut bench = bench_with_replicas();
    let token = submit_forward(&mut bench);
    let first = take_serve_call(&mut bench);
    bench.reply(first.call, Outcome::Unknown(lost()));
    let query = take_resolve_call(&mut bench);
    let fate = Fate::NeverRan;
    bench.reply(query.call, Outcome::Done(WorkerReply::Resolved { fate }));
    let second = take_serve_call(&mut bench);
    assert_ne!(first.worker, second.worker);
    answer_request(&mut bench, &second);
    assert_eq!(bench.answer(token), done_reply());
}
