//! Tests of workers that start again under their IDs behind silent connections, while answers and
//! orders of the former process are still on their way. The rig checks at each start that no task
//! runs twice and no acknowledged completion is repeated.

mod common;

use common::{BATCH, QUICK, Rig, job, step};
use daisymast_jobs::job::State;
use daisymast_scheduler::decision;

/// Time within which the tasks of a worker that is cut off run again, in milliseconds: two calls that
/// time out, the 12 s within which a call that got no answer may be carried out, and the longest lease of
/// 6 s on a slow clock, which such a call may grant to a new process.
const RECOVERY_LIMIT_MS: u64 = 21_000;
/// Run time of a task that outlasts any lease, in milliseconds.
const LONG_MS: u32 = 30_000;

/// A cell of two workers of which the first runs a long task, so that a poll of it is open.
fn cell(uptime_ms: u64) -> Rig {
    let mut rig = Rig::new(2);
    rig.run_ms(uptime_ms);
    rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
    rig.run_ms(400);
    assert_eq!(rig.starts_of(1)[0].worker, 0);
    rig
}

/// Guards against tasks that start elsewhere while a worker that is cut off still runs them. It had
/// restarted behind a poll that stayed silent, and held the longest lease for a deadline on the clock
/// of its former process, of which the scheduler counted 5 s (issue 32).
#[test]
fn tasks_of_an_unnoticed_restart_wait_for_the_longest_lease() {
    for down_ms in [150, 300, 600, 900] {
        for submit_after_ms in [0, 200, 400, 600, 800] {
            for cut_after_ms in [20, 60, 200, 600] {
                let mut rig = cell(20_000);
                rig.crash(0);
                rig.run_ms(down_ms);
                rig.power_on(0);
                rig.run_ms(submit_after_ms);
                rig.submit(2, QUICK, job(vec![step(2, 4, LONG_MS)]));
                rig.run_ms(cut_after_ms);
                rig.workers[0].is_disconnected = true;
                rig.run_ms(RECOVERY_LIMIT_MS);
                let starts = rig.starts_of(2);
                let elsewhere = starts.iter().filter(|start| start.worker == 1).count();
                assert_eq!(
                    elsewhere, 2,
                    "down {down_ms} ms, cut after {cut_after_ms} ms"
                );
            }
        }
    }
}

/// Guards against runs that are released because a report of the worker's former process arrives
/// after the first one of the new process.
#[test]
fn a_late_report_of_a_former_process_releases_nothing() {
    for late_ms in [500, 700, 900, 1_300] {
        let mut rig = cell(20_000);
        rig.submit(2, QUICK, job(vec![step(1, 4, 100)]));
        rig.run_ms(60);
        rig.poll_answer_delay_ms = late_ms;
        rig.run_ms(100);
        rig.crash(0);
        rig.poll_answer_delay_ms = 0;
        rig.submit(3, BATCH, job(vec![step(1, 4, 5_000)]));
        rig.run_ms(150);
        rig.power_on(0);
        rig.register(0);
        rig.run_ms(3_000);
        for id in [4, 5] {
            rig.submit(id, QUICK, job(vec![step(1, 4, 300)]));
            assert!(
                rig.run_until(id, State::Completed, 2_000).is_some(),
                "{late_ms} ms"
            );
        }
        assert!(
            rig.run_until(3, State::Completed, 9_000).is_some(),
            "{late_ms} ms"
        );
    }
}

