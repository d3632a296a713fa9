//! Guards against checkers that miss violations or report false ones: each checker must report an
//! invalid trace, and must accept the valid trace where a test has one.

use daisymast_matrix::checkers::{self, Bounds};
use daisymast_matrix::trace::{Seen, Trace};
use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_protocol::task::{Kind, TaskSpec, TaskState};
use daisymast_types::ids::{
    Generation, InstanceId, JobName, RequestId, RunKey, TaskKey, Team, WorkerId,
};
use daisymast_types::quantities::{Resources, Urgency};

const SETTLED: Bounds = Bounds { settled_ms: 10_000 };

fn spec(job: &str, index: u32, attempt: u32) -> TaskSpec {
    TaskSpec {
        key: TaskKey {
            run: RunKey(1),
            index,
            attempt,
        },
        job: JobName::from(job),
        team: Team::from("crews"),
        kind: Kind::Batch,
        urgency: Urgency::Normal,
        size: Resources::new(2_000, 1_024, 0),
        exclusive: true,
        run_ms: 1_000,
    }
}

fn joined(worker: &str) -> Seen {
    Seen::WorkerJoined {
        worker: WorkerId::from(worker),
        capacity: Resources::new(4_000, 4_096, 0),
    }
}

fn started(worker: &str, spec: TaskSpec) -> Seen {
    Seen::TaskStarted {
        worker: WorkerId::from(worker),
        spec,
    }
}

fn ended(worker: &str, key: TaskKey) -> Seen {
    Seen::TaskEnded {
        worker: WorkerId::from(worker),
        key,
        state: TaskState::Succeeded,
    }
}

fn asked(id: &str, idempotent: bool) -> Seen {
    Seen::CallerAsked {
        instance: InstanceId::from("entry-1"),
        id: RequestId::from(id),
        service: JobName::from("quotes"),
        idempotent,
        body: "plaza 7".to_owned(),
    }
}

fn served(worker: &str, id: &str) -> Seen {
    Seen::RequestStarted {
        worker: WorkerId::from(worker),
        id: RequestId::from(id),
    }
}

fn answered(id: &str, reply: CallerReply) -> Seen {
    Seen::CallerAnswered {
        instance: InstanceId::from("entry-1"),
        id: RequestId::from(id),
        reply,
    }
}

fn done(id: &str, body: &str) -> CallerReply {
    CallerReply::Done {
        id: RequestId::from(id),
        body: body.to_owned(),
    }
}

fn not_run(id: &str) -> CallerReply {
    CallerReply::NotRun {
        id: RequestId::from(id),
        reason: NotRunReason::NoEndpoint,
        retry_after_ms: None,
    }
}

fn rules(events: Vec<Seen>, bounds: &Bounds) -> Vec<&'static str> {
    let mut trace = Trace::default();
    for (index, seen) in events.into_iter().enumerate() {
        trace.push(index as u64 * 1_000, seen);
    }
    checkers::check(&trace, bounds)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn capacity_reports_an_overcommitted_worker() {
    let within_capacity = vec![
        joined("w-1"),
        started("w-1", spec("survey", 0, 1)),
        started("w-1", spec("survey", 1, 1)),
    ];
    assert!(rules(within_capacity.clone(), &Bounds::default()).is_empty());
    let mut broken = within_capacity;
    broken.push(started("w-1", spec("survey", 2, 1)));
    assert_eq!(rules(broken, &Bounds::default()), ["capacity"]);
}

#[test]
fn exclusive_reports_a_task_on_two_workers() {
    let first = spec("survey", 0, 1);
    let ordered = vec![
        joined("w-1"),
        joined("w-2"),
        started("w-1", first.clone()),
        ended("w-1", first.key),
        started("w-2", spec("survey", 0, 2)),
    ];
    assert!(rules(ordered, &Bounds::default()).is_empty());
    let broken = vec![
        joined("w-1"),
        joined("w-2"),
        started("w-1", first),
        started("w-2", spec("survey", 0, 2)),
    ];
    assert_eq!(rules(broken, &Bounds::default()), ["exclusive"]);
}

