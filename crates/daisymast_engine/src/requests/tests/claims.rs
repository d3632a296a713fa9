//! Validation, claims, repeated submissions, status queries and settlements.

use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_protocol::limits;
use daisymast_protocol::peer::{ClaimState, PeerReply, PeerRequest, Settlement};
use daisymast_types::ids::{InstanceId, JobName, RequestId};

use super::harness::{self, RequestHarness};
use crate::requests::validate;

fn refused(request: CallerRequest) -> NotRunReason {
    let mut harness = RequestHarness::new();
    harness.submit(1, request);
    assert!(harness.calls.is_empty());
    assert!(harness.requests.is_idle());
    match harness.only_answer() {
        CallerReply::NotRun { reason, .. } => *reason,
        other => panic!("{other:?}"),
    }
}

/// Guards against starting a request that exceeds a limit or has an unsuitable id.
#[test]
fn invalid_requests_are_rejected() {
    let base = harness::non_idempotent_request();
    let invalid = [
        CallerRequest {
            timeout_ms: 0,
            ..base.clone()
        },
        CallerRequest {
            timeout_ms: 60_001,
            ..base.clone()
        },
        CallerRequest {
            body: "x".repeat(limits::CALLER_BODY_BYTES + 1),
            ..base.clone()
        },
        CallerRequest {
            id: RequestId::from(""),
            idempotent: true,
            ..base.clone()
        },
        CallerRequest {
            id: RequestId::from("x".repeat(129)),
            idempotent: true,
            ..base.clone()
        },
        CallerRequest {
            id: RequestId::from("invoice-7"),
            ..base.clone()
        },
        // UUIDv4 instead of UUIDv7.
        CallerRequest {
            id: RequestId::from("0b9f1c1e-58a8-4f0e-9d4e-2f7f0e1d2c3b"),
            ..base.clone()
        },
        // Other text forms of the same UUID would be different ids to the ledger.
        CallerRequest {
            id: RequestId::from(base.id.as_str().to_uppercase()),
            ..base.clone()
        },
        CallerRequest {
            id: RequestId::from(base.id.as_str().replace('-', "")),
            ..base.clone()
        },
    ];
    for request in invalid {
        assert_eq!(
            refused(request.clone()),
            NotRunReason::Invalid,
            "{request:?}"
        );
    }
    let unknown = CallerRequest {
        service: JobName::from("retired"),
        ..base.clone()
    };
    assert_eq!(refused(unknown), NotRunReason::UnknownService);
    let old = CallerRequest {
        id: harness::id_of_age(3_600_001),
        ..base
    };
    assert_eq!(refused(old), NotRunReason::TooOld);
}

/// Guards against an id with a timestamp so far ahead that the id would outlive its ledger record.
#[test]
fn id_timestamps_may_be_five_minutes_ahead() {
    let ahead = |millis: u64| {
        let now = harness::START_WALL_MS + millis;
        let (high, low) = (now >> 16, now & 0xffff);
        let id = format!("{high:08x}-{low:04x}-7abc-8def-0123456789ab");
        CallerRequest {
            id: RequestId::from(id),
            ..harness::non_idempotent_request()
        }
    };
    assert_eq!(refused(ahead(300_001)), NotRunReason::Invalid);
    let mut harness = RequestHarness::new();
    harness.submit(1, ahead(300_000));
    harness.take_call(harness::is_claim);
}

/// Guards against starting a request whose claim is not acknowledged, and against `NotRun` when the
/// outcome of the claim is unknown.
#[test]
fn request_is_not_dispatched_without_acknowledged_claim() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.reply(&call, PeerReply::LedgerUnavailable);
    harness.assert_not_run(NotRunReason::LedgerUnavailable);
    assert!(harness.calls.is_empty());
    let without_owner: [fn(&mut RequestHarness); 2] = [
        |harness| {
            let call = harness.take_call(harness::is_claim);
            harness.reply_no_effect(&call);
        },
        |harness| {
            let call = harness.take_call(harness::is_claim);
            harness.reply(&call, PeerReply::NotOwner { owner: None });
        },
    ];
    for fail in without_owner {
        let mut harness = RequestHarness::new();
        harness.submit(1, harness::non_idempotent_request());
        for _ in 0..15 {
            fail(&mut harness);
            assert!(harness.answers.is_empty() && harness.calls.is_empty());
            harness.advance(100);
        }
        fail(&mut harness);
        harness.assert_not_run(NotRunReason::LedgerUnavailable);
        assert!(harness.calls.is_empty());
    }
    let mut harness = RequestHarness::new();
    harness.clear_partition_owner();
    harness.submit(1, harness::non_idempotent_request());
    assert!(harness.answers.is_empty() && harness.calls.is_empty());
    harness.advance(100);
    let call = harness.take_call(harness::is_claim);
    harness.reply(&call, PeerReply::LedgerUnavailable);
    harness.assert_not_run(NotRunReason::LedgerUnavailable);
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.reply_unknown(&call);
    harness.assert_unknown();
    assert!(harness.calls.is_empty());
}

