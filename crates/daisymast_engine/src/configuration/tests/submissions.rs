//! Submissions of operators.

use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::{Generation, Release, Token};

use super::rig::{Mode, Rig, SECOND, Store, accepted, body};
use crate::configuration::submission::SUBMIT_LIMIT;
use crate::event::{Action, Event};

#[test]
fn first_submission_expects_generation_zero() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    assert_eq!(rig.answers, [(Token(1), accepted(1))]);
    assert_eq!(rig.generation(), 1);
    assert!(rig.instance.is_ready());
}

/// Guards against two changes that both count as accepted while one overwrites the other.
#[test]
fn racing_operators_get_one_acceptance_and_one_conflict() {
    let (mut one, mut two) = (Rig::new("entry-1"), Rig::new("entry-2"));
    let mut store = Store::new(Mode::Up);
    let first = one.submit(1, 0, "r1");
    let second = two.submit(2, 0, "r2");
    // Both read the key before either writes it.
    let (one_read, two_read) = (one.feed(first), two.feed(second));
    for (rig, calls) in [(&mut one, one_read), (&mut two, two_read)] {
        for (call, request) in calls {
            let outcome = Outcome::Done(StoreReply::Value { entry: None });
            assert!(matches!(request, StoreRequest::Get { .. }));
            rig.run(&mut store, Event::StoreReply { call, outcome });
        }
    }
    assert_eq!(one.answers, [(Token(1), accepted(1))]);
    let conflict = OperatorReply::Conflict {
        expected: Generation(0),
        actual: Generation(1),
        release: Some(Release::from("r1")),
    };
    assert_eq!(two.answers, [(Token(2), conflict)]);
    assert_eq!(store.writes, 1);
    assert_eq!(
        two.generation(),
        1,
        "the loser learns of the winner's manifest"
    );
}

/// Guards against a lost reply that makes the operator submit the same change again, or believe in
/// a change that never happened.
#[test]
fn lost_reply_after_effect_is_settled_by_reading_back() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::LosesReplies));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    assert!(rig.answers.is_empty(), "the effect is not known yet");
    rig.pass(&mut store, SECOND);
    assert_eq!(rig.answers, [(Token(1), accepted(1))]);
    assert_eq!((store.writes, rig.generation()), (1, 1));
}

#[test]
fn lost_write_is_repeated_with_the_same_nonce() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::LosesWrites));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    rig.pass(&mut store, SECOND);
    assert!(rig.answers.is_empty());
    store.mode = Mode::Up;
    rig.pass(&mut store, SECOND);
    assert_eq!(rig.answers, [(Token(1), accepted(1))]);
    assert_eq!(store.writes, 1);
}

/// Guards against an acceptance or a refusal of a write whose outcome was never learned.
#[test]
fn unsettled_write_is_unknown_at_the_deadline() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::LosesWrites));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    store.mode = Mode::Down;
    rig.pass(&mut store, SUBMIT_LIMIT - SECOND);
    assert!(rig.answers.is_empty());
    rig.pass(&mut store, 2 * SECOND);
    assert!(matches!(
        rig.answers[..],
        [(Token(1), OperatorReply::Unknown { .. })]
    ));
}

#[test]
fn lost_reply_followed_by_another_change_is_unknown() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::LosesReplies));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    store.mode = Mode::Up;
    // Generation 2 could only follow some generation 1, which was ours or another's.
    store.set(2, "r2", 2);
    rig.pass(&mut store, SECOND);
    assert!(matches!(
        rig.answers[..],
        [(Token(1), OperatorReply::Unknown { .. })]
    ));
}

#[test]
fn store_that_is_down_makes_a_submission_unavailable() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Down));
    let event = rig.submit(1, 0, "r1");
    rig.run(&mut store, event);
    assert!(matches!(
        rig.answers[..],
        [(Token(1), OperatorReply::Unavailable { .. })]
    ));
}

#[test]
fn faulty_manifest_is_refused_before_the_store_is_asked() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    let event = rig.submit(1, 0, "");
    rig.run(&mut store, event);
    assert!(
        matches!(&rig.answers[..], [(_, OperatorReply::Invalid { faults })] if faults.len() == 1)
    );
    assert_eq!((store.reads, store.writes), (0, 0));
}

/// Guards against a change that stays unnoticed while watches fail, and against a flood of calls.
/// Guards against retired jobs that come back with an old copy of the store.
#[test]
fn restarted_instance_counts_on_from_the_generation_of_its_peers() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    store.set(3, "r3", 7);
    rig.hear("entry-2", 5);
    let event = rig.submit(1, 3, "r4");
    rig.run(&mut store, event);
    assert!(matches!(
        rig.answers[..],
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
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    let event = rig.submit(1, 0, "r1");
    let calls = rig.feed(event);
    rig.run(&mut store, Event::Drain);
    let now = rig.timestamp();
    let is_stopped = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Stopped));
    assert!(!is_stopped(&rig.instance.on_event(now, Event::Tick)));
    for (call, _) in calls {
        let outcome = Outcome::Done(StoreReply::Value { entry: None });
        rig.run(&mut store, Event::StoreReply { call, outcome });
    }
    assert_eq!(rig.answers, [(Token(1), accepted(1))]);
    // The other instances are told of the drain first; the one that does not answer gets 500 ms.
    rig.pass(&mut store, SECOND);
    let now = rig.timestamp();
    assert!(is_stopped(&rig.instance.on_event(now, Event::Tick)));
}

#[test]
fn manifest_in_force_is_readable() {
    let (mut rig, mut store) = (Rig::new("entry-1"), Store::new(Mode::Up));
    store.set(2, "r2", 2);
    rig.pass(&mut store, SECOND);
    let request = OperatorRequest::Manifest;
    rig.run(
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
    assert_eq!(rig.answers, [(Token(1), manifest)]);
}
