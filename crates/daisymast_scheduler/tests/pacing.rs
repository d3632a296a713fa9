//! Tests of the rate limits of placement passes and polls.

mod common;

use std::time::Duration;

use common::{BATCH, QUICK, Rig, job, step};
use daisymast_jobs::job::State;
use daisymast_scheduler::action::Action;
use daisymast_scheduler::constants;
use daisymast_scheduler::scheduler::Submission;

/// Guards against a scheduler that spends its processor time on passes over a backlog. At twice the
/// load of 350 workers each run end caused a pass over 170 waiting steps, which took 1.3 s of
/// processor time per second.
#[test]
fn a_backlog_does_not_cause_a_pass_for_each_event() {
    let mut rig = Rig::new(1);
    for id in 0..40 {
        rig.submit(id, BATCH, job(vec![step(4, 20, 3_000)]));
    }
    rig.run_ms(100);
    let pass_at = rig.now;
    rig.scheduler.tick(common::timestamp(pass_at));
    for after in 1..8 {
        let now = common::timestamp(pass_at + after);
        rig.scheduler.submit(
            100 + after,
            Submission::new(
                daisymast_jobs::spec::JobId(100 + after),
                BATCH.into(),
                job(vec![step(1, 20, 100)]),
            ),
            now,
        );
        rig.scheduler.run_pass(now.mono);
        let next = rig
            .scheduler
            .next_pass_at()
            .expect("the new step waits for a pass");
        assert!(next > now.mono, "after {after} ms");
        assert!(next - common::mono(pass_at) <= constants::MIN_PASS_INTERVAL);
    }
    rig.scheduler.run_pass(common::mono(pass_at + 8));
    assert_eq!(rig.scheduler.next_pass_at(), None);
    assert!(
        constants::MIN_PASS_INTERVAL <= Duration::from_millis(10),
        "the interval also delays urgent steps"
    );
}

/// Guards against a pause between passes that delays placement although nothing else waits.
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

/// Guards against a new scheduler that sends hundreds of calls at once. It answered no pings
/// meanwhile, and was replaced before it had confirmed its term.
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

/// Guards against steps that no worker can run and that keep all later ones from being considered:
/// each pass looked at the same 300 steps.
#[test]
fn steps_that_cannot_start_do_not_block_the_ones_behind_them() {
    let mut rig = Rig::new(2);
    for id in 0..400 {
        let mut impossible = step(1, 2, 200);
        impossible.requires = Some("label-of-no-worker".into());
        rig.submit(id, BATCH, job(vec![impossible]));
    }
    rig.submit(1_000, BATCH, job(vec![step(1, 2, 200)]));
    assert!(rig.run_until(1_000, State::Completed, 1_500).is_some());
}
