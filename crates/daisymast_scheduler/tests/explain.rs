//! Tests of the explanation of where a request or a job would go now.

mod common;

use common::{BATCH, GANGS, Rig, gang, job, mono, step};
use daisymast_jobs::spec;
use daisymast_scheduler::explanation::{Answer, Explanation, Reason, StepPlan, Subject, Verdict};

fn request(queue: &str, steps: Vec<spec::Step>) -> Subject {
    Subject::Request {
        queue: queue.into(),
        organisation: None,
        spec: job(steps),
    }
}

fn explained(rig: &Rig, subject: &Subject) -> Explanation {
    match rig.scheduler.explain(subject, mono(rig.now)) {
        Answer::Explained(explanation) => explanation,
        other => panic!("not explained: {other:?}"),
    }
}

fn plan(rig: &Rig, subject: &Subject) -> StepPlan {
    explained(rig, subject).steps.remove(0)
}

fn passed_over(plan: &StepPlan, reason: Reason) -> u32 {
    let counts = plan.passed_over.iter();
    counts
        .filter(|(at, _)| *at == reason)
        .map(|(_, count)| count)
        .sum()
}

/// Guards against an explanation that changes what happens next, or leaves a trace.
#[test]
fn an_explanation_changes_nothing() {
    let mut rig = Rig::new(4);
    for id in 1..=6 {
        rig.submit(id, BATCH, job(vec![gang(6, 12, 1_500), step(8, 4, 700)]));
    }
    rig.run_ms(300);
    let before = format!("{:?}", rig.scheduler);
    for subject in [
        request(BATCH, vec![step(40, 8, 900)]),
        request(GANGS, vec![gang(8, 20, 900)]),
        request("none", vec![step(1, 1, 1)]),
        Subject::Job(spec::JobId(6)),
        Subject::Job(spec::JobId(99)),
    ] {
        let first = rig.scheduler.explain(&subject, mono(rig.now));
        let second = rig.scheduler.explain(&subject, mono(rig.now));
        assert_eq!(first, second);
    }
    assert_eq!(format!("{:?}", rig.scheduler), before);
}

/// Guards against an explanation that differs from what the scheduler then does.
#[test]
fn a_request_starts_where_the_explanation_says() {
    let mut rig = Rig::new(4);
    rig.submit(1, BATCH, job(vec![step(3, 32, 5_000)]));
    rig.run_ms(100);
    let steps = vec![step(3, 8, 500)];
    let plan = plan(&rig, &request(BATCH, steps.clone()));
    assert_eq!(plan.verdict, Verdict::Starts);
    assert_eq!(plan.position, Some(1));
    assert_eq!(passed_over(&plan, Reason::NoRoom), 3);
    rig.submit(2, BATCH, job(steps));
    rig.run_ms(100);
    let started = rig.starts_of(2)[0].worker;
    assert_eq!(
        plan.starts,
        vec![(rig.workers[started].id.as_str().into(), 3)]
    );
}

/// Guards against a worker that is counted under a wrong reason, or twice.
#[test]
fn each_reason_to_pass_a_worker_over_is_counted_once() {
    let mut rig = Rig::new(7);
    rig.submit(1, BATCH, job(vec![step(1, 32, 60_000)]));
    rig.run_ms(100);
    let busy = rig.starts_of(1)[0].worker;
    let others: Vec<usize> = (0..7).filter(|&number| number != busy).collect();
    rig.deregister(others[0]);
    rig.workers[others[1]].draining = true;
    rig.register(others[1]);
    rig.workers[others[2]].is_disconnected = true;
    rig.submit(2, BATCH, job(vec![step(7, 20, 60_000)]));
    rig.run_ms(3_000);
    let mut labelled = step(1, 4, 500);
    let free = plan(&rig, &request(BATCH, vec![labelled.clone()]));
    assert_eq!(passed_over(&free, Reason::NotRegistered), 1, "{free:?}");
    assert_eq!(passed_over(&free, Reason::Draining), 1, "{free:?}");
    assert_eq!(passed_over(&free, Reason::NoAnswer), 1, "{free:?}");
    assert_eq!(passed_over(&free, Reason::NoRoom), 1, "{free:?}");
    assert_eq!(free.verdict, Verdict::Starts);
    labelled.requires = Some("ssd".into());
    let none = plan(&rig, &request(BATCH, vec![labelled]));
    assert_eq!(passed_over(&none, Reason::Label), 4, "{none:?}");
    assert_eq!(none.verdict, Verdict::NoRoom);
    let all: u32 = none.passed_over.iter().map(|(_, count)| count).sum();
    assert_eq!(all, 7, "each worker has one reason: {none:?}");
}

/// Guards against workers that the advice service has denied, and tickets that are missing.
#[test]
fn advice_that_is_missing_or_denied_is_told() {
    let mut rig = Rig::new(4);
    rig.allowed = ["none".to_owned()].into();
    let before = plan(&rig, &request(GANGS, vec![step(2, 8, 500)]));
    assert_eq!(before.verdict, Verdict::NeedsAdvice);
    rig.submit(1, GANGS, job(vec![step(2, 8, 500)]));
    rig.run_ms(3_000);
    let after = plan(&rig, &Subject::Job(spec::JobId(1)));
    assert_eq!(passed_over(&after, Reason::Denied), 4, "{after:?}");
}

/// Guards against steps that depend on others and are shown as if they could start, and against an
/// expected wait that ignores the runs.
#[test]
fn later_steps_and_full_workers_are_told() {
    let mut rig = Rig::new(2);
    rig.submit(1, BATCH, job(vec![step(2, 32, 2_000)]));
    rig.run_ms(500);
    let mut second = step(1, 8, 500);
    second.after = vec![0];
    let steps = explained(&rig, &request(BATCH, vec![step(1, 8, 500), second])).steps;
    assert_eq!(steps[0].verdict, Verdict::NoRoom);
    let wait = steps[0].expected_wait_ms.expect("an expected wait");
    assert!((1_300..=1_700).contains(&wait), "{wait} ms");
    assert_eq!(steps[1].verdict, Verdict::AfterOtherSteps);
}
