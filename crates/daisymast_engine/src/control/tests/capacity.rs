//! Tests of capacity accounting, reservations, leaving workers and quarantine.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::{TaskSpec, TaskState};
use daisymast_protocol::worker::{Refusal, WorkerReply};
use daisymast_types::ids::{RunKey, Token, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use proptest::prelude::any;
use proptest::{prop_assert, prop_assert_eq, proptest};

use crate::testing::{TestHarness, WORKER_BOOT, call_error, refused, replica, request, task};

fn ready() -> TestHarness {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    harness.run_to(500);
    harness
}

fn start(harness: &mut TestHarness, from: &str, spec: &TaskSpec) -> Token {
    let request = PeerRequest::Start {
        worker: WorkerId::from("w-1"),
        task: spec.clone(),
    };
    harness.send_as_peer(from, request)
}

fn sized(index: u32, millicores: u32) -> TaskSpec {
    let mut spec = task("survey", 1, index);
    spec.size = Resources::new(millicores, 100, 0);
    spec
}

fn capacity(harness: &mut TestHarness) -> WorkerCapacity {
    match harness.call_as_peer(PeerRequest::Capacity) {
        PeerReply::Capacity(found) => found.into_iter().next().expect("one worker"),
        other => panic!("{other:?}"),
    }
}

fn reserve(harness: &mut TestHarness, run: u64, millicores: u32) -> PeerReply {
    harness.call_as_peer(PeerRequest::Reserve {
        worker: WorkerId::from("w-1"),
        run: RunKey(run),
        size: Resources::new(millicores, 100, 0),
    })
}

const NO_CAPACITY: PeerReply = PeerReply::Refused(Refusal::NoCapacity);

/// Guards against two instances that are both granted the same free capacity.
#[test]
fn concurrent_starts_never_oversubscribe_a_worker() {
    let mut harness = ready();
    start(&mut harness, "entry-2", &sized(0, 5_000));
    let second = start(&mut harness, "entry-3", &sized(1, 5_000));
    assert_eq!(harness.take_answer(second), Some(NO_CAPACITY));
    let third = start(&mut harness, "entry-3", &sized(2, 3_000));
    assert_eq!(harness.take_answer(third), None);
    assert_eq!(capacity(&mut harness).free.millicores, 0);
}

/// Guards against reuse of capacity while a start of unknown outcome may still take effect, and
/// against capacity that is not freed once the deadline of the start has passed.
#[test]
fn start_of_unknown_outcome_holds_capacity_until_its_deadline() {
    let mut harness = ready();
    let token = start(&mut harness, "entry-2", &sized(0, 8_000));
    let open = harness.take_start().expect("a start");
    harness.reply(open.call, Outcome::Unknown(call_error()));
    assert_eq!(harness.take_answer(token), Some(PeerReply::Uncertain));
    let second = start(&mut harness, "entry-3", &sized(1, 1_000));
    assert_eq!(harness.take_answer(second), Some(NO_CAPACITY));
    harness.run_for(900);
    assert_eq!(capacity(&mut harness).free.millicores, 0);
    harness.run_for(2_200);
    assert_eq!(capacity(&mut harness).free.millicores, 8_000);
}

/// Guards against a team usage that counts services or ended tasks, or leaves out pending starts.
#[test]
fn team_usage_counts_running_and_starting_batch_tasks() {
    let mut harness = ready();
    assert!(capacity(&mut harness).teams.is_empty());
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    let (running, starting) = (sized(0, 2_000), sized(1, 1_000));
    harness.worker("w-1").report(&running, TaskState::Running);
    harness.run_for(1_100);
    start(&mut harness, "entry-2", &starting);
    let team = &running.team;
    let used = |millicores, memory| vec![(team.clone(), Resources::new(millicores, memory, 0))];
    assert_eq!(capacity(&mut harness).teams, used(3_000, 200));
    harness.worker("w-1").report(&running, TaskState::Succeeded);
    harness.run_for(900);
    assert_eq!(capacity(&mut harness).teams, used(1_000, 100));
}

/// Guards against a reclaim that stops tasks outside the requested urgency classes, or a service
/// where a batch task suffices, and against another run that takes the reclaimed capacity.
#[test]
fn reclaim_stops_least_urgent_tasks_and_reserves_their_capacity() {
    let mut harness = ready();
    let mut replica = replica("quotes", 0);
    replica.size = Resources::new(2_000, 100, 0);
    let specs = [
        (sized(0, 2_000), Urgency::Background),
        (sized(1, 2_000), Urgency::Normal),
        (sized(2, 2_000), Urgency::Urgent),
        (replica, Urgency::Background),
    ];
    for (mut spec, urgency) in specs {
        spec.urgency = urgency;
        harness.worker("w-1").report(&spec, TaskState::Running);
    }
    harness.run_for(1_100);
    let reclaim = |millicores| PeerRequest::Reclaim {
        worker: WorkerId::from("w-1"),
        run: RunKey(9),
        size: Resources::new(millicores, 100, 0),
        classes: vec![Urgency::Background],
    };
    assert_eq!(harness.call_as_peer(reclaim(5_000)), NO_CAPACITY);
    assert!(harness.take_stop().is_none());
    assert_eq!(harness.call_as_peer(reclaim(2_000)), PeerReply::Ok);
    assert_eq!(harness.take_stop(), Some(sized(0, 2_000).key));
    assert!(harness.take_stop().is_none());
    harness
        .worker("w-1")
        .report(&sized(0, 2_000), TaskState::Stopped);
    harness.run_for(1_100);
    let other = start(&mut harness, "entry-2", &sized(7, 1_000));
    assert_eq!(harness.take_answer(other), Some(NO_CAPACITY));
    let mut own = sized(0, 2_000);
    own.key.run = RunKey(9);
    start(&mut harness, "entry-2", &own);
    assert!(harness.take_start().is_some());
}

/// Guards against a start that ran although its outcome was unknown, and whose size is then counted
/// twice or not at all.
#[test]
fn start_of_unknown_outcome_that_ran_is_counted_once() {
    let mut harness = ready();
    let spec = sized(0, 3_000);
    start(&mut harness, "entry-2", &spec);
    let open = harness.take_start().expect("a start");
    harness.worker("w-1").report(&spec, TaskState::Running);
    harness.reply(open.call, Outcome::Unknown(call_error()));
    harness.run_for(5_000);
    assert_eq!(capacity(&mut harness).free.millicores, 5_000);
    harness.worker("w-1").report(&spec, TaskState::Succeeded);
    harness.run_for(1_500);
    assert_eq!(capacity(&mut harness).free.millicores, 8_000);
    assert!(harness.has_record("task.started") && harness.has_record("task.ended"));
}

proptest! {
    /// Guards against orders of replies and reports that free capacity in use. The worker may run a
    /// task whose start has an unknown outcome.
    #[test]
    fn worker_is_never_oversubscribed(
        steps in proptest::collection::vec((500_u32..5_000, any::<bool>(), 0_u8..4), 1..25),
    ) {
        let mut harness = ready();
        let mut running: Vec<TaskSpec> = Vec::new();
        for (index, (millicores, ends, outcome)) in (0..).zip(steps) {
            let spec = sized(index, millicores);
            let token = start(&mut harness, "entry-2", &spec);
            if let Some(open) = harness.take_start() {
                let used: u32 = running.iter().map(|one| one.size.millicores).sum();
                prop_assert!(used + millicores <= 8_000, "{used} + {millicores}");
                if outcome < 2 {
                    harness.worker("w-1").report(&spec, TaskState::Running);
                    running.push(spec);
                }
                let reply = match outcome {
                    0 => Outcome::Done(WorkerReply::Ok),
                    1 | 2 => Outcome::Unknown(call_error()),
                    _ => refused(Refusal::NoCapacity),
                };
                harness.reply(open.call, reply);
            }
            prop_assert!(harness.take_answer(token).is_some());
            if ends && let Some(ended) = running.pop() {
                harness.worker("w-1").report(&ended, TaskState::Succeeded);
            }
            harness.run_for(u64::from(millicores) / 50 * 50 % 700);
        }
        harness.run_for(4_000);
        let used: u32 = running.iter().map(|one| one.size.millicores).sum();
        prop_assert_eq!(capacity(&mut harness).free.millicores, 8_000 - used);
    }
}

/// Guards against counting the original size of a task after the worker throttled it or raised its
/// limit again.
#[test]
fn throttled_task_is_counted_with_its_current_size() {
    let mut harness = ready();
    for millicores in [6_000, 2_000, 5_000] {
        let spec = sized(0, millicores);
        harness.worker("w-1").report(&spec, TaskState::Running);
        harness.run_for(1_100);
        assert_eq!(capacity(&mut harness).free.millicores, 8_000 - millicores);
    }
    harness
        .worker("w-1")
        .report(&sized(0, 5_000), TaskState::Stopped);
    harness.run_for(1_100);
    assert_eq!(capacity(&mut harness).free.millicores, 8_000);
}

/// Guards against two gang jobs that reserve the same capacity, against repeated reservations that
/// add up, and against reservations that never expire.
#[test]
fn reservation_expires_after_two_seconds() {
    let mut harness = ready();
    assert_eq!(reserve(&mut harness, 1, 6_000), PeerReply::Ok);
    assert_eq!(reserve(&mut harness, 1, 6_000), PeerReply::Ok);
    assert_eq!(reserve(&mut harness, 2, 3_000), NO_CAPACITY);
    assert_eq!(reserve(&mut harness, 2, 2_000), PeerReply::Ok);
    harness.run_for(2_000);
    assert_eq!(capacity(&mut harness).free.millicores, 8_000);
}

/// Guards against a gang job that is refused because of its own reservation, and against capacity
/// that is counted for both the start and the reservation.
#[test]
fn start_uses_the_reservation_of_its_run() {
    let mut harness = ready();
    assert_eq!(reserve(&mut harness, 1, 8_000), PeerReply::Ok);
    let mut other = sized(7, 1_000);
    other.key.run = RunKey(2);
    let token = start(&mut harness, "entry-3", &other);
    assert_eq!(harness.take_answer(token), Some(NO_CAPACITY));
    start(&mut harness, "entry-2", &sized(0, 6_000));
    assert!(harness.take_start().is_some());
    assert_eq!(capacity(&mut harness).free.millicores, 0);
    let unreserve = PeerRequest::Unreserve {
        worker: WorkerId::from("w-1"),
        run: RunKey(1),
    };
    assert_eq!(harness.call_as_peer(unreserve), PeerReply::Ok);
    assert_eq!(capacity(&mut harness).free.millicores, 2_000);
}

/// Guards against new work on a worker that has reported in a renewal that it is leaving.
#[test]
fn leaving_worker_gets_no_new_work() {
    let mut harness = ready();
    let quotes = replica("quotes", 0);
    harness.worker("w-1").report(&quotes, TaskState::Running);
    harness.run_for(1_500);
    harness.worker("w-1").leaving = true;
    harness.run_for(1_100);
    let worker = WorkerId::from("w-1");
    let leaving = PeerReply::Refused(Refusal::Leaving);
    let serve = PeerRequest::Serve {
        worker: worker.clone(),
        boot: WORKER_BOOT,
        request: request("quotes", "q-1"),
    };
    let start = PeerRequest::Start {
        worker,
        task: sized(0, 100),
    };
    assert_eq!(harness.call_as_peer(serve), leaving);
    assert_eq!(harness.call_as_peer(start), leaving);
    assert_eq!(reserve(&mut harness, 1, 100), leaving);
    assert!(!capacity(&mut harness).open);
    let endpoints = PeerRequest::Endpoints {
        service: quotes.job,
    };
    assert_eq!(
        harness.call_as_peer(endpoints),
        PeerReply::Endpoints(Vec::new())
    );
    assert!(harness.has_record("worker.leaving"));
}

/// Guards against a worker on which every task fails at once and that attracts further tasks
/// because it is always free.
#[test]
fn failing_worker_is_quarantined_and_probed() {
    let mut harness = ready();
    for index in 0..5 {
        let spec = sized(index, 1_000);
        harness.worker("w-1").report(&spec, TaskState::Running);
        harness.worker("w-1").report(&spec, TaskState::Failed);
    }
    harness.run_for(1_500);
    assert!(harness.has_record("worker.quarantined"));
    assert!(!capacity(&mut harness).open);
    let token = start(&mut harness, "entry-2", &sized(9, 1_000));
    assert_eq!(harness.take_answer(token), Some(NO_CAPACITY));
    for probe in 10..13 {
        harness.run_for(10_000);
        assert!(capacity(&mut harness).open);
        let spec = sized(probe, 1_000);
        start(&mut harness, "entry-2", &spec);
        let open = harness.take_start().expect("a start as a probe");
        let second = start(&mut harness, "entry-2", &sized(99, 1_000));
        assert_eq!(harness.take_answer(second), Some(NO_CAPACITY));
        harness.reply(open.call, Outcome::Done(WorkerReply::Ok));
        harness.worker("w-1").report(&spec, TaskState::Running);
        harness.worker("w-1").report(&spec, TaskState::Succeeded);
    }
    harness.run_for(1_500);
    assert!(harness.has_record("worker.reinstated"));
    assert!(capacity(&mut harness).open);
}
