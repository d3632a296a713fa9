//! Tests of calls that got no answer and are carried out seconds later by another process, which has
//! started under the ID of the worker meanwhile. A deadline on the clock of the former process is far
//! in the future there, and the new process has seen no fencing token. The rig checks at each start
//! that no task runs twice, no capacity is exceeded and no acknowledged completion is repeated.

mod common;

use common::{BATCH, Rig, gang, job, mono, step};
use daisymast_jobs::job::{OpenStart, State};
use daisymast_jobs::spec;
use daisymast_scheduler::run;
use daisymast_types::quantities;

/// Time within which a job of one task is completed, in milliseconds: a lost run that is known as late
/// as possible, the longest lateness of a start of 12 s, the longest lease of 6 s, and the next run.
const COMPLETION_LIMIT_MS: u64 = 60_000;
/// Run time of a task that outlasts any lease, in milliseconds.
const LONG_MS: u32 = 20_000;
/// Time in which a start and its only repetition are sent, but not yet the stop, in milliseconds.
const STARTS_MS: u64 = 400;
/// Time within which the stop of a run is answered and its task starts again, in milliseconds.
const RELEASE_MS: u64 = 1_000;

/// A cell of two workers that are up for long. Only the first one takes tasks.
fn cell() -> Rig {
    let mut rig = Rig::new(2);
    rig.deregister(1);
    rig.run_ms(20_000);
    rig
}

/// Lets only the second worker take tasks.
fn move_to_second(rig: &mut Rig) {
    rig.workers[0].draining = true;
    rig.register(0);
    rig.register(1);
}

/// Submits a job of one task to the first worker, which leaves its starts without an answer and carries
/// them out late. The stop that follows is answered in time.
fn submit_with_late_starts(rig: &mut Rig, id: u64, cores: u32, work_ms: u32, late_ms: u64) {
    rig.workers[0].order_delay_ms = late_ms;
    rig.submit(id, BATCH, job(vec![step(1, cores, work_ms)]));
    rig.run_ms(STARTS_MS);
    rig.workers[0].order_delay_ms = 0;
}

/// Starts the first worker again behind a cut.
fn restart_cut_off(rig: &mut Rig) {
    rig.workers[0].is_disconnected = true;
    restart_unnoticed(rig, 300);
}

/// Starts the first worker again, without news of it in the store.
fn restart_unnoticed(rig: &mut Rig, down_ms: u64) {
    rig.crash(0);
    rig.run_ms(down_ms);
    rig.power_on(0);
}

/// Starts the first worker again behind a cut, or right before its first late start. In both cases, the
/// scheduler has not heard of the new process when that carries out the start.
fn restart_unheard(rig: &mut Rig, is_cut: bool) {
    if is_cut {
        restart_cut_off(rig);
    } else {
        let at = rig.late_calls().min().expect("a late start");
        restart_unnoticed(rig, at - rig.now - 5);
    }
}

/// Replaces the scheduler by another one.
fn take_over(rig: &mut Rig, has_resigned: bool) {
    if has_resigned {
        rig.take_over_after_resignation();
    } else {
        rig.take_over();
    }
}

fn assert_completed(rig: &mut Rig, id: u64, play: &str) {
    let completed = rig.run_until(id, State::Completed, COMPLETION_LIMIT_MS);
    assert!(completed.is_some(), "{play}: job {id} is not completed");
}

/// Guards against tasks that start elsewhere while a worker that is cut off still runs them. A late
/// poll that was meant for its former process has renewed its lease.
#[test]
fn a_late_poll_does_not_renew_the_lease_of_a_new_process() {
    for cut_after_ms in [2_000, 3_000, 4_000] {
        let mut rig = cell();
        rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
        rig.run_ms(400);
        rig.workers[0].poll_delay_ms = 9_000;
        rig.run_ms(1_200);
        rig.workers[0].poll_delay_ms = 0;
        rig.run_ms(1_500);
        rig.restart(0);
        rig.run_ms(RELEASE_MS + cut_after_ms);
        assert_eq!(rig.running(), 1, "the task has started again");
        rig.workers[0].is_disconnected = true;
        rig.register(1);
        assert_completed(&mut rig, 1, &format!("cut after {cut_after_ms} ms"));
    }
}

