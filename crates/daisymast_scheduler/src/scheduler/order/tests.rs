use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::{collections, quantities, time};

use super::waiting_steps;
use crate::progress;
use crate::steps;

const NOW: time::Monotonic = time::Monotonic::from_millis(100_000);

/// Builds a waiting step of tasks of ten cores that take four seconds, with a latest start in
/// milliseconds from now.
fn step(job: u64, tasks: u32, gang: bool, start_in_ms: u64) -> steps::ReadyStep {
    let step = spec::Step {
        tasks,
        size: quantities::Resources::new(10_000, 1_024, 0),
        estimate_ms: 4_000,
        gang,
        ..spec::Step::default()
    };
    let latest_start = NOW + Duration::from_millis(start_in_ms);
    steps::ReadyStep {
        id: spec::StepId {
            job: spec::JobId(job),
            occurrence: 0,
            step: 0,
        },
        queue: "q".into(),
        spec: Arc::new(spec::JobSpec {
            payload: String::new(),
            steps: vec![step],
            schedule: None,
        }),
        service: "s".into(),
        priority: 1,
        advice: None,
        waiting: (0..tasks).collect(),
        placed: collections::FastMap::default(),
        was_placed: false,
        aborting: false,
        permissions: collections::FastMap::default(),
        open_request: None,
        next_request: NOW,
        not_before: NOW,
        progress: progress::StepProgress::default(),
        has_waited: false,
        deadlines: steps::Deadlines {
            latest_start,
            due_at: latest_start + Duration::from_secs(4),
            allowance: Duration::from_secs(10),
        },
        organisation: None,
        within_rate: true,
    }
}

fn order(steps: Vec<steps::ReadyStep>, workers: usize) -> Vec<u64> {
    let steps = steps.into_iter().map(|step| (step.id, step)).collect();
    let ids = waiting_steps(&steps, workers, NOW);
    ids.into_iter().map(|id| id.job.0).collect()
}

/// Guards against a backlog in which one large job makes many small ones late.
#[test]
fn small_steps_go_before_large_ones_with_a_similar_latest_start() {
    let steps = vec![
        step(1, 60, false, 3_000),
        step(2, 5, false, 4_000),
        step(3, 5, false, 20_000),
    ];
    assert_eq!(order(steps, 540), vec![2, 1, 3]);
}

/// Guards against large gangs that never start under overload: of the largest tenth of the surveys
/// less than half as many were served as of all.
#[test]
fn a_few_of_the_largest_gangs_go_first() {
    let mut steps: Vec<steps::ReadyStep> = (1..=40).map(|job| step(job, 4, true, 2_000)).collect();
    steps.extend(
        (50..60)
            .zip(60..)
            .map(|(job, tasks)| step(job, tasks, true, 9_000)),
    );
    let order = order(steps, 540);
    assert_eq!(order[..4], [59, 58, 57, 56]);
    assert_eq!(order[4..44], (1..=40).collect::<Vec<u64>>());
}

/// Guards against a small fleet that is kept free for large gangs only.
#[test]
fn a_small_fleet_prefers_one_gang() {
    let steps = (1..=5)
        .zip(5..)
        .map(|(job, tasks)| step(job, tasks, true, 2_000));
    assert_eq!(order(steps.collect(), 48)[..2], [5, 1]);
}

/// Guards against late gangs that hold the workers of those that are still on time, and against late
/// ones of which none is served.
#[test]
fn two_late_gangs_of_a_large_fleet_are_preferred() {
    let late = |job| {
        let mut late = step(job, 90, true, 0);
        late.deadlines.latest_start = time::Monotonic::from_millis(99_000);
        late.deadlines.due_at = time::Monotonic::from_millis(99_500);
        late
    };
    let steps = || vec![late(1), late(2), late(3), step(4, 4, false, 8_000)];
    assert_eq!(order(steps(), 540), vec![1, 2, 4, 3]);
    assert_eq!(order(steps(), 350), vec![4, 1, 2, 3]);
}

/// Guards against urgent steps that wait behind large gangs.
#[test]
fn urgent_steps_go_first() {
    let mut urgent = step(1, 30, true, 9_000);
    urgent.priority = 0;
    let steps = vec![step(2, 90, true, 1_000), urgent];
    assert_eq!(order(steps, 540), vec![1, 2]);
}
