//! Tests of claim files, the reuse of slots, queries for old requests and the limit on claims in
//! memory.

mod common;

use common::{Fault, Store, TestInstance, at, is_recorded, uuid_issued_at};
use daisymast_ledger::effect::{Change, Reply};
use daisymast_ledger::entry::Settled;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::RequestId;

const MINUTE: u64 = 60_000;
const HOUR: u64 = 60 * MINUTE;

fn owner() -> (Store, TestInstance) {
    let mut store = Store::default();
    let mut instance = TestInstance::new("a", 1);
    instance.take_over(at(0), &mut store);
    (store, instance)
}

fn is_claim_file_write(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Put { key, .. } if key.contains("/claims/"))
}

/// Returns a store with `count` segments that were opened by takeovers, each with one claim
/// `old-<n>`.
fn store_after_takeovers(count: u64) -> Store {
    let mut store = Store::default();
    for boot in 0..count {
        let mut instance = TestInstance::new("z", 1_000 + boot);
        instance.take_over(at(boot * 300), &mut store);
        let ticket = instance.claim(at(boot * 300 + 250), &mut store, &format!("old-{boot}"));
        assert_eq!(instance.answers[&ticket], Reply::Committed, "claim {boot}");
    }
    store
}

fn assert_claims_known(instance: &TestInstance, count: u64) {
    for number in 0..count {
        let state = instance.claim_state(&format!("old-{number}"));
        assert!(
            matches!(state, Some(ClaimState::Claimed { .. })),
            "old-{number}: {state:?}"
        );
    }
}

/// Guards against the loss of a claim, or an owner that makes no progress, when any one write of a
/// claim file fails.
#[test]
fn merge_loses_no_claim_under_any_fault() {
    let faults = [
        Fault::LostReply,
        Fault::LostCall,
        Fault::Refused,
        Fault::Delayed,
        Fault::CrashBefore,
        Fault::CrashAfter,
    ];
    // The next owner finds 32 sealed segments without a claim file.
    let before = store_after_takeovers(32);
    for fault in faults {
        for again in [false, true] {
            let mut store = before.clone();
            let mut instance = TestInstance::new("a", 1);
            let mut hits = 0;
            let mut plan = |_: usize, request: &StoreRequest| {
                hits += u32::from(is_claim_file_write(request));
                let hit = is_claim_file_write(request) && (hits == 1 || again && hits == 2);
                if hit { fault } else { Fault::None }
            };
            let effects = instance.partition.take_over(at(20_000));
            instance.drive(at(20_000), &mut store, effects, &mut plan);
            for tick in 0..10 {
                if !instance.crashed {
                    let effects = instance.partition.on_tick(at(20_300 + tick * 300));
                    instance.drive(at(20_300 + tick * 300), &mut store, effects, &mut plan);
                }
            }
            instance.apply_delayed(&mut store);
            assert!(hits >= 1, "{fault:?}: no claim file was written");
            if !instance.crashed {
                assert_claims_known(&instance, 32);
                let ticket = instance.claim(at(30_000), &mut store, "new");
                assert_eq!(instance.answers[&ticket], Reply::Committed, "{fault:?}");
            }
            let mut next = TestInstance::new("b", 2);
            next.take_over(at(40_000), &mut store);
            assert_claims_known(&next, 32);
            let files = store.map.keys().filter(|key| key.contains("/claims/"));
            assert_eq!(files.count(), 1, "{fault:?}");
        }
    }
}

/// Guards against claims that are overwritten in a long series of takeovers, and against an
/// unbounded number of segment keys.
#[test]
fn takeovers_write_a_claim_file_before_reusing_a_slot() {
    let mut store = store_after_takeovers(200);
    let mut instance = TestInstance::new("a", 1);
    instance.take_over(at(200 * 300), &mut store);
    assert_claims_known(&instance, 200);
    let segments = store.map.keys().filter(|key| key.contains("/seg/"));
    assert!(segments.count() <= 64);
}

