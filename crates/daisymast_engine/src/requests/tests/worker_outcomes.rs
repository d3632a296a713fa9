//! Handling of the replies from workers: answers, refusals, lost replies and holder changes.

use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::ids::{BootId, InstanceId};

use super::harness::{self, RequestHarness};

/// Guards against returning an answer that is truncated, altered or belongs to another request.
#[test]
fn corrupted_answers_are_not_returned_to_caller() {
    let id = harness::non_idempotent_request().id;
    let whole = harness::worker_answer(&id, "42 USD");
    let mut short = whole.clone();
    short.body.pop();
    let mut changed = whole.clone();
    changed.body = "43 USD".to_owned();
    let crossed = harness::worker_answer(&harness::id_of_age(11), "42 USD");
    for corrupted in [short, changed, crossed] {
        let mut harness = RequestHarness::new();
        let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
        harness.reply(&call, PeerReply::Served(corrupted));
        assert!(harness.answers.is_empty());
        let resolve = harness.take_call(harness::is_resolve);
        harness.reply(&resolve, harness::fate_answered(&id, "42 USD"));
        harness.assert_done("42 USD");
    }
}

/// Guards against giving up while another endpoint can serve the request, and against a false
/// `NotRun`.
#[test]
fn refused_request_is_retried_at_another_endpoint() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.reply(&call, PeerReply::Refused(Refusal::Leaving));
    let second = harness.take_call(harness::is_serve);
    assert_ne!(harness::worker_of(&call), harness::worker_of(&second));
    harness.reply_no_effect(&second);
    harness.assert_not_run(NotRunReason::NoEndpoint);
    assert_eq!(harness.open_dispatches(), 0);
    let settle = harness.take_call(harness::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(NotRunReason::NoEndpoint),
            ..
        }
    ));
}

/// Guards against failing a request because the lease of its worker has just moved.
#[test]
fn request_follows_worker_to_new_holder() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    assert_eq!(call.to, "entry-2");
    let holder = Some(InstanceId::from("entry-3"));
    harness.reply(&call, PeerReply::NotHolder { holder });
    let second = harness.take_call(harness::is_serve);
    assert_eq!(
        (second.to.as_str(), harness::worker_of(&second).as_str()),
        ("entry-3", "w-1")
    );
}

/// Guards against running a request twice, and against a false `NotRun`, after a lost reply.
#[test]
fn lost_reply_is_resolved_at_same_worker() {
    for lost in [true, false] {
        let mut harness = RequestHarness::new();
        let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
        if lost {
            harness.reply_unknown(&call);
        } else {
            harness.reply(&call, PeerReply::Uncertain);
        }
        assert_eq!(harness.open_dispatches(), 0);
        let resolve = harness.take_call(harness::is_resolve);
        assert_eq!(harness::worker_of(&resolve), harness::worker_of(&call));
        assert!(matches!(
            resolve.request,
            PeerRequest::Resolve {
                boot: BootId(9),
                ..
            }
        ));
        harness.reply(&resolve, PeerReply::Fate(Fate::Running));
        assert!(harness.answers.is_empty());
        harness.advance(100);
        let resolve = harness.take_call(harness::is_resolve);
        harness.reply(
            &resolve,
            harness::fate_answered(&harness::non_idempotent_request().id, "42 USD"),
        );
        harness.assert_done("42 USD");
    }
}

/// Guards against failing a request whose worker has confirmed that it never ran it.
#[test]
fn never_ran_fate_allows_retry_at_another_endpoint() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.reply_unknown(&call);
    let resolve = harness.take_call(harness::is_resolve);
    harness.reply(&resolve, PeerReply::Fate(Fate::NeverRan));
    let second = harness.take_call(harness::is_serve);
    assert_ne!(harness::worker_of(&call), harness::worker_of(&second));
    harness.reply(&second, PeerReply::Refused(Refusal::NoSlot));
    harness.assert_not_run(NotRunReason::Overloaded);
}

/// Guards against `NotRun` for a request that ran and failed.
#[test]
fn failed_run_is_reported_as_unknown() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.reply_unknown(&call);
    let resolve = harness.take_call(harness::is_resolve);
    harness.reply(&resolve, PeerReply::Fate(Fate::Failed));
    harness.assert_unknown();
    assert_eq!(harness.open_dispatches(), 0);
}

/// Guards against a second execution if a worker already knows the id.
#[test]
fn duplicate_refusal_is_not_retried() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.reply(&call, PeerReply::Refused(Refusal::Duplicate));
    harness.assert_unknown();
    assert!(harness.calls.is_empty());
}

/// Guards against resolving an idempotent request instead of retrying it, and against `NotRun`
/// after a lost reply.
#[test]
fn idempotent_request_is_retried_after_lost_reply() {
    let mut harness = RequestHarness::new();
    harness.disconnect_other_zones();
    let request = harness::idempotent_request("quote-1");
    harness.submit(1, request.clone());
    harness.reply_endpoints(&["w-1", "w-2"]);
    let call = harness.take_call(harness::is_serve);
    harness.reply_unknown(&call);
    let second = harness.take_call(harness::is_serve);
    assert_ne!(harness::worker_of(&call), harness::worker_of(&second));
    harness.reply(&second, PeerReply::Refused(Refusal::NoSlot));
    harness.assert_unknown();
    assert!(harness.requests.is_idle());
}

/// Guards against swapping the answers of two callers, even if both chose the same id.
#[test]
fn out_of_order_replies_reach_their_own_callers() {
    let mut harness = RequestHarness::new();
    for token in [1, 2] {
        harness.submit(token, harness::idempotent_request("quote-1"));
    }
    harness.reply_endpoints(&["w-1", "w-2"]);
    let first = harness.take_call(harness::is_serve);
    let second = harness.take_call(harness::is_serve);
    let id = harness::idempotent_request("quote-1").id;
    harness.reply(
        &second,
        PeerReply::Served(harness::worker_answer(&id, "second")),
    );
    harness.reply(
        &first,
        PeerReply::Served(harness::worker_answer(&id, "first")),
    );
    let done = |body: &str| CallerReply::Done {
        id: id.clone(),
        body: body.to_owned(),
    };
    assert_eq!(
        harness.answers,
        vec![(2, done("second")), (1, done("first"))]
    );
}

/// Guards against a second reply to the caller when a reply event is repeated or late.
#[test]
fn duplicate_reply_is_ignored() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    let answer = harness::worker_answer(&harness::non_idempotent_request().id, "42 USD");
    harness.reply(&call, PeerReply::Served(answer.clone()));
    harness.reply(&call, PeerReply::Served(answer));
    harness.assert_done("42 USD");
}

/// Guards against an unbounded number of attempts when every worker refuses.
#[test]
fn attempts_are_bounded() {
    let mut harness = RequestHarness::new();
    let workers = ["w-1", "w-2", "w-3", "w-4", "w-5", "w-6"];
    harness.submit(1, harness::idempotent_request("quote-1"));
    harness.reply_endpoints(&workers);
    let mut attempts = 0;
    while harness.answers.is_empty() {
        let call = harness.take_call(harness::is_serve);
        harness.reply(&call, PeerReply::Refused(Refusal::NoSlot));
        attempts += 1;
    }
    assert_eq!(attempts, 4);
    harness.assert_not_run(NotRunReason::Overloaded);
}
