//! The request path together with the control plane of the same instance.

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Fate, Refusal, WorkerReply, WorkerRequest};
use daisymast_types::ids::{Generation, Token};

use super::rig::once;
use crate::testing::{TestHarness, WorkerCall, answer, call_error, manifest, refused, replica};

/// An instance that holds two workers with a replica each.
fn ready() -> TestHarness {
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

/// Sends a claimed request, as an instance of another zone does.
fn forward(harness: &mut TestHarness) -> Token {
    let request = CallerRequest {
        timeout_ms: 2_000,
        ..once()
    };
    harness.send_as_peer(
        "entry-9",
        PeerRequest::Forward {
            request,
            claimed: true,
        },
    )
}

fn sent(harness: &mut TestHarness) -> WorkerCall {
    let serve = |request: &WorkerRequest| matches!(request, WorkerRequest::Serve { .. });
    harness.take_call(serve).expect("a request to a worker")
}

fn asked(harness: &mut TestHarness) -> WorkerCall {
    let resolve = |request: &WorkerRequest| matches!(request, WorkerRequest::Resolve { .. });
    harness.take_call(resolve).expect("a question to a worker")
}

fn serve(harness: &mut TestHarness, open: &WorkerCall) {
    let answer = answer(once().id.as_str(), "42 USD");
    harness.reply(open.call, Outcome::Done(WorkerReply::Served { answer }));
}

fn done() -> Option<PeerReply> {
    let (id, body) = (once().id, "42 USD".to_owned());
    Some(PeerReply::Forwarded(CallerReply::Done { id, body }))
}

/// Guards against an answer that is lost between the components of one instance.
#[test]
fn an_answer_passes_through_the_holder() {
    let mut harness = ready();
    let token = forward(&mut harness);
    let open = sent(&mut harness);
    assert_eq!(harness.take_answer(token), None);
    serve(&mut harness, &open);
    assert_eq!(harness.take_answer(token), done());
}

/// Guards against giving up at the first worker that has no room.
#[test]
fn a_refusal_leads_to_the_other_worker() {
    let mut harness = ready();
    let token = forward(&mut harness);
    let first = sent(&mut harness);
    harness.reply(first.call, refused(Refusal::NoSlot));
    let second = sent(&mut harness);
    assert_ne!(first.worker, second.worker);
    serve(&mut harness, &second);
    assert_eq!(harness.take_answer(token), done());
}

/// Guards against a second run after a lost reply, and against an answer that the worker still has.
#[test]
fn a_lost_reply_is_asked_for_before_anything_else() {
    let mut harness = ready();
    let token = forward(&mut harness);
    let first = sent(&mut harness);
    harness.reply(first.call, Outcome::Unknown(call_error()));
    let question = asked(&mut harness);
    assert_eq!(question.worker, first.worker);
    let fate = Fate::Answered {
        answer: answer(once().id.as_str(), "42 USD"),
    };
    harness.reply(question.call, Outcome::Done(WorkerReply::Resolved { fate }));
    assert_eq!(harness.take_answer(token), done());
}

/// Guards against a request that is given up although it surely never ran.
#[test]
fn a_request_that_never_ran_goes_to_the_other_worker() {
    let mut harness = ready();
    let token = forward(&mut harness);
    let first = sent(&mut harness);
    harness.reply(first.call, Outcome::Unknown(call_error()));
    let question = asked(&mut harness);
    let fate = Fate::NeverRan;
    harness.reply(question.call, Outcome::Done(WorkerReply::Resolved { fate }));
    let second = sent(&mut harness);
    assert_ne!(first.worker, second.worker);
    serve(&mut harness, &second);
    assert_eq!(harness.take_answer(token), done());
}
