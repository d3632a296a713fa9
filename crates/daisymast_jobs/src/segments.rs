//! The batches of the journal: which are still needed, and when a checkpoint should replace them.

use std::ops::Range;

use crate::record;

/// Bytes written since the last checkpoint from which the next one is due. Below this, reading the
/// journal takes a small machine less time than an election.
const CHECKPOINT_BYTES: usize = 128 * 1024;
/// Factor from the size of the last checkpoint to what may be written before the next. It bounds the
/// share of checkpoints in all that is written.
const GROWTH_FACTOR: usize = 1;
/// Fewest batches that a scheduler writes before a checkpoint: a new one has to confirm its term soon,
/// which a large commit would delay.
const CHECKPOINT_BATCHES: u32 = 24;
/// Batches that one commit removes: the store takes 32 entries a commit.
const REMOVED_PER_COMMIT: u64 = 20;

/// Numbers and sizes of the batches in the store.
///
/// ```
/// use daisymast_jobs::segments;
/// let mut segments = segments::Segments::default();
/// assert_eq!(segments.next(), 1);
/// for _ in 0..50 {
///     segments.appended(10_000);
/// }
/// assert!(segments.is_checkpoint_due());
/// segments.checkpointed(1, 10_000);
/// assert!(!segments.is_checkpoint_due());
/// assert_eq!(segments.next(), 52);
/// assert_eq!(segments.garbage(), 1..21);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segments {
    /// Oldest batch that may still be stored.
    oldest: u64,
    /// Batch with which the last checkpoint begins.
    needed: u64,
    /// Number of the next batch.
    next: u64,
    /// Bytes of the last checkpoint.
    checkpoint: usize,
    /// Bytes written since then.
    since: usize,
    /// Batches that this scheduler has written since then.
    batches: u32,
}

/// What a batch that a replay found holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Records.
    Records,
    /// The begin of a checkpoint.
    Checkpoint,
    /// A further part of a checkpoint.
    CheckpointPart,
}

impl Kind {
    /// Kind of a batch.
    pub fn of(batch: &[record::Record]) -> Self {
        match batch.first() {
            Some(record::Record::Checkpoint) => Self::Checkpoint,
            Some(record::Record::CheckpointPart) => Self::CheckpointPart,
            _ => Self::Records,
        }
    }
}

impl Default for Segments {
    /// An empty journal.
    fn default() -> Self {
        Self {
            oldest: 1,
            needed: 1,
            next: 1,
            checkpoint: 0,
            since: 0,
            batches: 0,
        }
    }
}

impl Segments {
    /// Notes a batch that a replay found, in the order of the numbers.
    pub fn found(&mut self, number: u64, bytes: usize, kind: Kind) {
        if self.next == 1 {
            self.oldest = number;
            self.needed = number;
        }
        self.next = number + 1;
        match kind {
            Kind::Records => self.since += bytes,
            Kind::Checkpoint => {
                self.needed = number;
                self.checkpoint = bytes;
                self.since = 0;
            }
            Kind::CheckpointPart => self.checkpoint += bytes,
        }
    }

    /// Number of the next batch.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the next commit should hold a checkpoint.
    pub fn is_checkpoint_due(&self) -> bool {
        self.batches >= CHECKPOINT_BATCHES
            && self.since >= CHECKPOINT_BYTES.max(self.checkpoint * GROWTH_FACTOR)
    }

    /// A batch was stored.
    pub fn appended(&mut self, bytes: usize) {
        self.next += 1;
        self.since += bytes;
        self.batches += 1;
    }

    /// A checkpoint was stored over this number of keys: all earlier batches are of no use.
    pub fn checkpointed(&mut self, keys: u64, bytes: usize) {
        self.needed = self.next;
        self.next += keys;
        self.checkpoint = bytes;
        self.since = 0;
        self.batches = 0;
    }

    /// Batches that the next commit should remove.
    pub fn garbage(&self) -> Range<u64> {
        self.oldest..self.needed.min(self.oldest + REMOVED_PER_COMMIT)
    }

    /// The batches before this one were removed.
    pub fn removed(&mut self, before: u64) {
        self.oldest = self.oldest.max(before);
    }
}
