//! Tests of the room that is kept free for urgent steps on a fleet that is nearly full.

mod common;

use common::{BATCH, QUICK, Rig, gang, job, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec::{JobId, Step};

/// Time within which a task of a long-running step starts again while there is room for it, in
/// milliseconds.
const RESTART_LIMIT_MS: u64 = 6_000;
/// Run time of tasks that run until their job is cancelled, in milliseconds.
const ENDLESS_MS: u64 = 1_000_000;

/// Submits services of one step until the fleet takes no more of their tasks.
fn flood(rig: &mut Rig, first_id: u64, cores: u32) {
    for id in first_id..first_id + 12 {
        submit_service(rig, id, 12, cores);
        rig.run_ms(300);
    }
}

fn submit_service(rig: &mut Rig, id: u64, tasks: u32, cores: u32) {
    let lasting = Step {
        lasting: true,
        ..step(tasks, cores, 1_000)
    };
    rig.submit(id, BATCH, job(vec![lasting]));
    rig.work_ms.insert((JobId(id), 0), ENDLESS_MS);
}

/// Lets the first task of a job fail once.
fn fail_first_task(rig: &mut Rig, id: u64) {
    let now = rig.now;
    let runs = rig
        .workers
        .iter_mut()
        .flat_map(|worker| worker.runs.iter_mut());
    let (_, run) = runs
        .into_iter()
        .find(|(task, _)| task.step.job == JobId(id))
        .expect("a run");
    run.fails = true;
    run.ends_at = now;
}

/// Guards against a failed task of a service that never starts again, as other services wait for the
/// room that it had, and what is free is kept for urgent steps (review/10).
#[test]
fn a_failed_task_of_a_service_starts_again_on_a_nearly_full_fleet() {
    for workers in [1, 2, 6, 12] {
        for cores in [1, 2] {
            let mut rig = Rig::new(workers);
            submit_service(&mut rig, 1, 1, cores);
            rig.run_ms(500);
            flood(&mut rig, 2, cores);
            rig.run_ms(8_000);
            fail_first_task(&mut rig, 1);
            rig.run_ms(RESTART_LIMIT_MS);
            let starts = rig.starts_of(1);
            assert_eq!(starts.len(), 2, "{workers} workers, {cores} cores");
        }
    }
}

/// Guards against the same where long tasks of other jobs take the room, and no service.
#[test]
fn a_failed_task_of_a_service_starts_again_beside_long_tasks() {
    let mut rig = Rig::new(6);
    submit_service(&mut rig, 1, 1, 2);
    rig.run_ms(500);
    for id in 2..14 {
        rig.submit(id, BATCH, job(vec![step(12, 2, 17_000)]));
        rig.run_ms(300);
    }
    fail_first_task(&mut rig, 1);
    rig.run_ms(RESTART_LIMIT_MS);
    assert_eq!(rig.starts_of(1).len(), 2);
}

/// Guards against the same where a gang has reserved the workers with free room.
#[test]
fn a_failed_task_of_a_service_starts_again_beside_a_waiting_gang() {
    let mut rig = Rig::new(3);
    submit_service(&mut rig, 1, 3, 4);
    rig.run_ms(500);
    rig.submit(2, BATCH, job(vec![step(6, 13, 30_000)]));
    rig.run_ms(500);
    rig.submit(3, BATCH, job(vec![gang(3, 20, 9_000)]));
    rig.run_ms(500);
    fail_first_task(&mut rig, 1);
    rig.run_ms(RESTART_LIMIT_MS);
    assert_eq!(rig.starts_of(1).len(), 4);
}

/// Guards against room for urgent jobs that is given to services that come later: only tasks that
/// had room before may take it.
#[test]
fn a_flood_of_services_leaves_room_for_urgent_jobs() {
    let mut rig = Rig::new(6);
    flood(&mut rig, 2, 2);
    rig.run_ms(8_000);
    rig.submit(50, QUICK, job(vec![step(2, 2, 300)]));
    assert!(rig.run_until(50, State::Completed, 1_000).is_some());
}
