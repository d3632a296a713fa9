//! Tests of how long a new leader waits for leaders of earlier terms.

use std::time::Duration;

use daisymast_election::candidate::Candidate;
use daisymast_election::former_leases::{Former, FormerLeases};
use daisymast_election::record::{Elected, Leader, Member};
use daisymast_types::time::Monotonic;
use proptest::prelude::*;

const LEASE_MS: u64 = 7_000;
const LEASE: Duration = Duration::from_millis(LEASE_MS);

fn member(name: &str) -> Member {
    Member {
        id: name.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        millicores: 250,
        zone: "z".into(),
    }
}

/// Record of a leader, with the lease of earlier leaders that it passes on.
fn record(term: u64, resigned: bool, former_lease: Duration) -> Elected {
    let former_ms = u64::try_from(former_lease.as_millis()).expect("a short time");
    Elected {
        term,
        leader: Leader {
            node: member("l"),
            life: 1,
            resigned,
            former_ms: Some(former_ms),
        },
    }
}

/// What a node that learned of a record at `since` knows when it replaces that leader.
fn former(elected: &Elected, since: Monotonic) -> Former {
    let mut candidate = Candidate::new(member("m"), since);
    candidate.on_elected(elected.clone(), since);
    candidate.former(elected.term)
}

fn at(millis: u64) -> Monotonic {
    Monotonic::from_millis(millis)
}

/// Guards against a leader that forgets the one before the last. A cut-off leader extended leases
/// while its successor was elected and resigned, and the leader after that started its tasks a
/// second time (review/1).
#[test]
fn the_lease_of_a_cut_off_leader_outlives_a_resignation() {
    let cut_off = record(1, false, Duration::ZERO);
    let second = former(&cut_off, at(0));
    let leases = FormerLeases::new(&second, at(1_100), LEASE);
    assert_eq!(leases.end(), at(8_100));
    let resigned = record(3, true, leases.remaining(at(1_200)));
    let third = former(&resigned, at(1_210));
    let leases = FormerLeases::new(&third, at(1_500), LEASE);
    assert!(leases.end() >= at(8_100), "{leases:?}");
    assert!(leases.end() <= at(8_200), "{leases:?}");
}

/// Guards against the same fault after a kill: the process of the last leader has restarted and
/// says that it does not lead, which tells nothing of the leader before it.
#[test]
fn the_lease_of_a_cut_off_leader_outlives_a_restart_of_its_successor() {
    let second = former(&record(1, false, Duration::ZERO), at(0));
    let killed = record(2, false, second.remaining(at(1_100), LEASE));
    let third = former(&killed, at(1_200));
    let mut leases = FormerLeases::new(&third, at(2_500), LEASE);
    leases.on_last_stopped(at(2_700));
    assert!(leases.end() >= at(8_100), "{leases:?}");
}

/// Guards against a wait that counts from when the winning write was sent. With a slow store the
/// former leader can renew its lease until the write takes effect.
#[test]
fn a_former_lease_counts_from_the_answer_to_the_winning_write() {
    let known = former(&record(1, false, Duration::ZERO), at(0));
    let answered = at(1_900);
    let leases = FormerLeases::new(&known, answered, LEASE);
    assert!(leases.end() >= answered + LEASE, "{leases:?}");
}

/// Guards against needless waits in a rolling restart, in which each leader resigns.
#[test]
fn resignations_alone_leave_nothing_to_wait_for() {
    let mut last = record(1, true, Duration::ZERO);
    for round in 1..8 {
        let now = at(round * 1_000);
        let known = former(&last, now);
        let leases = FormerLeases::new(&known, now + Duration::from_millis(20), LEASE);
        assert!(leases.end() <= now + Duration::from_millis(20));
        last = record(round + 1, true, leases.remaining(now + LEASE / 10));
    }
}

