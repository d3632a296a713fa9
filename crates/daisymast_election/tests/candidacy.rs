//! Tests of when a node becomes a candidate.

use std::time::Duration;

use daisymast_election::candidate::{Candidate, ProbeResult, Step};
use daisymast_election::record::{Elected, Leader, Member};
use daisymast_types::time::Monotonic;

const RECENT_COMMIT: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(10_000 + millis)
}

fn member(name: &str, millicores: u32) -> Member {
    Member {
        id: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        millicores,
        zone: "z".into(),
    }
}

fn elected(term: u64, resigned: bool) -> Elected {
    Elected {
        term,
        leader: Leader {
            node: member("l", 250),
            life: 1,
            resigned,
            former_ms: Some(0),
        },
    }
}

/// A node that follows the scheduler of term 5 and has just received a pong.
fn follower() -> Candidate {
    let mut candidate = Candidate::new(member("m", 250), at(0));
    candidate.on_inspect(Some(elected(5, false)), 100, at(0));
    let members = vec![member("l", 250), member("m", 250), member("n", 500)];
    candidate.on_pong(RECENT_COMMIT, members, at(0));
    candidate
}

fn is_campaign(step: &Step) -> bool {
    matches!(step, Step::Campaign { .. })
}

/// Guards against elections while the scheduler works normally.
#[test]
fn a_node_follows_while_the_scheduler_answers() {
    let mut candidate = follower();
    for millis in (0..5_000).step_by(200) {
        candidate.on_pong(RECENT_COMMIT, Vec::new(), at(millis));
        assert_eq!(candidate.next(at(millis + 100)), Step::Follow);
    }
}

/// Guards against a disconnected zone that replaces a scheduler which the other zones reach.
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

