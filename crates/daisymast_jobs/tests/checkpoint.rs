//! A checkpoint gives the jobs as the whole journal gave them.

use std::time::Duration;

use daisymast_jobs::book::{Book, ENDED_KEPT};
use daisymast_jobs::job::State;
use daisymast_jobs::record::{self, Record};
use daisymast_jobs::segments::{Kind, Segments};
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
    }
}

fn placed(job: JobId, step: u16, run: u32, index: u32) -> Record {
    Record::Placed {
        step: id(job, step),
        run,
        tasks: vec![(index, "w".into())],
    }
}

fn book(records: Vec<Record>) -> Book {
    let mut book = Book::default();
    for record in records {
        book.apply(record);
    }
    book.show_all();
    book
}

/// Writes a checkpoint and reads it behind records that it replaces.
fn reread(book: &mut Book, now: UnixMillis) -> Book {
    book.reduce(now);
    let bytes = record::encode(&book.checkpoint()).expect("a checkpoint");
    let mut records = vec![accepted(JobId(u64::MAX), 1)];
    records.extend(record::decode(&bytes).expect("a checkpoint"));
    self::book(records)
}

/// Any record that a scheduler writes about one of a few jobs.
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
    /// Guards against a takeover that begins from a checkpoint with other jobs, tasks, run numbers,
    /// attempts or states than the journal held.
    #[test]
    fn a_checkpoint_keeps_all_that_matters(records in prop::collection::vec(any_record(), 0..80)) {
        let whole = book(records);
        let mut reduced = whole.clone();
        let read = reread(&mut reduced, NOW);
        prop_assert_eq!(read.shown(JobId(u64::MAX)), None, "records before a checkpoint are replaced");
        for number in 0..4 {
            let job = JobId(number);
            prop_assert_eq!(read.shown(job), whole.shown(job));
            let Some(former) = whole.job(job) else { continue };
            match read.job(job) {
                Some(restored) => prop_assert_eq!(restored, former),
                None => prop_assert!(former.is_settled()),
            }
        }
    }
}

/// Guards against a job that runs again because its caller repeats the submission after a
/// checkpoint, and against ends that are kept for ever.
#[test]
fn an_ended_job_stays_known_for_a_while() {
    let job = JobId(1);
    let mut book = book(vec![accepted(job, 1), Record::Cancelled { job }]);
    let mut read = reread(&mut book, NOW);
    assert!(read.job(job).is_none(), "only its state is kept");
    assert_eq!(read.shown(job), Some(State::Cancelled));
    read.apply(accepted(job, 1));
    assert_eq!(read.shown(job), Some(State::Cancelled));
    let promised = Duration::from_secs(120).as_millis();
    let kept = u64::try_from(ENDED_KEPT.as_millis()).expect("a short time");
    assert!(u128::from(kept) > 2 * promised);
    let mut later = reread(&mut read, UnixMillis(NOW.0 + kept));
    assert_eq!(later.shown(job), Some(State::Cancelled));
    let gone = reread(&mut later, UnixMillis(NOW.0 + kept + 1));
    assert_eq!(gone.shown(job), None);
}

/// Guards against a run that is forgotten while it may hold room on a worker.
#[test]
fn an_ended_job_with_a_run_on_a_worker_is_kept_whole() {
    let job = JobId(1);
    let mut book = book(vec![
        accepted(job, 1),
        placed(job, 0, 1, 0),
        Record::Cancelled { job },
    ]);
    let read = reread(&mut book, NOW);
    let task = read
        .job(job)
        .and_then(|known| known.task(id(job, 0).task(0)));
    assert_eq!(task.map(|task| task.run), Some(1));
}

/// Guards against a journal that grows without bound, as it did before: a node of a tenth of a core
/// took seconds to read it after all nodes had been off.
#[test]
fn the_journal_stays_within_a_few_checkpoints() {
    let mut segments = Segments::default();
    let mut stored: std::collections::BTreeMap<u64, usize> = std::collections::BTreeMap::new();
    for _ in 0..5_000 {
        let next = segments.next();
        if segments.is_checkpoint_due() {
            stored.insert(next, 90_000);
            segments.checkpointed(1, 90_000);
        } else {
            let garbage = segments.garbage();
            for number in garbage.clone() {
                stored.remove(&number);
            }
            stored.insert(next, 3_000);
            segments.appended(3_000);
            segments.removed(garbage.end);
        }
        let total: usize = stored.values().sum();
        assert!(total < 600_000, "{total} bytes in {} batches", stored.len());
    }
    // A replay of what is stored goes on with the same numbers.
    let mut replayed = Segments::default();
    for (&number, &bytes) in &stored {
        let kind = if bytes == 90_000 {
            Kind::Checkpoint
        } else {
            Kind::Records
        };
        replayed.found(number, bytes, kind);
    }
    assert_eq!(replayed.next(), segments.next());
    assert_eq!(replayed.garbage(), segments.garbage());
}

/// Guards against a new scheduler that writes a checkpoint before it has confirmed its term: the others
/// took it for one without a store. The parts of a large checkpoint counted as records.
#[test]
fn a_new_scheduler_begins_with_small_commits() {
    let mut replayed = Segments::default();
    replayed.found(7, 400_000, Kind::Checkpoint);
    replayed.found(8, 400_000, Kind::CheckpointPart);
    replayed.found(9, 900_000, Kind::Records);
    for _ in 0..20 {
        assert!(!replayed.is_checkpoint_due());
        replayed.appended(3_000);
    }
    for _ in 0..20 {
        replayed.appended(3_000);
    }
    assert!(replayed.is_checkpoint_due());
    let mut large = Segments::default();
    large.found(7, 400_000, Kind::Checkpoint);
    large.found(8, 400_000, Kind::CheckpointPart);
    for _ in 0..200 {
        large.appended(3_000);
    }
    assert!(
        !large.is_checkpoint_due(),
        "less was written than the checkpoint holds"
    );
}
