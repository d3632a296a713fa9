//! How often a long queue is looked through.

mod common;

use std::time::Duration;

use common::{BATCH, QUICK, Rig, job, step};
use daisymast_jobs::job::State;
use daisymast_scheduler::action::Action;
use daisymast_scheduler::constants;

/// Guards against a scheduler that spends its processor on passes over a backlog: at twice the load of
/// 350 workers each end of a task led to a pass over 170 waiting steps, 1.3 s of processor time a
/// second.
#[test]
fn a_backlog_does_not_cause_a_pass_for_each_event() {
    let mut rig = Rig::new(1);
    for id in 0..40 {
        rig.submit(id, BATCH, job(vec![step(4, 20, 3_000)]));
    }
    rig.run_ms(100);
    let begun = rig.now;
    rig.scheduler.tick(common::timestamp(begun));
    for after in 1..8 {
        let now = common::timestamp(begun + after);
        rig.scheduler.submit(
            100 + after,
            daisymast_jobs::spec::JobId(100 + after),
            BATCH.into(),
            job(vec![step(1, 20, 100)]),
            now,
        );
        rig.scheduler.run_pass(now.mono);
        let due = rig
            .scheduler
            .next_pass_at()
            .expect("the new step waits for a pass");
        assert!(due > now.mono, "after {after} ms");
        assert!(due - common::mono(begun) <= constants::MIN_PASS_INTERVAL);
    }
    rig.scheduler.run_pass(common::mono(begun + 8));
    assert_eq!(rig.scheduler.next_pass_at(), None);
    assert!(
        constants::MIN_PASS_INTERVAL <= Duration::from_millis(10),
        "urgent steps wait as long"
    );
}

/// Guards against a pause that delays work while nothing else waits.
#[test]
fn a_job_is_placed_at_once_while_few_steps_wait() {
    let mut rig = Rig::new(3);
    for id in 0..10 {
        rig.submit(id, QUICK, job(vec![step(1, 2, 200)]));
        rig.scheduler.run_pass(common::mono(rig.now));
        assert_eq!(rig.scheduler.next_pass_at(), None);
    }
    for id in 0..10 {
        assert!(rig.run_until(id, State::Completed, 1_000).is_some());
    }
}

/// Guards against a new scheduler that sends hundreds of calls at once: it answered no ping meanwhile
/// and was replaced before it had confirmed its term.
#[test]
fn a_new_scheduler_limits_concurrent_polls() {
    let take_polls = |rig: &mut Rig| {
        let actions = rig.scheduler.take_actions();
        let is_poll = |action: &&Action| matches!(action, Action::PollWorker { .. });
        actions.iter().filter(is_poll).count()
    };
    let mut rig = Rig::new(350);
    rig.take_over();
    rig.scheduler.tick(common::timestamp(rig.now));
    assert_eq!(take_polls(&mut rig), constants::MAX_INITIAL_POLLS);
    rig.scheduler.tick(common::timestamp(rig.now + 50));
    assert_eq!(take_polls(&mut rig), 0, "none was answered yet");
    let mut rig = Rig::new(350);
    rig.take_over();
    rig.run_ms(200);
    rig.submit(1, QUICK, job(vec![step(350, 32, 200)]));
    assert!(rig.run_until(1, State::Completed, 1_000).is_some());
}
