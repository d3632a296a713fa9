//! Tests of the platform model. Its guarantees and limits must match those of the real platform, or
//! tests against the stand-in would prove nothing.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::time::Duration;

use daisymast_platform::model::{Faults, ModelReply, PlatformModel};
use daisymast_protocol::limits;
use daisymast_protocol::store::{Entry, Member, MemberId, StoreReply, StoreRequest};
use daisymast_types::ids::{Revision, Zone};
use daisymast_types::time::Monotonic;
use proptest::prelude::{ProptestConfig, Strategy, prop, proptest};
use proptest::test_runner::RngSeed;

const START: Monotonic = Monotonic::ZERO;

fn put(value: &str, expect: u64) -> StoreRequest {
    put_key("k", value, expect)
}

fn put_key(key: &str, value: &str, expect: u64) -> StoreRequest {
    StoreRequest::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        expect: Revision(expect),
    }
}

fn delete(expect: u64) -> StoreRequest {
    StoreRequest::Delete {
        key: "k".to_owned(),
        expect: Revision(expect),
    }
}

fn watch(seen: u64, wait_ms: u64) -> StoreRequest {
    StoreRequest::Watch {
        key: "k".to_owned(),
        seen: Revision(seen),
        wait_ms,
    }
}

fn entry(value: &str, revision: u64) -> Entry {
    Entry {
        key: "k".to_owned(),
        value: value.to_owned(),
        revision: Revision(revision),
    }
}

fn written(revision: u64) -> StoreReply {
    StoreReply::Written {
        revision: Revision(revision),
    }
}

fn answer(reply: ModelReply) -> StoreReply {
    match reply {
        ModelReply::Answer { reply, .. } => reply,
        other => panic!("expected an immediate reply, got {other:?}"),
    }
}

fn call(model: &mut PlatformModel, request: StoreRequest) -> StoreReply {
    answer(model.on_request(START, request))
}

/// Guards against two writers that both succeed with the same expected revision.
#[test]
fn second_writer_gets_a_conflict() {
    let mut model = PlatformModel::default();
    assert_eq!(call(&mut model, put("a", 0)), written(1));
    let conflict = StoreReply::Conflict {
        entry: Some(entry("a", 1)),
    };
    assert_eq!(call(&mut model, put("b", 0)), conflict);
    assert_eq!(call(&mut model, put("b", 1)), written(2));
    assert_eq!(
        call(&mut model, delete(1)),
        StoreReply::Conflict {
            entry: Some(entry("b", 2)),
        }
    );
    let counts = model.counts();
    assert_eq!((counts.calls, counts.writes, counts.conflicts), (4, 4, 2));
}

/// Guards against a former owner whose expected revision matches again after the key was deleted
/// and recreated.
#[test]
fn recreated_key_gets_a_higher_revision() {
    let mut model = PlatformModel::default();
    call(&mut model, put("a", 0));
    call(&mut model, put("b", 1));
    assert_eq!(call(&mut model, delete(2)), written(0));
    assert_eq!(call(&mut model, put("c", 0)), written(3));
}

/// Guards against a manifest or ledger segment that fits in the stand-in but not in the real store.
#[test]
fn value_over_one_mebibyte_is_refused() {
    let mut model = PlatformModel::default();
    let largest = "x".repeat(limits::STORE_VALUE_BYTES);
    assert_eq!(call(&mut model, put(&largest, 0)), written(1));
    let reply = call(&mut model, put(&format!("{largest}x"), 1));
    let StoreReply::Refused { reason } = reply else {
        panic!("{reply:?}")
    };
    assert!(
        reason.contains("1048577") && reason.contains("1048576"),
        "{reason}"
    );
    assert_eq!(model.counts().refused, 1);
}

/// Guards against a list that omits keys of the prefix, includes other keys, or is not ordered.
#[test]
fn list_returns_the_keys_of_a_prefix_in_order() {
    let mut model = PlatformModel::default();
    for key in ["b/1", "a/2", "a/1", "a", "c"] {
        call(&mut model, put_key(key, "v", 0));
    }
    let prefix = "a/".to_owned();
    let StoreReply::Entries { entries } = call(&mut model, StoreRequest::List { prefix }) else {
        panic!("expected entries")
    };
    let keys: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
}

