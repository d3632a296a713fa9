//! Tests of how a node answers callers when the leader or the store is out of reach.

use std::time::Duration;

use daisymast_node::reach::StorePath;
use daisymast_node::submission::{Cause, Failure, Paths, Step, Submission, retry_after};
use daisymast_types::time::Monotonic;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::{prop_assert, proptest};

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(10_000 + millis)
}

fn reached(term: u64) -> Paths {
    Paths {
        term: Some(term),
        is_reached: true,
        has_peer: false,
        store: StorePath::Unknown,
        is_isolated: false,
    }
}

fn silent(term: u64) -> Paths {
    Paths {
        is_reached: false,
        ..reached(term)
    }
}

fn submission(deadline_ms: u64) -> Submission {
    Submission::new(at(0), Some(deadline_ms), 0)
}

/// Guards against calls to a leader that does not answer, which held requests for 1.7 s while the next
/// leader was elected after 1.1 s.
#[test]
fn a_request_waits_for_the_next_leader_and_goes_to_it_at_once() {
    let mut submission = submission(3_000);
    assert!(matches!(submission.next(&silent(5), at(0)), Step::Wait(_)));
    submission.on_failure(5, Failure::NoEffect, at(10));
    let step = submission.next(&reached(6), at(11));
    assert!(matches!(step, Step::Send { term: 6, .. }), "{step:?}");
}

/// Guards against a loop without a pause: a request that a new leader cannot take yet was sent again at
/// once, and the nodes kept each new leader from reading the journal.
#[test]
fn a_leader_that_takes_nothing_yet_is_asked_again_after_a_pause() {
    let mut submission = submission(3_000);
    submission.on_failure(5, Failure::StoreAway, at(0));
    let paths = Paths {
        store: StorePath::Answers,
        ..reached(6)
    };
    let step = submission.next(&paths, at(1));
    assert!(matches!(step, Step::Send { term: 6, .. }), "{step:?}");
    submission.on_failure(6, Failure::NoEffect, at(2));
    assert!(matches!(submission.next(&paths, at(3)), Step::Wait(_)));
}

/// Guards against refusals while only the leader is cut off from the store.
#[test]
fn a_refusal_of_the_leader_alone_is_not_final() {
    let mut submission = submission(3_000);
    submission.on_failure(5, Failure::StoreAway, at(0));
    let own_store_answers = Paths {
        store: StorePath::Answers,
        ..reached(5)
    };
    let step = submission.next(&own_store_answers, at(1));
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    let step = submission.next(&reached(6), at(2));
    assert!(matches!(step, Step::Send { term: 6, .. }), "{step:?}");
}

/// Guards against requests that are held while the store is away for all.
#[test]
fn a_store_that_is_away_for_all_leads_to_a_refusal_at_once() {
    let mut submission = submission(3_000);
    submission.on_failure(5, Failure::StoreAway, at(0));
    let paths = Paths {
        store: StorePath::Away,
        ..reached(5)
    };
    assert_eq!(
        submission.next(&paths, at(1)),
        Step::Refuse(Cause::StoreAway)
    );
}

/// Guards against callers of a cut-off zone that wait for nothing, whether or not their request may have
/// been taken before the cut.
#[test]
fn a_node_that_is_cut_off_answers_at_once() {
    let isolated = Paths {
        is_isolated: true,
        ..silent(5)
    };
    let mut fresh = submission(3_000);
    assert_eq!(fresh.next(&isolated, at(0)), Step::Refuse(Cause::CutOff));
    let mut sent = submission(3_000);
    sent.on_failure(5, Failure::Unknown, at(800));
    assert_eq!(sent.next(&isolated, at(801)), Step::Unknown);
}

/// Guards against a node without a path of its own that refuses although another node has one.
#[test]
fn a_node_without_a_path_sends_through_another() {
    let paths = Paths {
        has_peer: true,
        ..silent(5)
    };
    let mut submission = submission(3_000);
    let step = submission.next(&paths, at(0));
    assert!(matches!(step, Step::SendVia { .. }), "{step:?}");
    // The other node may have known a later leader, so a refusal by this one settles nothing.
    submission.on_failure(u64::MAX, Failure::Unknown, at(100));
    submission.on_failure(9, Failure::StoreAway, at(1_200));
    let away = Paths {
        store: StorePath::Away,
        ..reached(9)
    };
    assert!(!matches!(
        submission.next(&away, at(1_201)),
        Step::Refuse(_)
    ));
}

/// Guards against a node that has been without a leader for long and refuses although another node has
/// a path.
#[test]
fn a_node_that_lost_the_leader_long_ago_sends_through_another() {
    let paths = Paths {
        has_peer: true,
        ..silent(5)
    };
    let mut long_without = Submission::new(at(0), Some(3_000), 10_000);
    let step = long_without.next(&paths, at(0));
    assert!(matches!(step, Step::SendVia { .. }), "{step:?}");
    let mut without_path = Submission::new(at(0), Some(3_000), 10_000);
    let step = without_path.next(&silent(5), at(0));
    assert_eq!(step, Step::Refuse(Cause::NoLeader));
}

