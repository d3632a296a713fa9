//! Deadlines in each state of a request, and draining.

use daisymast_protocol::caller::{CallerRequest, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};

use super::harness::{self, RequestHarness};

fn settlement(harness: &mut RequestHarness) -> Settlement {
    match harness.take_call(harness::is_settle).request {
        PeerRequest::Settle { result, .. } => result,
        other => panic!("{other:?}"),
    }
}

/// Guards against leaving the caller without a reply at the deadline, and against starting the
/// request afterwards.
#[test]
fn claim_acknowledged_after_deadline_starts_nothing() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.advance(2_050);
    harness.assert_unknown();
    harness.reply(&call, PeerReply::Claimed);
    assert_eq!(harness.open_dispatches(), 0);
    assert_eq!(
        settlement(&mut harness),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    assert_eq!(harness.answers.len(), 1);
}

/// Guards against following an owner redirect after the deadline.
#[test]
fn owner_redirect_after_deadline_is_ignored() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.advance(2_050);
    let owner = Some("entry-3".into());
    harness.reply(&call, PeerReply::NotOwner { owner });
    assert!(harness.calls.is_empty());
    assert!(harness.requests.is_idle());
}

/// Guards against `Unknown` for a request that was never sent, and against starting it after
/// `NotRun`.
#[test]
fn deadline_while_awaiting_endpoints_is_not_run() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    harness.acknowledge_claim();
    let call = harness.take_call(harness::is_endpoints);
    harness.advance(2_050);
    harness.assert_not_run(NotRunReason::DeadlineUnreachable);
    assert_eq!(
        settlement(&mut harness),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    harness.reply(&call, PeerReply::Endpoints(Vec::new()));
    assert_eq!(harness.open_dispatches(), 0);
}

/// Guards against `NotRun` at the deadline if an earlier attempt may have run.
#[test]
fn deadline_after_lost_reply_is_unknown() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::idempotent_request("quote-1"));
    harness.reply_endpoints(&["w-1"]);
    let call = harness.take_call(harness::is_serve);
    harness.advance(1_500);
    harness.reply_unknown(&call);
    // The cached list is older than one second by now, so a new one is fetched.
    harness.take_call(harness::is_endpoints);
    harness.advance(600);
    harness.assert_unknown();
}

/// Guards against losing an answer that arrives after the deadline: it is settled in the ledger,
/// and the caller gets no second reply.
#[test]
fn answer_after_deadline_is_settled() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    harness.advance(2_050);
    harness.assert_unknown();
    let answer = harness::worker_answer(&harness::non_idempotent_request().id, "42 USD");
    harness.reply(&call, PeerReply::Served(answer.clone()));
    assert_eq!(settlement(&mut harness), Settlement::Answered(answer));
    assert_eq!(harness.answers.len(), 1);
}

/// Guards against a retry after the caller was answered.
#[test]
fn refusal_after_deadline_is_not_retried() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.advance(2_050);
    harness.reply(&call, PeerReply::Refused(Refusal::Late));
    assert_eq!(harness.open_dispatches(), 0);
    assert_eq!(
        settlement(&mut harness),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
}

/// Guards against resolve queries without end to a worker that does not answer.
#[test]
fn resolve_queries_stop_after_deadline() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    assert!(
        call.timeout.as_millis() <= 1_500,
        "part of the timeout is reserved for resolve queries"
    );
    harness.advance(1_500);
    harness.reply_unknown(&call);
    let mut queries = 0;
    for _ in 0..200 {
        harness.advance(50);
        while harness
            .calls
            .iter()
            .any(|call| harness::is_resolve(&call.request))
        {
            let resolve = harness.take_call(harness::is_resolve);
            harness.reply(&resolve, PeerReply::Uncertain);
            queries += 1;
        }
    }
    harness.assert_unknown();
    assert!((5..=20).contains(&queries), "{queries} resolve queries");
    assert!(harness.requests.is_idle());
}

/// Guards against leaving a claim open although the worker reports the outcome of the request.
#[test]
fn fate_resolved_after_deadline_is_settled() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1", "w-2"]);
    harness.reply_unknown(&call);
    let resolve = harness.take_call(harness::is_resolve);
    harness.advance(2_050);
    harness.reply(&resolve, PeerReply::Fate(Fate::NeverRan));
    assert_eq!(harness.open_dispatches(), 0);
    assert_eq!(
        settlement(&mut harness),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    harness.assert_unknown();
}

/// Guards against aborting pending requests and against accepting new ones while draining.
#[test]
fn draining_rejects_new_requests_and_completes_pending_ones() {
    let mut harness = RequestHarness::new();
    let call = harness.submit_to_worker(&harness::non_idempotent_request(), &["w-1"]);
    harness.shared.draining = true;
    harness.submit(2, harness::idempotent_request("quote-2"));
    harness.assert_not_run(NotRunReason::Draining);
    assert!(matches!(
        harness.only_answer(),
        daisymast_protocol::caller::CallerReply::NotRun {
            retry_after_ms: Some(_),
            ..
        }
    ));
    assert!(!harness.requests.is_idle());
    let answer = harness::worker_answer(&harness::non_idempotent_request().id, "42 USD");
    harness.reply(&call, PeerReply::Served(answer));
    assert_eq!(harness.answers.len(), 2);
    assert!(
        !harness.requests.is_idle(),
        "the settlement is still in flight"
    );
    let settle = harness.take_call(harness::is_settle);
    harness.reply(&settle, PeerReply::Ok);
    assert!(harness.requests.is_idle());
}

/// Guards against a drain that exceeds its limit, and against leaving a caller without a reply at
/// its end.
#[test]
fn long_requests_end_within_the_drain_limit() {
    let mut harness = RequestHarness::new();
    let request = CallerRequest {
        timeout_ms: 60_000,
        ..harness::non_idempotent_request()
    };
    let call = harness.submit_to_worker(&request, &["w-1"]);
    harness.shared.draining = true;
    harness.advance(19_000);
    assert!(harness.answers.is_empty());
    harness.advance(2_000);
    harness.assert_unknown();
    harness.advance(6_000);
    assert!(harness.requests.is_idle());
    let answer = harness::worker_answer(&request.id, "42 USD");
    harness.reply(&call, PeerReply::Served(answer));
    harness.assert_unknown();
}

/// Guards against stopping the instance while a status query is unanswered.
#[test]
fn open_status_query_prevents_idle() {
    let mut harness = RequestHarness::new();
    harness.query_status(1, &harness::non_idempotent_request().id);
    assert!(!harness.requests.is_idle());
    let call = harness.take_call(harness::is_status);
    harness.reply_unknown(&call);
    harness.assert_unknown();
    assert!(harness.requests.is_idle());
}