/// Guards against a watch that misses a write or waits longer than requested.
#[test]
fn watch_returns_on_a_write_or_timeout() {
    let mut model = PlatformModel::default();
    let ModelReply::Deferred(first) = model.on_request(START, watch(0, 1_000)) else {
        panic!("expected the watch to wait")
    };
    assert_eq!(model.on_tick(START), []);
    call(&mut model, put("a", 0));
    let resolved = model.on_tick(START);
    assert_eq!(resolved.len(), 1);
    let (id, reply) = resolved.into_iter().next().unwrap();
    let value = |revision| StoreReply::Value {
        entry: Some(entry("a", revision)),
    };
    assert_eq!((id, answer(reply)), (first, value(1)));

    assert_eq!(call(&mut model, watch(0, 1_000)), value(1));
    let ModelReply::Deferred(second) = model.on_request(START, watch(1, 1_000)) else {
        panic!("expected the watch to wait")
    };
    assert_eq!(model.on_tick(Monotonic::from_millis(999)), []);
    let resolved = model.on_tick(Monotonic::from_millis(1_000));
    assert_eq!(resolved[0].0, second);
    assert_eq!(model.waiting(), 0);
    assert_eq!((model.counts().calls, model.counts().reads), (4, 3));
}

/// Guards against watches of disconnected callers that accumulate.
#[test]
fn cancelled_watch_is_removed() {
    let mut model = PlatformModel::default();
    let ModelReply::Deferred(id) = model.on_request(START, watch(0, 1_000)) else {
        panic!("expected the watch to wait")
    };
    model.cancel(id);
    assert_eq!(model.waiting(), 0);
}

/// Guards against an injected outage during which a call takes effect or a watch keeps waiting.
#[test]
fn outage_blocks_writes_and_ends_watches() {
    let mut model = PlatformModel::default();
    let ModelReply::Deferred(id) = model.on_request(START, watch(0, 1_000)) else {
        panic!("expected the watch to wait")
    };
    model.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(
        model.on_request(START, put("a", 0)),
        ModelReply::Unreachable
    );
    assert_eq!(model.on_tick(START), [(id, ModelReply::Unreachable)]);
    model.set_faults(Faults::default());
    assert_eq!(call(&mut model, put("a", 0)), written(1));
}

/// Guards against an injected network partition that affects other callers than the refused ones.
#[test]
fn partition_affects_only_the_refused_callers() {
    let mut model = PlatformModel::default();
    model.set_faults(Faults {
        refuse: vec!["i-1".to_owned()],
        ..Faults::default()
    });
    let refused = model.on_request_from(START, "i-1", put("a", 0));
    assert_eq!(refused, ModelReply::Unreachable);
    assert_eq!(
        answer(model.on_request_from(START, "i-2", put("a", 0))),
        written(1)
    );
    assert_eq!(model.counts().unreachable, 1);
}

/// Guards against a watch that keeps waiting across an injected network partition.
#[test]
fn pending_watch_ends_when_its_caller_is_cut_off() {
    let mut model = PlatformModel::default();
    let watch = || StoreRequest::Watch {
        key: "a".to_owned(),
        seen: Revision(0),
        wait_ms: 10_000,
    };
    let ModelReply::Deferred(cut_off) = model.on_request_from(START, "i-1", watch()) else {
        panic!("expected the first watch to wait");
    };
    let ModelReply::Deferred(_) = model.on_request_from(START, "i-2", watch()) else {
        panic!("expected the second watch to wait");
    };
    model.set_faults(Faults {
        refuse: vec!["i-1".to_owned()],
        ..Faults::default()
    });
    assert_eq!(model.on_tick(START), [(cut_off, ModelReply::Unreachable)]);
}