/// Guards against a worker whose reports are ignored for as long as its former process was up. The
/// late answer of that process to a start set the clock forward.
#[test]
fn a_late_answer_of_a_former_process_does_not_change_the_clock() {
    for late_ms in [500, 700, 900] {
        let mut rig = cell(60_000);
        rig.order_answer_delay_ms = late_ms;
        rig.submit(2, QUICK, job(vec![step(1, 4, 2_000)]));
        rig.run_ms(30);
        rig.crash(0);
        rig.order_answer_delay_ms = 0;
        // The start of this job gets no answer, so that the worker is polled again at once.
        rig.submit(3, BATCH, job(vec![step(1, 4, 300)]));
        rig.run_ms(150);
        rig.power_on(0);
        rig.register(0);
        for id in [2, 3] {
            assert!(
                rig.run_until(id, State::Completed, 9_000).is_some(),
                "{late_ms} ms"
            );
        }
        rig.submit(4, QUICK, job(vec![step(2, 20, 300)]));
        assert!(
            rig.run_until(4, State::Completed, 3_000).is_some(),
            "{late_ms} ms"
        );
    }
}

/// Guards against a task that runs in a new process, which carries out the late copy of a start that
/// was meant for its former life, and elsewhere.
#[test]
fn a_late_start_does_not_run_in_a_restarted_worker() {
    for delay_ms in [1_500, 3_000, 6_000] {
        for down_ms in [150, 600] {
            let mut rig = cell(20_000);
            rig.workers[0].order_delay_ms = delay_ms;
            rig.submit(2, BATCH, job(vec![step(1, 4, 9_000)]));
            rig.run_ms(100);
            rig.workers[0].order_delay_ms = 0;
            rig.run_ms(600);
            assert_eq!(rig.starts_of(2).len(), 1, "the repeated start");
            rig.crash(0);
            rig.run_ms(down_ms);
            rig.power_on(0);
            rig.register(0);
            rig.run_ms(10_000);
            let started = rig.starts_of(2).len();
            assert!(started >= 2, "{delay_ms} ms");
            assert!(
                rig.run_until(2, State::Completed, 12_000).is_some(),
                "{delay_ms} ms"
            );
        }
    }
}

/// Guards against run ends of a new process that are acknowledged before they were read. A report of
/// the former process arrived late, so its run ends were acknowledged to the new one.
#[test]
fn a_late_report_acknowledges_nothing_to_a_new_process() {
    for late_ms in [250, 400, 600] {
        for submit_after_ms in [0, 10, 20, 40, 80] {
            let mut rig = cell(20_000);
            rig.submit(2, QUICK, job(vec![step(5, 4, 300)]));
            rig.run_ms(250);
            rig.poll_answer_delay_ms = late_ms;
            rig.run_ms(90);
            rig.crash(0);
            rig.run_ms(155);
            rig.power_on(0);
            rig.poll_answer_delay_ms = 0;
            rig.run_ms(late_ms - 180 + submit_after_ms);
            rig.submit(3, BATCH, job(vec![step(2, 4, 60)]));
            let play = format!("{late_ms} ms late, submitted {submit_after_ms} ms after");
            assert!(
                rig.run_until(3, State::Completed, 4_000).is_some(),
                "{play}"
            );
            assert_eq!(rig.starts_of(3).len(), 2, "{play}");
        }
    }
}

/// Guards against the same after the run was stopped in the former process.
#[test]
fn a_late_start_of_a_released_run_is_refused_by_a_restarted_worker() {
    for delay_ms in [4_000, 6_000, 9_000] {
        let mut rig = cell(20_000);
        rig.workers[0].order_delay_ms = delay_ms;
        rig.submit(2, BATCH, job(vec![step(1, 4, 9_000)]));
        // The start is sent six times.
        rig.run_ms(1_700);
        rig.workers[0].order_delay_ms = 0;
        rig.run_ms(1_000);
        let is_stopped = |decision: &decision::Decision| {
            matches!(
                decision,
                decision::Decision::Stopping {
                    reason: decision::StopReason::StartUnknown,
                    ..
                }
            )
        };
        assert!(rig.log.iter().any(is_stopped), "{delay_ms} ms");
        rig.crash(0);
        rig.run_ms(200);
        rig.power_on(0);
        rig.register(0);
        rig.run_ms(delay_ms);
        let completed = rig.run_until(2, State::Completed, 12_000);
        assert!(completed.is_some(), "{delay_ms} ms");
    }
}
