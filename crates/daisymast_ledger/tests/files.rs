//! Claim files, slots that are used again, old questions and the bound on the memory.

mod common;

use common::{Fault, Node, Store, at, issued, recorded};
use daisymast_ledger::effect::{Change, Reply};
use daisymast_ledger::entry::Settled;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::RequestId;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

fn owner() -> (Store, Node) {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.take_over(at(0), &mut store);
    (store, node)
}

fn is_file(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Put { key, .. } if key.contains("/claims/"))
}

/// Opens and seals `count` segments by takeovers, each with one claim `old-<n>`.
fn worn(count: u64) -> Store {
    let mut store = Store::default();
    for boot in 0..count {
        let mut node = Node::new("z", 1_000 + boot);
        node.take_over(at(boot * 300), &mut store);
        let ticket = node.claim(at(boot * 300 + 250), &mut store, &format!("old-{boot}"));
        assert_eq!(node.answers[&ticket], Reply::Committed, "claim {boot}");
    }
    store
}

fn has_all(node: &Node, count: u64) {
    for number in 0..count {
        let state = node.state(&format!("old-{number}"));
        assert!(
            matches!(state, Some(ClaimState::Claimed { .. })),
            "old-{number}: {state:?}"
        );
    }
}

/// Guards against a claim that is lost, or an owner that stops, when any one call of writing a file
/// goes wrong.
#[test]
fn every_fault_at_every_call_of_a_merge() {
    let faults = [
        Fault::LostReply,
        Fault::LostCall,
        Fault::Refused,
        Fault::Late,
        Fault::CrashBefore,
        Fault::CrashAfter,
    ];
    // The next owner has 32 sealed segments without a file.
    let before = worn(32);
    for fault in faults {
        for again in [false, true] {
            let mut store = before.clone();
            let mut node = Node::new("a", 1);
            let mut hits = 0;
            let mut plan = |_: usize, request: &StoreRequest| {
                hits += u32::from(is_file(request));
                let hit = is_file(request) && (hits == 1 || again && hits == 2);
                if hit { fault } else { Fault::None }
            };
            let effects = node.partition.take_over(at(20_000));
            node.drive(at(20_000), &mut store, effects, &mut plan);
            for tick in 0..10 {
                if !node.crashed {
                    let effects = node.partition.on_tick(at(20_300 + tick * 300));
                    node.drive(at(20_300 + tick * 300), &mut store, effects, &mut plan);
                }
            }
            node.land_late(&mut store);
            assert!(hits >= 1, "{fault:?}: no file was written");
            if !node.crashed {
                has_all(&node, 32);
                let ticket = node.claim(at(30_000), &mut store, "new");
                assert_eq!(node.answers[&ticket], Reply::Committed, "{fault:?}");
            }
            let mut next = Node::new("b", 2);
            next.take_over(at(40_000), &mut store);
            has_all(&next, 32);
            let files = store.map.keys().filter(|key| key.contains("/claims/"));
            assert_eq!(files.count(), 1, "{fault:?}");
        }
    }
}

/// Guards against claims that a long row of takeovers overwrites, and against keys without bound.
#[test]
fn takeovers_write_a_file_before_a_slot_is_used_again() {
    let mut store = worn(200);
    let mut node = Node::new("a", 1);
    node.take_over(at(200 * 300), &mut store);
    has_all(&node, 200);
    let segments = store.map.keys().filter(|key| key.contains("/seg/"));
    assert!(segments.count() <= 64);
}

/// Guards against a claim that is overwritten while no file can be written, and against an untrue
/// refusal then.
#[test]
fn claims_are_refused_while_no_file_can_be_written() {
    let (mut store, mut node) = owner();
    let no_files = |_: usize, request: &StoreRequest| {
        if is_file(request) {
            Fault::Refused
        } else {
            Fault::None
        }
    };
    let (mut committed, mut refused, mut clock) = (Vec::new(), Vec::new(), 1_000);
    while refused.is_empty() {
        for number in 0..256 {
            let id = format!("r-{clock}-{number}");
            let (ticket, effects) = node.claim_effects(at(clock), &id);
            node.drive(at(clock), &mut store, effects, &mut no_files.clone());
            committed.push((ticket, id));
        }
        for _ in 0..30 {
            clock += 50;
            let effects = node.partition.on_tick(at(clock));
            node.drive(at(clock), &mut store, effects, &mut no_files.clone());
        }
        let known = |ticket: &_| node.answers.get(ticket) == Some(&Reply::Unavailable);
        refused = committed
            .extract_if(.., |(ticket, _)| known(ticket))
            .collect();
        assert!(clock < 300_000, "claims are accepted without end");
    }
    let (_, first) = &refused[0];
    assert!(!recorded(&mut store.clone(), at(clock), first));
    for tick in 1..40 {
        node.tick(at(clock + tick * 250), &mut store);
    }
    let ticket = node.claim(at(clock + 11_000), &mut store, "after");
    assert_eq!(node.answers[&ticket], Reply::Committed);
    let mut next = Node::new("b", 2);
    next.take_over(at(clock + 12_000), &mut store);
    for (_, id) in committed {
        assert!(next.state(&id) != Some(ClaimState::Absent), "{id} is lost");
    }
}

