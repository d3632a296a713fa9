//! Caps of organisations. The rig checks from what the workers run that no start brings an organisation
//! above its cap.

mod common;

use common::organisations::{configuration, cores};
use common::{BATCH, GANGS, QUICK, Rig, gang, job, mono, step};
use daisymast_jobs::job::State;
use daisymast_jobs::spec;
use daisymast_scheduler::action::Answer;
use daisymast_scheduler::decision::Decision;

const PARTS: &str = "parts";
const YARD: &str = "yard";

/// One organisation with a cap of 16 of the 96 cores of three workers, and one without a narrow cap.
fn rig() -> Rig {
    Rig::with_organisations(3, &[(PARTS, 100.0, 16), (YARD, 100.0, 90)])
}

/// Submits a step that is three times as wide as the cap, and lets its first wave start.
fn fill_cap(rig: &mut Rig) {
    rig.submit_owned(1, PARTS, BATCH, job(vec![step(12, 4, 2_000)]));
    rig.run_ms(200);
    assert_eq!(rig.running_of(PARTS).millicores, 16_000);
}

/// Guards against a cap that leaves room unused, or that delays other organisations.
#[test]
fn a_step_wider_than_its_cap_runs_in_waves_beside_others() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.submit_owned(2, YARD, BATCH, job(vec![step(8, 8, 500)]));
    assert!(rig.run_until(2, State::Completed, 1_500).is_some());
    // Three waves of 2 s each.
    assert!(rig.run_until(1, State::Completed, 7_500).is_some());
}

/// Guards against many steps of an organisation at its cap taking all places of a pass.
#[test]
fn steps_at_their_cap_do_not_keep_others_from_being_tried() {
    let mut rig = rig();
    for id in 100..1_000 {
        rig.submit_owned(id, PARTS, QUICK, job(vec![step(1, 4, 9_000)]));
    }
    rig.run_ms(200);
    rig.submit_owned(1, YARD, BATCH, job(vec![step(4, 8, 100)]));
    assert!(rig.run_until(1, State::Completed, 500).is_some());
}

/// Guards against a part of a gang that starts within the cap and waits for the others in vain.
#[test]
fn a_gang_starts_whole_within_its_cap_or_not_at_all() {
    let mut rig = rig();
    rig.submit_owned(1, PARTS, BATCH, job(vec![step(2, 4, 1_500)]));
    rig.run_ms(200);
    rig.submit_owned(2, PARTS, GANGS, job(vec![gang(3, 4, 500)]));
    rig.run_ms(1_000);
    assert!(rig.starts_of(2).is_empty());
    assert!(
        rig.advice_requests.is_empty(),
        "advice for a step at its cap"
    );
    assert!(rig.run_until(2, State::Completed, 4_000).is_some());
    assert_eq!(rig.starts_of(2).len(), 3);
}

/// Guards against jobs that wait forever: a gang or a task that is larger than the cap never starts.
#[test]
fn a_job_that_its_cap_can_never_allow_is_refused_at_once() {
    let mut rig = rig();
    rig.submit_owned(1, PARTS, GANGS, job(vec![gang(5, 4, 500)]));
    rig.submit_owned(2, PARTS, BATCH, job(vec![step(1, 17, 500)]));
    rig.submit_owned(3, PARTS, BATCH, job(vec![step(5, 4, 100)]));
    rig.run_ms(100);
    let Answer::OverCap(over_cap) = rig.answers[&1] else {
        panic!("not refused: {:?}", rig.answers[&1]);
    };
    assert_eq!((over_cap.tasks, over_cap.cap), (5, cores(16)));
    assert!(matches!(rig.answers[&2], Answer::OverCap(_)));
    assert_eq!(rig.state(1), None);
    assert_eq!(rig.answers[&3], Answer::Accepted);
}

/// Guards against starts under the former cap, and against running tasks that are stopped for it. A
/// gang that was accepted waits for a higher cap, and a repeated submission of it is still accepted.
#[test]
fn a_lowered_cap_starts_nothing_until_it_is_kept() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.submit_owned(2, PARTS, GANGS, job(vec![gang(4, 4, 500)]));
    rig.run_ms(100);
    rig.configure(3, &[(PARTS, 100.0, 8), (YARD, 100.0, 90)]);
    rig.run_ms(1_000);
    assert_eq!(rig.starts_of(1).len(), 4, "a start above the lowered cap");
    assert_eq!(rig.running_of(PARTS).millicores, 16_000);
    assert!(rig.run_until(1, State::Completed, 9_000).is_some());
    rig.submit_owned(2, PARTS, GANGS, job(vec![gang(4, 4, 500)]));
    rig.run_ms(100);
    assert_eq!(rig.answers[&2], Answer::Accepted);
    assert_eq!(rig.state(2), Some(State::Queued));
    rig.configure(4, &[(PARTS, 100.0, 16), (YARD, 100.0, 90)]);
    assert!(rig.run_until(2, State::Completed, 3_000).is_some());
}

