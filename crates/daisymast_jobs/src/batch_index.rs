//! The batches of the journal: which are still needed, and when a checkpoint should replace them.

use std::ops::Range;

use crate::record;

/// Bytes written since the last checkpoint from which the next one is due. Below this, reading the
/// journal takes a small machine less time than an election.
const MIN_CHECKPOINT_INTERVAL_BYTES: usize = 128 * 1024;
/// Factor from the size of the last checkpoint to what may be written before the next. It bounds the
/// share of checkpoints in all that is written.
const CHECKPOINT_SIZE_FACTOR: usize = 1;
/// Fewest batches that a scheduler writes before a checkpoint: a new one has to confirm its term soon,
/// which a large commit would delay.
const MIN_CHECKPOINT_INTERVAL_BATCHES: u32 = 24;
/// Batches that one commit removes: the store takes 32 entries a commit.
const MAX_REMOVALS_PER_COMMIT: u64 = 20;

/// Numbers and sizes of the batches in the store.
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
    /// Oldest batch that may still be stored.
    oldest: u64,
    /// Batch with which the last checkpoint begins.
    checkpoint_start: u64,
    /// Number of the next batch.
    next: u64,
    /// Bytes of the last checkpoint.
    checkpoint_bytes: usize,
    /// Bytes written since then.
    bytes_since_checkpoint: usize,
    /// Batches that this scheduler has written since then.
    batches_since_checkpoint: u32,
}

/// What a batch that a replay found holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchKind {
    /// Records.
    Records,
    /// The begin of a checkpoint.
    Checkpoint,
    /// A further part of a checkpoint.
    CheckpointPart,
}

impl BatchKind {
    /// BatchKind of a batch.
    pub fn of(batch: &[record::Record]) -> Self {
        match batch.first() {
            Some(record::Record::Checkpoint) => Self::Checkpoint,
            Some(record::Record::CheckpointPart) => Self::CheckpointPart,
            _ => Self::Records,
        }
    }
}

impl Default for BatchIndex {
    /// An empty journal.
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
    /// Notes a batch that a replay found, in the order of the numbers.
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

    /// Number of the next batch.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the next commit should hold a checkpoint.
    pub fn is_checkpoint_due(&self) -> bool {
        self.batches_since_checkpoint >= MIN_CHECKPOINT_INTERVAL_BATCHES
            && self.bytes_since_checkpoint
                >= MIN_CHECKPOINT_INTERVAL_BYTES.max(self.checkpoint_bytes * CHECKPOINT_SIZE_FACTOR)
    }

    /// A batch was stored.
    pub fn on_appended(&mut self, bytes: usize) {
        self.next += 1;
        self.bytes_since_checkpoint += bytes;
        self.batches_since_checkpoint += 1;
    }

    /// A checkpoint was stored over this number of keys: all earlier batches are of no use.
    pub fn on_checkpointed(&mut self, keys: u64, bytes: usize) {
        self.checkpoint_start = self.next;
        self.next += keys;
        self.checkpoint_bytes = bytes;
        self.bytes_since_checkpoint = 0;
        self.batches_since_checkpoint = 0;
    }

    /// Batches that the next commit should remove.
    pub fn garbage(&self) -> Range<u64> {
        self.oldest
            ..self
                .checkpoint_start
                .min(self.oldest + MAX_REMOVALS_PER_COMMIT)
    }

    /// The batches before this one were removed.
    pub fn on_removed(&mut self, before: u64) {
        self.oldest = self.oldest.max(before);
    }
}
