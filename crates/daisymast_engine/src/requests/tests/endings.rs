//! What becomes of a request at its endpoints.

use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{BootId, InstanceId};

use super::rig::{self, Rig};

/// Guards against an answer that is cut off, changed, or of another request.
#[test]
fn damaged_answers_never_reach_the_caller() {
    let id = rig::once().id;
    let whole = rig::answer_to(&id, "42 USD");
    let mut short = whole.clone();
    short.body.pop();
    let mut changed = whole.clone();
    changed.body = "43 USD".to_owned();
    let crossed = rig::answer_to(&rig::id_of_age(11), "42 USD");
    for damaged in [short, changed, crossed] {
        let mut rig = Rig::new();
        let call = rig.serving(&rig::once(), &["w-1"]);
        rig.reply(&call, PeerReply::Served(damaged));
        assert!(rig.answers.is_empty());
        let resolve = rig.take(rig::is_resolve);
        rig.reply(&resolve, rig::answered(&id, "42 USD"));
        rig.assert_done("42 USD");
    }
}

/// Guards against giving up while another endpoint can serve, and against a false `NotRun`.
#[test]
fn refusals_lead_to_another_endpoint() {
    let mut rig = Rig::new();
    rig.isolate();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.reply(&call, PeerReply::Refused(Refusal::Leaving));
    let second = rig.take(rig::is_serve);
    assert_ne!(rig::worker_of(&call), rig::worker_of(&second));
    rig.no_effect(&second);
    rig.assert_not_run(NotRunReason::NoEndpoint);
    assert_eq!(rig.open_starts(), 0);
    let settle = rig.take(rig::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(NotRunReason::NoEndpoint),
            ..
        }
    ));
}

/// Guards against losing a worker whose lease moved a moment ago.
#[test]
fn a_moved_worker_is_asked_for_at_its_new_holder() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    assert_eq!(call.to, "entry-2");
    let holder = Some(InstanceId::from("entry-3"));
    rig.reply(&call, PeerReply::NotHolder { holder });
    let second = rig.take(rig::is_serve);
    assert_eq!(
        (second.to.as_str(), rig::worker_of(&second).as_str()),
        ("entry-3", "w-1")
    );
}

/// Guards against running a request twice, and against a false `NotRun`, when a reply is lost.
#[test]
fn a_lost_reply_is_resolved_at_the_same_worker() {
    for lost in [true, false] {
        let mut rig = Rig::new();
        let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
        if lost {
            rig.unknown(&call);
        } else {
            rig.reply(&call, PeerReply::Uncertain);
        }
        assert_eq!(rig.open_starts(), 0);
        let resolve = rig.take(rig::is_resolve);
        assert_eq!(rig::worker_of(&resolve), rig::worker_of(&call));
        assert!(matches!(
            resolve.request,
            PeerRequest::Resolve {
                boot: BootId(9),
                ..
            }
        ));
        rig.reply(&resolve, PeerReply::Fate(Fate::Running));
        assert!(rig.answers.is_empty());
        rig.pass(100);
        let resolve = rig.take(rig::is_resolve);
        rig.reply(&resolve, rig::answered(&rig::once().id, "42 USD"));
        rig.assert_done("42 USD");
    }
}

/// Guards against a wrong conclusion from a worker that confirmed that it never ran the request.
#[test]
fn never_ran_permits_another_endpoint() {
    let mut rig = Rig::new();
    rig.isolate();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.unknown(&call);
    let resolve = rig.take(rig::is_resolve);
    rig.reply(&resolve, PeerReply::Fate(Fate::NeverRan));
    let second = rig.take(rig::is_serve);
    assert_ne!(rig::worker_of(&call), rig::worker_of(&second));
    rig.reply(&second, PeerReply::Refused(Refusal::NoSlot));
    rig.assert_not_run(NotRunReason::Overloaded);
}

/// Guards against `NotRun` for a request that ran and failed.
#[test]
fn a_failed_run_is_unknown() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.unknown(&call);
    let resolve = rig.take(rig::is_resolve);
    rig.reply(&resolve, PeerReply::Fate(Fate::Failed));
    rig.assert_unknown();
    assert_eq!(rig.open_starts(), 0);
}

/// Guards against a second run where a worker knows the id already.
#[test]
fn a_duplicate_is_not_run_elsewhere() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.reply(&call, PeerReply::Refused(Refusal::Duplicate));
    rig.assert_unknown();
    assert!(rig.calls.is_empty());
}

/// Guards against resolving requests that may be repeated, and against `NotRun` after a lost reply.
#[test]
fn a_repeatable_request_is_sent_again() {
    let mut rig = Rig::new();
    rig.isolate();
    let request = rig::repeatable("quote-1");
    rig.submit(1, request.clone());
    rig.endpoints(&["w-1", "w-2"]);
    let call = rig.take(rig::is_serve);
    rig.unknown(&call);
    let second = rig.take(rig::is_serve);
    assert_ne!(rig::worker_of(&call), rig::worker_of(&second));
    rig.reply(&second, PeerReply::Refused(Refusal::NoSlot));
    rig.assert_unknown();
    assert!(rig.requests.is_idle());
}

/// Guards against answers of two callers being exchanged, also when both chose the same id.
#[test]
fn crossed_replies_reach_their_own_callers() {
    let mut rig = Rig::new();
    for token in [1, 2] {
        rig.submit(token, rig::repeatable("quote-1"));
    }
    rig.endpoints(&["w-1", "w-2"]);
    let first = rig.take(rig::is_serve);
    let second = rig.take(rig::is_serve);
    let id = rig::repeatable("quote-1").id;
    rig.reply(&second, PeerReply::Served(rig::answer_to(&id, "second")));
    rig.reply(&first, PeerReply::Served(rig::answer_to(&id, "first")));
    let done = |body: &str| CallerReply::Done {
        id: id.clone(),
        body: body.to_owned(),
    };
    assert_eq!(rig.answers, vec![(2, done("second")), (1, done("first"))]);
}

/// Guards against a second answer from a repeated or late reply event.
#[test]
fn a_repeated_reply_is_dropped() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    let answer = rig::answer_to(&rig::once().id, "42 USD");
    rig.reply(&call, PeerReply::Served(answer.clone()));
    rig.reply(&call, PeerReply::Served(answer));
    rig.assert_done("42 USD");
}

/// Guards against unbounded attempts when every worker refuses.
#[test]
fn attempts_are_bounded() {
    let mut rig = Rig::new();
    let workers = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"];
    rig.submit(1, rig::repeatable("quote-1"));
    rig.endpoints(&workers);
    let mut attempts = 0;
    while rig.answers.is_empty() {
        let call = rig.take(rig::is_serve);
        rig.reply(&call, PeerReply::Refused(Refusal::NoSlot));
        attempts += 1;
    }
    assert_eq!(attempts, 4);
    rig.assert_not_run(NotRunReason::Overloaded);
}
