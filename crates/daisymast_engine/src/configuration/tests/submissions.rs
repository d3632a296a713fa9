//! Operators' submissions of manifests.

use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::{Generation, Release, Token};

use super::harness::{ConfigHarness, Mode, SECOND, Store, accepted, body};
use crate::configuration::submission::SUBMIT_TIMEOUT;
use crate::event::{Action, Event};

/// Guards against a first manifest that cannot be submitted, or that does not make the instance
/// ready.
#[test]
fn first_submission_expects_generation_zero() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    assert_eq!(harness.answers, [(Token(1), accepted(1))]);
    assert_eq!(harness.generation(), 1);
    assert!(harness.instance.is_ready());
}

/// Guards against two concurrent submissions that are both accepted while one overwrites the other.
#[test]
fn racing_operators_get_one_acceptance_and_one_conflict() {
    let (mut first_harness, mut second_harness) =
        (ConfigHarness::new("entry-1"), ConfigHarness::new("entry-2"));
    let mut store = Store::new(Mode::Up);
    let first = first_harness.submit(1, 0, "r1");
    let second = second_harness.submit(2, 0, "r2");
    // Both read the key before either writes it.
    let (first_read, second_read) = (first_harness.send(first), second_harness.send(second));
    for (harness, calls) in [
        (&mut first_harness, first_read),
        (&mut second_harness, second_read),
    ] {
        for (call, request) in calls {
            let outcome = Outcome::Done(StoreReply::Value { entry: None });
            assert!(matches!(request, StoreRequest::Get { .. }));
            harness.run(&mut store, Event::StoreReply { call, outcome });
        }
    }
    assert_eq!(first_harness.answers, [(Token(1), accepted(1))]);
    let conflict = OperatorReply::Conflict {
        expected: Generation(0),
        actual: Generation(1),
        release: Some(Release::from("r1")),
    };
    assert_eq!(second_harness.answers, [(Token(2), conflict)]);
    assert_eq!(store.writes, 1);
    assert_eq!(
        second_harness.generation(),
        1,
        "the conflict brings the accepted manifest"
    );
}

/// Guards against a lost reply to a write that is reported as a failure although the write took
/// effect, so that the operator would submit the change again.
#[test]
fn lost_write_reply_is_resolved_by_reading_back() {
    let (mut harness, mut store) = (
        ConfigHarness::new("entry-1"),
        Store::new(Mode::LosesReplies),
    );
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    assert!(harness.answers.is_empty(), "the effect is not known yet");
    harness.advance(&mut store, SECOND);
    assert_eq!(harness.answers, [(Token(1), accepted(1))]);
    assert_eq!((store.writes, harness.generation()), (1, 1));
}

/// Guards against a write that is lost before it takes effect and is not retried.
#[test]
fn lost_write_is_repeated_with_the_same_nonce() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::LosesWrites));
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    harness.advance(&mut store, SECOND);
    assert!(harness.answers.is_empty());
    store.mode = Mode::Up;
    harness.advance(&mut store, SECOND);
    assert_eq!(harness.answers, [(Token(1), accepted(1))]);
    assert_eq!(store.writes, 1);
}

/// Guards against a reply of acceptance or refusal for a write whose outcome was not determined.
#[test]
fn unresolved_write_is_unknown_at_the_deadline() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::LosesWrites));
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    store.mode = Mode::Down;
    harness.advance(&mut store, SUBMIT_TIMEOUT - SECOND);
    assert!(harness.answers.is_empty());
    harness.advance(&mut store, 2 * SECOND);
    assert!(matches!(
        harness.answers[..],
        [(Token(1), OperatorReply::Unknown { .. })]
    ));
}

/// Guards against a definite reply when a later change has overwritten the record, which leaves the
/// outcome of the lost write undecidable.
#[test]
fn lost_reply_followed_by_another_change_is_unknown() {
    let (mut harness, mut store) = (
        ConfigHarness::new("entry-1"),
        Store::new(Mode::LosesReplies),
    );
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    store.mode = Mode::Up;
    // Generation 2 follows a generation 1, which this submission or another one may have written.
    store.set(2, "r2", 2);
    harness.advance(&mut store, SECOND);
    assert!(matches!(
        harness.answers[..],
        [(Token(1), OperatorReply::Unknown { .. })]
    ));
}

/// Guards against an unknown outcome for a submission of which no write was sent.
#[test]
fn submission_is_unavailable_while_the_store_is_down() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Down));
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    assert!(matches!(
        harness.answers[..],
        [(Token(1), OperatorReply::Unavailable { .. })]
    ));
}

/// Guards against an invalid manifest that reaches the store.
#[test]
fn invalid_manifest_is_refused_without_a_store_call() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    let event = harness.submit(1, 0, "");
    harness.run(&mut store, event);
    assert!(
        matches!(&harness.answers[..], [(_, OperatorReply::Invalid { faults })] if faults.len() == 1)
    );
    assert_eq!((store.reads, store.writes), (0, 0));
}

/// Guards against a generation that is assigned twice, after the store was restored to an older
/// state that the instance cannot recognise as such itself.
#[test]
fn submission_is_checked_against_the_generation_of_live_peers() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    store.set(3, "r3", 7);
    harness.record_heartbeat("entry-2", 5);
    let event = harness.submit(1, 3, "r4");
    harness.run(&mut store, event);
    assert!(matches!(
        harness.answers[..],
        [(
            _,
            OperatorReply::Conflict {
                actual: Generation(5),
                ..
            }
        )]
    ));
}

/// Guards against an instance that stops while an operator still waits for a reply.
#[test]
fn draining_waits_for_an_open_submission() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    let event = harness.submit(1, 0, "r1");
    let calls = harness.send(event);
    harness.run(&mut store, Event::Drain);
    let now = harness.timestamp();
    let is_stopped = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Stopped));
    assert!(!is_stopped(&harness.instance.on_event(now, Event::Tick)));
    for (call, _) in calls {
        let outcome = Outcome::Done(StoreReply::Value { entry: None });
        harness.run(&mut store, Event::StoreReply { call, outcome });
    }
    assert_eq!(harness.answers, [(Token(1), accepted(1))]);
    // Before it stops, the instance announces the drain to its peers and waits up to 500 ms for
    // those that do not answer.
    harness.advance(&mut store, SECOND);
    let now = harness.timestamp();
    assert!(is_stopped(&harness.instance.on_event(now, Event::Tick)));
}

/// Guards against operators who cannot read the manifest in force.
#[test]
fn manifest_in_force_is_readable() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    store.set(2, "r2", 2);
    harness.advance(&mut store, SECOND);
    let request = OperatorRequest::Manifest;
    harness.run(
        &mut store,
        Event::Operator {
            token: Token(1),
            request,
        },
    );
    let manifest = OperatorReply::Manifest {
        generation: Generation(2),
        manifest: body("r2"),
    };
    assert_eq!(harness.answers, [(Token(1), manifest)]);
}
