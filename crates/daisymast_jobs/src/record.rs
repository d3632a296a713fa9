//! Journal records. What they say has happened before anything that depends on it is done.

use daisymast_types::ids;
use daisymast_types::time;
use serde::{Deserialize, Serialize};

use crate::job;
use crate::queue;
use crate::spec;

/// What is kept of a job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// Its final state.
    pub state: job::State,
    /// When it was reduced to its state.
    pub at: time::UnixMillis,
}

/// One change of a job, as the journal keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Terms of a queue with which its next jobs are accepted. They outlast the queue itself, as its
    /// accepted jobs still have to be finished.
    Queue {
        /// The terms.
        terms: queue::Queue,
    },
    /// Speed that was learned of a worker, so that a takeover does not forget it.
    Speed {
        /// The worker.
        worker: ids::WorkerId,
        /// Its speed against the declared run times, in thousandths.
        permille: u32,
    },
    /// A job was accepted.
    Accepted {
        /// Its id.
        job: spec::JobId,
        /// Queue that took it.
        queue: ids::QueueName,
        /// Its content.
        spec: spec::JobSpec,
        /// When it was accepted.
        at: time::UnixMillis,
    },
    /// Tasks of a step were given workers; their starts are sent afterwards.
    Placed {
        /// The step.
        step: spec::StepId,
        /// Run number that all of them use.
        run: u32,
        /// Positions of the tasks and their workers.
        tasks: Vec<(u32, ids::WorkerId)>,
    },
    /// A task is done.
    Done {
        /// The task.
        task: spec::TaskId,
    },
    /// A gang is done.
    GangDone {
        /// Its step.
        step: spec::StepId,
    },
    /// A run of a task failed through its own fault or that of its worker.
    Failed {
        /// The task; for a gang, any of its tasks.
        task: spec::TaskId,
        /// The run.
        run: u32,
    },
    /// A task of the job has used up its attempts.
    GaveUp {
        /// The job.
        job: spec::JobId,
    },
    /// A caller cancelled the job.
    Cancelled {
        /// The job.
        job: spec::JobId,
    },
    /// The records that follow in the same commit replace all earlier ones.
    Checkpoint,
    /// Begins each further part of a checkpoint that takes several keys.
    CheckpointPart,
    /// Jobs that had ended by a checkpoint in the same way.
    Ended {
        /// How they ended.
        ended: Ended,
        /// The jobs.
        jobs: Vec<spec::JobId>,
    },
    /// A job as it was at a checkpoint.
    Restored {
        /// Its id.
        job: spec::JobId,
        /// All that is known of it.
        content: Box<job::Job>,
    },
}

impl Record {
    /// The job that it is about, if any.
    pub fn job(&self) -> Option<spec::JobId> {
        match self {
            Self::Queue { .. }
            | Self::Speed { .. }
            | Self::Checkpoint
            | Self::CheckpointPart
            | Self::Ended { .. } => None,
            Self::Accepted { job, .. }
            | Self::GaveUp { job }
            | Self::Cancelled { job }
            | Self::Restored { job, .. } => Some(*job),
            Self::Placed { step, .. } | Self::GangDone { step } => Some(step.job),
            Self::Done { task } | Self::Failed { task, .. } => Some(task.step.job),
        }
    }
}

/// Encodes a batch of records for one key of the store.
///
/// # Errors
/// None in practice: all records have a MessagePack form.
pub fn encode<'a>(
    batch: impl IntoIterator<Item = &'a Record>,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let batch: Vec<&Record> = batch.into_iter().collect();
    rmp_serde::to_vec(&batch)
}

/// Encodes a checkpoint in parts of about a size, each for one key of the store.
///
/// ```
/// use daisymast_jobs::{book, record};
/// let checkpoint = book::Book::default().checkpoint();
/// let parts = record::encode_checkpoint(&checkpoint, 400_000).unwrap();
/// assert_eq!(record::decode(&parts[0]).unwrap(), checkpoint);
/// ```
///
/// # Errors
/// As [`encode`].
pub fn encode_checkpoint(
    records: &[Record],
    part_bytes: usize,
) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
    let whole = encode(records)?;
    let count = whole.len().div_ceil(part_bytes.max(1)).max(1);
    if count == 1 {
        return Ok(vec![whole]);
    }
    records
        .chunks(records.len().div_ceil(count))
        .enumerate()
        .map(|(position, chunk)| {
            let marker = (position > 0).then_some(&Record::CheckpointPart);
            encode(marker.into_iter().chain(chunk))
        })
        .collect()
}

/// Decodes a batch.
///
/// ```
/// use daisymast_jobs::{record, spec};
/// let batch = vec![record::Record::Cancelled { job: spec::JobId(7) }];
/// let bytes = record::encode(&batch).unwrap();
/// assert_eq!(record::decode(&bytes).unwrap(), batch);
/// ```
///
/// # Errors
/// The bytes are no batch of this or an earlier release.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
