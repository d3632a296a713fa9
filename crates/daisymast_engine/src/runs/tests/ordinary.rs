//! Batch runs without faults of the platform.

use daisymast_protocol::task::TaskState;
use daisymast_types::quantities::{Resources, Urgency};

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{TestInstance, batch, manifest};
use crate::runs::tests::holder::Holder;

/// Guards against a due run that is not opened, not completed, or opened again after it was closed.
#[test]
fn due_batch_runs_exactly_once() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 10)], vec![]));
    instance.run(&mut store, &mut holder, 5_000);
    assert_eq!(holder.running(), 10);
    assert_eq!(instance.runs.status()[0].tasks, 10);
    holder.end_all(TaskState::Succeeded);
    instance.run(&mut store, &mut holder, 10_000);
    assert!(instance.runs.status().is_empty());
    instance.run(&mut store, &mut holder, 1_800_000);
    assert_eq!(holder.starts.len(), 10);
    for kind in ["run.opened", "run.closed"] {
        assert_eq!(instance.event_count(kind), 1, "{kind}");
    }
    assert_eq!(instance.event_count("task.claimed"), 10);
}

/// Guards against workers that keep results for ever: the owner must acknowledge a result to the
/// holder once it is in the ledger.
#[test]
fn recorded_results_are_discarded_by_workers() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 4)], vec![]));
    instance.run(&mut store, &mut holder, 5_000);
    let last = holder.tasks.keys().next_back().copied().expect("runs");
    for (key, (_, report)) in &mut holder.tasks {
        if *key != last {
            report.state = TaskState::Succeeded;
        }
    }
    instance.run(&mut store, &mut holder, 9_000);
    assert_eq!(holder.tasks.len(), 1);
    assert_eq!(instance.runs.status()[0].done, 3);
}

/// Guards against tasks that keep running after their job was removed from the manifest.
#[test]
fn retired_batch_is_stopped_and_closed() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 6)], vec![]));
    instance.run(&mut store, &mut holder, 5_000);
    instance.set_manifest(manifest(vec![batch("invoices", 1)], vec![]));
    instance.run(&mut store, &mut holder, 6_500);
    assert_eq!(holder.stops.len(), 6);
    assert_eq!(instance.event_count("run.closed"), 1);
    assert_eq!(holder.running(), 1, "only the new batch runs");
}

/// Guards against an owner with an older manifest that takes a new job for a retired one and stops
/// it.
#[test]
fn run_of_a_newer_manifest_is_not_retired() {
    let (mut store, mut holder) = (Store::default(), Holder::new(3));
    let mut first = TestInstance::new("a", 1, &holder, manifest(vec![], vec![]));
    first.set_manifest(manifest(vec![batch("survey", 2)], vec![]));
    first.run(&mut store, &mut holder, 5_000);
    let mut second = TestInstance::new("b", 2, &holder, manifest(vec![], vec![]));
    second.pause(5_000);
    second.run(&mut store, &mut holder, 13_000);
    assert_eq!(second.runs.status().len(), 1);
    assert!(holder.stops.is_empty());
    assert_eq!(holder.running(), 2);
}

/// Guards against endless retries of a failing task, and against retries on the same worker.
#[test]
fn task_is_parked_after_failures_on_three_workers() {
    let (mut store, mut holder) = (Store::default(), Holder::new(5));
    let mut instance =
        TestInstance::new("a", 1, &holder, manifest(vec![batch("survey", 1)], vec![]));
    for round in 1..=6 {
        instance.run(&mut store, &mut holder, round * 5_000);
        holder.end_all(TaskState::Failed);
    }
    let mut workers: Vec<_> = holder.starts.iter().map(|start| start.2.clone()).collect();
    workers.dedup();
    assert_eq!((holder.starts.len(), workers.len()), (3, 3));
    assert_eq!(instance.event_count("task.parked"), 1);
    assert_eq!(instance.runs.status()[0].parked, 1);
    // A run with a parked task stays open until it is no longer due, and is not opened again.
    instance.run(&mut store, &mut holder, 1_905_000);
    assert_eq!(instance.event_count("run.closed"), 1);
    assert_eq!(holder.starts.len(), 3);
}

/// Guards against a run that waits for ever without any report, because its tasks are larger than
/// every worker.
#[test]
fn unschedulable_run_is_reported_once() {
    let (mut store, mut holder) = (Store::default(), Holder::new(2));
    let mut large = batch("survey", 2);
    large.size = Resources::new(9_000, 1_024, 0);
    let mut instance = TestInstance::new("a", 1, &holder, manifest(vec![large], vec![]));
    instance.run(&mut store, &mut holder, 60_000);
    assert!(holder.starts.is_empty());
    assert_eq!(instance.event_count("run.parked"), 1);
    assert_eq!(instance.runs.status()[0].parked, 2);
}

/// Guards against urgent tasks that are placed after less urgent ones.
#[test]
fn urgent_tasks_start_first() {
    let (mut store, mut holder) = (Store::default(), Holder::new(1));
    let jobs = [
        ("a-background", Urgency::Background),
        ("b-normal", Urgency::Normal),
        ("c-urgent", Urgency::Urgent),
    ]
    .map(|(name, urgency)| {
        let mut job = batch(name, 8);
        job.urgency = urgency;
        job
    });
    let mut instance = TestInstance::new("a", 1, &holder, manifest(jobs.to_vec(), vec![]));
    for round in 1..=3 {
        instance.run(&mut store, &mut holder, 5_000 * round);
        let running = holder
            .tasks
            .values()
            .filter(|one| one.1.state == TaskState::Running);
        let mut names: Vec<String> = running.map(|one| one.1.spec.job.to_string()).collect();
        names.dedup();
        let expected =
            ["c-urgent", "b-normal", "a-background"][usize::try_from(round).expect("fits") - 1];
        assert_eq!(names, [expected]);
        holder.end_all(TaskState::Succeeded);
    }
}

/// Guards against a rate of starts below 270 per second, limited by the ledger writes or by the
/// number of open starts.
#[test]
fn start_rate_reaches_270_per_second() {
    let (mut store, mut holder) = (Store::default(), Holder::new(400));
    let jobs = (0..16)
        .map(|number| batch(&format!("survey-{number}"), 150))
        .collect();
    let mut instance = TestInstance::new("a", 1, &holder, manifest(jobs, vec![]));
    instance.run(&mut store, &mut holder, 12_000);
    assert_eq!(holder.starts.len(), 2_400);
    let (first, last) = (holder.starts[0].0, holder.starts[2_399].0);
    assert!(last - first <= 2_400 * 1_000 / 270, "{} ms", last - first);
}
