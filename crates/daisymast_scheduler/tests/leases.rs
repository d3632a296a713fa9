//! Tests of leases that last longer than the scheduler that gave them. The rig checks at each start
//! that no task runs twice.

mod common;

use std::time::Duration;

use common::{BATCH, RECENT_MS, Rig, job, mono, step};
use daisymast_scheduler::{constants, lease};

/// Run time of a task that outlasts any lease, in milliseconds.
const LONG_MS: u32 = 30_000;
/// Time after which the tasks of a worker that is cut off have to run again, in milliseconds: the
/// longest lease of 6 s on a slow clock, and the delivery of the last order.
const RECOVERY_LIMIT_MS: u64 = 7_000;
/// The same for a task whose start may not have been answered, in milliseconds: that start may be carried
/// out up to 12 s late by a process that has started under the worker's ID, and grant the lease then.
const OPEN_START_RECOVERY_LIMIT_MS: u64 = 19_000;

/// Starts tasks on a worker of a cell that was idle, cuts the worker off and replaces the scheduler.
fn play_resignation(idle_ms: u64, clock_rate: u64, resigns_after_ms: u64) {
    let mut rig = Rig::with_clock_rate(3, clock_rate);
    rig.run_ms(idle_ms);
    rig.submit(1, BATCH, job(vec![step(3, 10, LONG_MS)]));
    while rig.starts_of(1).len() < 3 {
        rig.run_ms(5);
    }
    let worker = rig.starts_of(1)[0].worker;
    rig.workers[worker].is_disconnected = true;
    rig.run_ms(resigns_after_ms);
    rig.take_over_after_resignation();
    rig.run_ms(if resigns_after_ms < RECENT_MS {
        OPEN_START_RECOVERY_LIMIT_MS
    } else {
        RECOVERY_LIMIT_MS
    });
    let again = rig
        .starts_of(1)
        .iter()
        .filter(|start| start.run > 1)
        .count();
    let play =
        format!("idle {idle_ms} ms, rate {clock_rate}, resigned after {resigns_after_ms} ms");
    assert_eq!(again, 3, "{play}");
}

/// Guards against a new scheduler that restarts tasks on a worker that it cannot reach while the
/// worker holds its lease. The former scheduler reckoned the deadline from a reading of the worker's
/// slow clock that was a minute old (review/6).
#[test]
fn a_new_scheduler_waits_for_the_longest_lease_of_an_idle_worker() {
    for idle_ms in [0, 5_000, 19_000, 55_000, 200_000, 600_000] {
        for clock_rate in [98, 99, 100] {
            for resigns_after_ms in [0, 100, 500, 1_000] {
                play_resignation(idle_ms, clock_rate, resigns_after_ms);
            }
        }
    }
}

/// Guards against the same on a worker that has started again under its ID since it last answered.
/// Any deadline of the former scheduler gives its new process the longest lease.
#[test]
fn a_new_scheduler_waits_for_the_longest_lease_of_a_restarted_worker() {
    for down_ms in [200, 600, 1_500] {
        for connected_ms in [5, 20, 60] {
            let mut rig = Rig::new(3);
            rig.run_ms(15_000);
            rig.crash(0);
            rig.run_ms(down_ms);
            rig.power_on(0);
            rig.submit(1, BATCH, job(vec![step(3, 10, LONG_MS)]));
            rig.run_ms(10 + connected_ms);
            rig.workers[0].is_disconnected = true;
            rig.take_over_after_resignation();
            rig.run_ms(OPEN_START_RECOVERY_LIMIT_MS);
            let starts = rig.starts_of(1);
            assert!(
                starts.iter().any(|start| start.run > 1),
                "down {down_ms} ms"
            );
        }
    }
}

/// Guards against the same when the start of a task is carried out late. Its deadline must have
/// passed by then, so it may not be reckoned from an old reading of a slow clock.
#[test]
fn a_late_start_on_an_idle_worker_has_expired_when_its_task_runs_again() {
    for idle_ms in [1_000, 60_000, 300_000] {
        for order_delay_ms in [2_000, 4_000, 6_000, 9_000] {
            let mut rig = Rig::with_clock_rate(3, 98);
            rig.run_ms(idle_ms);
            (0..3).for_each(|number| rig.workers[number].order_delay_ms = order_delay_ms);
            rig.submit(1, BATCH, job(vec![step(1, 10, LONG_MS)]));
            rig.run_ms(100);
            for worker in &mut rig.workers[..2] {
                worker.is_disconnected = true;
            }
            rig.workers[2].order_delay_ms = 0;
            rig.take_over_after_resignation();
            rig.run_ms(OPEN_START_RECOVERY_LIMIT_MS);
            let starts = rig.starts_of(1);
            assert!(
                starts.iter().any(|start| start.run == 2),
                "idle {idle_ms} ms"
            );
        }
    }
}

/// Guards against arithmetic that overflows on the clock reading of a worker of another make, which
/// would end the process.
#[test]
fn a_clock_reading_at_the_limit_overflows_nothing() {
    let received_at = mono(10_000);
    let now = mono(20_000);
    for reading_ms in [0, u64::MAX / 1_000, u64::MAX - 1, u64::MAX] {
        let mut clock = lease::WorkerClock::new(reading_ms, received_at);
        let deadline = clock.deadline(now, constants::WORKER_LEASE);
        assert!(deadline >= reading_ms);
        assert!(clock.passed_at(deadline) >= received_at);
        assert!(clock.earliest_reading(now) <= clock.latest_reading(now));
        clock.update(reading_ms, now);
        assert!(clock.reading_age(now) <= Duration::from_secs(10));
    }
}
