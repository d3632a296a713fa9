//! Tests of workers that restart under their IDs without the scheduler's knowledge: the store is
//! down, so their new registrations are missing. The rig checks at each start that no task runs
//! twice.

mod common;

use common::{BATCH, QUICK, Rig, job, step};
use daisymast_jobs::job::State;

/// Time for which a job may have nothing running while there is capacity for it, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;

/// Guards against run ends of a restarted worker that are acknowledged before they were read. The
/// worker numbers them from 1 again, and the poll that was open when a task ended still acknowledged
/// the ends of its former process, so the completed task started again.
#[test]
fn the_first_poll_of_a_restarted_worker_acknowledges_nothing() {
    let mut rig = Rig::new(1);
    rig.submit(1, QUICK, job(vec![step(5, 2, 200)]));
    assert!(rig.run_until(1, State::Completed, 2_000).is_some());
    rig.run_ms(3_000);
    rig.crash(0);
    rig.run_ms(300);
    rig.power_on(0);
    rig.submit(2, QUICK, job(vec![step(1, 2, 60)]));
    assert!(rig.run_until(2, State::Completed, 2_000).is_some());
    assert_eq!(rig.starts_of(2).len(), 1);
}

/// Guards against lost tasks that wait for a lease to expire although the worker reports its
/// restart, whichever uptimes its two processes have reached.
#[test]
fn tasks_lost_in_a_restart_start_again_soon() {
    for (uptime_ms, down_ms) in [(300, 50), (1_000, 700), (2_500, 100), (6_000, 300)] {
        let mut rig = Rig::new(1);
        rig.restart(0);
        rig.run_ms(uptime_ms);
        rig.submit(1, BATCH, job(vec![step(6, 4, 9_000)]));
        rig.run_ms(150);
        rig.crash(0);
        rig.run_ms(down_ms);
        rig.power_on(0);
        rig.register(0);
        rig.run_ms(IDLE_LIMIT_MS - down_ms);
        assert_eq!(rig.running(), 6, "uptime {uptime_ms} ms");
    }
}
