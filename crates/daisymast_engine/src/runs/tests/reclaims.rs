//! Preemption of less urgent tasks on a full fleet.

use std::collections::BTreeMap;

use daisymast_manifest::manifest::Batch;
use daisymast_protocol::task::TaskState;
use daisymast_types::ids::RunKey;
use daisymast_types::quantities::Urgency;

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{TestInstance, batch, manifest};
use crate::runs::tests::holder::Holder;

fn job(name: &str, tasks: u32, urgency: Urgency) -> Batch {
    Batch {
        urgency,
        ..batch(name, tasks)
    }
}

fn running(holder: &Holder, urgency: Urgency) -> usize {
    let all = holder.tasks.values();
    all.filter(|(_, report)| report.state == TaskState::Running && report.spec.urgency == urgency)
        .count()
}

/// A fleet of ten workers, filled by 80 background tasks.
fn full_fleet() -> (Store, Holder, TestInstance) {
    let (mut store, mut holder) = (Store::default(), Holder::new(10));
    let declared = manifest(vec![job("archive", 80, Urgency::Background)], vec![]);
    let mut instance = TestInstance::new("a", 1, &holder, declared);
    instance.run(&mut store, &mut holder, 10_000);
    assert_eq!(running(&holder, Urgency::Background), 80);
    (store, holder, instance)
}

/// Guards against urgent tasks that wait for less urgent ones to end, against more stops than
/// needed, and against a stop that counts as a failure of the stopped task.
#[test]
fn urgent_tasks_preempt_background_tasks_on_a_full_fleet() {
    let (mut store, mut holder, mut instance) = full_fleet();
    let jobs = vec![
        job("archive", 80, Urgency::Background),
        job("quotes", 10, Urgency::Urgent),
    ];
    instance.set_manifest(manifest(jobs, vec![]));
    instance.run(&mut store, &mut holder, 17_100);
    assert_eq!(running(&holder, Urgency::Urgent), 10);
    assert_eq!(holder.stops.len(), 10);
    holder.end_all(TaskState::Succeeded);
    instance.run(&mut store, &mut holder, 25_000);
    assert_eq!(running(&holder, Urgency::Background), 10, "started again");
    assert_eq!(instance.event_count("task.parked"), 0);
}

/// Guards against a flood of urgent tasks that stops all other tasks.
#[test]
fn flood_of_urgent_tasks_leaves_background_its_share() {
    let (mut store, mut holder, mut instance) = full_fleet();
    let jobs = vec![
        job("archive", 80, Urgency::Background),
        job("quotes", 200, Urgency::Urgent),
    ];
    instance.set_manifest(manifest(jobs, vec![]));
    while instance.now.mono.as_millis() < 60_000 {
        let next = instance.now.mono.as_millis() + 50;
        instance.run(&mut store, &mut holder, next);
        let kept = running(&holder, Urgency::Background);
        assert!(kept >= 16, "{kept} of 80 slots at {next} ms");
    }
    let used = running(&holder, Urgency::Urgent);
    assert!(used >= 56, "urgent work uses {used} of 80 slots");
}

/// Guards against a preempted task that is restarted only to be preempted again within 30 s.
#[test]
fn preempted_task_is_not_preempted_again_within_30_s() {
    let (mut store, mut holder, mut instance) = full_fleet();
    let jobs = vec![
        job("archive", 80, Urgency::Background),
        job("invoices", 30, Urgency::Normal),
        job("quotes", 30, Urgency::Urgent),
    ];
    instance.set_manifest(manifest(jobs, vec![]));
    let mut stopped: BTreeMap<(RunKey, u32), u64> = BTreeMap::new();
    let mut seen = 0;
    while instance.now.mono.as_millis() < 60_000 {
        let next = instance.now.mono.as_millis() + 50;
        instance.run(&mut store, &mut holder, next);
        for task in &holder.stops[seen..] {
            if let Some(before) = stopped.insert((task.run, task.index), next) {
                assert!(next - before >= 30_000, "{task} at {before} and {next} ms");
            }
        }
        seen = holder.stops.len();
        if next % 5_000 == 0 {
            // Urgent tasks fail, so that preempted tasks find capacity and the urgent ones are
            // retried.
            for (_, report) in holder.tasks.values_mut() {
                if report.spec.urgency == Urgency::Urgent {
                    report.state = TaskState::Failed;
                }
            }
        }
    }
    assert!(!stopped.is_empty());
}
