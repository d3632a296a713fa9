//! Tests of calls and unknown outcomes that belong to a former process, run or scheduler, and take
//! effect later, and of the bounds on what waits for them. The rig checks at each start that no task
//! runs twice and no capacity is exceeded.

mod common;

use common::{BATCH, Rig, gang, job, mono, step};
use daisymast_jobs::job::{Job, State};
use daisymast_jobs::{record, spec};
use daisymast_scheduler::{action, report, run};

/// Time within which a job of one task is completed, in milliseconds: the longest lateness of a start of
/// 12 s, the longest lease of 6 s, a run of 20 s and the next one.
const COMPLETION_LIMIT_MS: u64 = 60_000;
/// Run time of a task that outlasts any lease, in milliseconds.
const LONG_MS: u32 = 20_000;
/// Time within which a start is sent but not yet given up, in milliseconds.
const START_MS: u64 = 100;
/// Time in which a start and its first repetition are sent, in milliseconds.
const STARTS_MS: u64 = 400;
/// Time within which a stop is answered and the worker has reported, in milliseconds.
const STOP_MS: u64 = 1_000;

/// A cell of two workers that are up for long. Only the first one takes tasks.
fn cell() -> Rig {
    let mut rig = Rig::new(2);
    rig.deregister(1);
    rig.run_ms(20_000);
    rig
}

/// Starts the first worker again behind a cut.
fn restart_cut_off(rig: &mut Rig) {
    rig.workers[0].is_disconnected = true;
    rig.crash(0);
    rig.run_ms(300);
    rig.power_on(0);
}

fn assert_completed(rig: &mut Rig, id: u64, play: &str) {
    let completed = rig.run_until(id, State::Completed, COMPLETION_LIMIT_MS);
    assert!(completed.is_some(), "{play}: job {id} is not completed");
}

/// Guards against late starts that fill a new process beyond its capacity, where the runs were stopped
/// before their starts were given up: the outcome of a start was ignored once its run was stopped.
#[test]
fn a_start_that_is_open_when_its_run_is_stopped_keeps_its_room() {
    for late_ms in [4_000, 8_000, 11_000] {
        let mut rig = cell();
        for id in [1, 2] {
            rig.workers[0].order_delay_ms = late_ms;
            rig.submit(id, BATCH, job(vec![step(1, 20, LONG_MS)]));
            rig.run_ms(START_MS);
            rig.workers[0].order_delay_ms = 0;
            rig.scheduler
                .cancel(10 + id, spec::JobId(id), mono(rig.now));
            rig.run_ms(STOP_MS);
        }
        restart_cut_off(&mut rig);
        rig.run_ms(12_000);
    }
}

/// Guards against a gang member that runs twice: its gang was stopped, because another member failed,
/// while its start was open, and the next run of the gang began elsewhere.
#[test]
fn a_start_that_is_open_when_its_gang_is_stopped_does_not_run_beside_the_next_run() {
    for late_ms in [3_000, 6_000, 11_000] {
        let mut rig = Rig::new(4);
        for number in [2, 3] {
            rig.deregister(number);
        }
        rig.run_ms(20_000);
        rig.workers[0].order_delay_ms = late_ms;
        rig.workers[1].fails_all_tasks = true;
        rig.submit(1, BATCH, job(vec![gang(2, 20, 200)]));
        rig.run_ms(START_MS);
        rig.workers[0].order_delay_ms = 0;
        rig.workers[1].fails_all_tasks = false;
        for number in [0, 1] {
            rig.workers[number].draining = true;
            rig.register(number);
        }
        for number in [2, 3] {
            rig.register(number);
        }
        rig.work_ms.insert((spec::JobId(1), 0), u64::from(LONG_MS));
        rig.run_ms(STOP_MS);
        restart_cut_off(&mut rig);
        assert_completed(&mut rig, 1, &format!("{late_ms} ms late"));
    }
}

/// Guards against a task that runs on a lost worker, from a late start of the last scheduler but one,
/// beside its next run: that placement is no recent one for the present scheduler.
#[test]
fn a_late_start_of_the_last_scheduler_but_one_does_not_run_beside_the_next_run() {
    for late_ms in [9_000, 11_000, 12_000] {
        for is_heard in [false, true] {
            let mut rig = cell();
            rig.workers[0].order_delay_ms = late_ms;
            rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
            rig.run_ms(START_MS);
            rig.workers[0].order_delay_ms = 0;
            rig.workers[0].draining = true;
            rig.workers[0].is_disconnected = !is_heard;
            rig.take_over_after_resignation();
            rig.run_ms(STOP_MS);
            rig.workers[0].is_disconnected = true;
            rig.take_over_after_resignation();
            restart_cut_off(&mut rig);
            let play = format!("{late_ms} ms late, heard: {is_heard}");
            assert_completed(&mut rig, 1, &play);
        }
    }
}

