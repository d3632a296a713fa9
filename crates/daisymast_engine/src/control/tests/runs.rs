//! Tests of polls by run owners.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::{Fate, WorkerReply, WorkerRequest};
use daisymast_types::ids::{Epoch, Partition, RunKey, TaskKey, WorkerId};

use crate::testing::{TestHarness, call_error, task};

fn poll(epoch: u64, recorded: &[TaskKey]) -> PeerRequest {
    PeerRequest::PollRuns {
        partition: Partition(3),
        epoch: Epoch(epoch),
        runs: vec![RunKey(1)],
        recorded: recorded.to_vec(),
    }
}

fn ready() -> TestHarness {
    let mut harness = TestHarness::new(&["w-1"], &[]);
    let survey = task("survey", 1, 0);
    let other = task("invoices", 2, 0);
    harness.worker("w-1").report(&survey, TaskState::Running);
    harness.worker("w-1").report(&other, TaskState::Running);
    harness.run_to(500);
    harness
}

/// Guards against a former owner whose polls extend tasks that its successor is about to restart.
#[test]
fn stale_epoch_is_refused() {
    let mut harness = ready();
    assert!(matches!(
        harness.call_as_peer(poll(5, &[])),
        PeerReply::Runs(_)
    ));
    assert_eq!(harness.call_as_peer(poll(4, &[])), PeerReply::StaleEpoch);
    assert!(matches!(
        harness.call_as_peer(poll(5, &[])),
        PeerReply::Runs(_)
    ));
    assert!(matches!(
        harness.call_as_peer(poll(6, &[])),
        PeerReply::Runs(_)
    ));
}

/// Guards against runs that expire while their owner polls them or are extended long after it
/// stopped, and against replies with missing or foreign tasks.
#[test]
fn polled_runs_are_extended_for_three_seconds() {
    let mut harness = ready();
    let PeerReply::Runs(found) = harness.call_as_peer(poll(1, &[])) else {
        unreachable!()
    };
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].1.spec.key.run, RunKey(1));
    harness.run_for(2_900);
    assert_eq!(harness.worker("w-1").kept_runs, [RunKey(1)]);
    harness.run_for(1_500);
    assert!(harness.worker("w-1").kept_runs.is_empty());
}

/// Guards against results that are dropped before the owner has recorded them, or never.
#[test]
fn recorded_results_are_dropped_from_the_worker() {
    let mut harness = ready();
    let survey = task("survey", 1, 0);
    harness.worker("w-1").report(&survey, TaskState::Succeeded);
    harness.run_for(1_500);
    let is_forget = |request: &WorkerRequest| matches!(request, WorkerRequest::Forget { .. });
    harness.call_as_peer(poll(1, &[]));
    assert!(harness.take_call(is_forget).is_none());
    harness.call_as_peer(poll(1, &[survey.key]));
    let lost_call = harness.take_call(is_forget).expect("a forget call");
    harness.reply(lost_call.call, Outcome::Unknown(call_error()));
    let PeerReply::Runs(found) = harness.call_as_peer(poll(1, &[survey.key])) else {
        unreachable!()
    };
    assert_eq!(found.len(), 1);
    let open = harness.take_call(is_forget).expect("a second forget call");
    harness.reply(open.call, Outcome::Done(WorkerReply::Ok));
    let reply = harness.call_as_peer(poll(1, &[]));
    assert_eq!(reply, PeerReply::Runs(Vec::new()));
}

/// Guards against capacity that stays in use after the worker reported that a start never ran.
#[test]
fn start_resolved_as_never_ran_frees_its_capacity() {
    let mut harness = ready();
    let worker = WorkerId::from("w-1");
    let spec = task("survey", 1, 5);
    let key = spec.key;
    harness.send_as_peer(
        "entry-2",
        PeerRequest::Start {
            worker: worker.clone(),
            task: spec,
        },
    );
    let open = harness.take_start().expect("a start");
    harness.reply(open.call, Outcome::Unknown(call_error()));
    let resolve = PeerRequest::ResolveTask {
        worker: worker.clone(),
        task: key,
    };
    let token = harness.send_as_peer("entry-2", resolve);
    let open = harness
        .take_call(|request| matches!(request, WorkerRequest::ResolveTask { .. }))
        .expect("a resolve call");
    let fate = Fate::NeverRan;
    harness.reply(open.call, Outcome::Done(WorkerReply::Resolved { fate }));
    let reply = harness.take_answer(token);
    assert_eq!(reply, Some(PeerReply::Fate(Fate::NeverRan)));
    let PeerReply::Capacity(found) = harness.call_as_peer(PeerRequest::Capacity) else {
        unreachable!()
    };
    assert_eq!(found[0].free.millicores, 6_000);
}
