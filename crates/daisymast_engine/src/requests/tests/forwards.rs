//! Requests forwarded to and from other zones.

use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};

use super::harness::{self, RequestHarness};

/// Submits a non-idempotent request that the local zone cannot serve, and returns the forward call.
fn forwarded(harness: &mut RequestHarness) -> harness::Call {
    harness.submit(1, harness::non_idempotent_request());
    harness.acknowledge_claim();
    harness.reply_endpoints(&[]);
    harness.take_call(harness::is_forward)
}

/// Guards against a second claim by the receiver, which would be refused because the id is already
/// claimed.
#[test]
fn forward_carries_the_claim() {
    let mut harness = RequestHarness::new();
    let call = forwarded(&mut harness);
    let PeerRequest::Forward { request, claimed } = &call.request else {
        panic!("{:?}", call.request);
    };
    assert!(*claimed);
    assert!(request.timeout_ms < 2_000);
    let reply = CallerReply::Done {
        id: harness::non_idempotent_request().id,
        body: "42 USD".to_owned(),
    };
    harness.reply(&call, PeerReply::Forwarded(reply));
    harness.assert_done("42 USD");
    assert!(harness.calls.is_empty(), "the receiver settles");
}

/// Guards against failing a request while another zone is reachable.
#[test]
fn unreachable_zone_is_skipped() {
    let mut harness = RequestHarness::new();
    let first = forwarded(&mut harness);
    harness.reply_no_effect(&first);
    let second = harness.take_call(harness::is_forward);
    assert_ne!(first.to, second.to);
    harness.reply_no_effect(&second);
    harness.assert_not_run(NotRunReason::NoEndpoint);
    let settle = harness.take_call(harness::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(_),
            ..
        }
    ));
}

/// Guards against a second execution in a third zone after a lost reply, and against a false
/// `NotRun`.
#[test]
fn lost_forward_reply_is_unknown() {
    let mut harness = RequestHarness::new();
    let call = forwarded(&mut harness);
    harness.reply_unknown(&call);
    harness.assert_unknown();
    assert!(harness.calls.is_empty());
    assert!(harness.requests.is_idle());
}

/// Guards against accepting the answer to another request.
#[test]
fn forward_reply_with_wrong_id_is_unknown() {
    let mut harness = RequestHarness::new();
    let call = forwarded(&mut harness);
    let reply = CallerReply::Done {
        id: harness::id_of_age(11),
        body: "42 USD".to_owned(),
    };
    harness.reply(&call, PeerReply::Forwarded(reply));
    harness.assert_unknown();
}

/// Guards against a forwarding loop between zones, a second claim, and a claim left open.
#[test]
fn forwarded_request_is_neither_claimed_nor_forwarded_again() {
    let mut harness = RequestHarness::new();
    harness.forward(7, harness::non_idempotent_request(), true);
    harness.reply_endpoints(&[]);
    assert_eq!(harness.open_dispatches(), 0);
    let [(7, PeerReply::Forwarded(CallerReply::NotRun { reason, .. }))] = &harness.peer_answers[..]
    else {
        panic!("{:?}", harness.peer_answers);
    };
    assert_eq!(*reason, NotRunReason::NoEndpoint);
    let settle = harness.take_call(harness::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(_),
            ..
        }
    ));
    assert!(harness.calls.is_empty());
}

/// Guards against leaving the claim open when the receiver refuses the request immediately.
#[test]
fn rejected_forward_is_settled() {
    let mut harness = RequestHarness::new();
    harness.shared.draining = true;
    harness.forward(7, harness::non_idempotent_request(), true);
    let settle = harness.take_call(harness::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(NotRunReason::Draining),
            ..
        }
    ));
    assert_eq!(harness.peer_answers.len(), 1);
}

/// Guards against sending all forwards to the same zone.
#[test]
fn forwards_rotate_over_zones() {
    let mut harness = RequestHarness::new();
    let mut targets = Vec::new();
    for token in 0..4 {
        harness.submit(
            token,
            harness::idempotent_request(&format!("quote-{token}")),
        );
        if harness
            .calls
            .iter()
            .any(|call| harness::is_endpoints(&call.request))
        {
            harness.reply_endpoints(&[]);
        }
        targets.push(harness.take_call(harness::is_forward).to);
    }
    assert_eq!(targets, ["entry-3", "entry-4", "entry-3", "entry-4"]);
}
