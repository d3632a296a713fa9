//! Journal records. A record is committed before any action that depends on it (write-ahead log).

use daisymast_organisations::organisation;
use daisymast_types::ids;
use daisymast_types::time;
use serde::{Deserialize, Serialize};

use crate::job;
use crate::queue;
use crate::spec;

/// What is kept of an ended job after compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// Final state.
    pub state: job::State,
    /// Time of the compaction that reduced the job to its state.
    pub at: time::UnixMillis,
}

/// One entry of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Settings of a queue for the jobs that it accepts next. They are kept after the queue is
    /// removed from the configuration, since its accepted jobs still have to finish.
    Queue {
        /// The settings.
        terms: queue::Queue,
    },
    /// Measured speed of a worker, recorded so that it survives a change of scheduler.
    Speed {
        /// The worker.
        worker: ids::WorkerId,
        /// Speed relative to the declared run times, in thousandths.
        permille: u32,
    },
    /// A job was accepted.
    Accepted {
        /// Id of the job.
        job: spec::JobId,
        /// Queue that the job was submitted to.
        queue: ids::QueueName,
        /// Content as submitted.
        spec: spec::JobSpec,
        /// Time of acceptance.
        at: time::UnixMillis,
        /// Organisation that the job belongs to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        organisation: Option<ids::Organisation>,
        /// Whether the job came beyond the rate of its organisation. Only set with an organisation.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        over_rate: bool,
    },
    /// Tasks of a step were placed on workers. The start orders are sent after this record is
    /// committed.
    Placed {
        /// The step.
        step: spec::StepId,
        /// Run number shared by all of these tasks.
        run: u32,
        /// Position of each task in the step, and its worker.
        tasks: Vec<(u32, ids::WorkerId)>,
    },
    /// A task is done.
    Done {
        /// The task.
        task: spec::TaskId,
    },
    /// All tasks of a gang are done.
    GangDone {
        /// Step of the gang.
        step: spec::StepId,
    },
    /// A run of a task failed, because of the task or of its worker.
    Failed {
        /// The task; for a gang, its first task.
        task: spec::TaskId,
        /// Number of the failed run.
        run: u32,
    },
    /// A task of the job has used up its attempts, so the job has failed.
    GaveUp {
        /// The job.
        job: spec::JobId,
    },
    /// A caller cancelled the job.
    Cancelled {
        /// The job.
        job: spec::JobId,
    },
    /// Starts a checkpoint: the records that follow in the same commit replace all earlier ones.
    Checkpoint,
    /// First record of each further part of a checkpoint that spans several keys.
    CheckpointPart,
    /// Jobs that had ended before a checkpoint, grouped by final state and time.
    Ended {
        /// Their final state and the time of their compaction.
        ended: Ended,
        /// Ids of the jobs.
        jobs: Vec<spec::JobId>,
        /// Organisation that the jobs belong to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        organisation: Option<ids::Organisation>,
    },
    /// Complete state of a job at a checkpoint.
    Restored {
        /// Id of the job.
        job: spec::JobId,
        /// The job and the progress of its tasks.
        content: Box<job::Job>,
    },
    /// Settings of an organisation. They are kept after the organisation is removed from the
    /// configuration, since its accepted jobs still have to finish.
    Organisation {
        /// The settings.
        terms: organisation::Terms,
    },
}

impl Record {
    /// Returns the job that the record is about, if it is about a single one.
    pub fn job(&self) -> Option<spec::JobId> {
        match self {
            Self::Queue { .. }
            | Self::Organisation { .. }
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

/// Encodes a batch of records as the value of one store key.
///
/// # Errors
/// None in practice: all records can be represented in MessagePack.
pub fn encode<'a>(
    batch: impl IntoIterator<Item = &'a Record>,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let batch: Vec<&Record> = batch.into_iter().collect();
    rmp_serde::to_vec(&batch)
}

/// Encodes records in parts of at most `part_bytes` each, one for each store key. A record that is
/// larger gets a part of its own.
///
/// ```
/// use daisymast_jobs::{record, spec};
/// let records = vec![record::Record::Cancelled { job: spec::JobId(7) }; 100];
/// let parts = record::encode_parts(&records, 400).unwrap();
/// assert!(parts.len() > 1);
/// assert!(parts.iter().all(|part| part.len() <= 400));
/// ```
///
/// # Errors
/// Same as [`encode`].
pub fn encode_parts(
    records: &[Record],
    part_bytes: usize,
) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
    let mut parts = Vec::new();
    push_parts(records, part_bytes, &[], &mut parts)?;
    Ok(parts)
}

/// Encodes a checkpoint like [`encode_parts`]. Each part after the first is marked as one.
///
/// ```
/// use daisymast_jobs::{job_table, record};
/// let checkpoint = job_table::JobTable::default().checkpoint();
/// let parts = record::encode_checkpoint(&checkpoint, 400_000).unwrap();
/// assert_eq!(record::decode(&parts[0]).unwrap(), checkpoint);
/// ```
///
/// # Errors
/// Same as [`encode`].
pub fn encode_checkpoint(
    records: &[Record],
    part_bytes: usize,
) -> Result<Vec<Vec<u8>>, rmp_serde::encode::Error> {
    let mut parts = Vec::new();
    push_parts(records, part_bytes, &[Record::CheckpointPart], &mut parts)?;
    Ok(parts)
}

/// Appends the parts of some records. Each part that is not the first begins with `marker`.
fn push_parts(
    records: &[Record],
    part_bytes: usize,
    marker: &[Record],
    parts: &mut Vec<Vec<u8>>,
) -> Result<(), rmp_serde::encode::Error> {
    let marker_of_part = if parts.is_empty() { &[] } else { marker };
    let bytes = encode(marker_of_part.iter().chain(records))?;
    if bytes.len() <= part_bytes || records.len() <= 1 {
        parts.push(bytes);
        return Ok(());
    }
    let (first, second) = records.split_at(records.len() / 2);
    push_parts(first, part_bytes, marker, parts)?;
    push_parts(second, part_bytes, marker, parts)
}

/// Decodes a batch of records.
///
/// ```
/// use daisymast_jobs::{record, spec};
/// let batch = vec![record::Record::Cancelled { job: spec::JobId(7) }];
/// let bytes = record::encode(&batch).unwrap();
/// assert_eq!(record::decode(&bytes).unwrap(), batch);
/// ```
///
/// # Errors
/// The bytes are not a batch written by this or an earlier release.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
