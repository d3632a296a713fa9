//! Tests of takeover with crashes, lost replies and concurrent owners.

mod common;

use common::{Fault, Store, TestInstance, at, is_recorded};
use daisymast_ledger::effect::{Change, Reply};
use daisymast_protocol::peer::ClaimState;
use daisymast_types::ids::Epoch;

const FAULTS: [Fault; 6] = [
    Fault::LostReply,
    Fault::LostCall,
    Fault::Refused,
    Fault::Delayed,
    Fault::CrashBefore,
    Fault::CrashAfter,
];

/// A store and its owner, whose claim of `old` is acknowledged.
fn store_with_acknowledged_claim() -> (Store, TestInstance) {
    let mut store = Store::default();
    let mut first = TestInstance::new("a", 1);
    first.take_over(at(0), &mut store);
    let ticket = first.claim(at(1_000), &mut store, "old");
    assert_eq!(first.answers[&ticket], Reply::Committed);
    (store, first)
}

/// Guards against an owner that does not find the claims that its predecessor acknowledged.
#[test]
fn takeover_keeps_acknowledged_claims() {
    let (mut store, _) = store_with_acknowledged_claim();
    let mut second = TestInstance::new("b", 2);
    second.take_over(at(2_000), &mut store);
    assert_eq!(second.partition.epoch(), Some(Epoch(2)));
    assert!(matches!(
        second.claim_state("old"),
        Some(ClaimState::Claimed { .. })
    ));
}

/// Guards against a takeover that makes no progress, or loses a claim, when any one of its calls
/// fails.
#[test]
fn takeover_completes_under_every_fault() {
    for fault in FAULTS {
        for step in 0..6 {
            let (mut store, _) = store_with_acknowledged_claim();
            let mut second = TestInstance::new("b", 2);
            let effects = second.partition.take_over(at(2_000));
            let mut plan = |call: usize, _: &_| if call == step { fault } else { Fault::None };
            second.drive(at(2_000), &mut store, effects, &mut plan);
            second.apply_delayed(&mut store);
            if second.crashed {
                second = TestInstance::new("b", 3);
                second.take_over(at(2_500), &mut store);
            }
            for tick in 0..20 {
                second.tick(at(3_000 + tick * 300), &mut store);
            }
            assert!(
                second.partition.epoch().is_some(),
                "{fault:?} at call {step}"
            );
            assert!(
                matches!(second.claim_state("old"), Some(ClaimState::Claimed { .. })),
                "{fault:?} at call {step}"
            );
            let ticket = second.claim(at(20_000), &mut store, "new");
            assert_eq!(
                second.answers[&ticket],
                Reply::Committed,
                "{fault:?} at {step}"
            );
        }
    }
}

/// Guards against a former owner that acknowledges a claim after another instance took the
/// partition over.
#[test]
fn fenced_owner_cannot_write() {
    let (mut store, mut first) = store_with_acknowledged_claim();
    let mut second = TestInstance::new("b", 2);
    second.take_over(at(2_000), &mut store);
    let ticket = first.claim(at(3_000), &mut store, "late");
    assert_eq!(first.answers[&ticket], Reply::NotOwner);
    assert_eq!(first.changes.last(), Some(&Change::Fenced(Some(Epoch(2)))));
    assert_eq!(first.partition.epoch(), None);
    assert!(!is_recorded(&mut store, at(5_000), "late"));
}

/// Guards against a write that was sent before the takeover and arrives after it.
#[test]
fn delayed_write_of_a_fenced_owner_fails_and_is_reported_as_unknown() {
    let (mut store, mut first) = store_with_acknowledged_claim();
    let (ticket, effects) = first.claim_effects(at(3_000), "late");
    let calls = first.apply_effects(effects);
    let mut second = TestInstance::new("b", 2);
    second.take_over(at(3_100), &mut store);
    let _ = store.apply(&calls[0].1);
    let effects = first
        .partition
        .on_store(at(3_500), calls[0].0, common::unknown());
    first.drive(at(3_500), &mut store, effects, &mut |_, _| Fault::None);
    assert_eq!(first.answers[&ticket], Reply::Unknown);
    assert!(matches!(first.changes.last(), Some(Change::Fenced(_))));
    assert!(!is_recorded(&mut store, at(5_000), "late"));
}