/// Guards against the same after a late poll that the new process has carried out just before its first
/// report, so that no fencing token could reach it in time.
#[test]
fn a_late_poll_before_the_first_report_renews_no_uncounted_lease() {
    for before_ms in [10, 50, 100, 200, 300, 400, 500, 700] {
        for cut_after_ms in [5, 20, 60] {
            let mut rig = cell();
            rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
            rig.run_ms(400);
            rig.workers[0].poll_delay_ms = 9_000;
            rig.run_ms(1_200);
            rig.workers[0].poll_delay_ms = 0;
            let first_late_ms = rig.late_calls().min().expect("a late poll");
            rig.crash(0);
            rig.run_ms(first_late_ms - rig.now - before_ms);
            rig.power_on(0);
            rig.register(0);
            let started = |rig: &Rig| rig.starts_of(1).len() == 2;
            while !started(&rig) {
                rig.run_ms(5);
            }
            rig.run_ms(cut_after_ms);
            rig.workers[0].is_disconnected = true;
            rig.register(1);
            let play = format!("{before_ms} ms before, cut after {cut_after_ms} ms");
            assert_completed(&mut rig, 1, &play);
        }
    }
}

/// Guards against the same after a late start of a released run, which the new process has refused as
/// old. A refused start renews the lease as well.
#[test]
fn a_late_start_that_is_refused_does_not_renew_the_lease_of_a_new_process() {
    for cut_after_ms in [1_000, 2_000, 3_000] {
        let mut rig = cell();
        submit_with_late_starts(&mut rig, 1, 4, LONG_MS, 9_000);
        rig.run_ms(RELEASE_MS);
        rig.restart(0);
        rig.run_ms(RELEASE_MS + 1_000 + cut_after_ms);
        assert_eq!(rig.running(), 1, "the task has started again");
        rig.workers[0].is_disconnected = true;
        rig.register(1);
        assert_completed(&mut rig, 1, &format!("cut after {cut_after_ms} ms"));
    }
}

/// Guards against completions that are lost. A late poll acknowledged run ends of the former process,
/// and the new one, which numbers them from 1 again, has forgotten ends that were never read.
#[test]
fn a_late_poll_acknowledges_nothing_to_a_new_process() {
    let mut rig = cell();
    rig.submit(1, BATCH, job(vec![step(5, 4, 300)]));
    assert!(rig.run_until(1, State::Completed, 2_000).is_some());
    rig.workers[0].poll_delay_ms = 9_000;
    rig.run_ms(100);
    rig.workers[0].poll_delay_ms = 0;
    assert_eq!(
        rig.workers[0].ended.len(),
        5,
        "the acknowledgement is under way"
    );
    rig.run_ms(2_000);
    rig.restart(0);
    rig.run_ms(4_400);
    rig.submit(2, BATCH, job(vec![step(1, 4, 2_000)]));
    rig.run_ms(1_000);
    rig.workers[0].is_disconnected = true;
    rig.run_ms(2_000);
    rig.workers[0].is_disconnected = false;
    assert_completed(&mut rig, 2, "after the cut");
    assert_eq!(rig.starts_of(2).len(), 1);
}

/// Guards against a task that runs in a process of which the scheduler has not heard, from a late
/// start, beside its next run. It was stopped in the former process before.
#[test]
fn a_late_start_of_a_stopped_run_does_not_run_beside_the_next_one() {
    for late_ms in [3_000, 6_000, 11_000] {
        for is_cut in [false, true] {
            let mut rig = cell();
            submit_with_late_starts(&mut rig, 1, 4, LONG_MS, late_ms);
            move_to_second(&mut rig);
            rig.run_ms(RELEASE_MS);
            restart_unheard(&mut rig, is_cut);
            assert_completed(&mut rig, 1, &format!("{late_ms} ms late, cut: {is_cut}"));
        }
    }
}

