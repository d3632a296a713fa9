//! Tests that an ended job is reduced to its final state once none of its tasks runs. Until then the
//! whole job stays in memory and in each checkpoint.

mod common;

use common::{BATCH, Rig, gang, job, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::{JobId, JobSpec};

/// Time within which all runs of an ended job have been stopped and their ends are stored, in
/// milliseconds.
const SETTLE_LIMIT_MS: u64 = 8_000;

/// Checks that an ended job settles, and that the next checkpoint holds only its state.
fn check_settles(rig: &mut Rig, id: u64, state: State) {
    rig.run_ms(SETTLE_LIMIT_MS);
    assert_eq!(rig.running(), 0);
    rig.scheduler.checkpoint();
    assert!(
        rig.scheduler.job_table().job(JobId(id)).is_none(),
        "job {id} is not settled"
    );
    assert_eq!(rig.state(id), Some(state));
}

/// Lets a job fail on a cell of two workers.
fn check_failed_job(spec: JobSpec) {
    let mut rig = Rig::new(2);
    rig.failing_jobs.insert(JobId(1));
    rig.submit(1, BATCH, spec);
    assert!(rig.run_until(1, State::Failed, 60_000).is_some());
    check_settles(&mut rig, 1, State::Failed);
}

/// Guards against a failed job that stays in the table for the rest of the term: the task whose last
/// attempt failed still counted as placed.
#[test]
fn a_failed_job_settles() {
    check_failed_job(job(vec![step(1, 4, 400)]));
    check_failed_job(job(vec![step(6, 4, 400)]));
    check_failed_job(job(vec![gang(2, 4, 400)]));
}

/// Guards against the same after a run that ends as done or failed while its stop is on the way.
#[test]
fn a_cancelled_job_settles_whose_run_ends_before_its_stop() {
    for fails in [false, true] {
        let mut rig = Rig::new(1);
        if fails {
            rig.failing_jobs.insert(JobId(1));
        }
        let work_ms = if fails { 4_000 } else { 1_000 };
        rig.submit(1, BATCH, job(vec![step(1, 4, work_ms)]));
        rig.run_ms(500);
        assert_eq!(rig.running(), 1);
        // The stop is carried out only after the run has ended.
        rig.workers[0].order_delay_ms = 2_000;
        rig.scheduler.cancel(2, JobId(1), common::mono(rig.now));
        rig.run_ms(3_000);
        rig.workers[0].order_delay_ms = 0;
        check_settles(&mut rig, 1, State::Cancelled);
    }
}

/// Guards against a failed job of a former term that stays in the table of the new one.
#[test]
fn a_failed_job_settles_in_the_next_term() {
    let mut rig = Rig::new(2);
    rig.failing_jobs.insert(JobId(1));
    rig.submit(1, BATCH, job(vec![step(6, 4, 400)]));
    assert!(rig.run_until(1, State::Failed, 60_000).is_some());
    rig.run_ms(500);
    rig.take_over();
    check_settles(&mut rig, 1, State::Failed);
}
