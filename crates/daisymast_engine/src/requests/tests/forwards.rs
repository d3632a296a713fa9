//! Requests that another zone serves.

use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};

use super::rig::{self, Rig};

/// Submits a non-idempotent request that the own zone cannot serve.
fn forwarded(rig: &mut Rig) -> rig::Call {
    rig.submit(1, rig::once());
    rig.claimed();
    rig.endpoints(&[]);
    rig.take(rig::is_forward)
}

/// Guards against a second claim by the receiver, which would find the id in use.
#[test]
fn the_claim_goes_with_the_request() {
    let mut rig = Rig::new();
    let call = forwarded(&mut rig);
    let PeerRequest::Forward { request, claimed } = &call.request else {
        panic!("{:?}", call.request);
    };
    assert!(*claimed);
    assert!(request.timeout_ms < 2_000);
    let reply = CallerReply::Done {
        id: rig::once().id,
        body: "42 USD".to_owned(),
    };
    rig.reply(&call, PeerReply::Forwarded(reply));
    rig.assert_done("42 USD");
    assert!(rig.calls.is_empty(), "the receiver settles");
}

/// Guards against a request without an answer while another zone can be reached.
#[test]
fn an_unreachable_zone_is_passed_over() {
    let mut rig = Rig::new();
    let first = forwarded(&mut rig);
    rig.no_effect(&first);
    let second = rig.take(rig::is_forward);
    assert_ne!(first.to, second.to);
    rig.no_effect(&second);
    rig.assert_not_run(NotRunReason::NoEndpoint);
    let settle = rig.take(rig::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(_),
            ..
        }
    ));
}

/// Guards against a second run in a third zone after a lost reply, and against a false `NotRun`.
#[test]
fn a_lost_forward_is_unknown() {
    let mut rig = Rig::new();
    let call = forwarded(&mut rig);
    rig.unknown(&call);
    rig.assert_unknown();
    assert!(rig.calls.is_empty());
    assert!(rig.requests.is_idle());
}

/// Guards against an answer to another request being taken for this one's.
#[test]
fn a_reply_for_another_id_is_unknown() {
    let mut rig = Rig::new();
    let call = forwarded(&mut rig);
    let reply = CallerReply::Done {
        id: rig::id_of_age(11),
        body: "42 USD".to_owned(),
    };
    rig.reply(&call, PeerReply::Forwarded(reply));
    rig.assert_unknown();
}

/// Guards against a loop between zones, a second claim and an open claim at the end.
#[test]
fn a_forwarded_request_is_neither_claimed_nor_forwarded_again() {
    let mut rig = Rig::new();
    rig.forward(7, rig::once(), true);
    rig.endpoints(&[]);
    assert_eq!(rig.open_starts(), 0);
    let [(7, PeerReply::Forwarded(CallerReply::NotRun { reason, .. }))] = &rig.peer_answers[..]
    else {
        panic!("{:?}", rig.peer_answers);
    };
    assert_eq!(*reason, NotRunReason::NoEndpoint);
    let settle = rig.take(rig::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(_),
            ..
        }
    ));
    assert!(rig.calls.is_empty());
}

/// Guards against a claim that stays open when the receiver refuses the request at once.
#[test]
fn a_refused_forward_is_settled() {
    let mut rig = Rig::new();
    rig.shared.draining = true;
    rig.forward(7, rig::once(), true);
    let settle = rig.take(rig::is_settle);
    assert!(matches!(
        settle.request,
        PeerRequest::Settle {
            result: Settlement::NotRun(NotRunReason::Draining),
            ..
        }
    ));
    assert_eq!(rig.peer_answers.len(), 1);
}

/// Guards against forwards that all go to the same zone.
#[test]
fn zones_take_turns() {
    let mut rig = Rig::new();
    let mut targets = Vec::new();
    for token in 0..4 {
        rig.submit(token, rig::repeatable(&format!("quote-{token}")));
        if rig
            .calls
            .iter()
            .any(|call| rig::is_endpoints(&call.request))
        {
            rig.endpoints(&[]);
        }
        targets.push(rig.take(rig::is_forward).to);
    }
    assert_eq!(targets, ["entry-3", "entry-4", "entry-3", "entry-4"]);
}
