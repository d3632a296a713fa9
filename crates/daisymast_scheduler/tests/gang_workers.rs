//! Which workers a gang takes: a member that fails breaks the whole gang.

mod common;

use common::{BATCH, Rig, gang, job, step};
use daisymast_jobs::job::State;

/// Lets a run fail on one of four workers, and returns that worker.
fn fail_once(rig: &mut Rig) -> usize {
    rig.submit(1, BATCH, job(vec![step(1, 4, 5_000)]));
    rig.run_ms(200);
    let worker = rig.starts_of(1)[0].worker;
    let now = rig.now;
    for run in rig.workers[worker].runs.values_mut() {
        run.fails = true;
        run.ends_at = now;
    }
    rig.run_ms(100);
    worker
}

/// Guards against gangs that start on a worker on which a run has just failed while others have room.
#[test]
fn a_gang_prefers_workers_without_failures() {
    let mut rig = Rig::new(4);
    let failed = fail_once(&mut rig);
    rig.submit(2, BATCH, job(vec![gang(8, 10, 300)]));
    assert!(rig.run_until(2, State::Completed, 2_000).is_some());
    let starts = rig.starts_of(2);
    assert!(starts.iter().all(|start| start.worker != failed));
}

/// Guards against a gang that waits for workers without failures although it needs all.
#[test]
fn a_wide_gang_takes_workers_with_failures_too() {
    let mut rig = Rig::new(4);
    let failed = fail_once(&mut rig);
    rig.submit(2, BATCH, job(vec![gang(10, 10, 300)]));
    assert!(rig.run_until(2, State::Completed, 2_000).is_some());
    let starts = rig.starts_of(2);
    assert!(starts.iter().any(|start| start.worker == failed));
}
