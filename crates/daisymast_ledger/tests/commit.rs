//! Tests of group commit: faults, sealing, runs, status queries and limits.

mod common;

use common::{Fault, Store, TestInstance, at, is_recorded};
use daisymast_ledger::effect::{Change, Reply};
use daisymast_ledger::entry::{Entry, Origin, RunOpened, Settled, TaskEnd};
use daisymast_ledger::segment::Segment;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, RunKey, WorkerId};
use daisymast_types::time::UnixMillis;

const DAY: u64 = 24 * 3_600 * 1_000;

fn owner() -> (Store, TestInstance) {
    let mut store = Store::default();
    let mut instance = TestInstance::new("a", 1);
    instance.take_over(at(0), &mut store);
    (store, instance)
}

/// Guards against a second acknowledgement of a claimed id, also for another digest.
#[test]
fn repeated_claim_is_not_committed_again() {
    let (mut store, mut instance) = owner();
    let first = instance.claim(at(1_000), &mut store, "r");
    let writes = store.writes;
    let second = instance.claim(at(2_000), &mut store, "r");
    let ticket = instance.ticket();
    let effects = instance.partition.claim(
        at(3_000),
        ticket,
        RequestId::from("r"),
        "other".to_owned(),
        InstanceId::from("z"),
    );
    instance.drive(at(3_000), &mut store, effects, &mut |_, _| Fault::None);
    let known = Reply::ClaimState(ClaimState::Claimed {
        by: InstanceId::from("a"),
        digest: "d1".to_owned(),
    });
    assert_eq!(instance.answers[&first], Reply::Committed);
    assert_eq!(instance.answers[&second], known);
    assert_eq!(instance.answers[&ticket], known);
    assert_eq!(store.writes, writes);
}

/// Guards against two acknowledgements when a repeated claim arrives while the first one is
/// pending.
#[test]
fn repeat_of_pending_claim_is_not_acknowledged() {
    let (mut store, mut instance) = owner();
    let first = instance.claim(at(50), &mut store, "r");
    let second = instance.claim(at(60), &mut store, "r");
    assert!(!instance.answers.contains_key(&first));
    assert!(matches!(
        instance.answers[&second],
        Reply::ClaimState(ClaimState::Claimed { .. })
    ));
    instance.tick(at(200), &mut store);
    assert_eq!(instance.answers[&first], Reply::Committed);
}

/// Guards against more than five writes per second, and against a delay of the first claim of an
/// idle partition.
#[test]
fn claims_of_one_interval_share_a_write() {
    let (mut store, mut instance) = owner();
    let writes = store.writes;
    for milli in 0..1_000 {
        let now = at(1_000 + milli);
        instance.claim(now, &mut store, &format!("r-{milli}"));
        instance.tick(now, &mut store);
        if milli == 0 {
            assert_eq!(store.writes, writes + 1);
        }
    }
    assert_eq!(store.writes - writes, 5);
    instance.tick(at(2_000), &mut store);
    assert_eq!(instance.answers.len(), 1_000);
    assert!(
        instance
            .answers
            .values()
            .all(|reply| *reply == Reply::Committed)
    );
}

