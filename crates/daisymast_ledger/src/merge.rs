//! Preparing a claim file from sealed segments.

use std::collections::VecDeque;

use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::{Partition, Revision};
use daisymast_types::time::UnixMillis;

use crate::file::{self, ClaimFile};
use crate::keys;
use crate::memory::Memory;
use crate::segment;

/// A sealed segment whose claims are in no file yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SealedSegment {
    pub(crate) number: u64,
    pub(crate) at: UnixMillis,
}

/// A file that is being written.
#[derive(Clone, Debug)]
pub(crate) struct Merge {
    /// Last segment that it covers.
    pub(crate) through: u64,
    /// Key and value, unless there is nothing worth a file.
    file: Option<(String, String)>,
}

impl Merge {
    /// A file of the first segments of `sealed`, all of one hour.
    pub(crate) fn prepare(
        partition: Partition,
        wall: UnixMillis,
        memory: &Memory,
        sealed: &VecDeque<SealedSegment>,
    ) -> Option<Self> {
        let first = sealed.front()?;
        let hour = file::hour(first.at);
        let (mut last, mut bytes, mut claims) = (*first, 0, Vec::new());
        for segment in sealed.iter().take_while(|one| file::hour(one.at) == hour) {
            if bytes >= file::FILE_BYTES {
                break;
            }
            let added = memory.records(segment.number);
            bytes += added.iter().map(record_bytes).sum::<usize>();
            claims.extend(added);
            last = *segment;
        }
        let expired = hour + file::RETENTION_HOURS <= file::hour(wall);
        if claims.is_empty() || expired {
            return Some(Self {
                through: last.number,
                file: None,
            });
        }
        let file = ClaimFile {
            from: first.number,
            through: last.number,
            at: last.at,
            claims,
        };
        let value = segment::encode(&file).ok()?;
        Some(Self {
            through: last.number,
            file: Some((keys::file(partition, hour, first.number), value)),
        })
    }

    /// The write, which expects no file, or nothing if none is needed.
    pub(crate) fn request(&self) -> Option<StoreRequest> {
        let (key, value) = self.file.clone()?;
        Some(StoreRequest::Put {
            key,
            value,
            expect: Revision(0),
        })
    }
}

fn record_bytes(record: &file::ClaimRecord) -> usize {
    record.0.as_str().len() + record.1.len() + record.2.as_str().len() + 24
}
