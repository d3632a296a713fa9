//! Lost replies, lost workers, lost ownership and store outages.

use daisymast_protocol::task::TaskState;
use daisymast_types::ids::WorkerId;

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{TestInstance, batch, manifest};
use crate::runs::tests::holder::{Holder, Link};

fn started_batch(tasks: u32) -> (Store, Holder, TestInstance) {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance = TestInstance::new(
        "a",
        1,
        &holder,
        manifest(vec![batch("survey", tasks)], vec![]),
    );
    instance.run(&mut store, &mut holder, 5_000);
    assert_eq!(holder.running(), usize::try_from(tasks).expect("fits"));
    (store, holder, instance)
}

/// Guards against an exclusive task that runs twice at the same time: its worker is unreachable,
/// but may still run the first attempt.
#[test]
fn exclusive_task_is_restarted_only_after_its_lease_expired() {
    let (mut store, mut holder, mut instance) = started_batch(1);
    holder.lost_workers.insert(WorkerId::from("w-1"));
    let last_poll = holder.polls.last().copied().expect("polled");
    instance.run(&mut store, &mut holder, last_poll + 14_900);
    assert_eq!(holder.starts.len(), 1);
    // The worker ends the task on its own when the lease expires.
    holder.end_all(TaskState::Expired);
    instance.run(&mut store, &mut holder, last_poll + 19_000);
    assert_eq!(holder.starts.len(), 2);
    assert!(holder.starts[1].0 >= last_poll + 15_000);
    assert_ne!(holder.starts[1].2, WorkerId::from("w-1"));
    assert_eq!(instance.event_count("task.expired"), 1);
}

/// Guards against a second start after the reply to the first one was lost. The holder asserts that
/// no task runs twice.
#[test]
fn lost_start_reply_causes_no_second_start() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    holder.start_link = Link::LosesReplies;
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 5)], vec![]));
    instance.run(&mut store, &mut holder, 60_000);
    assert_eq!(holder.starts.len(), 5);
    assert_eq!(holder.running(), 5);
}

/// Guards against a task that waits for ever after its start was lost: the owner has to query the
/// outcome and make another attempt.
#[test]
fn lost_start_is_resolved_and_followed_by_another_attempt() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    holder.start_link = Link::LosesCalls;
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 5)], vec![]));
    instance.run(&mut store, &mut holder, 3_000);
    assert_eq!((holder.starts.len(), holder.running()), (5, 0));
    holder.start_link = Link::Good;
    instance.run(&mut store, &mut holder, 9_000);
    assert_eq!(holder.running(), 5);
    assert!(holder.tasks.keys().all(|key| key.attempt == 2));
}

/// Guards against a new owner that restarts running tasks, and against a fenced owner that keeps
/// starting tasks.
#[test]
fn new_owner_adopts_running_tasks_and_fenced_owner_stops() {
    let (mut store, mut holder, mut former) = started_batch(6);
    let mut next = TestInstance::new("b", 2, &holder, manifest(vec![batch("survey", 6)], vec![]));
    next.pause(5_000);
    next.run(&mut store, &mut holder, 14_000);
    assert_eq!((holder.starts.len(), holder.running()), (6, 6));
    holder.end_all(TaskState::Failed);
    former.pause(14_000);
    let starts = holder.starts.len();
    former.run(&mut store, &mut holder, 14_100);
    // The fenced owner gets no heartbeats of the new owner, so it takes over again, but not within
    // 2 s.
    for at in (14_100..=16_050).step_by(50) {
        former.run(&mut store, &mut holder, at);
        assert!(
            former.runs.status().is_empty(),
            "the first write of a fenced owner fails the compare"
        );
    }
    assert_eq!(holder.starts.len(), starts);
    next.pause(16_050);
    next.run(&mut store, &mut holder, 30_000);
    assert_eq!(holder.running(), 6);
    assert!(holder.tasks.values().all(|one| one.1.spec.key.attempt <= 2));
}

/// Guards against a rerun by a new owner that cannot reach the worker, while the former owner may
/// still extend the task's lease.
#[test]
fn new_owner_waits_for_unreachable_task_to_expire() {
    let (mut store, mut holder, _former) = started_batch(1);
    holder.lost_workers.insert(WorkerId::from("w-1"));
    let mut next = TestInstance::new("b", 2, &holder, manifest(vec![batch("survey", 1)], vec![]));
    next.pause(5_000);
    next.run(&mut store, &mut holder, 920_000);
    assert_eq!(holder.starts.len(), 1);
    holder.end_all(TaskState::Expired);
    next.run(&mut store, &mut holder, 935_000);
    assert_eq!(holder.starts.len(), 2);
}

/// Guards against a store outage that stops or restarts running tasks, or that loses their results.
#[test]
fn store_outage_does_not_affect_running_tasks() {
    let (mut store, mut holder, mut instance) = started_batch(4);
    store.down = true;
    instance.run(&mut store, &mut holder, 300_000);
    let last = holder.polls.last().copied().expect("polled");
    assert!(last > 298_000, "polls continue during the outage");
    assert_eq!((holder.starts.len(), holder.running()), (4, 4));
    holder.end_all(TaskState::Succeeded);
    instance.run(&mut store, &mut holder, 400_000);
    assert_eq!(holder.starts.len(), 4);
    assert_eq!(instance.runs.status()[0].done, 0, "nothing is recorded yet");
    store.down = false;
    instance.run(&mut store, &mut holder, 405_000);
    assert!(instance.runs.status().is_empty());
    assert_eq!(instance.event_count("run.closed"), 1);
}

/// Guards against an owner that keeps tasks alive for ever although it may be fenced.
#[test]
fn polls_stop_when_ownership_is_unconfirmed_too_long() {
    let (mut store, mut holder, mut instance) = started_batch(1);
    store.down = true;
    instance.run(&mut store, &mut holder, 1_000_000);
    let last = holder.polls.last().copied().expect("polled");
    assert!(
        (850_000..=906_000).contains(&last),
        "last poll at {last} ms"
    );
}

/// Guards against starts of a run that is declared during a store outage, so that none of its
/// ledger entries is durable.
#[test]
fn nothing_is_started_while_the_store_is_down() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance = TestInstance::new("a", 1, &holder, manifest(vec![], vec![]));
    instance.run(&mut store, &mut holder, 5_000);
    store.down = true;
    instance.set_manifest(manifest(vec![batch("survey", 3)], vec![]));
    instance.run(&mut store, &mut holder, 30_000);
    assert!(holder.starts.is_empty());
    store.down = false;
    instance.run(&mut store, &mut holder, 36_000);
    assert_eq!(holder.running(), 3);
}

/// Guards against starts that are sent before their claims are durable, when the store fails
/// between the opening of the run and the claims.
#[test]
fn starts_wait_until_claims_are_recorded() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 3)], vec![]));
    while instance.event_count("run.opened") == 0 {
        let next = instance.now.mono.as_millis() + 50;
        instance.run(&mut store, &mut holder, next);
    }
    store.down = true;
    instance.run(&mut store, &mut holder, 20_000);
    assert!(holder.starts.is_empty());
    store.down = false;
    instance.run(&mut store, &mut holder, 25_000);
    assert_eq!(holder.running(), 3);
}