#[test]
fn answers_report_an_answer_to_another_request() {
    let own = vec![
        asked("q-1", true),
        served("w-1", "q-1"),
        answered("q-1", done("q-1", "quotes:q-1:plaza 7")),
    ];
    assert!(rules(own, &Bounds::default()).is_empty());
    let misdirected = vec![
        asked("q-1", true),
        served("w-1", "q-1"),
        answered("q-1", done("q-1", "quotes:q-2:plaza 9")),
    ];
    assert_eq!(rules(misdirected, &Bounds::default()), ["own answer"]);
}

#[test]
fn answers_report_a_second_and_a_missing_answer() {
    let twice = vec![
        asked("q-1", true),
        answered("q-1", not_run("q-1")),
        answered("q-1", not_run("q-1")),
    ];
    assert_eq!(rules(twice, &Bounds::default()), ["one answer"]);
    assert_eq!(
        rules(vec![asked("q-1", true)], &Bounds::default()),
        ["one answer"]
    );
}

#[test]
fn answers_report_a_second_start_of_a_non_idempotent_request() {
    let starts = |idempotent| {
        vec![
            asked("i-1", idempotent),
            served("w-1", "i-1"),
            served("w-2", "i-1"),
            answered("i-1", done("i-1", "quotes:i-1:plaza 7")),
        ]
    };
    assert!(rules(starts(true), &Bounds::default()).is_empty());
    assert_eq!(rules(starts(false), &Bounds::default()), ["at most once"]);
}

#[test]
fn answers_report_not_run_for_a_request_started_before_or_after_it() {
    let before = vec![
        asked("q-1", true),
        served("w-1", "q-1"),
        answered("q-1", not_run("q-1")),
    ];
    assert_eq!(rules(before, &Bounds::default()), ["true not run"]);
    let after = vec![
        asked("q-1", true),
        answered("q-1", not_run("q-1")),
        served("w-1", "q-1"),
    ];
    assert_eq!(rules(after, &Bounds::default()), ["true not run"]);
}

#[test]
fn graceful_stop_reports_an_unanswered_request() {
    let entry = InstanceId::from("entry-1");
    let broken = vec![asked("q-1", true), Seen::Drained { instance: entry }];
    assert!(rules(broken, &Bounds::default()).contains(&"graceful stop"));
}

#[test]
fn leaving_reports_work_started_after_the_time_limit() {
    let events = |wait: usize| {
        let mut events = vec![
            joined("w-1"),
            Seen::WorkerLeaving {
                worker: WorkerId::from("w-1"),
            },
        ];
        events.extend((0..wait).map(|_| joined("w-2")));
        events.push(started("w-1", spec("survey", 0, 1)));
        events
    };
    assert!(rules(events(1), &Bounds::default()).is_empty());
    assert_eq!(rules(events(3), &Bounds::default()), ["leaving"]);
}

#[test]
fn configuration_reports_a_revert_a_stale_instance_and_an_undeclared_task() {
    let entry = InstanceId::from("entry-1");
    let in_force = |value| Seen::InForce {
        instance: entry.clone(),
        generation: Generation(value),
    };
    let accept = |value, names: &[&str]| Seen::Accepted {
        generation: Generation(value),
        declared: names.iter().copied().map(JobName::from).collect(),
    };
    assert_eq!(
        rules(vec![in_force(2), in_force(1)], &Bounds::default()),
        ["no revert"]
    );
    assert_eq!(
        rules(vec![in_force(1), accept(2, &[])], &SETTLED),
        ["in force"]
    );
    let undeclared = vec![
        joined("w-1"),
        started("w-1", spec("survey", 0, 1)),
        accept(1, &["quotes"]),
    ];
    assert_eq!(rules(undeclared, &SETTLED), ["undeclared stops"]);
}
