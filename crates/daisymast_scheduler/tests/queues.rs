//! Tests of jobs on queues that the scheduler's configuration does not name, as nodes do not get a
//! new configuration at the same instant.

mod common;

use std::sync::Arc;

use common::{Rig, config, job, mono, queue, step, timestamp};
use daisymast_jobs::job::State;
use daisymast_jobs::record::Record;
use daisymast_jobs::spec::JobId;
use daisymast_scheduler::action::Answer;
use daisymast_scheduler::config::Configuration;

const SURVEYS: &str = "surveys";

/// A configuration that adds the queue.
fn with_surveys() -> Arc<Configuration> {
    let mut config = (*config()).clone();
    config.version += 1;
    config.queues.push(queue(SURVEYS, 1, false));
    Arc::new(config)
}

/// Guards against a job that is accepted and never runs, because the scheduler learns of its queue
/// only later (review/4).
#[test]
fn an_accepted_job_on_a_new_queue_runs() {
    let mut rig = Rig::new(3);
    rig.submit(1, SURVEYS, job(vec![step(2, 1, 300)]));
    rig.run_ms(400);
    rig.scheduler.configure(with_surveys(), mono(rig.now));
    let completed = rig.run_until(1, State::Completed, 2_000).is_some();
    assert_eq!(rig.answers[&1] == Answer::Accepted, completed);
}

/// Guards against callers that wait for their deadline, or get a false acceptance, when the
/// scheduler does not know the queue and the node does not send its settings.
#[test]
fn a_job_on_an_unknown_queue_is_rejected_at_once() {
    let mut rig = Rig::new(3);
    rig.submit(1, SURVEYS, job(vec![step(2, 1, 300)]));
    rig.run_ms(20);
    assert_eq!(rig.answers[&1], Answer::UnknownQueue);
    assert_eq!(rig.state(1), None);
    rig.scheduler.configure(with_surveys(), mono(rig.now));
    rig.run_ms(1_000);
    assert!(rig.starts_of(1).is_empty());
    rig.submit(1, SURVEYS, job(vec![step(2, 1, 300)]));
    assert!(rig.run_until(1, State::Completed, 2_000).is_some());
}

/// Guards against a queue that is lost with the scheduler that got its settings from another node,
/// and with it the rest of its jobs.
#[test]
fn a_job_with_the_settings_of_its_queue_runs_without_the_configuration() {
    for takeover_ms in [0, 30, 200, 700] {
        let mut rig = Rig::new(3);
        rig.scheduler.add_queue(queue(SURVEYS, 1, false));
        let mut second = step(3, 2, 300);
        second.after = vec![0];
        rig.submit(1, SURVEYS, job(vec![step(2, 1, 300), second]));
        rig.run_ms(takeover_ms);
        if rig.answers.contains_key(&1) {
            rig.take_over();
        }
        assert!(rig.run_until(1, State::Completed, 4_000).is_some());
        assert_eq!(rig.starts_of(1).len(), 5, "takeover after {takeover_ms} ms");
    }
}

/// Guards against jobs that an earlier release has accepted on a queue that it did not know. They
/// have to start once a configuration names the queue.
#[test]
fn jobs_of_the_journal_on_an_unknown_queue_start_with_its_configuration() {
    let mut rig = Rig::new(3);
    let steps = vec![step(2, 1, 300)];
    rig.work_ms.insert((JobId(1), 0), 300);
    rig.journal.push(Record::Accepted {
        job: JobId(1),
        queue: SURVEYS.into(),
        spec: job(steps),
        at: timestamp(rig.now).wall,
        organisation: None,
        over_rate: false,
    });
    rig.take_over();
    rig.run_ms(1_000);
    assert!(rig.starts_of(1).is_empty());
    rig.scheduler.configure(with_surveys(), mono(rig.now));
    assert!(rig.run_until(1, State::Completed, 2_000).is_some());
    rig.scheduler.configure(with_surveys(), mono(rig.now));
    rig.run_ms(1_000);
    assert_eq!(rig.starts_of(1).len(), 2);
}