/// Guards against a lost scheduler that is never replaced.
#[test]
fn a_node_takes_over_if_a_majority_cannot_reach_the_scheduler() {
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

/// Guards against a node that has just started and replaces a scheduler which is only slow to
/// answer, as it knows no other nodes to ask. In a rolling restart of 39 nodes the role changed 17
/// times in 17 s.
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

/// Guards against a last live node that waits for a majority forever.
#[test]
fn the_last_live_node_takes_over_when_the_journal_stops_growing() {
    let mut candidate = follower();
    let mut campaigned = false;
    for millis in (700..4_000).step_by(100) {
        candidate.on_inspect(Some(elected(5, false)), 101, at(millis));
        match candidate.next(at(millis)) {
            Step::Campaign { term, .. } => {
                assert_eq!(term, 5);
                campaigned = true;
                break;
            }
            Step::Probe => candidate.on_probe_result(ProbeResult {
                asked: 7,
                agreed: 1,
            }),
            Step::Follow | Step::Inspect => {}
        }
    }
    assert!(campaigned);
}

/// Guards against a takeover right after an outage of the store, before the scheduler could confirm
/// its term: the role changed although the scheduler was healthy.
#[test]
fn after_an_outage_the_scheduler_gets_time_to_confirm_its_term() {
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

/// Guards against a delay before a restarted scheduler is replaced, which answers pings but no
/// longer schedules.
#[test]
fn a_scheduler_that_was_restarted_is_replaced_at_once() {
    let mut candidate = follower();
    candidate.on_not_leader(5);
    assert_eq!(candidate.next(at(100)), Step::Inspect);
    candidate.on_inspect(Some(elected(5, false)), 100, at(110));
    assert!(is_campaign(&candidate.next(at(110))));
    // A scheduler of a later term is followed again.
    candidate.on_elected(elected(6, false), at(120));
    assert_eq!(candidate.next(at(130)), Step::Follow);
}

/// Guards against a delay before a scheduler that has resigned is replaced.
#[test]
fn a_resigned_scheduler_is_replaced_at_once() {
    let mut candidate = follower();
    candidate.on_elected(elected(6, true), at(50));
    let first = candidate.next(at(60));
    candidate.on_inspect(Some(elected(6, true)), 100, at(70));
    let second = candidate.next(at(70));
    assert!(is_campaign(&first) || is_campaign(&second));
}

/// Returns the campaign delay of a machine after the process of the former scheduler was restarted.
fn campaign_delay(millicores: u32, former_millicores: u32, members: &[Member]) -> Duration {
    let mut candidate = Candidate::new(member("m", millicores), at(0));
    let mut elected = elected(5, false);
    elected.leader.node.millicores = former_millicores;
    candidate.on_inspect(Some(elected.clone()), 100, at(0));
    if !members.is_empty() {
        candidate.on_pong(RECENT_COMMIT, members.to_vec(), at(0));
    }
    candidate.on_not_leader(5);
    candidate.on_inspect(Some(elected), 100, at(10));
    match candidate.next(at(10)) {
        Step::Campaign { delay, .. } => delay,
        step => panic!("{step:?}"),
    }
}

/// Maximum time between the starts of two machines after a restart of all.
const MAX_START_DIFFERENCE: Duration = Duration::from_millis(300);

/// Guards against the election of a machine with little processor time that happens to start first
/// after a restart of all. With a long journal it never finished reading.
#[test]
fn a_machine_with_little_cpu_waits_for_others_to_start() {
    assert!(campaign_delay(90, 250, &[]) > campaign_delay(250, 250, &[]) + MAX_START_DIFFERENCE);
    assert!(campaign_delay(250, 250, &[]) < MAX_START_DIFFERENCE);
}

/// Guards against the election of the smallest machine while larger ones are alive.
#[test]
fn larger_machines_campaign_first() {
    let others = [member("a", 90), member("b", 250), member("c", 500)];
    assert!(campaign_delay(1_000, 250, &others) < campaign_delay(300, 250, &others));
    assert!(campaign_delay(300, 250, &others) < campaign_delay(100, 250, &others));
}

/// Guards against the election of a medium-sized machine after a restart of all, which steps down
/// for a larger one as soon as it has read the journal. Over its slow link, reading took two
/// seconds.
#[test]
fn machines_of_the_former_schedulers_size_campaign_first_after_a_restart_of_all() {
    assert!(campaign_delay(300, 500, &[]) > campaign_delay(500, 500, &[]) + MAX_START_DIFFERENCE);
    assert!(campaign_delay(500, 500, &[]) < MAX_START_DIFFERENCE);
}

/// Guards against a disconnected zone that keeps receiving caller requests which it can only
/// refuse. The platform routes callers to other zones once the nodes report that they are not
/// ready.
#[test]
fn a_node_that_cannot_reach_the_scheduler_is_not_connected() {
    let mut candidate = Candidate::new(member("m", 250), at(0));
    assert!(!candidate.is_connected(at(0)), "no scheduler is known");
    candidate.on_inspect(Some(elected(5, false)), 100, at(0));
    assert!(candidate.is_connected(at(200)));
    for millis in (200..3_000).step_by(200) {
        candidate.on_pong(RECENT_COMMIT, Vec::new(), at(millis));
        assert!(candidate.is_connected(at(millis + 500)));
    }
    assert!(!candidate.is_connected(at(3_700)));
    candidate.on_elected(elected(6, false), at(3_800));
    assert!(
        candidate.is_connected(at(3_900)),
        "the next scheduler is tried"
    );
}

/// Guards against elections that follow each other without a pause when a node cannot decode the
/// journal of another release: nodes that have not tried yet, or could read it, go first.
#[test]
fn a_node_that_cannot_decode_the_journal_lets_others_go_first() {
    let delay_after = |unreadable_terms: u32| {
        let mut candidate = follower();
        (0..unreadable_terms).for_each(|_| candidate.on_journal_read(false));
        candidate.on_elected(elected(6, true), at(100));
        candidate.on_inspect(Some(elected(6, true)), 101, at(110));
        match candidate.next(at(120)) {
            Step::Campaign { delay, .. } => delay,
            step => panic!("{step:?}"),
        }
    };
    assert!(delay_after(0) < Duration::from_millis(500));
    assert!(delay_after(1) > delay_after(0) + Duration::from_millis(1_000));
    assert!(delay_after(3) > delay_after(1));
    assert_eq!(delay_after(100), delay_after(1_000));
    let mut candidate = follower();
    candidate.on_journal_read(false);
    candidate.on_journal_read(true);
    candidate.on_elected(elected(6, true), at(100));
    candidate.on_inspect(Some(elected(6, true)), 101, at(110));
    let Step::Campaign { delay, .. } = candidate.next(at(120)) else {
        panic!("no campaign");
    };
    assert_eq!(delay, delay_after(0));
}

/// Guards against a new scheduler that is replaced because a node asked it between its election and its
/// first answer as the scheduler. A machine with an eighth of its processors took over 0.6 s later.
#[test]
fn a_scheduler_that_answers_again_is_not_disowned() {
    let mut candidate = follower();
    candidate.on_not_leader(5);
    assert!(!candidate.is_leader_healthy(at(10)));
    candidate.on_pong(RECENT_COMMIT, Vec::new(), at(50));
    assert!(candidate.is_leader_healthy(at(60)));
    assert_eq!(candidate.next(at(60)), Step::Follow);
}
