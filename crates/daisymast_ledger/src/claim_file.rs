//! Claim files. Each holds the claims and results of several sealed segments in one value.
//!
//! A claim file is derived only from sealed segments, which never change. It is therefore correct
//! whichever instance writes it, and its write needs no fencing. The key is derived from the first
//! segment, and the first write of a key wins.

use daisymast_protocol::store::{Entry, StoreReply};
use daisymast_types::ids::{InstanceId, RequestId};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::entry::Settled;
use crate::segment;

const HOUR_MS: u64 = 3_600_000;
/// Number of sealed segments at which a claim file is written. Half of the slots remain for the
/// time in which claim files cannot be written.
pub(crate) const MERGE_SEGMENTS: usize = 32;
/// Age of the oldest sealed segment at which a claim file is written.
pub(crate) const MERGE_AGE_MS: u64 = 600_000;
/// Bytes of claims at which no further segment is added to a claim file. A segment adds at most
/// twice its 64 KB, so a claim file stays far below 1 MB.
pub(crate) const FULL_FILE_BYTES: usize = 400 * 1024;
/// Age at which an id is no longer looked up, because its claim file may be deleted.
pub(crate) const LOOKUP_AGE_MAX_MS: u64 = 24 * HOUR_MS;
/// Hours after which a claim file is deleted. All its records are at least 24 h old by then.
pub(crate) const RETENTION_HOURS: u64 = 25;
/// Number of past hours in which an owner looks for expired claim files of former owners.
pub(crate) const SWEEP_LOOKBACK_HOURS: u64 = 48;

/// A claim and its result. It is serialized as an array, so that field names take no space in the
/// store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord(
    /// The request.
    pub RequestId,
    /// Digest of service and body, as 32 hexadecimal digits.
    pub String,
    /// Instance that executed the request.
    pub InstanceId,
    /// Result of the request, if it was known when the file was written.
    pub Option<Settled>,
);

/// Claims and results of consecutive sealed segments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimFile {
    /// Number of the first segment.
    pub from: u64,
    /// Number of the last segment.
    pub through: u64,
    /// Time at which the last segment was sealed.
    pub at: UnixMillis,
    /// Claims of the segments, and earlier claims whose results are in the segments.
    pub claims: Vec<ClaimRecord>,
}

/// Outcome of a write of a claim file.
#[derive(Clone, Debug)]
pub(crate) enum FileWriteOutcome {
    /// The claim file is in the store, possibly written by another owner, and covers segments up to
    /// this number.
    Stored(u64),
    /// The outcome is unknown. The write is repeated, which is safe because it succeeds only if the
    /// key does not exist.
    RetryLater,
    /// The store refused the value.
    Refused(String),
    /// The key holds a value that cannot be decoded as a claim file.
    Unreadable(String),
}

/// Number of whole hours since the Unix epoch.
pub(crate) fn hour(at: UnixMillis) -> u64 {
    at.0 / HOUR_MS
}

/// Interprets the reply to the write of a claim file whose last segment is `through`.
pub(crate) fn interpret_write_reply(through: u64, reply: &StoreReply) -> FileWriteOutcome {
    match reply {
        StoreReply::Written { .. } => FileWriteOutcome::Stored(through),
        StoreReply::Conflict { entry: Some(entry) } => match decode(entry) {
            Ok(file) => FileWriteOutcome::Stored(file.through),
            Err(reason) => FileWriteOutcome::Unreadable(reason),
        },
        StoreReply::Refused { reason } => FileWriteOutcome::Refused(reason.clone()),
        _ => FileWriteOutcome::RetryLater,
    }
}

/// Decodes a claim file from a store entry.
pub(crate) fn decode(entry: &Entry) -> Result<ClaimFile, String> {
    segment::decode(&entry.key, &entry.value)
}

/// Timestamp of a version 7 UUID, `None` for other ids, which the request path rejects.
pub(crate) fn issue_time(id: &RequestId) -> Option<UnixMillis> {
    let text = id.as_str();
    if text.len() != 36 || text.as_bytes().get(14) != Some(&b'7') {
        return None;
    }
    let high = u64::from_str_radix(text.get(..8)?, 16).ok()?;
    let low = u64::from_str_radix(text.get(9..13)?, 16).ok()?;
    Some(UnixMillis(high << 16 | low))
}