/// Guards against incorrect replies when any one call of a commit fails.
#[test]
fn commit_replies_are_correct_under_every_fault() {
    let faults = [
        Fault::LostReply,
        Fault::LostCall,
        Fault::Refused,
        Fault::Delayed,
        Fault::CrashBefore,
        Fault::CrashAfter,
    ];
    for fault in faults {
        for (step, again) in [(0, false), (0, true), (1, false), (2, false)] {
            let (mut store, mut instance) = owner();
            let base = instance.calls;
            let (ticket, effects) = instance.claim_effects(at(1_000), "r");
            let mut plan = |call: usize, _: &StoreRequest| {
                let hit = call == base + step || (again && call == base + step + 1);
                // The second call of a commit exists only if the first reply was lost.
                match (hit, step > 0 && call == base) {
                    (true, _) => fault,
                    (_, true) => Fault::LostReply,
                    _ => Fault::None,
                }
            };
            instance.drive(at(1_000), &mut store, effects, &mut plan);
            for tick in 0..10 {
                if !instance.crashed {
                    instance.tick(at(1_100 + tick * 100), &mut store);
                }
            }
            instance.apply_delayed(&mut store);
            let label = format!("{fault:?} at call {step}, again {again}");
            let found = is_recorded(&mut store, at(9_000), "r");
            match instance.answers.get(&ticket) {
                Some(Reply::Committed) => assert!(found, "{label}"),
                Some(Reply::Unavailable | Reply::NotOwner) => assert!(!found, "{label}"),
                Some(Reply::Unknown) => {}
                None => assert!(instance.crashed, "{label}"),
                Some(other) => panic!("{label}: {other:?}"),
            }
        }
    }
}

/// Guards against a claim that is not answered until a store outage ends, and against a reply of
/// `Unavailable` for a claim that is recorded later.
#[test]
fn store_outage_yields_prompt_and_correct_replies() {
    let (mut store, mut instance) = owner();
    let (sent, effects) = instance.claim_effects(at(1_000), "sent");
    instance.drive(at(1_000), &mut store, effects, &mut |_, _| Fault::LostCall);
    let (waiting, effects) = instance.claim_effects(at(1_050), "waiting");
    instance.drive(at(1_050), &mut store, effects, &mut |_, _| Fault::LostCall);
    let mut clock = 1_050;
    while instance.answers.len() < 2 {
        clock += 50;
        let effects = instance.partition.on_tick(at(clock));
        instance.drive(at(clock), &mut store, effects, &mut |_, _| Fault::Refused);
        assert!(clock <= 2_050, "replies take longer than 1 s");
    }
    assert_eq!(instance.answers[&sent], Reply::Unknown);
    assert_eq!(instance.answers[&waiting], Reply::Unavailable);
    for tick in 0..10 {
        instance.tick(at(5_000 + tick * 300), &mut store);
    }
    assert!(!is_recorded(&mut store, at(9_000), "waiting"));
    assert!(
        is_recorded(&mut store, at(9_500), "sent"),
        "the write is repeated after the outage"
    );
}

/// Guards against unbounded memory growth while the store is down.
#[test]
fn pending_claims_are_bounded() {
    let (mut store, mut instance) = owner();
    let mut refused = 0;
    for number in 0..1_100 {
        let ticket = instance.claim(at(100), &mut store, &format!("r-{number}"));
        refused += usize::from(instance.answers.get(&ticket) == Some(&Reply::Unavailable));
    }
    assert_eq!(refused, 1_100 - 1_024);
}

/// Guards against unbounded growth of a segment.
#[test]
fn segments_are_sealed_by_entries_and_by_bytes() {
    let (mut store, mut instance) = owner();
    for number in 0..600 {
        instance.claim(at(1_000), &mut store, &format!("r-{number}"));
    }
    for tick in 0..10 {
        instance.tick(at(1_000 + tick * 200), &mut store);
    }
    let long = "x".repeat(2_000);
    for number in 0..100 {
        instance.claim(at(5_000), &mut store, &format!("{long}-{number}"));
    }
    for tick in 0..20 {
        instance.tick(at(5_000 + tick * 200), &mut store);
    }
    let mut sealed = 0;
    for entry in store
        .map
        .values()
        .filter(|entry| entry.key.contains("/seg/"))
    {
        let segment: Segment = serde_json::from_str(&entry.value).expect("readable");
        assert!(segment.entries.len() <= 256, "{}", segment.entries.len());
        assert!(
            entry.value.len() <= 66 * 1_024 + 200,
            "{}",
            entry.value.len()
        );
        sealed += usize::from(segment.sealed.is_some());
    }
    assert!(sealed >= 4, "{sealed}");
    assert_eq!(instance.answers.len(), 700);
    assert!(is_recorded(&mut store, at(20_000), "r-599"));
}

