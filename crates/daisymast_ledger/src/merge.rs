//! Merges the claims of sealed segments into a claim file.

use std::collections::VecDeque;

use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::{Partition, Revision};
use daisymast_types::time::UnixMillis;

use crate::claim_file::{self, ClaimFile};
use crate::keys;
use crate::segment;
use crate::state::PartitionState;

/// A sealed segment whose claims are not in a claim file yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SealedSegment {
    pub(crate) number: u64,
    pub(crate) sealed_at: UnixMillis,
}

/// A merge of sealed segments whose claim file is being written.
#[derive(Clone, Debug)]
pub(crate) struct Merge {
    /// Number of the last merged segment.
    pub(crate) through: u64,
    /// Key and value of the claim file, `None` if the segments hold no claims or only expired ones.
    file: Option<(String, String)>,
}

impl Merge {
    /// Merges the first segments of `sealed` that were sealed in the same hour. Returns `None` if
    /// `sealed` is empty or the claim file cannot be encoded.
    pub(crate) fn prepare(
        partition: Partition,
        wall: UnixMillis,
        state: &PartitionState,
        sealed: &VecDeque<SealedSegment>,
    ) -> Option<Self> {
        let first = sealed.front()?;
        let hour = claim_file::hour(first.sealed_at);
        let (mut last, mut bytes, mut claims) = (*first, 0, Vec::new());
        for segment in sealed
            .iter()
            .take_while(|segment| claim_file::hour(segment.sealed_at) == hour)
        {
            if bytes >= claim_file::FULL_FILE_BYTES {
                break;
            }
            let added = state.claim_records(segment.number);
            bytes += added.iter().map(record_bytes).sum::<usize>();
            claims.extend(added);
            last = *segment;
        }
        let expired = hour + claim_file::RETENTION_HOURS <= claim_file::hour(wall);
        if claims.is_empty() || expired {
            return Some(Self {
                through: last.number,
                file: None,
            });
        }
        let file = ClaimFile {
            from: first.number,
            through: last.number,
            at: last.sealed_at,
            claims,
        };
        let value = segment::encode(&file).ok()?;
        Some(Self {
            through: last.number,
            file: Some((keys::claim_file(partition, hour, first.number), value)),
        })
    }

    /// The write of the claim file, which succeeds only if the key does not exist. `None` if no
    /// file is needed.
    pub(crate) fn request(&self) -> Option<StoreRequest> {
        let (key, value) = self.file.clone()?;
        Some(StoreRequest::Put {
            key,
            value,
            expect: Revision(0),
        })
    }
}

fn record_bytes(record: &claim_file::ClaimRecord) -> usize {
    record.0.as_str().len() + record.1.len() + record.2.as_str().len() + 24
}
