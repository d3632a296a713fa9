//! Index of workers by free processors.
//!
//! On a full fleet few workers have room for a task. The index finds them without a look at all
//! others, which a pass over hundreds of waiting steps could not afford.

#[cfg(test)]
mod tests;

/// Width of a bucket, in thousandths of a core.
const BUCKET_MILLICORES: u32 = 1_000;
/// Number of the last bucket, which also holds all workers with more free processors.
const LAST_BUCKET: u32 = 255;

/// Positions of workers, grouped by free processors.
///
/// A position stays in the buckets of earlier values, too, so that a change needs no search. Such
/// entries are skipped when the index is read.
#[derive(Clone, Debug, Default)]
pub(super) struct AvailabilityIndex {
    buckets: Vec<Vec<u32>>,
    /// Current bucket of each position.
    bucket_of: Vec<u8>,
}

impl AvailabilityIndex {
    /// Adds the next position.
    pub(super) fn push(&mut self, millicores: u32) {
        let position = u32::try_from(self.bucket_of.len()).unwrap_or(u32::MAX);
        let bucket = bucket(millicores);
        self.bucket_of.push(bucket);
        self.insert(position, bucket);
    }

    /// Lowers the free processors of a position. They only fall while the index is in use: a
    /// position that returned to an earlier bucket would be listed twice.
    pub(super) fn lower(&mut self, position: u32, millicores: u32) {
        let bucket = bucket(millicores);
        let Some(current) = self.bucket_of.get_mut(position as usize) else {
            return;
        };
        if bucket < *current {
            *current = bucket;
            self.insert(position, bucket);
        }
    }

    fn insert(&mut self, position: u32, bucket: u8) {
        let bucket = usize::from(bucket);
        if self.buckets.len() <= bucket {
            self.buckets.resize(bucket + 1, Vec::new());
        }
        self.buckets[bucket].push(position);
    }

    /// Returns the positions whose free processors may reach `millicores`. Positions of the same
    /// bucket are included even if they have slightly less.
    pub(super) fn at_least(&self, millicores: u32) -> impl Iterator<Item = u32> {
        let first = bucket(millicores);
        let buckets = (0_u8..=u8::MAX).zip(&self.buckets);
        buckets
            .skip(usize::from(first))
            .flat_map(move |(bucket, positions)| {
                let is_current =
                    move |position: &&u32| self.bucket_of.get(**position as usize) == Some(&bucket);
                positions.iter().filter(is_current).copied()
            })
    }
}

fn bucket(millicores: u32) -> u8 {
    let bucket = (millicores / BUCKET_MILLICORES).min(LAST_BUCKET);
    u8::try_from(bucket).unwrap_or(u8::MAX)
}