/// Guards against a late or repeated result that replaces the result reported to the caller.
#[test]
fn first_result_of_a_request_is_kept() {
    let (mut store, mut instance) = owner();
    instance.claim(at(1_000), &mut store, "r");
    for (time, result) in [
        (2_000, Settled::NotRun(NotRunReason::NoEndpoint)),
        (3_000, Settled::Answered),
    ] {
        let ticket = instance.ticket();
        let effects = instance
            .partition
            .settle(at(time), ticket, RequestId::from("r"), result);
        instance.drive(at(time), &mut store, effects, &mut |_, _| Fault::None);
    }
    let mut next = TestInstance::new("b", 2);
    next.take_over(at(5_000), &mut store);
    assert!(matches!(
        next.claim_state("r"),
        Some(ClaimState::NotRun {
            reason: NotRunReason::NoEndpoint,
            ..
        })
    ));
}

fn opened(run: u64, until: u64) -> Entry {
    Entry::RunOpened(RunOpened {
        run: RunKey(run),
        job: JobName::from("survey"),
        origin: Origin::Due(UnixMillis(common::WALL_START_MS)),
        tasks: 2,
        generation: Generation(1),
        until: Some(UnixMillis(until)),
    })
}

/// Guards against the loss of runs when the segment that opened them is overwritten, and against a
/// closed run that is opened again while it is still due.
#[test]
fn runs_are_copied_into_the_next_segment() {
    let (mut store, mut instance) = owner();
    let entries = vec![
        opened(1, common::WALL_START_MS + 10),
        opened(2, common::WALL_START_MS + 10),
        opened(3, common::WALL_START_MS + 10 * DAY),
        Entry::TaskClaim {
            run: RunKey(1),
            index: 1,
            attempt: 1,
            worker: WorkerId::from("w-1"),
        },
        Entry::TaskDone {
            run: RunKey(1),
            index: 1,
            attempt: 1,
            end: TaskEnd::Failed,
        },
        Entry::RunClosed { run: RunKey(2) },
        Entry::RunClosed { run: RunKey(3) },
    ];
    let ticket = instance.ticket();
    let effects = instance.partition.record(at(1_000), ticket, entries);
    instance.drive(at(1_000), &mut store, effects, &mut |_, _| Fault::None);
    for number in 0..300 {
        instance.claim(at(2_000), &mut store, &format!("r-{number}"));
    }
    for tick in 0..5 {
        instance.tick(at(2_200 + tick * 200), &mut store);
    }
    instance.tick(at(DAY + 9_000), &mut store);
    let mut next = TestInstance::new("b", 2);
    next.take_over(at(DAY + 10_000), &mut store);
    let runs = next.partition.runs().expect("owned");
    assert_eq!(
        runs.keys().copied().collect::<Vec<_>>(),
        [RunKey(1), RunKey(3)]
    );
    assert_eq!(runs[&RunKey(1)].tasks[&1].failed, [WorkerId::from("w-1")]);
    assert!(runs[&RunKey(3)].closed);
}

/// Guards against an owner that never detects that it was fenced because it writes nothing.
#[test]
fn idle_owner_confirms_its_ownership() {
    let (mut store, mut instance) = owner();
    instance.tick(at(59_000), &mut store);
    assert!(instance.partition.ownership_confirmed_at() < Some(at(59_000).mono));
    instance.tick(at(61_000), &mut store);
    assert_eq!(
        instance.partition.ownership_confirmed_at(),
        Some(at(61_000).mono)
    );
    TestInstance::new("b", 2).take_over(at(62_000), &mut store);
    instance.tick(at(122_000), &mut store);
    assert_eq!(instance.partition.epoch(), None);
}