/// Guards against a task that runs again in such a process after another run of it is done and its
/// completion was acknowledged.
#[test]
fn a_late_start_of_a_stopped_run_does_not_repeat_a_completed_task() {
    for late_ms in [3_000, 6_000, 11_000] {
        for is_cut in [false, true] {
            let mut rig = cell();
            submit_with_late_starts(&mut rig, 1, 4, 200, late_ms);
            move_to_second(&mut rig);
            rig.run_ms(RELEASE_MS);
            restart_unheard(&mut rig, is_cut);
            assert_completed(&mut rig, 1, &format!("{late_ms} ms late, cut: {is_cut}"));
            rig.run_ms(13_000);
        }
    }
}

/// Guards against a task that runs on a worker that was lost for good, from a late start, after it has
/// started elsewhere.
#[test]
fn a_late_start_on_a_lost_worker_does_not_run_beside_the_next_run() {
    for late_ms in [8_000, 10_000, 12_000] {
        let mut rig = cell();
        rig.workers[0].order_delay_ms = late_ms;
        rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
        rig.run_ms(100);
        rig.deregister(0);
        rig.register(1);
        restart_cut_off(&mut rig);
        assert_completed(&mut rig, 1, &format!("{late_ms} ms late"));
    }
}

/// Guards against a task that starts elsewhere while it runs on a worker that is cut off, from a late
/// start that has given its new process the longest lease.
#[test]
fn the_next_run_waits_for_the_lease_of_a_late_start() {
    for late_ms in [2_000, 4_000, 6_000] {
        let mut rig = cell();
        rig.workers[0].order_delay_ms = late_ms;
        rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
        rig.run_ms(100);
        rig.register(1);
        restart_cut_off(&mut rig);
        assert_completed(&mut rig, 1, &format!("{late_ms} ms late"));
    }
}

/// Guards against the same after a start that was sent when the new process was up already, but not
/// known yet: its deadline is one on the clock of the former process, too.
#[test]
fn the_next_run_waits_for_the_lease_of_a_start_after_an_unnoticed_restart() {
    for late_ms in [2_000, 4_000, 6_000, 11_000] {
        let mut rig = cell();
        restart_unnoticed(&mut rig, 300);
        rig.workers[0].order_delay_ms = late_ms;
        rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
        rig.run_ms(100);
        rig.workers[0].is_disconnected = true;
        rig.register(1);
        assert_completed(&mut rig, 1, &format!("{late_ms} ms late"));
    }
}

/// Guards against a new process that late starts fill beyond its capacity. Their jobs were cancelled,
/// so that nothing else keeps them apart.
#[test]
fn late_starts_do_not_exceed_the_capacity_of_a_new_process() {
    for late_ms in [4_000, 8_000, 11_000] {
        let mut rig = cell();
        for id in [1, 2] {
            submit_with_late_starts(&mut rig, id, 20, LONG_MS, late_ms);
            rig.scheduler
                .cancel(10 + id, spec::JobId(id), mono(rig.now));
            rig.run_ms(RELEASE_MS);
        }
        restart_cut_off(&mut rig);
        rig.run_ms(12_000);
        rig.workers[0].is_disconnected = false;
        rig.register(0);
        rig.submit(3, BATCH, job(vec![step(1, 20, 300)]));
        assert_completed(&mut rig, 3, &format!("{late_ms} ms late"));
    }
}

/// Guards against the same as with one scheduler when another one has taken over. It has learned from
/// the former process that the run is not there.
#[test]
fn a_late_start_of_a_former_scheduler_does_not_run_beside_the_next_run() {
    for late_ms in [4_000, 8_000, 12_000] {
        for has_resigned in [false, true] {
            let mut rig = cell();
            rig.workers[0].order_delay_ms = late_ms;
            rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
            rig.run_ms(100);
            rig.workers[0].order_delay_ms = 0;
            rig.workers[0].draining = true;
            take_over(&mut rig, has_resigned);
            rig.run_ms(RELEASE_MS);
            restart_cut_off(&mut rig);
            let play = format!("{late_ms} ms late, resigned: {has_resigned}");
            assert_completed(&mut rig, 1, &play);
        }
    }
}