/// Guards against a record of another release, which does not name the leases before it, being
/// taken for one that names none.
#[test]
fn a_record_without_the_field_counts_as_a_full_lease() {
    let json = r#"{"node":{"id":"l","address":"127.0.0.1:1","millicores":250,"zone":"z"},"life":1,"resigned":true}"#;
    let elected = Elected {
        term: 1,
        leader: serde_json::from_str(json).expect("a record of an earlier release"),
    };
    let leases = FormerLeases::new(&former(&elected, at(500)), at(600), LEASE);
    assert_eq!(leases.end(), at(500) + LEASE);
}

/// How a leader's term ends.
#[derive(Clone, Copy, Debug)]
enum TermEnd {
    Resigns,
    /// It is replaced while it is cut off, and acts until its lease ends.
    CutOff,
    /// It is killed, and its next process answers that it does not lead.
    Killed,
}

/// One term, with times in milliseconds.
#[derive(Clone, Debug)]
struct Term {
    /// From the decision to write the leader key to when the write takes effect.
    write_ms: u64,
    /// From then to the arrival of the answer.
    answer_ms: u64,
    /// From the arrival of the answer to the end of the term.
    lasts_ms: u64,
    end: TermEnd,
    /// From the end of the term to when the next leader learns of the last record.
    learns_ms: u64,
    /// From then to the campaign of the next leader.
    waits_ms: u64,
    /// Difference of the node's clock to the true time.
    clock_ms: u64,
}

fn term() -> impl Strategy<Value = Term> {
    let end = prop_oneof![
        Just(TermEnd::Resigns),
        Just(TermEnd::CutOff),
        Just(TermEnd::Killed)
    ];
    let times = (
        0_u64..900,
        0_u64..900,
        0_u64..5_000,
        0_u64..1_500,
        0_u64..1_500,
    );
    (times, end, 0_u64..100_000).prop_map(|(times, end, clock_ms)| Term {
        write_ms: times.0,
        answer_ms: times.1,
        lasts_ms: times.2,
        end,
        learns_ms: times.3,
        waits_ms: times.4,
        clock_ms,
    })
}

proptest! {
    /// Guards against any series of elections after which a leader counts the leases of a former
    /// one as expired while that one can still act.
    #[test]
    fn no_leader_counts_a_valid_lease_as_expired(terms in prop::collection::vec(term(), 2..7)) {
        let mut now = 20_000;
        // End of the time in which leaders that no longer hold the role may act.
        let mut acted_until = 0;
        let mut last: Option<Elected> = None;
        // Leaders of the last term may renew their lease until the next write takes effect.
        let mut is_cut_off = false;
        let mut learned_at = now;
        for (number, term) in (1_u64..).zip(&terms) {
            let local = |time: u64| at(time + term.clock_ms);
            let known = last.as_ref().map_or(Former::None, |last| former(last, local(learned_at)));
            let passed_on = known.remaining(local(now), LEASE);
            now += term.write_ms;
            if is_cut_off {
                acted_until = acted_until.max(now + LEASE_MS);
            }
            let mut record_of_term = record(number * 2, false, passed_on);
            now += term.answer_ms;
            let mut leases = FormerLeases::new(&known, local(now), LEASE);
            prop_assert!(leases.end() >= local(acted_until), "term {number}: {leases:?}");
            if matches!(&known, Former::Known { elected, .. } if !elected.leader.resigned) && !is_cut_off {
                leases.on_last_stopped(local(now));
                prop_assert!(leases.end() >= local(acted_until), "term {number}: {leases:?}");
            }
            // The next leader may learn of this term at any time after the write.
            learned_at = now;
            now += term.lasts_ms;
            is_cut_off = matches!(term.end, TermEnd::CutOff);
            if matches!(term.end, TermEnd::Resigns) {
                record_of_term = record(number * 2 + 1, true, leases.remaining(local(now)));
                now += term.learns_ms;
                learned_at = now;
            }
            last = Some(record_of_term);
            now += term.waits_ms;
        }
    }
}
