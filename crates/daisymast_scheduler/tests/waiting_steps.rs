//! Tests of steps that wait for permission or capacity under load.

mod common;

use common::{BATCH, GANGS, Rig, job, step};
use daisymast_jobs::job::State;

/// Time within which a task starts again that ended while there is room for it, in milliseconds.
const RESTART_LIMIT_MS: u64 = 6_000;

/// Guards against a step that asks the advice service about two workers at a time where few are
/// allowed. Each request takes half a second, and a task of a long-running step waited for ten
/// seconds while more than half of the workers had room.
#[test]
fn a_repeated_advice_request_names_more_workers() {
    let mut rig = Rig::new(40);
    rig.allowed = (36..40).map(|number| format!("w{number:02}")).collect();
    rig.submit(1, GANGS, job(vec![step(1, 8, 500)]));
    let started = rig.run_until(1, State::Completed, RESTART_LIMIT_MS);
    assert!(
        started.is_some(),
        "{} requests about {:?}",
        rig.advice_requests.len(),
        rig.advice_requests
    );
}

/// Guards against a task of a long-running step that ends and then waits behind all new work, because
/// its step is older than any time objective.
#[test]
fn tasks_of_long_running_steps_restart_while_new_work_floods_in() {
    let mut rig = Rig::new(2);
    let mut lasting = step(4, 8, 300);
    lasting.lasting = true;
    rig.submit(1, BATCH, job(vec![lasting]));
    rig.run_ms(4_000);
    let mut id = 10;
    for _ in 0..60 {
        // Each second brings twice the work that fits, all of it still on time.
        for _ in 0..2 {
            id += 1;
            rig.submit(id, BATCH, job(vec![step(8, 8, 1_000)]));
        }
        rig.run_ms(250);
    }
    let flood_began = rig.now - 15_000;
    for index in 0..4 {
        let starts: Vec<u64> = rig
            .starts_of(1)
            .iter()
            .filter(|start| start.task.index == index && start.started_at >= flood_began)
            .map(|start| start.started_at)
            .collect();
        let mut times = vec![flood_began];
        times.extend(starts);
        times.push(rig.now);
        let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(
            longest < Some(RESTART_LIMIT_MS),
            "task {index} did not run for {longest:?} ms"
        );
    }
}

/// Guards against a takeover that waits for the leader lease of a scheduler that has stopped: the
/// tasks of a worker that was lost with it started again only after 13 s.
#[test]
fn tasks_of_a_lost_worker_wait_for_its_own_lease_once_the_former_scheduler_has_stopped() {
    let mut rig = Rig::new(4);
    rig.submit(1, BATCH, job(vec![step(8, 8, 20_000)]));
    rig.run_ms(500);
    let lost = rig.starts_of(1)[0].worker;
    rig.crash(lost);
    rig.take_over();
    rig.run_ms(200);
    rig.scheduler
        .on_former_scheduler_stopped(common::mono(rig.now));
    rig.run_ms(7_000);
    let again = rig.starts_of(1);
    let again = again.iter().filter(|start| start.run > 1);
    assert!(again.count() > 0);
    assert_eq!(rig.state(1), Some(State::Running));
}

/// Guards against the same news shortening the lease of a worker that this scheduler has polled
/// since: its tasks would run twice.
#[test]
fn news_of_the_former_scheduler_does_not_shorten_leases_given_since() {
    let mut rig = Rig::new(4);
    rig.submit(1, BATCH, job(vec![step(8, 8, 30_000)]));
    rig.run_ms(500);
    rig.take_over();
    rig.run_ms(2_000);
    let cut_off = rig.starts_of(1)[0].worker;
    rig.workers[cut_off].is_disconnected = true;
    rig.scheduler
        .on_former_scheduler_stopped(common::mono(rig.now));
    // The rig fails if a task starts while it still runs on the worker that was cut off.
    rig.run_ms(20_000);
}
