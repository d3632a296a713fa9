use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_organisations::share;
use daisymast_types::{collections, quantities, time};

use super::{Cell, waiting_steps};
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
    order_in(steps, workers, None)
}

/// Returns the order while room is short. The cell has 200 cores, and its two organisations, `a` and
/// `b`, have the same weight.
fn order_by_share(steps: Vec<steps::ReadyStep>, used_by_a: u32, used_by_b: u32) -> Vec<u64> {
    let mut capacity = share::Capacity::default();
    capacity.add(quantities::Resources::new(200_000, 200_000, 0));
    let active = |name: &str, cores: u32| share::Active {
        name: name.into(),
        weight: 1.0,
        used: quantities::Resources::new(cores * 1_000, 0, 0),
    };
    let active = vec![active("a", used_by_a), active("b", used_by_b)];
    order_in(steps, 10, Some(share::Shares::new(capacity, active)))
}

fn order_in(
    steps: Vec<steps::ReadyStep>,
    workers: usize,
    shares: Option<share::Shares>,
) -> Vec<u64> {
    let steps = steps.into_iter().map(|step| (step.id, step)).collect();
    let cell = Cell { workers, shares };
    let ids = waiting_steps(&steps, &cell, NOW);
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

fn owned(organisation: &str, step: steps::ReadyStep) -> steps::ReadyStep {
    steps::ReadyStep {
        organisation: Some(organisation.into()),
        ..step
    }
}

fn beyond_rate(step: steps::ReadyStep) -> steps::ReadyStep {
    steps::ReadyStep {
        within_rate: false,
        ..owned("a", step)
    }
}

/// Guards against a flood that takes the room of jobs within the rates: urgent ones and large gangs of
/// the flood were placed first. Jobs without any value go last all the same.
#[test]
fn beyond_the_rate_goes_behind_all_that_has_value() {
    let mut urgent = beyond_rate(step(1, 2, false, 1_000));
    urgent.priority = 0;
    let mut late = owned("b", step(3, 2, false, 0));
    late.deadlines.latest_start = time::Monotonic::from_millis(99_000);
    let mut expired = owned("b", step(4, 2, false, 0));
    expired.deadlines.latest_start = time::Monotonic::from_millis(10_000);
    expired.deadlines.due_at = time::Monotonic::from_millis(20_000);
    let steps = || {
        let gang = beyond_rate(step(2, 90, true, 2_000));
        vec![urgent.clone(), gang, late.clone(), expired.clone()]
    };
    assert_eq!(order_by_share(steps(), 0, 0), vec![3, 1, 2, 4]);
    // While there is room for all, the rate does not matter.
    assert_eq!(order(steps(), 540), vec![1, 2, 3, 4]);
}

/// Guards against a flood that keeps ahead of the others because they are late by its doing.
#[test]
fn late_steps_within_the_share_go_before_others_beyond_it() {
    let mut late = owned("b", step(2, 2, false, 0));
    late.deadlines.latest_start = time::Monotonic::from_millis(99_000);
    let steps = vec![owned("a", step(1, 2, false, 1_000)), late];
    assert_eq!(order_by_share(steps.clone(), 150, 20), vec![2, 1]);
    assert_eq!(order_by_share(steps, 20, 20), vec![1, 2]);
}

/// Guards against an organisation that was idle taking all the room that becomes free in one pass.
#[test]
fn the_steps_of_a_pass_count_for_the_share() {
    let of_a = (1..=8).map(|job| owned("a", step(job, 2, false, 1_000)));
    let of_b = (11..=12).map(|job| owned("b", step(job, 2, false, 9_000)));
    // Half of 200 cores are five steps of 20 cores.
    let expected = vec![1, 2, 3, 4, 5, 11, 12, 6, 7, 8];
    assert_eq!(order_by_share(of_a.chain(of_b).collect(), 0, 0), expected);
}

/// Guards against urgent steps of a large organisation that wait behind the batches of all others.
#[test]
fn urgent_steps_go_first_whatever_the_share() {
    let mut urgent = owned("a", step(2, 2, false, 1_000));
    urgent.priority = 0;
    let steps = vec![owned("b", step(1, 2, false, 1_000)), urgent];
    assert_eq!(order_by_share(steps, 150, 20), vec![2, 1]);
}