/// Guards against a draining owner that drops pending claims, or that never releases the partition.
#[test]
fn release_finishes_open_commits() {
    let (mut store, mut instance) = owner();
    let ticket = instance.claim(at(50), &mut store, "r");
    let effects = instance.partition.release(at(60));
    instance.drive(at(60), &mut store, effects, &mut |_, _| Fault::None);
    let refused = instance.claim(at(70), &mut store, "s");
    assert_eq!(instance.answers[&refused], Reply::NotOwner);
    instance.tick(at(200), &mut store);
    assert_eq!(instance.answers[&ticket], Reply::Committed);
    assert_eq!(instance.changes.last(), Some(&Change::Released));
    assert!(instance.partition.is_idle());
}

/// Guards against a fenced owner that reports a request as absent although the next owner recorded
/// it, and against a read for each status query.
#[test]
fn absence_is_reported_only_after_ownership_is_confirmed() {
    let (mut store, mut instance) = owner();
    let query_status = |instance: &mut TestInstance, store: &mut Store, time: u64, id: &str| {
        let ticket = instance.ticket();
        let effects = instance
            .partition
            .status(at(time), ticket, RequestId::from(id));
        instance.drive(at(time), store, effects, &mut |_, _| Fault::None);
        ticket
    };
    let reads = store.reads;
    let first = query_status(&mut instance, &mut store, 1_000, "r");
    assert_eq!(
        instance.answers[&first],
        Reply::ClaimState(ClaimState::Absent)
    );
    let more: Vec<_> = (1..50)
        .map(|more| query_status(&mut instance, &mut store, 1_000 + more, "r"))
        .collect();
    instance.tick(at(1_100), &mut store);
    for ticket in more {
        assert_eq!(
            instance.answers[&ticket],
            Reply::ClaimState(ClaimState::Absent)
        );
    }
    assert_eq!(store.reads, reads + 2);
    let mut next = TestInstance::new("b", 2);
    next.take_over(at(2_000), &mut store);
    next.claim(at(3_000), &mut store, "r");
    let stale = query_status(&mut instance, &mut store, 4_000, "r");
    assert_eq!(instance.answers[&stale], Reply::NotOwner);
}

/// Guards against a status query that is never answered while the store is down.
#[test]
fn status_query_is_refused_while_the_store_is_down() {
    let (mut store, mut instance) = owner();
    let ticket = instance.ticket();
    let effects = instance
        .partition
        .status(at(1_000), ticket, RequestId::from("r"));
    instance.drive(at(1_000), &mut store, effects, &mut |_, _| Fault::Refused);
    for tick in 1..=20 {
        let effects = instance.partition.on_tick(at(1_000 + tick * 50));
        instance.drive(at(1_000 + tick * 50), &mut store, effects, &mut |_, _| {
            Fault::Refused
        });
    }
    assert_eq!(instance.answers[&ticket], Reply::Unavailable);
}

/// Guards against a reply of `Unavailable` for a claim whose write may have taken effect before the
/// segment became unreadable.
#[test]
fn unreadable_segment_after_a_lost_reply_reports_the_claim_as_unknown() {
    let (mut store, mut instance) = owner();
    let (ticket, effects) = instance.claim_effects(at(1_000), "r");
    let calls = instance.apply_effects(effects);
    let _ = store.apply(&calls[0].1);
    let key = "ledger/3/seg/000000000001";
    store.map.get_mut(key).expect("open segment").value = "?".to_owned();
    let effects = instance
        .partition
        .on_store(at(1_400), calls[0].0, common::unknown());
    instance.drive(at(1_400), &mut store, effects, &mut |_, _| Fault::None);
    assert_eq!(instance.answers[&ticket], Reply::Unknown);
    assert!(matches!(
        instance.changes.last(),
        Some(Change::Unreadable(_))
    ));
    assert_eq!(store.map[key].value, "?");
}
