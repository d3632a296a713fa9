//! Tests of long-running tasks on a queue that needs advice, while other steps of the queue have as
//! many requests open as it may have.

mod common;

use common::{BATCH, GANGS, Rig, gang, job, step};
use daisymast_jobs::spec::{JobId, Step};

/// Time from the last run of a long-running task within which it must run again if there is capacity
/// for it, in milliseconds.
const RESTART_LIMIT_MS: u64 = 9_000;
/// Run time of tasks that run until their job is cancelled, in milliseconds.
const ENDLESS_MS: u64 = 1_000_000;
/// Number of jobs that compete for the requests of the queue at any time.
const COMPETITORS: usize = 40;
/// Number of requests that are answered within [`RESTART_LIMIT_MS`] if as many as the queue may have
/// are open nearly all the time.
const MIN_REQUESTS: usize = 120;

fn lasting() -> Step {
    Step {
        lasting: true,
        ..step(1, 4, 1_000)
    }
}

/// Fills a cell of twelve workers to more than the share from which on fewer requests may be open.
fn fill(rig: &mut Rig) {
    rig.submit(1, GANGS, job(vec![lasting()]));
    rig.work_ms.insert((JobId(1), 0), ENDLESS_MS);
    rig.run_ms(2_000);
    assert_eq!(rig.running(), 1);
    rig.submit(2, BATCH, job(vec![step(12, 16, 900_000)]));
    rig.run_ms(500);
}

/// Keeps competing jobs waiting for some time, half of them gangs if `with_gangs` is set.
fn compete(rig: &mut Rig, next: &mut u64, span_ms: u64, with_gangs: bool) {
    let end = rig.now + span_ms;
    while rig.now < end {
        while rig.scheduler.waiting_steps() < COMPETITORS {
            let spec = if with_gangs && next.is_multiple_of(2) {
                gang(6, 12, 2_000)
            } else {
                step(3, 6, 1_500)
            };
            rig.submit(*next, GANGS, job(vec![spec]));
            *next += 1;
        }
        rig.run_ms(20);
    }
}

/// Loses the worker of the long-running task under load, and checks when the task runs again.
fn check_restart(with_gangs: bool, after_ms: u64) {
    let mut rig = Rig::new(12);
    fill(&mut rig);
    let mut next = 100;
    compete(&mut rig, &mut next, after_ms, with_gangs);
    let lost = rig.starts_of(1).last().expect("a start").worker;
    let lost_at = rig.now;
    let requests = rig.advice_requests.len();
    rig.crash(lost);
    rig.deregister(lost);
    compete(&mut rig, &mut next, RESTART_LIMIT_MS, with_gangs);
    let requests = rig.advice_requests.len() - requests;
    assert!(requests >= MIN_REQUESTS, "{requests} requests only");
    let restarted = rig
        .starts_of(1)
        .into_iter()
        .find(|start| start.started_at > lost_at);
    assert!(
        restarted.is_some(),
        "gangs {with_gangs}, lost after {after_ms} ms: no restart within {RESTART_LIMIT_MS} ms"
    );
}

/// Guards against a long-running task that waits for others of its queue to give up their requests:
/// it goes first for the next one. Without the rank of restarts it does not run again in time.
#[test]
fn a_restart_goes_first_for_the_open_requests_of_its_queue() {
    for with_gangs in [false, true] {
        for after_ms in [500, 1_700, 3_100, 6_000] {
            check_restart(with_gangs, after_ms);
        }
    }
}
