//! Tests that replaying the journal restores the jobs.

use daisymast_jobs::job::{Job, State};
use daisymast_jobs::job_table::JobTable;
use daisymast_jobs::record::{self, Record};
use daisymast_jobs::spec::{JobId, JobSpec, Schedule, Step, StepId};
use daisymast_types::time::UnixMillis;
use proptest::prelude::*;

fn accepted(job: JobId, steps: Vec<Step>, schedule: Option<Schedule>) -> Record {
    Record::Accepted {
        job,
        queue: "q".into(),
        spec: JobSpec {
            payload: "p".to_owned(),
            steps,
            schedule,
        },
        at: UnixMillis(5),
        organisation: None,
        over_rate: false,
    }
}

fn step(tasks: u32) -> Step {
    Step {
        tasks,
        ..Step::default()
    }
}

fn id(job: JobId, step: u16) -> StepId {
    StepId {
        job,
        occurrence: 0,
        step,
    }
}

fn replay(records: Vec<Record>) -> JobTable {
    let bytes = record::encode(&records).expect("valid batch");
    let mut job_table = JobTable::default();
    for record in record::decode(&bytes).expect("valid batch") {
        job_table.apply(record);
    }
    job_table
}

/// Guards against a job that is reported as completed while a task is open, or never is.
#[test]
fn job_completes_only_when_all_tasks_are_done() {
    let job = JobId(1);
    let mut records = vec![accepted(job, vec![step(2), step(1)], None)];
    let done = [id(job, 0).task(0), id(job, 0).task(1), id(job, 1).task(0)];
    for (count, task) in done.into_iter().enumerate() {
        let state = replay(records.clone()).job(job).map(Job::state);
        assert_ne!(state, Some(State::Completed), "after {count} tasks");
        records.push(Record::Done { task });
        // After a change of scheduler the same end may be recorded again.
        records.push(Record::Done { task });
    }
    let state = replay(records).job(job).map(Job::state);
    assert_eq!(state, Some(State::Completed));
}

/// Guards against a failed attempt that counts twice when a new scheduler records the same end
/// again.
#[test]
fn repeated_failure_record_counts_once() {
    let job = JobId(1);
    let task = id(job, 0).task(0);
    let failed = |run| Record::Failed { task, run };
    let job_table = replay(vec![
        accepted(job, vec![step(1)], None),
        failed(1),
        failed(1),
        failed(3),
        failed(2),
    ]);
    let failures = job_table
        .job(job)
        .and_then(|job| job.task(task))
        .map(|task| task.failures);
    assert_eq!(failures, Some(2));
}

/// Guards against a run number that is used again after a change of scheduler.
#[test]
fn run_numbers_survive_replay() {
    let job = JobId(1);
    let job_table = replay(vec![
        accepted(job, vec![step(1)], None),
        Record::Placed {
            step: id(job, 0),
            run: 4,
            tasks: vec![(0, "w".into())],
        },
    ]);
    let task = id(job, 0).task(0);
    let run = job_table
        .job(job)
        .and_then(|job| job.task(task))
        .map(|task| task.run);
    assert_eq!(run, Some(4));
    assert_eq!(job_table.job(job).map(Job::state), Some(State::Running));
}

/// Guards against a recurring job that completes before its last occurrence.
#[test]
fn recurring_job_stays_open_until_its_last_occurrence() {
    let job = JobId(1);
    let schedule = Schedule {
        start_ms: 0,
        interval_ms: 10,
        count: 2,
    };
    let mut job_table = replay(vec![accepted(job, vec![step(1)], Some(schedule))]);
    let entry = job_table.job_mut(job).expect("job exists");
    for occurrence in 0..2 {
        assert_ne!(entry.state(), State::Completed);
        entry.start_occurrence(occurrence);
        let step = StepId {
            job,
            occurrence,
            step: 0,
        };
        entry.mark_task_done(step.task(0));
    }
    assert_eq!(entry.state(), State::Completed);
}

proptest! {
    /// Guards against records that change when they are encoded and decoded, and against a panic on
    /// bytes that are not a batch.
    #[test]
    fn batches_round_trip_through_encoding(jobs in prop::collection::vec((any::<u64>(), 1_u32..50, any::<u32>()), 0..20), noise in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut records = Vec::new();
        for (number, tasks, run) in jobs {
            let job = JobId(number);
            records.push(accepted(job, vec![step(tasks)], None));
            records.push(Record::Placed { step: id(job, 0), run, tasks: vec![(0, "w".into())] });
            records.push(Record::GangDone { step: id(job, 0) });
        }
        let bytes = record::encode(&records).expect("valid batch");
        prop_assert_eq!(record::decode(&bytes).expect("valid batch"), records);
        let _ = record::decode(&noise);
    }
}
