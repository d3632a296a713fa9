//! The checker sees each broken promise that the soak looks for.

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

/// Events in turn, a millisecond apart, and what callers saw of one job of two steps.
struct Session {
    begun: Instant,
    events: Vec<worker::Event>,
    seen: clients::Seen,
}

impl Session {
    fn new() -> Self {
        let step = fixtures::Step {
            tasks: 2,
            millicores: 3_000,
            work_ms: 100,
            gang: false,
        };
        Self {
            begun: Instant::now(),
            events: Vec::new(),
            seen: clients::Seen {
                steps: vec![step, step],
                ..clients::Seen::default()
            },
        }
    }

    fn then(
        mut self,
        worker: usize,
        task: spec::TaskId,
        run: u32,
        kind: worker::EventKind,
    ) -> Self {
        let count = u64::try_from(self.events.len()).expect("a few events");
        self.events.push(worker::Event {
            at: self.begun + Duration::from_millis(count),
            worker,
            incarnation: 1,
            task,
            run,
            kind,
        });
        self
    }

    /// A run that is done and whose end is noted.
    fn done(self, worker: usize, task: spec::TaskId, run: u32) -> Self {
        self.then(worker, task, run, worker::EventKind::Started)
            .then(worker, task, run, worker::EventKind::Done)
            .then(worker, task, run, worker::EventKind::Acknowledged)
    }

    fn broken(self) -> Vec<String> {
        let book = BTreeMap::from([(JOB, self.seen)]);
        check::broken(&check::History {
            events: &self.events,
            book: &book,
            calm: self.begun,
            late_orders: false,
        })
    }

    fn assert_broken(self, part: &str) {
        let broken = self.broken();
        let found = broken.iter().any(|line| line.contains(part));
        assert!(found, "{part} is not among {broken:?}");
    }
}

fn completed() -> Session {
    let mut session = Session::new()
        .done(0, task(0, 0), 1)
        .done(1, task(0, 1), 1)
        .done(0, task(1, 0), 1)
        .done(1, task(1, 1), 1);
    session.seen.accepted = Some(session.begun);
    session.seen.completed = Some(session.begun);
    session
}

/// Guards against a checker that complains of a run in which all promises were kept.
#[test]
fn a_whole_job_breaks_nothing() {
    assert_eq!(completed().broken(), Vec::<String>::new());
}

/// Guards against each kind of broken promise that the checker would not see.
#[test]
fn each_broken_promise_is_seen() {
    use worker::EventKind;
    let twice = Session::new()
        .then(0, task(0, 0), 1, EventKind::Started)
        .then(1, task(0, 0), 2, EventKind::Started);
    twice.assert_broken("runs twice");
    let full = Session::new()
        .then(0, task(0, 0), 1, EventKind::Started)
        .then(0, task(0, 1), 1, EventKind::Started)
        .then(0, task(1, 1), 1, EventKind::Started);
    full.assert_broken("millicores");
    let order = Session::new()
        .done(0, task(0, 0), 1)
        .then(0, task(1, 0), 1, EventKind::Started);
    order.assert_broken("starts after 1 of 2 tasks");
    completed()
        .then(0, task(0, 0), 2, EventKind::Started)
        .assert_broken("started again");
    let mut refused = Session::new().then(0, task(0, 0), 1, EventKind::Started);
    refused.seen.refused = true;
    refused.assert_broken("was refused");
    let mut unknown = Session::new().then(0, task(0, 0), 1, EventKind::Started);
    unknown.events[0].task.step.job = spec::JobId(8);
    unknown.assert_broken("never submitted");
    let mut lost = Session::new();
    lost.seen.accepted = Some(lost.begun);
    lost.assert_broken("is not completed");
    let mut early = Session::new().done(0, task(0, 0), 1);
    early.seen.accepted = Some(early.begun);
    early.seen.completed = Some(early.begun);
    early.assert_broken("is completed with 1 tasks");
    let mut cancelled = Session::new().then(0, task(0, 0), 1, EventKind::Started);
    cancelled.seen.cancelled = Some(cancelled.begun);
    cancelled.events[0].at += Duration::from_secs(4);
    cancelled.assert_broken("after its cancel");
    let mut wrong = Session::new();
    wrong.seen.wrong.push("410 after its acceptance".to_owned());
    wrong.assert_broken("410");
}

/// Guards against an end that was not noted and counts against a later run.
#[test]
fn a_run_after_an_end_that_was_lost_with_its_worker_is_allowed() {
    use worker::EventKind;
    let session = Session::new()
        .then(0, task(0, 0), 1, EventKind::Started)
        .then(0, task(0, 0), 1, EventKind::Done)
        .done(1, task(0, 0), 2);
    // The second end is noted, but not the first.
    let broken = session.broken();
    assert!(
        broken.iter().all(|line| !line.contains("started again")),
        "{broken:?}"
    );
}