/// Guards against a 504 where a later leader knows that the job was not stored.
#[test]
fn a_later_leader_settles_an_unknown_outcome() {
    let mut submission = submission(3_000);
    submission.on_failure(5, Failure::Unknown, at(300));
    submission.on_failure(6, Failure::StoreAway, at(400));
    let paths = Paths {
        store: StorePath::Away,
        ..reached(6)
    };
    assert_eq!(
        submission.next(&paths, at(401)),
        Step::Refuse(Cause::StoreAway)
    );
}

/// Guards against answers after the caller has gone, and against a refusal of what may have been taken.
#[test]
fn a_request_is_answered_before_its_deadline() {
    for (failure, answer) in [
        (Failure::NoEffect, Step::Refuse(Cause::NoLeader)),
        (Failure::Unknown, Step::Unknown),
    ] {
        let mut submission = submission(400);
        submission.on_failure(5, failure, at(0));
        let mut now = at(0);
        let step = loop {
            match submission.next(&silent(5), now) {
                Step::Wait(pause) => now = now + pause,
                step => break step,
            }
        };
        assert_eq!(step, answer);
        assert!(now < at(330), "{now:?}");
    }
}

/// Guards against callers that all come back in the same second after a long outage.
#[test]
fn returns_are_spread_over_more_seconds_after_a_longer_outage() {
    let spread = |seconds| {
        let values = (0..60)
            .map(|random| retry_after(Cause::StoreAway, Duration::from_secs(seconds), random));
        values.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!((spread(0), spread(3), spread(60)), (2, 5, 6));
}

/// The leaders, as far as these tests need them: they store what they take, and what one has stored the
/// next one knows.
struct Leaders {
    term: u64,
    stored: bool,
    /// Calls that were given up and may still be read: when, and by the leader of which term, `None` for
    /// a call through another node, which any leader may read.
    late: Vec<(Monotonic, Option<u64>)>,
}

impl Leaders {
    fn may_store(&self, term: Option<u64>) -> bool {
        term.is_none_or(|term| term == self.term)
    }

    /// Carries out the calls that were read until `now`.
    fn run_until(&mut self, now: Monotonic) {
        let term = self.term;
        let due =
            |late: &(Monotonic, Option<u64>)| late.0 <= now && late.1.is_none_or(|of| of == term);
        self.stored |= self.late.iter().any(due);
        self.late.retain(|late| late.0 > now);
    }
}

proptest! {
    /// Guards against a refusal of a job that is or will be stored, over answers that are lost and calls
    /// that are carried out after they were given up.
    #[test]
    fn a_refused_job_is_never_stored(
        fates in vec((0_u8..7, any::<bool>(), 0_u64..900, 0_u64..700), 1..40),
        deadline_ms in 100_u64..4_000,
    ) {
        let mut submission = submission(deadline_ms);
        let mut leaders = Leaders { term: 5, stored: false, late: Vec::new() };
        let mut now = at(0);
        for (fate, has_answer, took, delay) in fates {
            leaders.term += u64::from(fate == 6);
            leaders.run_until(now);
            let term = leaders.term;
            let paths = match fate {
                0 => silent(term),
                1 => Paths { store: StorePath::Away, ..reached(term) },
                2 => Paths { has_peer: true, ..silent(term) },
                3 => Paths { is_isolated: true, ..silent(term) },
                _ => reached(term),
            };
            let (until, is_via) = match submission.next(&paths, now) {
                Step::Wait(pause) => {
                    now = now + pause.max(Duration::from_millis(1));
                    continue;
                }
                Step::Refuse(_) => {
                    prop_assert!(!leaders.stored, "refused, though stored");
                    prop_assert!(
                        !leaders.late.iter().any(|late| leaders.may_store(late.1)),
                        "refused, though a call may still be read"
                    );
                    return Ok(());
                }
                Step::Unknown => return Ok(()),
                Step::Send { until, .. } => (until, false),
                Step::SendVia { until } => (until, true),
            };
            let end = now + Duration::from_millis(took);
            let is_answered = has_answer && end < until;
            now = end.min(until);
            leaders.run_until(now);
            // The leader refuses only while it cannot store, and only what it does not know.
            let refuses = matches!(fate, 1 | 4) && !leaders.stored;
            if is_answered && !refuses {
                return Ok(());
            }
            if is_answered {
                submission.on_failure(term, Failure::StoreAway, now);
            } else {
                let read_at = now + Duration::from_millis(delay);
                leaders.late.push((read_at, (!is_via).then_some(term)));
                let known = if is_via { u64::MAX } else { term };
                submission.on_failure(known, Failure::Unknown, now);
            }
        }
    }
}