/// Guards against a former owner that was paused while it opened a segment, and whose write lands
/// after the slot was used by others and their claims are in files.
#[test]
fn late_opening_of_a_segment_fails_after_its_slot_was_used_again() {
    let (mut store, mut node) = owner();
    for number in 0..256 {
        node.claim(at(1_000), &mut store, &format!("r-{number}"));
    }
    node.tick(at(1_200), &mut store);
    let (ticket, effects) = node.claim_effects(at(2_000), "late");
    let calls = node.absorb(effects);
    assert!(matches!(&calls[0].1, StoreRequest::Put { key, .. } if key.ends_with("02")));
    for boot in 0..200 {
        Node::new("z", 1_000 + boot).take_over(at(20 * MINUTE + boot), &mut store);
    }
    let _ = store.apply(&calls[0].1);
    let effects = node
        .partition
        .on_store(at(21 * MINUTE), calls[0].0, common::unknown());
    node.drive(at(21 * MINUTE), &mut store, effects, &mut |_, _| {
        Fault::None
    });
    assert_eq!(node.answers[&ticket], Reply::Unknown);
    assert!(matches!(node.changes.last(), Some(Change::Fenced(_))));
    assert!(!recorded(&mut store, at(22 * MINUTE), "late"));
}

/// Guards against a second acknowledgement of an id whose claim left the memory, against an untrue
/// absence of it, and against records that outlive a day without end.
#[test]
fn old_claims_are_found_in_files_for_a_day() {
    let (mut store, mut node) = owner();
    let (old, open, unknown) = (issued(0, 1), issued(0, 2), issued(0, 3));
    for (time, id) in [(1_000, &old), (2_000, &open)] {
        let ticket = node.claim(at(time), &mut store, id);
        assert_eq!(node.answers[&ticket], Reply::Committed);
    }
    let ticket = node.ticket();
    let request = RequestId::from(old.as_str());
    let effects = node
        .partition
        .settle(at(5_000), ticket, request, Settled::Answered);
    node.drive(at(5_000), &mut store, effects, &mut |_, _| Fault::None);
    for minute in 1..24 * 60 {
        node.tick(at(minute * MINUTE), &mut store);
        if minute % 97 != 0 {
            continue;
        }
        let now = at(minute * MINUTE + 500);
        let mut other = Node::new("b", 2);
        let mut copy = store.clone();
        other.take_over(now, &mut copy);
        for (node, store) in [(&mut node, &mut store), (&mut other, &mut copy)] {
            let answer = node.status(now, store, &old);
            assert!(
                matches!(answer, Some(Reply::Known(ClaimState::Answered { .. }))),
                "minute {minute}: {answer:?}"
            );
            let answer = node.status(now, store, &open);
            assert!(
                matches!(answer, Some(Reply::Known(ClaimState::Claimed { .. }))),
                "minute {minute}: {answer:?}"
            );
            let answer = node.status(now, store, &unknown);
            assert_eq!(answer, Some(Reply::Known(ClaimState::Absent)));
            let ticket = node.claim(now, store, &open);
            assert_ne!(node.answers[&ticket], Reply::Committed, "minute {minute}");
        }
    }
    assert_eq!(
        node.state(&old),
        Some(ClaimState::Absent),
        "it is still in memory"
    );
    for minute in 24 * 60..27 * 60 {
        node.tick(at(minute * MINUTE), &mut store);
    }
    let answer = node.status(at(27 * HOUR), &mut store, &old);
    assert_eq!(answer, Some(Reply::Unavailable));
    let files = store.map.keys().filter(|key| key.contains("/claims/"));
    assert_eq!(files.count(), 0);
}

/// Guards against a result that is recorded in a later file than its claim and lost at a takeover.
#[test]
fn results_follow_their_claims_into_files() {
    let (mut store, mut node) = owner();
    let id = issued(0, 1);
    node.claim(at(1_000), &mut store, &id);
    for minute in 1..30 {
        node.tick(at(minute * MINUTE), &mut store);
    }
    let ticket = node.ticket();
    let request = RequestId::from(id.as_str());
    let now = at(30 * MINUTE + 500);
    let effects = node
        .partition
        .settle(now, ticket, request, Settled::Answered);
    node.drive(now, &mut store, effects, &mut |_, _| Fault::None);
    for minute in 31..120 {
        node.tick(at(minute * MINUTE), &mut store);
    }
    let files = store.map.keys().filter(|key| key.contains("/claims/"));
    assert_eq!(files.count(), 2);
    for boot in 0..80 {
        Node::new("z", 1_000 + boot).take_over(at(2 * HOUR + boot), &mut store);
    }
    let mut next = Node::new("b", 2);
    next.take_over(at(3 * HOUR), &mut store);
    let answer = next.status(at(3 * HOUR), &mut store, &id);
    assert!(
        matches!(answer, Some(Reply::Known(ClaimState::Answered { .. }))),
        "{answer:?}"
    );
}

/// Guards against memory without bound, and against an untrue refusal at the bound.
#[test]
fn claims_in_memory_are_bounded() {
    let (mut store, mut node) = owner();
    let (mut number, mut clock) = (0, 1_000);
    let refused = loop {
        number += 1;
        let id = issued(clock, number);
        let ticket = node.claim(at(clock), &mut store, &id);
        if node.answers.remove(&ticket) == Some(Reply::Unavailable) {
            break id;
        }
        if number % 250 == 0 {
            clock += 200;
            node.tick(at(clock), &mut store);
        }
        assert!(number < 100_000, "claims are accepted without end");
    };
    clock += 1_000;
    node.tick(at(clock), &mut store);
    assert!(!recorded(&mut store.clone(), at(clock), &refused));
    for minute in 1..100 {
        node.tick(at(clock + minute * MINUTE), &mut store);
    }
    clock += 100 * MINUTE;
    let id = issued(clock, 1);
    let ticket = node.claim(at(clock), &mut store, &id);
    assert_eq!(node.answers[&ticket], Reply::Committed);
}
