//! Tests of the soak's checker for violated guarantees.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisymast_jobs::spec;
use daisymast_soak::{check, clients};
use daisymast_stand_in::{fixtures, worker};

const JOB: spec::JobId = spec::JobId(7);

fn task(step: u16, index: u32) -> spec::TaskId {
    let step = spec::StepId {
        job: JOB,
        occurrence: 0,
        step,
    };
    step.task(index)
}

/// Events one millisecond apart, and the observations of callers about one job of two steps.
struct Scenario {
    start: Instant,
    events: Vec<worker::Event>,
    observed: clients::JobObservation,
}

impl Scenario {
    fn new() -> Self {
        let step = fixtures::Step {
            tasks: 2,
            millicores: 3_000,
            work_ms: 100,
            gang: false,
        };
        Self {
            start: Instant::now(),
            events: Vec::new(),
            observed: clients::JobObservation {
                steps: vec![step, step],
                ..clients::JobObservation::default()
            },
        }
    }

    fn event(
        mut self,
        worker: usize,
        task: spec::TaskId,
        run: u32,
        kind: worker::EventKind,
    ) -> Self {
        let count = u64::try_from(self.events.len()).expect("a few events");
        self.events.push(worker::Event {
            at: self.start + Duration::from_millis(count),
            worker,
            incarnation: 1,
            task,
            run,
            kind,
        });
        self
    }

    /// Adds a completed run whose end is acknowledged.
    fn done(self, worker: usize, task: spec::TaskId, run: u32) -> Self {
        self.event(worker, task, run, worker::EventKind::Started)
            .event(worker, task, run, worker::EventKind::Done)
            .event(worker, task, run, worker::EventKind::Acknowledged)
    }

    fn violations(self) -> Vec<String> {
        let observations = BTreeMap::from([(JOB, self.observed)]);
        check::violations(&check::History {
            events: &self.events,
            observations: &observations,
            faults_ended: self.start,
            delayed_orders: false,
        })
    }

    fn assert_violation(self, expected: &str) {
        let violations = self.violations();
        let found = violations.iter().any(|line| line.contains(expected));
        assert!(found, "{expected} is not among {violations:?}");
    }
}

fn completed() -> Scenario {
    let mut scenario = Scenario::new()
        .done(0, task(0, 0), 1)
        .done(1, task(0, 1), 1)
        .done(0, task(1, 0), 1)
        .done(1, task(1, 1), 1);
    scenario.observed.accepted = Some(scenario.start);
    scenario.observed.completed = Some(scenario.start);
    scenario
}

/// Guards against a checker that reports violations in a correct history.
#[test]
fn a_correct_history_has_no_violations() {
    assert_eq!(completed().violations(), Vec::<String>::new());
}

/// Guards against a kind of violation that the checker does not detect.
#[test]
fn each_kind_of_violation_is_detected() {
    use worker::EventKind;
    let concurrent = Scenario::new()
        .event(0, task(0, 0), 1, EventKind::Started)
        .event(1, task(0, 0), 2, EventKind::Started);
    concurrent.assert_violation("runs twice");
    let overcommitted = Scenario::new()
        .event(0, task(0, 0), 1, EventKind::Started)
        .event(0, task(0, 1), 1, EventKind::Started)
        .event(0, task(1, 1), 1, EventKind::Started);
    overcommitted.assert_violation("millicores");
    let step_order =
        Scenario::new()
            .done(0, task(0, 0), 1)
            .event(0, task(1, 0), 1, EventKind::Started);
    step_order.assert_violation("started after 1 of 2 tasks");
    completed()
        .event(0, task(0, 0), 2, EventKind::Started)
        .assert_violation("started again");
    let mut refused = Scenario::new().event(0, task(0, 0), 1, EventKind::Started);
    refused.observed.refused = true;
    refused.assert_violation("was refused");
    let mut unknown = Scenario::new().event(0, task(0, 0), 1, EventKind::Started);
    unknown.events[0].task.step.job = spec::JobId(8);
    unknown.assert_violation("never submitted");
    let mut unfinished = Scenario::new();
    unfinished.observed.accepted = Some(unfinished.start);
    unfinished.assert_violation("has not completed");
    let mut incomplete = Scenario::new().done(0, task(0, 0), 1);
    incomplete.observed.accepted = Some(incomplete.start);
    incomplete.observed.completed = Some(incomplete.start);
    incomplete.assert_violation("reported completed with 1 tasks");
    let mut cancelled = Scenario::new().event(0, task(0, 0), 1, EventKind::Started);
    cancelled.observed.cancelled = Some(cancelled.start);
    cancelled.events[0].at += Duration::from_secs(4);
    cancelled.assert_violation("after the cancellation");
    let mut unexpected = Scenario::new();
    unexpected
        .observed
        .unexpected
        .push("status 410 after the job was accepted".to_owned());
    unexpected.assert_violation("410");
}

/// Guards against a checker that reports a rerun as a violation although the end of the first run
/// was lost with its worker, before the scheduler acknowledged it.
#[test]
fn a_rerun_after_an_unacknowledged_end_is_allowed() {
    use worker::EventKind;
    let scenario = Scenario::new()
        .event(0, task(0, 0), 1, EventKind::Started)
        .event(0, task(0, 0), 1, EventKind::Done)
        .done(1, task(0, 0), 2);
    // Only the second end is acknowledged.
    let violations = scenario.violations();
    assert!(
        violations
            .iter()
            .all(|line| !line.contains("started again")),
        "{violations:?}"
    );
}

/// Guards against a checker that takes a run for active until its worker noticed the end: a start
/// elsewhere just after a lease expired would be reported on a busy machine.
#[test]
fn an_end_that_is_logged_late_counts_from_its_time() {
    use worker::EventKind;
    let mut scenario = Scenario::new()
        .event(0, task(0, 0), 1, EventKind::Started)
        .event(1, task(0, 0), 2, EventKind::Started)
        .event(0, task(0, 0), 1, EventKind::Ended);
    scenario.events[1].at += Duration::from_millis(10);
    assert_eq!(scenario.violations(), Vec::<String>::new());
}