/// Guards against a claim that is overwritten while no claim file can be written, and against a
/// reply of `Unavailable` for a claim that is recorded.
#[test]
fn claims_are_refused_while_no_file_can_be_written() {
    let (mut store, mut instance) = owner();
    let no_files = |_: usize, request: &StoreRequest| {
        if is_claim_file_write(request) {
            Fault::Refused
        } else {
            Fault::None
        }
    };
    let (mut committed, mut refused, mut clock) = (Vec::new(), Vec::new(), 1_000);
    while refused.is_empty() {
        for number in 0..256 {
            let id = format!("r-{clock}-{number}");
            let (ticket, effects) = instance.claim_effects(at(clock), &id);
            instance.drive(at(clock), &mut store, effects, &mut no_files.clone());
            committed.push((ticket, id));
        }
        for _ in 0..30 {
            clock += 50;
            let effects = instance.partition.on_tick(at(clock));
            instance.drive(at(clock), &mut store, effects, &mut no_files.clone());
        }
        let is_refused = |ticket: &_| instance.answers.get(ticket) == Some(&Reply::Unavailable);
        refused = committed
            .extract_if(.., |(ticket, _)| is_refused(ticket))
            .collect();
        assert!(clock < 300_000, "claims are never refused");
    }
    let (_, first) = &refused[0];
    assert!(!is_recorded(&mut store.clone(), at(clock), first));
    for tick in 1..40 {
        instance.tick(at(clock + tick * 250), &mut store);
    }
    let ticket = instance.claim(at(clock + 11_000), &mut store, "after");
    assert_eq!(instance.answers[&ticket], Reply::Committed);
    let mut next = TestInstance::new("b", 2);
    next.take_over(at(clock + 12_000), &mut store);
    for (_, id) in committed {
        assert!(
            next.claim_state(&id) != Some(ClaimState::Absent),
            "{id} is lost"
        );
    }
}

/// Guards against a former owner that was paused while it opened a segment, and whose write arrives
/// after other owners reused the slot and moved their claims to claim files.
#[test]
fn delayed_segment_opening_fails_after_slot_reuse() {
    let (mut store, mut instance) = owner();
    for number in 0..256 {
        instance.claim(at(1_000), &mut store, &format!("r-{number}"));
    }
    instance.tick(at(1_200), &mut store);
    let (ticket, effects) = instance.claim_effects(at(2_000), "late");
    let calls = instance.apply_effects(effects);
    assert!(matches!(&calls[0].1, StoreRequest::Put { key, .. } if key.ends_with("02")));
    for boot in 0..200 {
        TestInstance::new("z", 1_000 + boot).take_over(at(20 * MINUTE + boot), &mut store);
    }
    let _ = store.apply(&calls[0].1);
    let effects = instance
        .partition
        .on_store(at(21 * MINUTE), calls[0].0, common::unknown());
    instance.drive(at(21 * MINUTE), &mut store, effects, &mut |_, _| {
        Fault::None
    });
    assert_eq!(instance.answers[&ticket], Reply::Unknown);
    assert!(matches!(instance.changes.last(), Some(Change::Fenced(_))));
    assert!(!is_recorded(&mut store, at(22 * MINUTE), "late"));
}