/// Guards against the same when the worker is cut off at the change, so that its tasks wait for the
/// leases that the former scheduler has given.
#[test]
fn the_next_scheduler_waits_for_the_lease_of_a_late_start() {
    let after_resignation = [2_000, 4_000, 8_000, 12_000].map(|late_ms| (late_ms, true));
    let after_loss = [8_000, 12_000].map(|late_ms| (late_ms, false));
    for (late_ms, has_resigned) in after_resignation.into_iter().chain(after_loss) {
        let mut rig = cell();
        rig.workers[0].order_delay_ms = late_ms;
        rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
        rig.run_ms(100);
        rig.workers[0].order_delay_ms = 0;
        rig.workers[0].is_disconnected = true;
        take_over(&mut rig, has_resigned);
        restart_cut_off(&mut rig);
        let play = format!("{late_ms} ms late, resigned: {has_resigned}");
        assert_completed(&mut rig, 1, &play);
    }
}

/// Guards against a wait that an own start shortens: a start of a former scheduler, which may act for some
/// seconds more, can be carried out later than that.
#[test]
fn an_own_start_does_not_shorten_the_wait_for_those_of_a_former_scheduler() {
    let mut run = run::Run::new(1, quantities::Resources::ZERO, mono(1_000));
    run.inherit_open_start(OpenStart::Single, mono(20_000));
    run.begin_again();
    run.on_start_unanswered(mono(2_000));
    assert!(run.may_start_late(mono(19_999)));
}

/// Guards against room that is kept free on workers, and completions that are not acknowledged, for starts
/// that have taken effect: the task ended before the worker reported it in progress.
#[test]
fn a_start_that_took_effect_keeps_no_room() {
    let mut rig = cell();
    rig.workers[0].loses_answers = true;
    rig.poll_answer_delay_ms = 400;
    rig.submit(1, BATCH, job(vec![step(3, 4, 100)]));
    rig.run_ms(700);
    rig.poll_answer_delay_ms = 0;
    rig.run_ms(1_000);
    assert_eq!(rig.state(1), Some(State::Completed));
    assert_no_room_kept(&rig);
}

/// Guards against the same after a change of the scheduler.
#[test]
fn a_start_of_a_former_scheduler_that_took_effect_keeps_no_room() {
    let mut rig = cell();
    rig.poll_answer_delay_ms = 400;
    rig.submit(1, BATCH, job(vec![step(3, 4, 100)]));
    rig.run_ms(200);
    rig.poll_answer_delay_ms = 0;
    rig.take_over();
    rig.run_ms(1_000);
    assert_eq!(rig.state(1), Some(State::Completed));
    assert_no_room_kept(&rig);
}

/// Guards against gangs that wait for a start that has taken effect: after a change of the scheduler, one
/// member was reported as ended, and the others as broken.
#[test]
fn a_gang_of_a_former_scheduler_that_has_failed_starts_again() {
    let mut rig = cell();
    rig.failing_jobs.insert(spec::JobId(1));
    rig.poll_answer_delay_ms = 600;
    rig.submit(1, BATCH, job(vec![gang(2, 4, 400)]));
    rig.run_ms(220);
    rig.poll_answer_delay_ms = 0;
    rig.take_over();
    rig.run_ms(1_000);
    assert!(rig.starts_of(1).len() > 2, "{:?}", rig.starts_of(1));
}

/// Guards against tasks that wait after a change of the leader, though their starts were answered before:
/// a checkpoint had been written while these were open. One such job had nothing running for 3 s.
#[test]
fn a_start_that_was_open_at_a_checkpoint_holds_no_task_back() {
    let mut rig = cell();
    rig.failing_jobs.insert(spec::JobId(1));
    rig.submit(1, BATCH, job(vec![step(6, 4, 4_000)]));
    // Placements are stored, and their starts are not answered yet.
    rig.run_ms(15);
    rig.scheduler.checkpoint();
    rig.run_ms(400);
    let records = rig.scheduler.checkpoint();
    rig.take_over_from(records);
    rig.run_ms(2_000);
    assert!(rig.starts_of(1).len() > 6, "{:?}", rig.starts_of(1).len());
}

fn assert_no_room_kept(rig: &Rig) {
    let used = rig.scheduler.fleet().iter().map(|worker| worker.used);
    assert!(
        used.into_iter()
            .all(|used| used == quantities::Resources::ZERO)
    );
    assert!(rig.workers[0].ended.is_empty(), "unacknowledged run ends");
}