/// Guards against a lost reply of a write that did not take effect: a conflict must not use up an
/// injected loss.
#[test]
fn only_replies_of_successful_writes_are_lost() {
    let mut model = PlatformModel::default();
    model.set_faults(Faults {
        lose_writes: 1,
        ..Faults::default()
    });
    let conflict = StoreReply::Conflict { entry: None };
    assert_eq!(call(&mut model, put("a", 7)), conflict);
    assert_eq!(model.on_request(START, put("a", 0)), ModelReply::ReplyLost);
    assert_eq!(model.get("k"), Some(&entry("a", 1)));
    assert_eq!(call(&mut model, put("b", 1)), written(2));
}

/// Guards against an injected delay without effect.
#[test]
fn slow_platform_delays_each_answer() {
    let mut model = PlatformModel::default();
    model.set_faults(Faults {
        slow_ms: 70,
        ..Faults::default()
    });
    let ModelReply::Answer { delay, .. } = model.on_request(START, put("a", 0)) else {
        panic!("expected an immediate reply")
    };
    assert_eq!(delay, Duration::from_millis(70));
}

/// Guards against a restore that keeps newer keys, or that a waiting watch does not report.
#[test]
fn restore_returns_to_older_values_and_revisions() {
    let mut model = PlatformModel::default();
    call(&mut model, put("a", 0));
    let saved = model.snapshot();
    call(&mut model, put("b", 1));
    call(&mut model, put_key("other", "x", 0));
    let ModelReply::Deferred(_) = model.on_request(START, watch(2, 1_000)) else {
        panic!("expected the watch to wait")
    };
    model.restore(&saved);
    let entries: Vec<_> = model.entries().cloned().collect();
    assert_eq!(entries, [entry("a", 1)]);
    assert_eq!(model.on_tick(START).len(), 1);
}

/// Guards against a member list without lag: code tested against it could depend on fresh entries,
/// which the real platform does not promise.
#[test]
fn member_list_shows_changes_after_the_lag() {
    let mut model = PlatformModel::new(Duration::from_millis(500));
    let member = |leaving| Member {
        who: MemberId::Worker("w-1".into(), "r-1".into()),
        zone: Zone::from("waco"),
        address: "127.0.0.1:1".to_owned(),
        leaving,
    };
    let list = |model: &mut PlatformModel, at| {
        let reply = model.on_request(Monotonic::from_millis(at), StoreRequest::Members);
        match answer(reply) {
            StoreReply::Members { members } => members,
            other => panic!("{other:?}"),
        }
    };
    model.register(START, member(false));
    model.register(Monotonic::from_millis(100), member(true));
    assert_eq!(list(&mut model, 499), []);
    assert_eq!(list(&mut model, 500), [member(false)]);
    assert_eq!(list(&mut model, 600), [member(true)]);
    model.remove(Monotonic::from_millis(700), member(true).who);
    assert_eq!(list(&mut model, 1_199), [member(true)]);
    assert_eq!(list(&mut model, 1_200), []);
}

fn any_write() -> impl Strategy<Value = StoreRequest> {
    (0..3_u8, 0..4_u64, prop::bool::weighted(0.3)).prop_map(|(key, expect, delete)| {
        let (key, expect) = (format!("k{key}"), Revision(expect));
        if delete {
            StoreRequest::Delete { key, expect }
        } else {
            let value = String::new();
            StoreRequest::Put { key, value, expect }
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x706c_6174),
        ..ProptestConfig::default()
    })]

    /// Guards against a revision that is assigned twice to one key: a fenced writer could then pass
    /// for the current one.
    #[test]
    fn revisions_of_a_key_only_rise(writes in prop::collection::vec(any_write(), 1..60)) {
        let mut model = PlatformModel::default();
        let mut highest = std::collections::HashMap::new();
        for write in writes {
            let (StoreRequest::Put { key, .. } | StoreRequest::Delete { key, .. }) = &write else {
                unreachable!("`any_write` generates only writes");
            };
            let key = key.clone();
            let is_put = matches!(write, StoreRequest::Put { .. });
            if let StoreReply::Written { revision } = call(&mut model, write) && is_put {
                let former = highest.insert(key, revision);
                assert!(former.is_none_or(|former| former < revision));
            }
        }
    }
}