/// Guards against a former owner that opens the next segment after the takeover.
#[test]
fn former_owner_between_two_segments_is_fenced() {
    let (mut store, mut first) = store_with_acknowledged_claim();
    for number in 0..255 {
        first.claim(at(1_300 + number), &mut store, &format!("fill-{number}"));
    }
    for tick in 0..4 {
        first.tick(at(2_000 + tick * 250), &mut store);
    }
    let open = "ledger/3/seg/000000000002";
    assert!(
        !store.map.contains_key(open),
        "the next segment is opened by its first write"
    );
    let mut second = TestInstance::new("b", 2);
    second.take_over(at(4_000), &mut store);
    assert!(store.map.contains_key(open));
    let ticket = first.claim(at(5_000), &mut store, "late");
    assert_eq!(first.answers[&ticket], Reply::NotOwner);
    assert!(matches!(
        second.claim_state("fill-254"),
        Some(ClaimState::Claimed { .. })
    ));
}

/// Guards against two simultaneous owners for every interleaving of two takeovers.
#[test]
fn concurrent_takeovers_leave_one_owner() {
    for schedule in 0_u32..1 << 12 {
        let (mut store, _) = store_with_acknowledged_claim();
        let mut instances = [TestInstance::new("b", 2), TestInstance::new("c", 3)];
        let mut open = instances.each_mut().map(|instance| {
            let effects = instance.partition.take_over(at(2_000));
            instance.apply_effects(effects)
        });
        for turn in 0..12 {
            let index = usize::from(schedule >> turn & 1 == 1);
            if let Some((call, request)) = open[index].pop() {
                let reply = daisymast_protocol::outcome::Outcome::Done(store.apply(&request));
                let effects = instances[index].partition.on_store(at(2_000), call, reply);
                open[index] = instances[index].apply_effects(effects);
            }
        }
        for index in [0, 1] {
            while let Some((call, request)) = open[index].pop() {
                let reply = daisymast_protocol::outcome::Outcome::Done(store.apply(&request));
                let effects = instances[index].partition.on_store(at(2_100), call, reply);
                open[index] = instances[index].apply_effects(effects);
            }
        }
        let acknowledged: Vec<bool> = [0, 1]
            .map(|index: usize| {
                let ticket = instances[index].claim(at(3_000), &mut store, "contended");
                instances[index].answers[&ticket] == Reply::Committed
            })
            .into();
        assert_eq!(
            acknowledged
                .iter()
                .filter(|acknowledged| **acknowledged)
                .count(),
            1,
            "schedule {schedule:012b}"
        );
        assert!(is_recorded(&mut store, at(5_000), "old"));
    }
}

/// Guards against overwriting a value that was written by a newer release or corrupted by a fault.
#[test]
fn unreadable_values_are_reported_and_not_overwritten() {
    for key in ["ledger/3/head", "ledger/3/seg/000000000001"] {
        let (mut store, mut first) = store_with_acknowledged_claim();
        let entry = store.map.get_mut(key).expect("key exists");
        entry.value = "{\"epoch\":".to_owned();
        let mut second = TestInstance::new("b", 2);
        second.take_over(at(2_000), &mut store);
        for tick in 0..600 {
            second.tick(at(2_000 + tick * 250), &mut store);
        }
        assert!(
            matches!(&second.changes[..], [Change::Unreadable(reason)] if reason.contains(key))
        );
        assert_eq!(store.map[key].value, "{\"epoch\":");
        assert_eq!(second.partition.epoch(), None);
        if key.contains("seg") {
            store.map.get_mut(key).expect("key exists").revision.0 += 1_000;
            let ticket = first.claim(at(3_000), &mut store, "new");
            assert_eq!(first.answers[&ticket], Reply::Unavailable);
            assert!(matches!(&first.changes.last(), Some(Change::Unreadable(_))));
            assert_eq!(store.map[key].value, "{\"epoch\":");
        }
    }
}

/// Guards against an endless loop of takeovers after the head was restored to an older epoch.
#[test]
fn epoch_rises_above_that_of_the_segments() {
    let (mut store, _) = store_with_acknowledged_claim();
    for boot in 2..5 {
        TestInstance::new("b", boot).take_over(at(2_000), &mut store);
    }
    let head = store.map.get_mut("ledger/3/head").expect("head exists");
    head.value = head.value.replace("\"epoch\":4", "\"epoch\":1");
    let mut next = TestInstance::new("c", 9);
    next.take_over(at(3_000), &mut store);
    assert_eq!(next.changes, [Change::Fenced(Some(Epoch(4)))]);
    next.take_over(at(4_000), &mut store);
    assert_eq!(next.partition.epoch(), Some(Epoch(5)));
}