/// Guards against endless redirects between instances with different views.
#[test]
fn only_one_owner_redirect_is_followed() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    let owner = Some(InstanceId::from("entry-3"));
    harness.reply(
        &call,
        PeerReply::NotOwner {
            owner: owner.clone(),
        },
    );
    let second = harness.take_call(harness::is_claim);
    assert_eq!(second.to, "entry-3");
    harness.reply(&second, PeerReply::NotOwner { owner });
    assert!(
        harness.calls.is_empty(),
        "a second hint is not followed at once"
    );
    harness.advance(100);
    harness.take_call(harness::is_claim);
}

/// Guards against refusing a request while its partition moves from a draining instance to its next
/// owner.
#[test]
fn claim_is_retried_until_partition_has_owner() {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.reply(&call, PeerReply::NotOwner { owner: None });
    harness.advance(100);
    harness.acknowledge_claim();
    harness.take_call(harness::is_endpoints);
    assert!(harness.answers.is_empty());
}

fn resubmit(state: ClaimState) -> RequestHarness {
    let mut harness = RequestHarness::new();
    harness.submit(1, harness::non_idempotent_request());
    let call = harness.take_call(harness::is_claim);
    harness.reply(&call, PeerReply::ClaimState(state));
    assert!(
        harness.calls.is_empty(),
        "a second submission starts or settles nothing"
    );
    harness
}

/// Guards against running an id twice, and against returning the answer to a different body.
#[test]
fn resubmission_returns_recorded_outcome() {
    let digest = validate::claim_digest(&harness::non_idempotent_request());
    let id = harness::non_idempotent_request().id;
    let by = InstanceId::from("entry-2");
    resubmit(ClaimState::Claimed {
        by: by.clone(),
        digest: digest.clone(),
    })
    .assert_unknown();
    resubmit(ClaimState::Absent).assert_unknown();
    let answer = Some(harness::worker_answer(&id, "42 USD"));
    resubmit(ClaimState::Answered {
        digest: digest.clone(),
        answer: answer.clone(),
    })
    .assert_done("42 USD");
    resubmit(ClaimState::Answered {
        digest: digest.clone(),
        answer: None,
    })
    .assert_unknown();
    let reason = NotRunReason::NoEndpoint;
    resubmit(ClaimState::NotRun { digest, reason }).assert_not_run(reason);
    let other = "0".repeat(32);
    let reused = [
        ClaimState::Claimed {
            by,
            digest: other.clone(),
        },
        ClaimState::Answered {
            digest: other.clone(),
            answer,
        },
        ClaimState::NotRun {
            digest: other,
            reason,
        },
    ];
    for state in reused {
        resubmit(state).assert_not_run(NotRunReason::IdReused);
    }
}

/// Guards against reporting that a request did not run while it still may.
#[test]
fn status_query_returns_recorded_outcome() {
    let id = harness::non_idempotent_request().id;
    let digest = String::new();
    let ask = |state: ClaimState| {
        let mut harness = RequestHarness::new();
        harness.query_status(1, &id);
        let call = harness.take_call(harness::is_status);
        harness.reply(&call, PeerReply::ClaimState(state));
        harness
    };
    ask(ClaimState::Absent).assert_unknown();
    let by = InstanceId::from("entry-2");
    ask(ClaimState::Claimed {
        by,
        digest: digest.clone(),
    })
    .assert_unknown();
    let answer = Some(harness::worker_answer(&id, "42 USD"));
    ask(ClaimState::Answered {
        digest: digest.clone(),
        answer,
    })
    .assert_done("42 USD");
    let mut cut = harness::worker_answer(&id, "42 USD");
    cut.body.pop();
    ask(ClaimState::Answered {
        digest: digest.clone(),
        answer: Some(cut),
    })
    .assert_unknown();
    let reason = NotRunReason::Overloaded;
    ask(ClaimState::NotRun { digest, reason }).assert_not_run(reason);
    let mut harness = RequestHarness::new();
    harness.query_status(1, &id);
    let call = harness.take_call(harness::is_status);
    harness.reply_no_effect(&call);
    harness.assert_unknown();
}

/// Guards against losing a settlement when the owner changes at the end of a request, and against
/// retrying it without limit.
#[test]
fn settlements_are_sent_at_most_twice() {
    let mut harness = RequestHarness::new();
    let request = harness::non_idempotent_request();
    let call = harness.submit_to_worker(&request, &["w-1"]);
    let answer = harness::worker_answer(&request.id, "42 USD");
    harness.reply(&call, PeerReply::Served(answer.clone()));
    harness.assert_done("42 USD");
    let settle = harness.take_call(harness::is_settle);
    let PeerRequest::Settle { result, .. } = &settle.request else {
        panic!("{:?}", settle.request);
    };
    assert_eq!(*result, Settlement::Answered(answer));
    harness.reply_unknown(&settle);
    assert!(!harness.requests.is_idle());
    harness.advance(3_000);
    let settle = harness.take_call(harness::is_settle);
    harness.reply_unknown(&settle);
    harness.advance(10_000);
    assert!(harness.calls.is_empty());
    assert!(harness.requests.is_idle());
}