/// Guards against tasks that start elsewhere while a worker that is cut off still runs them. A late poll
/// of a former scheduler had renewed the lease of a new process just before its first report.
#[test]
fn a_late_poll_of_a_former_scheduler_renews_no_uncounted_lease() {
    for before_ms in [10, 50, 100, 200, 400] {
        for cut_after_ms in [5, 20, 60] {
            let mut rig = cell();
            rig.submit(1, BATCH, job(vec![step(1, 4, 1_500)]));
            rig.run_ms(400);
            rig.workers[0].poll_delay_ms = 11_000;
            rig.run_ms(800);
            rig.workers[0].poll_delay_ms = 0;
            let first_late_ms = rig.late_calls().min().expect("a late poll");
            rig.crash(0);
            rig.deregister(0);
            rig.take_over_after_resignation();
            rig.deregister(1);
            rig.run_ms(first_late_ms - rig.now - before_ms);
            rig.power_on(0);
            rig.workers[0].is_disconnected = true;
            rig.run_ms(before_ms + 5);
            rig.workers[0].is_disconnected = false;
            rig.submit(2, BATCH, job(vec![step(1, 4, LONG_MS)]));
            rig.register(0);
            let mut waited_ms = 0;
            while rig.starts_of(2).is_empty() && waited_ms < 3_000 {
                rig.run_ms(5);
                waited_ms += 5;
            }
            assert!(!rig.starts_of(2).is_empty(), "not started");
            rig.run_ms(cut_after_ms);
            rig.workers[0].is_disconnected = true;
            rig.register(1);
            let play = format!("{before_ms} ms before, cut after {cut_after_ms} ms");
            assert_completed(&mut rig, 2, &play);
        }
    }
}

/// Guards against a completed task that starts again in a new process: the room that is kept for a late
/// start of it was taken for a run that waits to start in place.
#[test]
fn a_completed_task_does_not_start_in_place() {
    let mut rig = cell();
    rig.workers[0].order_delay_ms = 11_000;
    rig.submit(1, BATCH, job(vec![step(2, 20, 200)]));
    rig.run_ms(STARTS_MS);
    rig.workers[0].order_delay_ms = 0;
    rig.run_ms(STOP_MS);
    let done: Vec<spec::TaskId> = rig
        .starts_of(1)
        .iter()
        .filter(|start| start.done)
        .map(|start| start.task)
        .collect();
    assert_eq!(done.len(), 1, "one of two tasks is done");
    rig.restart(0);
    rig.run_ms(STOP_MS);
    let starts = rig.starts_of(1);
    let again = starts.iter().filter(|start| start.task == done[0]);
    assert_eq!(again.count(), 1, "{:?} starts again", done[0]);
}

/// Guards against a worker that is never polled again: it restarts while no later revision of the store
/// is known, and then leaves a poll without an answer.
#[test]
fn a_lost_poll_of_a_process_that_cannot_be_fenced_yet_is_repeated() {
    let mut rig = cell();
    rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
    rig.run_ms(STARTS_MS);
    rig.store_down = true;
    // The first restart takes the last revision that is known, the second one finds no later one.
    for _ in 0..3 {
        rig.restart(0);
        rig.run_ms(STOP_MS);
    }
    rig.workers[0].is_disconnected = true;
    rig.run_ms(2_000);
    rig.workers[0].is_disconnected = false;
    rig.run_ms(1_000);
    rig.store_down = false;
    rig.run_ms(2_000);
    rig.submit(2, BATCH, job(vec![step(1, 4, 200)]));
    assert_completed(&mut rig, 2, "after the outage");
}

/// Guards against a worker that is stuck: as long as the acknowledgement of a run end is withheld, its
/// reports may hold as many ends as fit, and a start that was lost meanwhile keeps all of them from being
/// acknowledged.
#[test]
fn a_lost_start_on_a_worker_with_many_run_ends_is_repeated() {
    let mut rig = cell();
    rig.workers[0].order_delay_ms = 9_000;
    rig.submit(1, BATCH, job(vec![step(1, 2, 200)]));
    rig.run_ms(STARTS_MS);
    rig.workers[0].order_delay_ms = 0;
    rig.run_ms(STOP_MS);
    assert_eq!(rig.state(1), Some(State::Completed));
    rig.submit(2, BATCH, job(vec![step(600, 1, 20)]));
    assert!(rig.run_until(2, State::Completed, 9_000).is_some());
    assert!(
        rig.workers[0].ended.len() >= report::MAX_RUN_ENDS_PER_REPORT,
        "{} run ends are withheld",
        rig.workers[0].ended.len()
    );
    rig.submit(3, BATCH, job(vec![step(1, 4, 200)]));
    rig.workers[0].is_disconnected = true;
    rig.run_ms(300);
    rig.workers[0].is_disconnected = false;
    assert_completed(&mut rig, 3, "after the cut");
}