/// Guards against starts above a cap that was lowered while their placements were being stored.
#[test]
fn a_cap_that_is_lowered_before_placements_are_stored_holds_their_starts_back() {
    let mut rig = rig();
    rig.store_down = true;
    rig.submit_owned(1, PARTS, BATCH, job(vec![step(4, 4, 2_000)]));
    rig.run_ms(100);
    rig.configure(3, &[(PARTS, 100.0, 8), (YARD, 100.0, 90)]);
    rig.store_down = false;
    rig.run_ms(500);
    assert_eq!(rig.starts_of(1).len(), 2, "starts above the lowered cap");
    assert!(rig.run_until(1, State::Completed, 7_000).is_some());
}

/// Guards against jobs that wait forever, or run without a cap, after a configuration has dropped their
/// organisation, also over a change of the leader.
#[test]
fn jobs_of_a_dropped_organisation_go_on_within_its_last_cap() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.configure(3, &[(YARD, 100.0, 90)]);
    rig.run_ms(2_500);
    assert_eq!(rig.running_of(PARTS).millicores, 16_000);
    rig.take_over();
    assert!(rig.run_until(1, State::Completed, 20_000).is_some());
    rig.submit_owned(2, PARTS, BATCH, job(vec![step(1, 17, 100)]));
    rig.run_ms(100);
    assert!(matches!(rig.answers[&2], Answer::OverCap(_)));
}

/// Guards against a cap that is read as none: the leader does not know the organisation of a caller
/// whose node has a later configuration.
#[test]
fn a_job_of_an_organisation_that_the_leader_does_not_know_is_not_accepted() {
    let mut rig = rig();
    rig.submit_owned(1, "forge", BATCH, job(vec![step(1, 1, 100)]));
    rig.run_ms(10);
    assert_eq!(rig.answers[&1], Answer::UnknownQueue);
    assert_eq!(rig.state(1), None);
    rig.configure(3, &[("forge", 1.0, 4)]);
    rig.submit_owned(1, "forge", BATCH, job(vec![step(1, 1, 100)]));
    assert!(rig.run_until(1, State::Completed, 500).is_some());
}

/// Guards against a successor that raises a cap again which the former leader had lowered, because it
/// has read an older configuration.
#[test]
fn a_leader_with_an_older_configuration_keeps_the_stored_cap() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.configure(3, &[(PARTS, 100.0, 8), (YARD, 100.0, 90)]);
    rig.run_ms(500);
    rig.take_over_with(configuration(2, &[(PARTS, 100.0, 16), (YARD, 100.0, 90)]));
    assert!(rig.run_until(1, State::Completed, 20_000).is_some());
}

/// Guards against log lines and states that follow each end and start at the cap.
#[test]
fn reaching_and_leaving_a_cap_is_logged_once() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.run_ms(15_000);
    let caps = rig.log.iter().filter_map(|decision| match decision {
        Decision::Cap { reached, .. } => Some(*reached),
        _ => None,
    });
    assert_eq!(caps.collect::<Vec<_>>(), [true, false]);
}

// A failure while the cap is full, of each kind. The rig checks each start against the cap.

#[test]
fn the_cap_holds_when_the_leader_is_lost() {
    let mut rig = rig();
    fill_cap(&mut rig);
    for _ in 0..3 {
        rig.run_ms(700);
        rig.take_over();
    }
    assert!(rig.run_until(1, State::Completed, 30_000).is_some());
}

/// The successor learns of starts that the former leader sent and that got no answer from the journal.
#[test]
fn the_cap_holds_when_the_leader_is_lost_with_starts_unanswered() {
    let mut rig = rig();
    rig.workers[0].order_delay_ms = 3_000;
    rig.workers[1].loses_answers = true;
    rig.submit_owned(1, PARTS, BATCH, job(vec![step(12, 4, 2_000)]));
    rig.run_ms(100);
    rig.take_over();
    rig.run_ms(5_000);
    rig.workers[0].order_delay_ms = 0;
    rig.workers[1].loses_answers = false;
    assert!(rig.run_until(1, State::Completed, 60_000).is_some());
}

#[test]
fn the_cap_holds_when_a_worker_is_cut_off() {
    let mut rig = rig();
    fill_cap(&mut rig);
    let busy = rig
        .workers
        .iter()
        .position(|worker| !worker.runs.is_empty());
    rig.workers[busy.expect("a busy worker")].is_disconnected = true;
    rig.run_ms(8_000);
    rig.workers[busy.expect("a busy worker")].is_disconnected = false;
    assert!(rig.run_until(1, State::Completed, 30_000).is_some());
}

