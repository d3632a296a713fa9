//! Bookkeeping of the journal's batches: which of them are still needed, and when to write a
//! checkpoint.

use std::ops::Range;

use crate::record;

/// Minimum number of bytes between two checkpoints. A small machine reads a journal of this size in
/// less time than an election takes.
const MIN_CHECKPOINT_INTERVAL_BYTES: usize = 128 * 1024;
/// Minimum number of bytes between two checkpoints, as a multiple of the size of the last one. It
/// bounds the share of checkpoints in all bytes written.
const CHECKPOINT_SIZE_FACTOR: usize = 1;
/// Minimum number of batches that a scheduler writes before a checkpoint. A new scheduler has to
/// confirm its term soon, which a large commit would delay.
const MIN_CHECKPOINT_INTERVAL_BATCHES: u32 = 24;
/// Maximum number of batches removed in one commit. The store accepts 32 entries in a commit.
const MAX_REMOVALS_PER_COMMIT: u64 = 20;

/// Numbers and sizes of the journal batches in the store.
///
/// ```
/// use daisymast_jobs::batch_index;
/// let mut index = batch_index::BatchIndex::default();
/// assert_eq!(index.next(), 1);
/// for _ in 0..50 {
///     index.on_appended(10_000);
/// }
/// assert!(index.is_checkpoint_due());
/// index.on_checkpointed(1, 10_000);
/// assert!(!index.is_checkpoint_due());
/// assert_eq!(index.next(), 52);
/// assert_eq!(index.garbage(), 1..21);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchIndex {
    /// Oldest batch that may still be in the store.
    oldest: u64,
    /// First batch of the last checkpoint. Earlier batches can be removed.
    checkpoint_start: u64,
    /// Number of the next batch to write.
    next: u64,
    /// Size of the last checkpoint.
    checkpoint_bytes: usize,
    /// Bytes written since the last checkpoint.
    bytes_since_checkpoint: usize,
    /// Batches that this scheduler has written since the last checkpoint.
    batches_since_checkpoint: u32,
}

/// Content of a batch, as classified during replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchKind {
    /// Ordinary records.
    Records,
    /// The first part of a checkpoint.
    Checkpoint,
    /// A further part of a checkpoint.
    CheckpointPart,
}

impl BatchKind {
    /// Classifies a batch by its first record.
    pub fn of(batch: &[record::Record]) -> Self {
        match batch.first() {
            Some(record::Record::Checkpoint) => Self::Checkpoint,
            Some(record::Record::CheckpointPart) => Self::CheckpointPart,
            _ => Self::Records,
        }
    }
}

impl Default for BatchIndex {
    /// Index of an empty journal.
    fn default() -> Self {
        Self {
            oldest: 1,
            checkpoint_start: 1,
            next: 1,
            checkpoint_bytes: 0,
            bytes_since_checkpoint: 0,
            batches_since_checkpoint: 0,
        }
    }
}

impl BatchIndex {
    /// Registers a batch read during replay. Batches must be passed in ascending order.
    pub fn on_replayed(&mut self, number: u64, bytes: usize, kind: BatchKind) {
        if self.next == 1 {
            self.oldest = number;
            self.checkpoint_start = number;
        }
        self.next = number + 1;
        match kind {
            BatchKind::Records => self.bytes_since_checkpoint += bytes,
            BatchKind::Checkpoint => {
                self.checkpoint_start = number;
                self.checkpoint_bytes = bytes;
                self.bytes_since_checkpoint = 0;
            }
            BatchKind::CheckpointPart => self.checkpoint_bytes += bytes,
        }
    }

    /// Number of the next batch to write.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the next commit should be a checkpoint.
    pub fn is_checkpoint_due(&self) -> bool {
        self.batches_since_checkpoint >= MIN_CHECKPOINT_INTERVAL_BATCHES
            && self.bytes_since_checkpoint
                >= MIN_CHECKPOINT_INTERVAL_BYTES.max(self.checkpoint_bytes * CHECKPOINT_SIZE_FACTOR)
    }

    /// Registers a batch that was committed.
    pub fn on_appended(&mut self, bytes: usize) {
        self.next += 1;
        self.bytes_since_checkpoint += bytes;
        self.batches_since_checkpoint += 1;
    }

    /// Registers a checkpoint that was committed in `keys` batches. All earlier batches can be
    /// removed.
    pub fn on_checkpointed(&mut self, keys: u64, bytes: usize) {
        self.checkpoint_start = self.next;
        self.next += keys;
        self.checkpoint_bytes = bytes;
        self.bytes_since_checkpoint = 0;
        self.batches_since_checkpoint = 0;
    }

    /// Registers that a checkpoint was too large for one commit or that the store has refused it. The
    /// next one is due only after further batches: jobs that make it too large may have ended by then.
    pub fn on_checkpoint_refused(&mut self) {
        self.batches_since_checkpoint = 0;
    }

    /// Batches that the next commit should remove.
    pub fn garbage(&self) -> Range<u64> {
        self.oldest
            ..self
                .checkpoint_start
                .min(self.oldest + MAX_REMOVALS_PER_COMMIT)
    }

    /// Registers that the batches before `before` were removed.
    pub fn on_removed(&mut self, before: u64) {
        self.oldest = self.oldest.max(before);
    }
}
