//! Team quotas across tasks of several owners.

use daisymast_manifest::manifest::{Manifest, TeamQuota};
use daisymast_protocol::task::{TaskReport, TaskState};
use daisymast_types::ids::{RunKey, WorkerId};

use crate::partitions::tests::Store;
use crate::runs::tests::harness::{TestInstance, batch, gang, manifest};
use crate::runs::tests::holder::Holder;

/// A manifest with one batch of ten tasks and a team quota for `tasks` of them.
fn manifest_with_quota(tasks: u32) -> Manifest {
    let mut declared = manifest(vec![batch("survey", 10)], vec![]);
    let job = &declared.batches[0];
    declared.teams = vec![TeamQuota {
        name: job.team.clone(),
        quota: daisymast_manifest::quota::size_of_tasks(job.size, tasks),
    }];
    declared
}

/// Guards against a team that exceeds its quota, and against quota that is not freed when tasks
/// end.
#[test]
fn run_stays_within_the_quota_of_its_team() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let mut instance = TestInstance::new("a", 1, &holder, manifest_with_quota(4));
    for (round, total) in [(1, 4), (2, 8), (3, 10)] {
        let until = round * 10_000;
        while instance.now.mono.as_millis() < until {
            let next = instance.now.mono.as_millis() + 50;
            instance.run(&mut store, &mut holder, next);
            assert!(holder.running() <= 4, "{}", holder.running());
        }
        assert_eq!(holder.starts.len(), total);
        holder.end_all(TaskState::Succeeded);
    }
    assert!(holder.stops.is_empty());
}

/// Guards against a gang job that exceeds the quota, or that starts only the tasks within it.
#[test]
fn gang_job_above_the_quota_does_not_start() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let mut declared = manifest_with_quota(4);
    declared.batches.clear();
    declared.gang_jobs = vec![gang("model", 5)];
    let mut instance = TestInstance::new("a", 1, &holder, declared.clone());
    instance.run(&mut store, &mut holder, 10_000);
    assert!(holder.starts.is_empty());
    declared.gang_jobs = vec![gang("model", 4)];
    instance.set_manifest(declared);
    instance.run(&mut store, &mut holder, 20_000);
    assert_eq!(holder.running(), 4);
}

/// Guards against a team that stays above its quota after two owners placed tasks concurrently.
#[test]
fn quota_excess_of_two_owners_is_stopped_within_1500_ms() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let mut instance = TestInstance::new("a", 1, &holder, manifest_with_quota(4));
    while holder.running() < 4 {
        let next = instance.now.mono.as_millis() + 50;
        instance.run(&mut store, &mut holder, next);
    }
    // Another owner placed two tasks of the team concurrently, before either owner saw the other's.
    let (_, mut other) = holder.tasks.values().next().cloned().expect("runs");
    for index in 0..2 {
        other.spec.key.run = RunKey(99);
        other.spec.key.index = index;
        let report = TaskReport {
            state: TaskState::Running,
            ..other.clone()
        };
        let placed = (WorkerId::from("w-4"), report);
        holder.tasks.insert(other.spec.key, placed);
    }
    assert_eq!(holder.running(), 6);
    let until = instance.now.mono.as_millis() + 1_500;
    instance.run(&mut store, &mut holder, until);
    assert_eq!(holder.running(), 4);
    assert_eq!(holder.stops.len(), 2);
    instance.run(&mut store, &mut holder, 5_000);
    assert_eq!((holder.running(), holder.stops.len()), (4, 2));
}

/// Guards against a lowered quota that does not apply to running tasks.
#[test]
fn lower_quota_takes_effect_within_1500_ms() {
    let (mut store, mut holder) = (Store::default(), Holder::new(4));
    let mut instance = TestInstance::new("a", 1, &holder, manifest_with_quota(10));
    instance.run(&mut store, &mut holder, 10_000);
    assert_eq!(holder.running(), 10);
    instance.set_manifest(manifest_with_quota(3));
    instance.run(&mut store, &mut holder, 11_500);
    assert_eq!(holder.running(), 3);
    instance.run(&mut store, &mut holder, 30_000);
    assert_eq!((holder.running(), holder.stops.len()), (3, 7));
}
