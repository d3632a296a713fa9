//! Tests of the choice between records and a checkpoint for the next commit.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::batch_index::BatchIndex;
use daisymast_jobs::job::Job;
use daisymast_jobs::job_table::JobTable;
use daisymast_jobs::queue::Queue;
use daisymast_jobs::record::{self, Record};
use daisymast_jobs::spec::{JobId, JobSpec, Step};
use daisymast_node::batch::{self, Batch};
use daisymast_node::constants;
use daisymast_scheduler::config::Configuration;
use daisymast_scheduler::scheduler::{Scheduler, Submission, Term};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

const NOW: Timestamp = Timestamp {
    wall: UnixMillis(1_000_000),
    mono: Monotonic::from_millis(1_000),
};
/// Number of open jobs whose checkpoint is too large for one commit.
const TOO_MANY_JOBS: u64 = 3_000;
/// Length of the payload of a job, the longest that callers may submit.
const PAYLOAD_BYTES: usize = 4_000;
/// Number of batches between two checkpoints that could not be written.
const MIN_BATCHES_BETWEEN_ATTEMPTS: usize = 20;

fn spec() -> JobSpec {
    JobSpec {
        payload: "p".repeat(PAYLOAD_BYTES),
        steps: vec![Step {
            tasks: 1,
            ..Step::default()
        }],
        schedule: None,
    }
}

fn queue() -> Queue {
    Queue {
        name: "q".into(),
        host: "h".to_owned(),
        prefix: "/q/".to_owned(),
        service: "s".into(),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        latency_ms: 500.0,
        advice: None,
        public: false,
    }
}

/// A scheduler with a number of open jobs.
fn scheduler(jobs: u64) -> Scheduler {
    let mut job_table = JobTable::default();
    for number in 0..jobs {
        job_table.insert(JobId(number), Job::new("q".into(), spec(), NOW.wall));
    }
    let config = Configuration {
        version: 1,
        queues: vec![queue()],
        services: Vec::new(),
        organisations: None,
    };
    let max_lease = Duration::from_secs(6);
    let term = Term {
        number: 1,
        orders_end: NOW.mono,
        max_lease,
    };
    Scheduler::resume(Arc::new(config), job_table, term, NOW)
}

/// An index for which a checkpoint is due.
fn due_index() -> BatchIndex {
    let mut batches = BatchIndex::default();
    while !batches.is_checkpoint_due() {
        batches.on_appended(10_000);
    }
    batches
}

/// Accepts a further job and takes the batch that stores it.
fn next(scheduler: &mut Scheduler, batches: &mut BatchIndex, job: u64) -> Batch {
    let submission = Submission::new(JobId(job), "q".into(), spec());
    scheduler.submit(job, submission, NOW);
    batch::next_batch(scheduler, batches).expect("records to write")
}

fn store(scheduler: &mut Scheduler, batches: &mut BatchIndex) {
    scheduler.committed(NOW.mono);
    batches.on_appended(PAYLOAD_BYTES);
}

/// Guards against a leader that encodes a checkpoint of ten megabytes for each batch and writes none.
/// All events of the scheduler wait while it does.
#[test]
fn a_checkpoint_that_is_too_large_is_not_encoded_for_each_batch() {
    let mut scheduler = scheduler(TOO_MANY_JOBS);
    let parts = record::encode_checkpoint(&scheduler.checkpoint(), constants::MAX_BATCH_BYTES)
        .expect("valid parts");
    assert!(parts.len() > constants::MAX_CHECKPOINT_PARTS);
    let mut batches = due_index();
    for number in 0..MIN_BATCHES_BETWEEN_ATTEMPTS {
        let job = TOO_MANY_JOBS + u64::try_from(number).expect("a small number");
        let Batch::Records(records) = next(&mut scheduler, &mut batches, job) else {
            panic!("a checkpoint of {} parts", parts.len());
        };
        let accepted =
            |record: &Record| matches!(record, Record::Accepted { job: id, .. } if id.0 == job);
        assert!(records.iter().any(accepted), "job {job} is not stored");
        store(&mut scheduler, &mut batches);
        assert!(
            !batches.is_checkpoint_due(),
            "due again after batch {number}"
        );
    }
}

/// Guards against a journal that goes on growing once enough jobs have ended.
#[test]
fn a_checkpoint_is_written_once_it_fits() {
    let mut scheduler = scheduler(TOO_MANY_JOBS);
    let mut batches = due_index();
    assert!(matches!(
        next(&mut scheduler, &mut batches, TOO_MANY_JOBS),
        Batch::Records(_)
    ));
    store(&mut scheduler, &mut batches);
    for job in 0..TOO_MANY_JOBS {
        scheduler.cancel(job, JobId(job), NOW.mono);
    }
    let mut batches_until_checkpoint = 0;
    for job in TOO_MANY_JOBS + 1..TOO_MANY_JOBS + 100 {
        match next(&mut scheduler, &mut batches, job) {
            Batch::Records(_) => store(&mut scheduler, &mut batches),
            Batch::Checkpoint { parts, .. } => {
                assert!(parts.len() <= constants::MAX_CHECKPOINT_PARTS);
                return;
            }
        }
        batches_until_checkpoint += 1;
    }
    panic!("no checkpoint after {batches_until_checkpoint} batches");
}
