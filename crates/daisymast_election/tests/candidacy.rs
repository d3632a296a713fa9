//! When a node tries to take over.

use std::time::Duration;

use daisymast_election::candidate::{Candidate, ProbeResult, Step};
use daisymast_election::record::{Elected, Leader, Member};
use daisymast_types::time::Monotonic;

const FRESH: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(10_000 + millis)
}

fn member(name: &str, millicores: u32) -> Member {
    Member {
        id: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        millicores,
    }
}

fn elected(term: u64, resigned: bool) -> Elected {
    Elected {
        term,
        leader: Leader {
            node: member("l", 250),
            life: 1,
            resigned,
        },
    }
}

/// A node that follows the scheduler of term 5 and has just heard of it.
fn follower() -> Candidate {
    let mut candidate = Candidate::new(member("m", 250), at(0));
    candidate.on_inspect(Some(elected(5, false)), 100, at(0));
    let members = vec![member("l", 250), member("m", 250), member("n", 500)];
    candidate.on_pong(FRESH, members, at(0));
    candidate
}

fn is_campaign(step: &Step) -> bool {
    matches!(step, Step::Campaign { .. })
}

/// Guards against elections while the scheduler is well.
#[test]
fn a_node_follows_while_the_scheduler_answers() {
    let mut candidate = follower();
    for millis in (0..5_000).step_by(200) {
        candidate.on_pong(FRESH, Vec::new(), at(millis));
        assert_eq!(candidate.next(at(millis + 100)), Step::Follow);
    }
}

/// Guards against a zone that is cut off and takes the role from a scheduler that the others reach.
#[test]
fn a_minority_does_not_take_over_while_the_journal_grows() {
    let mut candidate = follower();
    for round in 1..30 {
        let now = at(700 + round * 100);
        candidate.on_inspect(Some(elected(5, false)), 100 + round, now);
        let step = candidate.next(now);
        assert!(!is_campaign(&step), "round {round}: {step:?}");
        if step == Step::Probe {
            candidate.on_probe_result(ProbeResult {
                asked: 8,
                agreed: 3,
            });
            let step = candidate.next(now);
            assert!(!is_campaign(&step), "round {round}: {step:?}");
        }
    }
}

/// Guards against a lost scheduler that is not replaced.
#[test]
fn a_majority_without_the_scheduler_takes_over() {
    let mut candidate = follower();
    let now = at(700);
    assert_eq!(candidate.next(now), Step::Inspect);
    candidate.on_inspect(Some(elected(5, false)), 101, now);
    assert_eq!(candidate.next(now), Step::Probe);
    candidate.on_probe_result(ProbeResult {
        asked: 7,
        agreed: 5,
    });
    assert!(is_campaign(&candidate.next(now)));
}

/// Guards against a node that was just started and replaces a scheduler which is only slow to answer:
/// it knows no others to ask. In a rolling restart of 39 nodes the role changed 17 times in 17 s.
#[test]
fn a_node_that_knows_no_others_does_not_take_over_while_the_journal_grows() {
    let mut candidate = Candidate::new(member("m", 250), at(0));
    candidate.on_inspect(Some(elected(5, false)), 100, at(0));
    for round in 1..30 {
        let now = at(700 + round * 100);
        candidate.on_inspect(Some(elected(5, false)), 100 + round, now);
        let step = candidate.next(now);
        assert!(!is_campaign(&step), "round {round}: {step:?}");
        if step == Step::Probe {
            candidate.on_probe_result(ProbeResult {
                asked: 1,
                agreed: 1,
            });
            let step = candidate.next(now);
            assert!(!is_campaign(&step), "round {round}: {step:?}");
        }
    }
}

/// Guards against the last node alive that waits for a majority for ever.
#[test]
fn the_last_node_takes_over_when_the_journal_stands_still() {
    let mut candidate = follower();
    let mut won = false;
    for millis in (700..4_000).step_by(100) {
        candidate.on_inspect(Some(elected(5, false)), 101, at(millis));
        match candidate.next(at(millis)) {
            Step::Campaign { term, .. } => {
                assert_eq!(term, 5);
                won = true;
                break;
            }
            Step::Probe => candidate.on_probe_result(ProbeResult {
                asked: 7,
                agreed: 1,
            }),
            Step::Follow | Step::Inspect => {}
        }
    }
    assert!(won);
}

