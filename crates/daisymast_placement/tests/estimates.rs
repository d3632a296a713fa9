//! Estimates of sizes, run times and speeds.

use std::time::Duration;

use daisymast_placement::estimates::Estimates;
use daisymast_types::ids::{JobName, WorkerId};
use daisymast_types::quantities::Resources;

const DECLARED: Resources = Resources::new(4_000, 8_192, 1);
const LARGEST: Resources = Resources::new(32_000, 65_536, 4);

fn estimated(reports: usize, used: Resources) -> Resources {
    let job = JobName::from("survey");
    let mut estimates = Estimates::default();
    for _ in 0..reports {
        estimates.on_usage(&job, used);
    }
    estimates.placement_size(&job, DECLARED, LARGEST)
}

/// Guards against placing tasks by an estimate that is based on too few reports.
#[test]
fn declared_size_is_used_until_there_are_enough_reports() {
    let used = Resources::new(1_000, 1_024, 0);
    assert_eq!(estimated(7, used), DECLARED);
    assert_ne!(estimated(8, used), DECLARED);
}

/// Guards against reservations so small that tasks run out of memory, and against sizes that fit no
/// worker.
#[test]
fn estimated_sizes_are_bounded() {
    assert_eq!(
        estimated(100, Resources::ZERO),
        Resources::new(1_000, 4_096, 1)
    );
    let above = estimated(100, Resources::new(6_000, 16_384, 0));
    assert_eq!(above, Resources::new(6_600, 20_480, 1));
    let far_above = estimated(100, Resources::new(90_000, 900_000, 0));
    assert_eq!(far_above, Resources::new(32_000, 65_536, 1));
}

/// Guards against a single low report that shrinks the size of a job, and against a slow reaction
/// to growing use.
#[test]
fn sizes_rise_fast_and_fall_slowly() {
    let job = JobName::from("survey");
    let mut estimates = Estimates::default();
    let usual = Resources::new(4_000, 8_192, 0);
    for _ in 0..100 {
        estimates.on_usage(&job, usual);
    }
    let before = estimates.placement_size(&job, DECLARED, LARGEST);
    estimates.on_usage(&job, Resources::ZERO);
    let after = estimates.placement_size(&job, DECLARED, LARGEST);
    assert!(u64::from(after.memory_mib) * 100 >= u64::from(before.memory_mib) * 93);
    for _ in 0..4 {
        estimates.on_usage(&job, Resources::new(8_000, 16_384, 0));
    }
    let grown = estimates.placement_size(&job, DECLARED, LARGEST);
    assert!(grown.memory_mib > 16_384);
}

/// Guards against attributing the slowness of a worker to the jobs that run on it, and against
/// unbounded speeds.
#[test]
fn slow_workers_are_distinguished_from_long_jobs() {
    let mut estimates = Estimates::default();
    let (fast, slow) = (WorkerId::from("w-1"), WorkerId::from("w-2"));
    for _ in 0..200 {
        for job in ["a", "b", "c"] {
            estimates.on_run(&JobName::from(job), &fast, Duration::from_secs(10));
            estimates.on_run(&JobName::from(job), &slow, Duration::from_secs(20));
        }
    }
    let ratio = f64::from(estimates.speed(&fast)) / f64::from(estimates.speed(&slow));
    assert!((1.8..=2.2).contains(&ratio), "{ratio}");
    let time = |worker| {
        estimates
            .run_time(&JobName::from("a"), worker)
            .expect("known")
    };
    assert!(
        (9.0..=11.0).contains(&time(&fast).as_secs_f64()),
        "{:?}",
        time(&fast)
    );
    assert!(
        (18.0..=22.0).contains(&time(&slow).as_secs_f64()),
        "{:?}",
        time(&slow)
    );
    for _ in 0..200 {
        estimates.on_run(&JobName::from("a"), &fast, Duration::from_millis(1));
    }
    assert!(estimates.speed(&fast) <= 4_000);
}

/// Guards against leaking the estimates of retired jobs and replaced workers.
#[test]
fn estimates_of_retired_jobs_and_workers_are_dropped() {
    let mut estimates = Estimates::default();
    let (job, worker) = (JobName::from("a"), WorkerId::from("w-1"));
    estimates.on_run(&job, &worker, Duration::from_secs(10));
    estimates.on_run(&job, &worker, Duration::from_secs(1));
    assert_ne!(estimates.speed(&worker), 1_000);
    estimates.retain_jobs(|_| false);
    estimates.retain_workers(|_| false);
    assert_eq!(estimates.run_time(&job, &worker), None);
    assert_eq!(estimates.speed(&worker), 1_000);
}