/// Guards against a second acknowledgement of an id whose claim was evicted from memory, against a
/// report that it is absent, and against records that are kept indefinitely.
#[test]
fn old_claims_are_found_in_files_for_a_day() {
    let (mut store, mut instance) = owner();
    let (old, open, unknown) = (
        uuid_issued_at(0, 1),
        uuid_issued_at(0, 2),
        uuid_issued_at(0, 3),
    );
    for (time, id) in [(1_000, &old), (2_000, &open)] {
        let ticket = instance.claim(at(time), &mut store, id);
        assert_eq!(instance.answers[&ticket], Reply::Committed);
    }
    let ticket = instance.ticket();
    let request = RequestId::from(old.as_str());
    let effects = instance
        .partition
        .settle(at(5_000), ticket, request, Settled::Answered);
    instance.drive(at(5_000), &mut store, effects, &mut |_, _| Fault::None);
    for minute in 1..24 * 60 {
        instance.tick(at(minute * MINUTE), &mut store);
        if minute % 97 != 0 {
            continue;
        }
        let now = at(minute * MINUTE + 500);
        let mut other = TestInstance::new("b", 2);
        let mut copy = store.clone();
        other.take_over(now, &mut copy);
        for (instance, store) in [(&mut instance, &mut store), (&mut other, &mut copy)] {
            let answer = instance.status(now, store, &old);
            assert!(
                matches!(answer, Some(Reply::ClaimState(ClaimState::Answered { .. }))),
                "minute {minute}: {answer:?}"
            );
            let answer = instance.status(now, store, &open);
            assert!(
                matches!(answer, Some(Reply::ClaimState(ClaimState::Claimed { .. }))),
                "minute {minute}: {answer:?}"
            );
            let answer = instance.status(now, store, &unknown);
            assert_eq!(answer, Some(Reply::ClaimState(ClaimState::Absent)));
            let ticket = instance.claim(now, store, &open);
            assert_ne!(
                instance.answers[&ticket],
                Reply::Committed,
                "minute {minute}"
            );
        }
    }
    assert_eq!(
        instance.claim_state(&old),
        Some(ClaimState::Absent),
        "the claim is still in memory"
    );
    for minute in 24 * 60..27 * 60 {
        instance.tick(at(minute * MINUTE), &mut store);
    }
    let answer = instance.status(at(27 * HOUR), &mut store, &old);
    assert_eq!(answer, Some(Reply::Unavailable));
    let files = store.map.keys().filter(|key| key.contains("/claims/"));
    assert_eq!(files.count(), 0);
}

/// Guards against the loss of a result at a takeover when it is in a later claim file than its
/// claim.
#[test]
fn later_results_are_written_to_claim_files() {
    let (mut store, mut instance) = owner();
    let id = uuid_issued_at(0, 1);
    instance.claim(at(1_000), &mut store, &id);
    for minute in 1..30 {
        instance.tick(at(minute * MINUTE), &mut store);
    }
    let ticket = instance.ticket();
    let request = RequestId::from(id.as_str());
    let now = at(30 * MINUTE + 500);
    let effects = instance
        .partition
        .settle(now, ticket, request, Settled::Answered);
    instance.drive(now, &mut store, effects, &mut |_, _| Fault::None);
    for minute in 31..120 {
        instance.tick(at(minute * MINUTE), &mut store);
    }
    let files = store.map.keys().filter(|key| key.contains("/claims/"));
    assert_eq!(files.count(), 2);
    for boot in 0..80 {
        TestInstance::new("z", 1_000 + boot).take_over(at(2 * HOUR + boot), &mut store);
    }
    let mut next = TestInstance::new("b", 2);
    next.take_over(at(3 * HOUR), &mut store);
    let answer = next.status(at(3 * HOUR), &mut store, &id);
    assert!(
        matches!(answer, Some(Reply::ClaimState(ClaimState::Answered { .. }))),
        "{answer:?}"
    );
}

/// Guards against unbounded memory growth, and against a reply of `Unavailable` at the limit for a
/// claim that is recorded.
#[test]
fn claims_in_memory_are_bounded() {
    let (mut store, mut instance) = owner();
    let (mut number, mut clock) = (0, 1_000);
    let refused = loop {
        number += 1;
        let id = uuid_issued_at(clock, number);
        let ticket = instance.claim(at(clock), &mut store, &id);
        if instance.answers.remove(&ticket) == Some(Reply::Unavailable) {
            break id;
        }
        if number % 250 == 0 {
            clock += 200;
            instance.tick(at(clock), &mut store);
        }
        assert!(number < 100_000, "claims are never refused");
    };
    clock += 1_000;
    instance.tick(at(clock), &mut store);
    assert!(!is_recorded(&mut store.clone(), at(clock), &refused));
    for minute in 1..100 {
        instance.tick(at(clock + minute * MINUTE), &mut store);
    }
    clock += 100 * MINUTE;
    let id = uuid_issued_at(clock, 1);
    let ticket = instance.claim(at(clock), &mut store, &id);
    assert_eq!(instance.answers[&ticket], Reply::Committed);
}
