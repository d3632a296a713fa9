//! Tests that a checkpoint restores the same jobs as the journal that it replaces.

use std::time::Duration;

use daisymast_jobs::batch_index::{BatchIndex, BatchKind};
use daisymast_jobs::job::State;
use daisymast_jobs::job_table::{ENDED_RETENTION, JobTable};
use daisymast_jobs::record::{self, Record};
use daisymast_jobs::spec::{JobId, JobSpec, Step, StepId};
use daisymast_types::time::UnixMillis;
use proptest::prelude::*;

const NOW: UnixMillis = UnixMillis(1_000_000);

fn id(job: JobId, step: u16) -> StepId {
    StepId {
        job,
        occurrence: 0,
        step,
    }
}

fn accepted(job: JobId, tasks: u32) -> Record {
    let step = Step {
        tasks,
        ..Step::default()
    };
    Record::Accepted {
        job,
        queue: "q".into(),
        spec: JobSpec {
            payload: "p".to_owned(),
            steps: vec![step.clone(), step],
            schedule: None,
        },
        at: UnixMillis(5),
        organisation: None,
        over_rate: false,
    }
}

fn placed(job: JobId, step: u16, run: u32, index: u32) -> Record {
    Record::Placed {
        step: id(job, step),
        run,
        tasks: vec![(index, "w".into())],
    }
}

fn job_table(records: Vec<Record>) -> JobTable {
    let mut job_table = JobTable::default();
    for record in records {
        job_table.apply(record);
    }
    job_table.mark_all_committed();
    job_table
}

/// Compacts the table, encodes a checkpoint, and replays it after a record that it must replace.
fn replay_checkpoint(job_table: &mut JobTable, now: UnixMillis) -> JobTable {
    job_table.compact(now);
    let bytes = record::encode(&job_table.checkpoint()).expect("valid checkpoint");
    let mut records = vec![accepted(JobId(u64::MAX), 1)];
    records.extend(record::decode(&bytes).expect("valid checkpoint"));
    self::job_table(records)
}

/// Generates any record that a scheduler writes, about one of a few jobs.
fn any_record() -> impl Strategy<Value = Record> {
    (0_u64..4, 0_u16..2, 0_u32..3, 1_u32..5, 0_u8..7).prop_map(|(job, step, index, run, kind)| {
        let job = JobId(job);
        let task = id(job, step).task(index);
        match kind {
            0 => accepted(job, 3),
            1 | 2 => placed(job, step, run, index),
            3 => Record::Done { task },
            4 => Record::Failed { task, run },
            5 => Record::GaveUp { job },
            _ => Record::Cancelled { job },
        }
    })
}

proptest! {
    /// Guards against a checkpoint that loses or changes jobs, tasks, run numbers, attempts or
    /// states, which a new scheduler would then start from.
    #[test]
    fn checkpoint_preserves_open_jobs_and_final_states(records in prop::collection::vec(any_record(), 0..80)) {
        let original = job_table(records);
        let mut reduced = original.clone();
        let replayed = replay_checkpoint(&mut reduced, NOW);
        prop_assert_eq!(replayed.committed_state(JobId(u64::MAX)), None, "records before a checkpoint must be discarded");
        for number in 0..4 {
            let job = JobId(number);
            prop_assert_eq!(replayed.committed_state(job), original.committed_state(job));
            let Some(expected) = original.job(job) else { continue };
            match replayed.job(job) {
                Some(restored) => prop_assert_eq!(restored, expected),
                None => prop_assert!(expected.is_settled()),
            }
        }
    }
}

/// Guards against a job that runs again when its caller repeats the submission after a checkpoint,
/// and against final states that are kept forever.
#[test]
fn ended_job_state_is_kept_for_the_retention_period() {
    let job = JobId(1);
    let mut job_table = job_table(vec![accepted(job, 1), Record::Cancelled { job }]);
    let mut replayed = replay_checkpoint(&mut job_table, NOW);
    assert!(
        replayed.job(job).is_none(),
        "only the final state must be kept"
    );
    assert_eq!(replayed.committed_state(job), Some(State::Cancelled));
    replayed.apply(accepted(job, 1));
    assert_eq!(replayed.committed_state(job), Some(State::Cancelled));
    let promised_ms = Duration::from_secs(120).as_millis();
    let kept = u64::try_from(ENDED_RETENTION.as_millis()).expect("fits into u64");
    assert!(u128::from(kept) > 2 * promised_ms);
    let mut later = replay_checkpoint(&mut replayed, UnixMillis(NOW.0 + kept));
    assert_eq!(later.committed_state(job), Some(State::Cancelled));
    let gone = replay_checkpoint(&mut later, UnixMillis(NOW.0 + kept + 1));
    assert_eq!(gone.committed_state(job), None);
}

/// Guards against another organisation that learns of an ended job after a checkpoint, and against
/// records of jobs without organisation that an earlier release cannot read.
#[test]
fn the_organisation_of_an_ended_job_is_kept() {
    let ended = |organisation: Option<&str>| {
        let mut record = accepted(JobId(1), 1);
        if let Record::Accepted {
            organisation: owner,
            ..
        } = &mut record
        {
            *owner = organisation.map(Into::into);
        }
        let mut job_table = job_table(vec![record, Record::Cancelled { job: JobId(1) }]);
        let replayed = replay_checkpoint(&mut job_table, NOW);
        assert!(replayed.job(JobId(1)).is_none(), "only its end is kept");
        let bytes = record::encode(&job_table.checkpoint()).expect("valid checkpoint");
        (replayed.owner(JobId(1)).cloned(), bytes.len())
    };
    let (owner, bytes) = ended(Some("parts"));
    assert_eq!(owner, Some("parts".into()));
    assert_eq!(ended(None), (None, bytes - "parts".len() - 1));
}