/// Guards against placements that are written and given up again and again on a new process that cannot
/// be used yet: its first report left out the runs in progress, as relays do.
#[test]
fn nothing_is_placed_on_a_process_that_has_only_sent_a_partial_report() {
    let mut rig = cell();
    rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
    rig.run_ms(STARTS_MS);
    rig.poll_answer_delay_ms = 450;
    rig.crash(0);
    rig.run_ms(200);
    rig.power_on(0);
    rig.run_ms(20);
    let target = action::Target {
        index: 0,
        id: "w00".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        fence: 1,
        sent_at: mono(rig.now),
    };
    let partial = report::Report {
        clock_ms: 15,
        started_at: Some(rig.workers[0].started_at),
        is_partial: true,
        ..report::Report::default()
    };
    let outcome = report::PollOutcome::Report(partial);
    rig.scheduler
        .on_poll_outcome(&target, outcome, mono(rig.now));
    rig.register(0);
    let former_records = rig.journal.len();
    rig.submit(2, BATCH, job(vec![step(1, 4, 200)]));
    rig.run_ms(400);
    let is_placement = |record: &&record::Record| matches!(record, record::Record::Placed { step, .. } if step.job == spec::JobId(2));
    let placements = rig.journal[former_records.min(rig.journal.len())..]
        .iter()
        .filter(is_placement)
        .count();
    assert!(placements <= 1, "{placements} placements of one task");
}

/// Guards against jobs that are never removed from the table and its checkpoints: a task whose last run
/// has failed, or ended after its job was cancelled, stayed placed on its worker.
#[test]
fn a_job_whose_last_run_has_failed_is_settled() {
    let mut rig = cell();
    rig.failing_jobs.insert(spec::JobId(1));
    rig.submit(1, BATCH, job(vec![step(1, 4, 200)]));
    let failed = rig.run_until(1, State::Failed, COMPLETION_LIMIT_MS);
    assert!(failed.is_some(), "the job does not fail");
    rig.run_ms(STOP_MS);
    let job = rig.scheduler.job_table().job(spec::JobId(1));
    assert!(job.is_none_or(Job::is_settled));
}

/// Guards against room that is free for others while a late start of a run may still take it: the job of
/// the run has failed for good, so that its task does not start again.
#[test]
fn a_late_start_of_a_failed_job_keeps_its_room() {
    let mut rig = cell();
    rig.failing_jobs.insert(spec::JobId(1));
    rig.submit(1, BATCH, job(vec![step(1, 20, 400)]));
    while count_ended(&rig, 1) < 2 {
        rig.run_ms(5);
    }
    rig.workers[0].order_delay_ms = 11_000;
    while rig.late_calls().count() < 2 {
        rig.run_ms(5);
    }
    rig.workers[0].order_delay_ms = 0;
    assert!(rig.run_until(1, State::Failed, 5_000).is_some());
    let used = rig.scheduler.fleet().at(0).used;
    assert_eq!(used.millicores, 20_000, "the room is free for others");
}

fn count_ended(rig: &Rig, id: u64) -> usize {
    let starts = rig.starts_of(id);
    starts.iter().filter(|at| at.ended_at.is_some()).count()
}

/// Guards against a copy of a start that is not waited for: a relay did not say that it made the start, so
/// that it is made once more, but the worker has reported the run meanwhile.
#[test]
fn a_start_that_is_made_again_after_its_run_was_reported_may_be_late() {
    let mut rig = cell();
    rig.workers[0].loses_answers = true;
    rig.submit(1, BATCH, job(vec![step(1, 4, LONG_MS)]));
    rig.run_ms(STOP_MS);
    let start = rig.starts_of(1)[0].clone();
    let run = &rig.scheduler.fleet().at(0).runs[&start.task];
    assert!(matches!(run.state, run::RunState::Running { .. }));
    assert!(!run.may_start_late(mono(rig.now)), "the start took effect");
    let now = mono(rig.now);
    let target = rig.scheduler.fleet().at(0).target(0, 1, now);
    let target = target.expect("a registered worker");
    rig.scheduler
        .on_start_repeated(&target, start.task, start.run, now);
    let unknown = report::OrderOutcome::Unknown;
    rig.scheduler
        .on_start(&target, start.task, start.run, unknown, now);
    let run = &rig.scheduler.fleet().at(0).runs[&start.task];
    assert!(run.may_start_late(mono(rig.now)));
}

/// Guards against a completed task that starts again: a late acknowledgement that was meant for the former
/// process has made a new one forget its end before the scheduler has heard of that process.
#[test]
fn a_late_acknowledgement_before_the_first_report_loses_no_completion() {
    let mut rig = cell();
    rig.submit(1, BATCH, job(vec![step(1, 4, 300)]));
    assert!(rig.run_until(1, State::Completed, 2_000).is_some());
    rig.workers[0].poll_delay_ms = 9_000;
    rig.run_ms(100);
    rig.workers[0].poll_delay_ms = 0;
    assert_eq!(rig.workers[0].ended.len(), 1, "acknowledgement under way");
    rig.run_ms(2_000);
    rig.workers[0].order_delay_ms = 4_000;
    rig.submit(2, BATCH, job(vec![step(1, 4, 200)]));
    rig.run_ms(START_MS);
    rig.workers[0].order_delay_ms = 0;
    restart_cut_off(&mut rig);
    rig.run_ms(8_000);
    rig.workers[0].is_disconnected = false;
    rig.register(0);
    assert_completed(&mut rig, 2, "after the cut");
}