/// Guards against a takeover right after an outage of the store, before the scheduler could confirm
/// its term: on such a day the role changed needlessly.
#[test]
fn after_an_outage_the_scheduler_gets_time_to_confirm() {
    let mut candidate = follower();
    let stale = Duration::from_millis(4_000);
    candidate.on_store_failed(at(4_000));
    candidate.on_pong(stale, Vec::new(), at(4_050));
    candidate.on_inspect(Some(elected(5, false)), 100, at(4_100));
    assert!(!is_campaign(&candidate.next(at(4_100))));
    candidate.on_pong(stale, Vec::new(), at(4_700));
    candidate.on_inspect(Some(elected(5, false)), 100, at(4_700));
    assert!(is_campaign(&candidate.next(at(4_700))));
}

/// Guards against the time that a restarted scheduler, which answers but does not schedule any more,
/// is waited for.
#[test]
fn a_scheduler_that_was_restarted_is_replaced_at_once() {
    let mut candidate = follower();
    candidate.on_not_leader(5);
    assert_eq!(candidate.next(at(100)), Step::Inspect);
    candidate.on_inspect(Some(elected(5, false)), 100, at(110));
    assert!(is_campaign(&candidate.next(at(110))));
    // A later scheduler has nothing to do with it.
    candidate.on_elected(elected(6, false), at(120));
    assert_eq!(candidate.next(at(130)), Step::Follow);
}

/// Guards against a wait for a scheduler that gave the role back.
#[test]
fn a_resigned_scheduler_is_replaced_at_once() {
    let mut candidate = follower();
    candidate.on_elected(elected(6, true), at(50));
    let first = candidate.next(at(60));
    candidate.on_inspect(Some(elected(6, true)), 100, at(70));
    let second = candidate.next(at(70));
    assert!(is_campaign(&first) || is_campaign(&second));
}

/// Delay of a machine that hears that the former scheduler was started anew.
fn delay(millicores: u32, former: u32, members: &[Member]) -> Duration {
    let mut candidate = Candidate::new(member("m", millicores), at(0));
    let mut elected = elected(5, false);
    elected.leader.node.millicores = former;
    candidate.on_inspect(Some(elected.clone()), 100, at(0));
    if !members.is_empty() {
        candidate.on_pong(FRESH, members.to_vec(), at(0));
    }
    candidate.on_not_leader(5);
    candidate.on_inspect(Some(elected), 100, at(10));
    match candidate.next(at(10)) {
        Step::Campaign { delay, .. } => delay,
        step => panic!("{step:?}"),
    }
}

/// Machines start within this time of each other.
const START: Duration = Duration::from_millis(300);

/// Guards against a weak machine that is elected after all were off, only since it started first:
/// on a grown day it never finished reading the journal.
#[test]
fn a_weak_machine_waits_for_others_to_start() {
    assert!(delay(90, 250, &[]) > delay(250, 250, &[]) + START);
    assert!(delay(250, 250, &[]) < START);
}

/// Guards against the smallest machine that schedules while larger ones are there.
#[test]
fn larger_machines_go_first() {
    let others = [member("a", 90), member("b", 250), member("c", 500)];
    assert!(delay(1_000, 250, &others) < delay(300, 250, &others));
    assert!(delay(300, 250, &others) < delay(100, 250, &others));
}

/// Guards against a machine of middle size that is elected after all were off and gives the role to a
/// larger one as soon as it has read the journal, which its slow link made it do for two seconds.
#[test]
fn machines_of_the_former_schedulers_size_go_first_after_a_restart_of_all() {
    assert!(delay(300, 500, &[]) > delay(500, 500, &[]) + START);
    assert!(delay(500, 500, &[]) < START);
}

/// Guards against a zone that is cut off and goes on taking callers whom it can only refuse: the
/// platform sends them to other zones once its nodes are not ready.
#[test]
fn a_node_that_does_not_reach_the_scheduler_wants_no_callers() {
    let mut candidate = Candidate::new(member("m", 250), at(0));
    assert!(!candidate.is_connected(at(0)), "no scheduler is known");
    candidate.on_inspect(Some(elected(5, false)), 100, at(0));
    assert!(candidate.is_connected(at(200)));
    for millis in (200..3_000).step_by(200) {
        candidate.on_pong(FRESH, Vec::new(), at(millis));
        assert!(candidate.is_connected(at(millis + 500)));
    }
    assert!(!candidate.is_connected(at(3_700)));
    candidate.on_elected(elected(6, false), at(3_800));
    assert!(
        candidate.is_connected(at(3_900)),
        "the next scheduler is tried"
    );
}