/// Guards against losing track of a run that may still occupy resources on a worker.
#[test]
fn ended_job_with_a_placed_task_is_not_compacted() {
    let job = JobId(1);
    let mut job_table = job_table(vec![
        accepted(job, 1),
        placed(job, 0, 1, 0),
        Record::Cancelled { job },
    ]);
    let replayed = replay_checkpoint(&mut job_table, NOW);
    let task = replayed
        .job(job)
        .and_then(|known| known.task(id(job, 0).task(0)));
    assert_eq!(task.map(|task| task.run), Some(1));
}

/// Guards against a journal that grows without bound. A node with a tenth of a core then takes
/// seconds to read it after all nodes have been down.
#[test]
fn journal_size_stays_bounded() {
    let mut index = BatchIndex::default();
    let mut stored: std::collections::BTreeMap<u64, usize> = std::collections::BTreeMap::new();
    for _ in 0..5_000 {
        let next = index.next();
        if index.is_checkpoint_due() {
            stored.insert(next, 90_000);
            index.on_checkpointed(1, 90_000);
        } else {
            let garbage = index.garbage();
            for number in garbage.clone() {
                stored.remove(&number);
            }
            stored.insert(next, 3_000);
            index.on_appended(3_000);
            index.on_removed(garbage.end);
        }
        let total: usize = stored.values().sum();
        assert!(total < 600_000, "{total} bytes in {} batches", stored.len());
    }
    // Replaying what is stored must continue with the same batch numbers.
    let mut replayed = BatchIndex::default();
    for (&number, &bytes) in &stored {
        let kind = if bytes == 90_000 {
            BatchKind::Checkpoint
        } else {
            BatchKind::Records
        };
        replayed.on_replayed(number, bytes, kind);
    }
    assert_eq!(replayed.next(), index.next());
    assert_eq!(replayed.garbage(), index.garbage());
}

/// Guards against a new scheduler that writes a checkpoint before it has confirmed its term: the
/// delay makes the other nodes assume that it cannot reach the store. This happened when the parts
/// of a large checkpoint counted as ordinary records.
#[test]
fn new_scheduler_delays_its_first_checkpoint() {
    let mut replayed = BatchIndex::default();
    replayed.on_replayed(7, 400_000, BatchKind::Checkpoint);
    replayed.on_replayed(8, 400_000, BatchKind::CheckpointPart);
    replayed.on_replayed(9, 900_000, BatchKind::Records);
    for _ in 0..20 {
        assert!(!replayed.is_checkpoint_due());
        replayed.on_appended(3_000);
    }
    for _ in 0..20 {
        replayed.on_appended(3_000);
    }
    assert!(replayed.is_checkpoint_due());
    let mut large = BatchIndex::default();
    large.on_replayed(7, 400_000, BatchKind::Checkpoint);
    large.on_replayed(8, 400_000, BatchKind::CheckpointPart);
    for _ in 0..200 {
        large.on_appended(3_000);
    }
    assert!(
        !large.is_checkpoint_due(),
        "fewer bytes were written than the checkpoint holds"
    );
}

/// Size of a part that a checkpoint is split into, in bytes.
const PART_BYTES: usize = 400_000;

/// Guards against a part that is larger than a value of the store may be. Parts had equal numbers of
/// records, and all large jobs are among the last ones: no leader could write a checkpoint, and none
/// went on without one (review/7).
#[test]
fn no_part_of_a_checkpoint_is_larger_than_asked_for() {
    for large_jobs in [1, 8, 40] {
        for small_jobs in [0, 500, 5_000] {
            let mut records = Vec::new();
            for number in 0..small_jobs {
                let job = JobId(1_000 + number);
                records.push(accepted(job, 1));
                records.push(Record::Cancelled { job });
            }
            for number in 0..large_jobs {
                records.push(accepted(JobId(number), 10_000));
                let tasks = (0..10_000)
                    .map(|index| (index, "i-0123456789".into()))
                    .collect();
                records.push(Record::Placed {
                    step: id(JobId(number), 0),
                    run: 1,
                    tasks,
                });
            }
            let mut job_table = job_table(records);
            job_table.compact(NOW);
            let checkpoint = job_table.checkpoint();
            let parts = record::encode_checkpoint(&checkpoint, PART_BYTES).expect("valid parts");
            let largest = parts.iter().map(Vec::len).max().expect("a part");
            assert!(
                largest <= PART_BYTES,
                "{large_jobs} large jobs: {largest} bytes"
            );
            let mut read = Vec::new();
            for (number, part) in parts.iter().enumerate() {
                let mut batch = record::decode(part).expect("a valid part");
                if number > 0 {
                    assert_eq!(batch.remove(0), Record::CheckpointPart);
                }
                read.append(&mut batch);
            }
            assert_eq!(read, checkpoint);
        }
    }
}
