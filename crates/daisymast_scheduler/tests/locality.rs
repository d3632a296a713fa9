//! Tests of waits for places near the data of a step, or on one rack for a gang.

mod common;

use common::{BATCH, QUICK, Rig, gang, job, mono, step};
use daisymast_jobs::{job::State, spec};
use daisymast_scheduler::{decision::Decision, locality};

/// Run time of the step that names its data, near it, in milliseconds.
const WORK_MS: u32 = 2_000;
/// Number of workers near the data, `w00` and `w01`; the others are on another rack.
const NEAR: usize = 2;
/// Number of tasks that fill them.
const NEAR_TASKS: u32 = 2;

/// Creates six workers of 32 cores, two of them on rack `r1`.
fn rig_with_factor(far_factor: f64) -> Rig {
    let mut rig = Rig::new(6);
    rig.locality = locality::Locality::new(far_factor);
    for worker in rig.workers.iter_mut().skip(NEAR) {
        worker.rack = "r2";
    }
    rig.take_over_after_resignation();
    rig.run_ms(100);
    rig
}

/// Occupies the workers near the data with tasks of a run time.
fn occupy_near(rig: &mut Rig, id: u64, work_ms: u32) {
    rig.submit(id, BATCH, job(vec![near(NEAR_TASKS, 32, work_ms)]));
    rig.run_ms(100);
    assert!(near_starts(rig, id) == NEAR, "{:?}", rig.starts);
}

fn near(tasks: u32, cores: u32, work_ms: u32) -> spec::Step {
    spec::Step {
        rack: Some("r1".into()),
        ..step(tasks, cores, work_ms)
    }
}

fn near_starts(rig: &Rig, id: u64) -> usize {
    let starts = rig.starts_of(id);
    starts.iter().filter(|start| start.worker < NEAR).count()
}

/// Returns the outcomes of the waits of a job, and how long they took.
fn waits(rig: &Rig, id: u64) -> Vec<(locality::Outcome, u64)> {
    let closed = rig.log.iter().filter_map(|decision| match decision {
        Decision::PlaceWaitClosed {
            job,
            outcome,
            waited_ms,
            ..
        } if job.0 == id => Some((*outcome, *waited_ms)),
        _ => None,
    });
    closed.collect()
}

/// Guards against a task that starts far from its data although a near place is free soon.
#[test]
fn a_task_waits_for_a_near_place_that_is_free_soon() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 600);
    rig.submit(2, BATCH, job(vec![near(2, 32, WORK_MS)]));
    let ended = rig.run_until(2, State::Completed, 4_000);
    assert_eq!(near_starts(&rig, 2), 2, "{:?}", rig.starts_of(2));
    assert!(ended.is_some(), "the job did not end near its data in time");
    assert_eq!(waits(&rig, 2)[0].0, locality::Outcome::Paid);
}

/// Guards against tasks of which all wait for a few places, while the others could start.
#[test]
fn only_as_many_tasks_wait_as_places_become_free() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 600);
    rig.submit(2, BATCH, job(vec![near(4, 32, WORK_MS)]));
    rig.run_ms(100);
    assert_eq!(rig.starts_of(2).len(), 2, "{:?}", rig.starts_of(2));
    rig.run_ms(1_000);
    assert_eq!(near_starts(&rig, 2), 2, "{:?}", rig.starts_of(2));
}

/// Guards against a wait that takes longer than it saves.
#[test]
fn a_task_does_not_wait_for_a_near_place_that_is_free_too_late() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 4_000);
    rig.submit(2, BATCH, job(vec![near(1, 8, WORK_MS)]));
    rig.run_ms(100);
    assert_eq!(rig.starts_of(2).len(), 1);
    assert!(waits(&rig, 2).is_empty());
}

/// Guards against a wait without end where runs take longer than declared, and against waiting again
/// and again on such a rack. A wait there is worse than none.
#[test]
fn waits_end_and_become_rare_where_places_do_not_become_free() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 500);
    for worker in &mut rig.workers[..NEAR] {
        for run in worker.runs.values_mut() {
            run.ends_at += 60_000;
            run.own_work_ms += 60_000;
        }
    }
    let mut waited = 0;
    for id in 2..12 {
        rig.submit(id, BATCH, job(vec![near(1, 8, WORK_MS)]));
        rig.run_ms(1_200);
        assert_eq!(rig.starts_of(id).len(), 1, "job {id} has not started");
        waited += waits(&rig, id)
            .iter()
            .map(|(_, waited)| waited)
            .sum::<u64>();
    }
    assert!(waited < 1_500, "ten tasks waited {waited} ms in vain");
}

/// Guards against a gang whose members wait one by one, and against one that starts spread over racks
/// just before a rack is free for all of it.
#[test]
fn a_gang_waits_once_for_all_its_members() {
    let mut rig = rig_with_factor(1.5);
    rig.submit(1, BATCH, job(vec![step(6, 20, 600)]));
    rig.run_ms(100);
    let together = spec::Step {
        same_rack: true,
        ..gang(6, 8, WORK_MS)
    };
    rig.submit(2, BATCH, job(vec![together]));
    rig.run_ms(100);
    assert!(rig.starts_of(2).is_empty(), "{:?}", rig.starts_of(2));
    rig.run_ms(900);
    let on_near_rack = near_starts(&rig, 2);
    assert_eq!(rig.starts_of(2).len(), 6, "the gang has not started");
    assert!(matches!(on_near_rack, 0 | 6), "{:?}", rig.starts_of(2));
    assert_eq!(waits(&rig, 2).len(), 1);
}

