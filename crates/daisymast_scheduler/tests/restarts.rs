//! Tests of workers that restart under their IDs without the scheduler's knowledge: the store is
//! down, so their new registrations are missing. The rig checks at each start that no task runs
//! twice.

mod common;

use common::{BATCH, GANGS, QUICK, Rig, job, step};
use daisymast_jobs::job::State;

/// Number of random plays of each test.
const PLAYS: u64 = 40;
/// Time for which a job may have nothing running while there is capacity for it, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;

/// Lets some workers of an idle cell restart during an outage of the store, and then submits jobs
/// while answers of workers overtake each other.
fn play_restarts_in_an_outage(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let count = random.usize(3..=12);
    let mut rig = Rig::new(count);
    rig.answer_delays = Some(random.fork());
    let tasks = u32::try_from(count).expect("a small number");
    rig.submit(1, QUICK, job(vec![step(tasks, 20, 200)]));
    assert!(rig.run_until(1, State::Completed, 3_000).is_some());
    rig.run_ms(random.u64(200..=20_000));
    rig.store_down = true;
    let restarted = random.usize(1..=count / 2);
    (0..restarted).for_each(|number| rig.crash(number));
    rig.run_ms(random.u64(100..=2_000));
    (0..restarted).for_each(|number| rig.power_on(number));
    rig.run_ms(random.u64(0..=1_500));
    rig.store_down = false;
    let last = 80;
    for id in 2..=last {
        let work_ms = random.choice([60, 100, 400]).expect("one of them");
        rig.submit(id, QUICK, job(vec![step(4, 1, work_ms)]));
        rig.run_ms(random.u64(5..=40));
    }
    (0..restarted).for_each(|number| rig.register(number));
    for id in 2..=last {
        let completed = rig.run_until(id, State::Completed, 4_000);
        assert!(completed.is_some(), "seed {seed}: job {id}");
    }
}

/// Guards against tasks that start again while they run on a restarted worker. Its first report was
/// made before their starts arrived and came after the answers to them, so it lists none of them
/// (review/2).
#[test]
fn the_first_report_of_a_restarted_worker_does_not_release_later_runs() {
    (0..PLAYS).for_each(play_restarts_in_an_outage);
}

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

/// Guards against a lease that counts as expired while a restarted worker still runs the tasks. A
/// deadline on the clock of its former process is far in the future for the new one, which then
/// holds the lease for as long as the platform allows.
#[test]
fn tasks_on_a_restarted_worker_that_is_cut_off_wait_for_the_longest_lease() {
    for connected_ms in [5, 20, 60, 150] {
        let mut rig = Rig::new(3);
        rig.run_ms(20_000);
        rig.crash(0);
        rig.run_ms(400);
        rig.power_on(0);
        rig.submit(1, BATCH, job(vec![step(8, 8, 9_000)]));
        rig.run_ms(10 + connected_ms);
        rig.workers[0].is_disconnected = true;
        // The poll that was open when the worker restarted may be carried out up to 12 s late, and grant
        // the longest lease of 6 s.
        rig.run_ms(21_000);
        assert!(rig.starts_of(1).iter().any(|start| start.run > 1));
    }
}

/// Guards against tasks on a restarted worker that are placed by the registration of its former
/// process. The new one may have another size or other labels.
#[test]
fn a_restarted_worker_gets_no_tasks_before_it_registers() {
    for (uptime_ms, down_ms) in [(500, 100), (8_000, 400), (20_000, 3_000)] {
        let mut rig = Rig::new(2);
        rig.run_ms(uptime_ms);
        rig.submit(1, BATCH, job(vec![step(2, 20, 30_000)]));
        rig.run_ms(200);
        rig.crash(0);
        rig.run_ms(down_ms);
        rig.power_on(0);
        rig.run_ms(2_500);
        let restarted_at = rig.now;
        for id in 2..=6 {
            rig.submit(id, QUICK, job(vec![step(2, 4, 300)]));
            rig.run_ms(100);
        }
        let started_there = |rig: &Rig| {
            let later = rig
                .starts
                .iter()
                .filter(|start| start.started_at > restarted_at);
            later.filter(|start| start.worker == 0).count()
        };
        assert_eq!(started_there(&rig), 0, "uptime {uptime_ms} ms");
        rig.register(0);
        for id in 7..=12 {
            rig.submit(id, QUICK, job(vec![step(6, 4, 300)]));
        }
        rig.run_ms(1_000);
        assert!(started_there(&rig) > 0, "uptime {uptime_ms} ms");
    }
}

/// Guards against steps that keep the advice service's answer about a worker's former process. A
/// step whose workers were all denied before they restarted as another kind never started.
#[test]
fn a_restarted_worker_is_asked_about_again() {
    let mut rig = Rig::new(2);
    rig.allowed.insert("none".to_owned());
    rig.submit(1, GANGS, job(vec![step(1, 8, 500)]));
    rig.run_ms(3_000);
    assert!(rig.starts_of(1).is_empty());
    rig.allowed.clear();
    rig.run_ms(1_000);
    rig.restart(0);
    assert!(rig.run_until(1, State::Completed, IDLE_LIMIT_MS).is_some());
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