#[test]
fn the_cap_holds_when_a_worker_is_lost() {
    let mut rig = rig();
    fill_cap(&mut rig);
    let busy = rig
        .workers
        .iter()
        .position(|worker| !worker.runs.is_empty());
    rig.restart(busy.expect("a busy worker"));
    assert!(rig.run_until(1, State::Completed, 30_000).is_some());
}

#[test]
fn the_cap_holds_while_the_store_is_away() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.store_down = true;
    rig.run_ms(3_000);
    rig.store_down = false;
    assert!(rig.run_until(1, State::Completed, 30_000).is_some());
}

/// The successor has the configuration that the former leader has not seen yet.
#[test]
fn the_cap_holds_when_the_configuration_comes_late() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.publish(3, &[(PARTS, 100.0, 8), (YARD, 100.0, 90)]);
    rig.run_ms(400);
    rig.take_over();
    assert!(rig.run_until(1, State::Completed, 30_000).is_some());
}

/// Guards against an organisation without running tasks that still counts some, or the reverse, after
/// cancellations, lost leaders and workers.
#[test]
fn nothing_is_counted_once_all_runs_have_ended() {
    let mut rig = rig();
    fill_cap(&mut rig);
    rig.scheduler.cancel(9, spec::JobId(1), mono(rig.now));
    rig.take_over_after_resignation();
    rig.submit_owned(2, PARTS, BATCH, job(vec![step(12, 4, 2_000)]));
    rig.run_ms(1_000);
    rig.restart(0);
    assert!(rig.run_until(2, State::Completed, 40_000).is_some());
    rig.run_ms(20_000);
    assert_eq!(rig.scheduler.usage(&PARTS.into()).millicores, 0);
    assert_eq!(rig.scheduler.usage(&PARTS.into()).memory_mib, 0);
}

/// Guards against jobs beyond a rate that count as within it after a change of the leader, and against a
/// retry that changes the class of an accepted job.
#[test]
fn a_job_beyond_its_rate_keeps_its_class() {
    let mut rig = Rig::with_organisations(1, &[(PARTS, 2.0, 90)]);
    let is_over = |rig: &Rig, id: u64| {
        let job = rig.scheduler.job_table().job(spec::JobId(id));
        job.expect("the job").over_rate
    };
    let submit = |rig: &mut Rig, id: u64| {
        rig.submit_owned(id, PARTS, BATCH, job(vec![step(1, 32, 60_000)]));
    };
    for id in 1..=4 {
        submit(&mut rig, id);
    }
    rig.run_ms(2_000);
    submit(&mut rig, 4);
    submit(&mut rig, 5);
    let classes = |rig: &Rig| (1..=5).map(|id| is_over(rig, id)).collect::<Vec<_>>();
    assert_eq!(classes(&rig), [false, false, true, true, false]);
    rig.run_ms(100);
    rig.take_over();
    assert_eq!(classes(&rig), [false, false, true, true, false]);
}

/// Guards against a flood beyond a rate that grows without bound, refused callers who return together,
/// and a refusal of jobs that are accepted or lie within the rate.
#[test]
fn a_flood_beyond_the_rate_is_refused_with_times_to_come_back() {
    let mut rig = Rig::with_organisations(1, &[(PARTS, 4.0, 90), (YARD, 4.0, 90)]);
    let flood = 1..=400_u64;
    for id in flood.clone() {
        rig.submit_owned(id, PARTS, BATCH, job(vec![step(1, 32, 60_000)]));
    }
    rig.submit_owned(500, YARD, BATCH, job(vec![step(1, 1, 100)]));
    rig.submit_owned(1, PARTS, BATCH, job(vec![step(1, 32, 60_000)]));
    rig.run_ms(50);
    let retries: Vec<u64> = flood
        .filter_map(|id| match rig.answers[&id] {
            Answer::OverRate { retry_ms } => Some(retry_ms),
            _ => None,
        })
        .collect();
    assert_eq!(retries.len(), 400 - 4 - 120);
    assert_eq!(retries[..3], [250, 500, 750]);
    assert_eq!(rig.answers[&500], Answer::Accepted);
    assert_eq!(rig.answers[&1], Answer::Accepted);
    rig.run_ms(250);
    rig.submit_owned(501, PARTS, BATCH, job(vec![step(1, 32, 100)]));
    rig.run_ms(50);
    assert_eq!(rig.answers[&501], Answer::Accepted, "within the rate");
}