/// Guards against a wait that makes a job late which would be on time far from its data, and against a
/// late job that waits.
#[test]
fn a_wait_leaves_the_job_on_time() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 600);
    // Declared 100 ms, the job is due 700 ms after it came. Nothing can be saved within the slack.
    rig.submit(2, QUICK, job(vec![near(1, 8, 100)]));
    rig.run_ms(50);
    assert_eq!(
        rig.starts_of(2).len(),
        1,
        "an urgent task without slack waited"
    );
}

/// Guards against waiting for a rack that no worker names, and for workers that shut down.
#[test]
fn a_task_waits_for_no_place_that_cannot_come() {
    let mut rig = rig_with_factor(1.5);
    let mut unknown = near(1, 8, WORK_MS);
    unknown.rack = Some("nowhere".into());
    rig.submit(1, BATCH, job(vec![unknown]));
    rig.run_ms(50);
    assert_eq!(rig.starts_of(1).len(), 1, "waited for an unknown rack");

    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 2, 600);
    rig.submit(3, BATCH, job(vec![near(1, 32, WORK_MS)]));
    rig.run_ms(100);
    assert!(rig.starts_of(3).is_empty(), "{:?}", rig.starts_of(3));
    for number in 0..NEAR {
        rig.workers[number].draining = true;
        rig.register(number);
    }
    rig.run_ms(100);
    assert_eq!(rig.starts_of(3).len(), 1, "waited for workers that drain");
    assert_eq!(waits(&rig, 3)[0].0, locality::Outcome::Lost);
}

/// Guards against far workers that stay empty because other steps wait for near places.
#[test]
fn other_steps_start_far_away_while_a_step_waits() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 600);
    rig.submit(2, BATCH, job(vec![near(2, 32, WORK_MS)]));
    rig.submit(3, BATCH, job(vec![step(4, 32, 500)]));
    rig.run_ms(100);
    assert_eq!(rig.starts_of(3).len(), 4, "{:?}", rig.starts_of(3));
    assert!(rig.starts_of(2).is_empty());
}

/// Guards against a task that starts twice, or waits for longer than the bound, when something fails
/// while it waits.
#[test]
fn a_wait_survives_failures() {
    type Fault = fn(&mut Rig);
    let faults: [(&str, Fault); 4] = [
        ("leader lost", |rig| rig.take_over_after_resignation()),
        ("worker lost", |rig| rig.crash(0)),
        ("store away", |rig| {
            rig.store_down = true;
            rig.run_ms(1_500);
            rig.store_down = false;
        }),
        ("start unanswered", |rig| {
            for worker in &mut rig.workers[..NEAR] {
                worker.loses_answers = true;
            }
        }),
    ];
    for (name, fault) in faults {
        let mut rig = rig_with_factor(1.5);
        occupy_near(&mut rig, 1, 600);
        rig.submit(2, BATCH, job(vec![near(2, 32, WORK_MS)]));
        rig.run_ms(100);
        assert!(rig.starts_of(2).is_empty(), "{name}: no wait was open");
        fault(&mut rig);
        rig.run_ms(2_500);
        let tasks: std::collections::BTreeSet<u32> = rig
            .starts_of(2)
            .iter()
            .map(|start| start.task.index)
            .collect();
        assert_eq!(tasks.len(), 2, "{name}: {:?}", rig.starts_of(2));
        let waited: u64 = waits(&rig, 2).iter().map(|(_, waited)| waited).sum();
        assert!(waited <= 2_100, "{name}: waited {waited} ms");
        let ended = rig.run_until(2, State::Completed, 20_000);
        assert!(ended.is_some(), "{name}: the job did not end");
    }
}

/// Guards against waits in cells where distance does not matter.
#[test]
fn no_step_waits_with_a_factor_of_one() {
    let mut rig = rig_with_factor(1.0);
    occupy_near(&mut rig, 1, 600);
    rig.submit(2, BATCH, job(vec![near(2, 32, WORK_MS)]));
    rig.run_ms(50);
    assert_eq!(rig.starts_of(2).len(), 2);
    assert_eq!(
        rig.scheduler.locality().counts(),
        locality::Counts::default()
    );
    assert!(rig.scheduler.locality().next_end().is_none());
}

/// Guards against a pass that comes long after a wait has ended, because nothing else happens.
#[test]
fn the_end_of_a_wait_asks_for_a_pass() {
    let mut rig = rig_with_factor(1.5);
    occupy_near(&mut rig, 1, 600);
    rig.submit(2, BATCH, job(vec![near(1, 32, WORK_MS)]));
    rig.run_ms(100);
    let wait_end = rig.scheduler.locality().next_end();
    assert!(wait_end.is_some_and(|end| end > mono(rig.now)));
    let pass = rig.scheduler.next_pass_at();
    assert!(
        pass <= wait_end,
        "the pass comes at {pass:?}, after {wait_end:?}"
    );
}
