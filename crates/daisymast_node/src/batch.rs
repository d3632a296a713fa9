//! Choice of the content of the next commit to the journal.

use daisymast_jobs::{batch_index, record};
use daisymast_scheduler::scheduler;

use crate::constants;

/// Content of a commit.
#[derive(Clone, Debug)]
pub enum Batch {
    /// The records since the last batch.
    Records(Vec<record::Record>),
    /// A checkpoint of all records so far.
    Checkpoint {
        /// The checkpoint, encoded in parts that each fit into one key.
        parts: Vec<Vec<u8>>,
        /// The records since the last batch, to be written if the store refuses the checkpoint.
        records: Vec<record::Record>,
    },
}

/// Takes the next batch of a scheduler, or its checkpoint if one is due. Returns `None` if there is
/// nothing to write.
pub fn next_batch(
    scheduler: &mut scheduler::Scheduler,
    batches: &mut batch_index::BatchIndex,
) -> Option<Batch> {
    let records = scheduler.take_batch()?;
    if !batches.is_checkpoint_due() {
        return Some(Batch::Records(records));
    }
    let parts = record::encode_checkpoint(&scheduler.checkpoint(), constants::MAX_BATCH_BYTES);
    match parts {
        Ok(parts) if parts.len() <= constants::MAX_CHECKPOINT_PARTS => {
            return Some(Batch::Checkpoint { parts, records });
        }
        Ok(parts) => {
            log::error!(
                "checkpoint of {} parts does not fit into one commit; writing records instead",
                parts.len()
            );
        }
        Err(error) => {
            log::error!("failed to encode the checkpoint; writing records instead: {error}");
        }
    }
    // Encoding takes long, and other events of the scheduler wait meanwhile. So the next attempt is made
    // only after further batches, by when enough jobs may have ended.
    batches.on_checkpoint_refused();
    Some(Batch::Records(records))
}
