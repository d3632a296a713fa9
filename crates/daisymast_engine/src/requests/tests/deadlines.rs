//! Deadlines in each state, and draining.

use daisymast_protocol::caller::{CallerRequest, NotRunReason};
use daisymast_protocol::peer::{PeerReply, PeerRequest, Settlement};
use daisymast_protocol::worker::{Fate, Refusal};

use super::rig::{self, Rig};

fn settlement(rig: &mut Rig) -> Settlement {
    match rig.take(rig::is_settle).request {
        PeerRequest::Settle { result, .. } => result,
        other => panic!("{other:?}"),
    }
}

/// Guards against a silent caller and against a start after the answer.
#[test]
fn a_claim_after_the_deadline_starts_nothing() {
    let mut rig = Rig::new();
    rig.submit(1, rig::once());
    let call = rig.take(rig::is_claim);
    rig.pass(2_050);
    rig.assert_unknown();
    rig.reply(&call, PeerReply::Claimed);
    assert_eq!(rig.open_starts(), 0);
    assert_eq!(
        settlement(&mut rig),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    assert_eq!(rig.answers.len(), 1);
}

/// Guards against a hint being followed after the deadline.
#[test]
fn a_hint_after_the_deadline_is_not_followed() {
    let mut rig = Rig::new();
    rig.submit(1, rig::once());
    let call = rig.take(rig::is_claim);
    rig.pass(2_050);
    let owner = Some("entry-3".into());
    rig.reply(&call, PeerReply::NotOwner { owner });
    assert!(rig.calls.is_empty());
    assert!(rig.requests.is_idle());
}

/// Guards against `Unknown` where nothing was sent, and against a start after `NotRun`.
#[test]
fn the_deadline_while_choosing_is_a_true_not_run() {
    let mut rig = Rig::new();
    rig.submit(1, rig::once());
    rig.claimed();
    let call = rig.take(rig::is_endpoints);
    rig.pass(2_050);
    rig.assert_not_run(NotRunReason::DeadlineUnreachable);
    assert_eq!(
        settlement(&mut rig),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    rig.reply(&call, PeerReply::Endpoints(Vec::new()));
    assert_eq!(rig.open_starts(), 0);
}

/// Guards against `NotRun` at the deadline for a request that an earlier attempt may have run.
#[test]
fn the_deadline_after_a_lost_attempt_is_unknown() {
    let mut rig = Rig::new();
    rig.submit(1, rig::repeatable("quote-1"));
    rig.endpoints(&["w-1"]);
    let call = rig.take(rig::is_serve);
    rig.pass(1_500);
    rig.unknown(&call);
    // The list is older than a second by now, so a new one is asked for.
    rig.take(rig::is_endpoints);
    rig.pass(600);
    rig.assert_unknown();
}

/// Guards against a late answer reaching nobody: the ledger gets it, the caller gets no second.
#[test]
fn a_late_answer_is_recorded() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    rig.pass(2_050);
    rig.assert_unknown();
    let answer = rig::answer_to(&rig::once().id, "42 USD");
    rig.reply(&call, PeerReply::Served(answer.clone()));
    assert_eq!(settlement(&mut rig), Settlement::Answered(answer));
    assert_eq!(rig.answers.len(), 1);
}

/// Guards against another attempt after the caller's answer.
#[test]
fn a_late_refusal_starts_nothing() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.pass(2_050);
    rig.reply(&call, PeerReply::Refused(Refusal::Late));
    assert_eq!(rig.open_starts(), 0);
    assert_eq!(
        settlement(&mut rig),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
}

/// Guards against questions without end about a worker that does not answer.
#[test]
fn questions_end_after_the_deadline() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    assert!(
        call.timeout.as_millis() <= 1_500,
        "time is kept for questions"
    );
    rig.pass(1_500);
    rig.unknown(&call);
    let mut questions = 0;
    for _ in 0..200 {
        rig.pass(50);
        while rig.calls.iter().any(|call| rig::is_resolve(&call.request)) {
            let resolve = rig.take(rig::is_resolve);
            rig.reply(&resolve, PeerReply::Uncertain);
            questions += 1;
        }
    }
    rig.assert_unknown();
    assert!((5..=20).contains(&questions), "{questions} questions");
    assert!(rig.requests.is_idle());
}

/// Guards against a claim that stays open although the worker can tell its end.
#[test]
fn a_fate_learned_after_the_deadline_is_recorded() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1", "w-2"]);
    rig.unknown(&call);
    let resolve = rig.take(rig::is_resolve);
    rig.pass(2_050);
    rig.reply(&resolve, PeerReply::Fate(Fate::NeverRan));
    assert_eq!(rig.open_starts(), 0);
    assert_eq!(
        settlement(&mut rig),
        Settlement::NotRun(NotRunReason::DeadlineUnreachable)
    );
    rig.assert_unknown();
}

/// Guards against cutting off requests in flight, and against taking new ones, while draining.
#[test]
fn draining_refuses_new_requests_and_ends_old_ones() {
    let mut rig = Rig::new();
    let call = rig.serving(&rig::once(), &["w-1"]);
    rig.shared.draining = true;
    rig.submit(2, rig::repeatable("quote-2"));
    rig.assert_not_run(NotRunReason::Draining);
    assert!(matches!(
        rig.answer(),
        daisymast_protocol::caller::CallerReply::NotRun {
            retry_after_ms: Some(_),
            ..
        }
    ));
    assert!(!rig.requests.is_idle());
    let answer = rig::answer_to(&rig::once().id, "42 USD");
    rig.reply(&call, PeerReply::Served(answer));
    assert_eq!(rig.answers.len(), 2);
    assert!(!rig.requests.is_idle(), "the settlement is still open");
    let settle = rig.take(rig::is_settle);
    rig.reply(&settle, PeerReply::Ok);
    assert!(rig.requests.is_idle());
}

/// Guards against a drain that lasts longer than its limit, and against a caller that is left without
/// an answer at its end.
#[test]
fn long_requests_end_within_the_drain_limit() {
    let mut rig = Rig::new();
    let request = CallerRequest {
        timeout_ms: 60_000,
        ..rig::once()
    };
    let call = rig.serving(&request, &["w-1"]);
    rig.shared.draining = true;
    rig.pass(19_000);
    assert!(rig.answers.is_empty());
    rig.pass(2_000);
    rig.assert_unknown();
    rig.pass(6_000);
    assert!(rig.requests.is_idle());
    let answer = rig::answer_to(&request.id, "42 USD");
    rig.reply(&call, PeerReply::Served(answer));
    rig.assert_unknown();
}

/// Guards against a stop while a caller waits for the state of a request.
#[test]
fn open_questions_are_not_idle() {
    let mut rig = Rig::new();
    rig.status(1, &rig::once().id);
    assert!(!rig.requests.is_idle());
    let call = rig.take(rig::is_status);
    rig.unknown(&call);
    rig.assert_unknown();
    assert!(rig.requests.is_idle());
}
