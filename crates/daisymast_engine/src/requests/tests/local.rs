//! The request path together with the control plane of the same instance.

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{Generation, Token};

use super::rig::once;
use crate::testing::{Bench, WorkerCall, answer, lost, manifest, refused, replica};

/// An instance that holds two workers with a replica each.
fn ready() -> Bench {
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

/// Sends a claimed request, as an instance of another zone does.
fn forward(bench: &mut Bench) -> Token {
    let request = CallerRequest {
        timeout_ms: 2_000,
        ..once()
    };
    bench.ask(
        "entry-9",
        PeerRequest::Forward {
            request,
            claimed: true,
        },
    )
}

fn sent(bench: &mut Bench) -> WorkerCall {
    let serve = |request: &WorkerRequest| matches!(request, WorkerRequest::Serve { .. });
    bench.take_call(serve).expect("a request to a worker")
}

fn asked(bench: &mut Bench) -> WorkerCall {
    let resolve = |request: &WorkerRequest| matches!(request, WorkerRequest::Resolve { .. });
    bench.take_call(resolve).expect("a question to a worker")
}

fn serve(bench: &mut Bench, open: &WorkerCall) {
    let answer = answer(once().id.as_str(), "42 USD");
    bench.reply(open.call, Outcome::Done(WorkerReply::Served { answer }));
}

fn done() -> Option<PeerReply> {
    let (id, body) = (once().id, "42 USD".to_owned());
    Some(PeerReply::Forwarded(CallerReply::Done { id, body }))
}

/// Guards against an answer that is lost between the components of one instance.
#[test]
fn an_answer_passes_through_the_holder() {
    let mut bench = ready();
    let token = forward(&mut bench);
    let open = sent(&mut bench);
    assert_eq!(bench.answer(token), None);
    serve(&mut bench, &open);
    assert_eq!(bench.answer(token), done());
}

/// Guards against giving up at the first worker that has no room.
#[test]
fn a_refusal_leads_to_the_other_worker() {
    let mut bench = ready();
    let token = forward(&mut bench);
    let first = sent(&mut bench);
    bench.reply(first.call, refused(Refusal::NoSlot));
    let second = sent(&mut bench);
    assert_ne!(first.worker, second.worker);
    serve(&mut bench, &second);
    assert_eq!(bench.answer(token), done());
}

/// Guards against a second run after a lost reply, and against an answer that the worker still has.
#[test]
fn a_lost_reply_is_asked_for_before_anything_else() {
    let mut bench = ready();
    let token = forward(&mut bench);
    let first = sent(&mut bench);
    bench.reply(first.call, Outcome::Unknown(lost()));
    let question = asked(&mut bench);
    assert_eq!(question.worker, first.worker);
    let fate = Fate::Answered {
        answer: answer(once().id.as_str(), "42 USD"),
    };
    bench.reply(question.call, Outcome::Done(WorkerReply::Resolved { fate }));
    assert_eq!(bench.answer(token), done());
}

/// Guards against a request that is given up although it surely never ran.
#[test]
fn a_request_that_never_ran_goes_to_the_other_worker() {
    let mut bench = ready();
    let token = forward(&mut bench);
    let first = sent(&mut bench);
    bench.reply(first.call, Outcome::Unknown(lost()));
    let question = asked(&mut bench);
    let fate = Fate::NeverRan;
    bench.reply(question.call, Outcome::Done(WorkerReply::Resolved { fate }));
    let second = sent(&mut bench);
    assert_ne!(first.worker, second.worker);
    serve(&mut bench, &second);
    assert_eq!(bench.answer(token), done());
}
