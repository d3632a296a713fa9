//! Submissions of operators.

use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::{Generation, Release, Token};

use super::harness::{ConfigHarness, Mode, SECOND, Store, accepted, body};
use crate::configuration::submission::SUBMIT_TIMEOUT;
use crate::event::{Action, Event};

#[test]
fn first_submission_expects_generation_zero() {
    let (mut harness, mut store) = (ConfigHarness::new("entry-1"), Store::new(Mode::Up));
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    assert_eq!(harness.answers, [(Token(1), accepted(1))]);
    assert_eq!(harness.generation(), 1);
    assert!(harness.instance.is_ready());
}

/// Guards against two changes that both count as accepted while one overwrites the other.
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
        "the loser learns of the winner's manifest"
    );
}

/// Guards against a lost reply that makes the operator submit the same change again, or believe in
/// a change that never happened.
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

/// Guards against an acceptance or a refusal of a write whose outcome was never learned.
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

#[test]
fn lost_reply_followed_by_another_change_is_unknown() {
    let (mut harness, mut store) = (
        ConfigHarness::new("entry-1"),
        Store::new(Mode::LosesReplies),
    );
    let event = harness.submit(1, 0, "r1");
    harness.run(&mut store, event);
    store.mode = Mode::Up;
    // Generation 2 could only follow some generation 1, which was ours or another's.
    store.set(2, "r2", 2);
    harness.advance(&mut store, SECOND);
    assert!(matches!(
        harness.answers[..],
        [(Token(1), OperatorReply::Unknown { .. })]
    ));
}

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

/// Guards against a change that stays unnoticed while watches fail, and against a flood of calls.
/// Guards against retired jobs that come back with an old copy of the store.
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

/// Guards against a zone that cannot start while the platform is down.
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
    // The other instances are told of the drain first; the one that does not answer gets 500 ms.
    harness.advance(&mut store, SECOND);
    let now = harness.timestamp();
    assert!(is_stopped(&harness.instance.on_event(now, Event::Tick)));
}

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
