//! Claim files: the claims and results of several sealed segments in one value.
//!
//! A file is derived from segments that no longer change, so it is true whoever writes it, and it
//! needs no fence. Its key is derived from its first segment; the first writer wins.

use daisymast_protocol::store::{Entry, StoreReply};
use daisymast_types::ids::{InstanceId, RequestId};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::entry::Settled;
use crate::segment;

const HOUR_MS: u64 = 3_600_000;
/// Sealed segments from which a file is written. Half of the slots are left for the time in which the
/// file cannot be written.
pub(crate) const MERGE_SEGMENTS: usize = 32;
/// Age of the oldest sealed segment from which a file is written.
pub(crate) const MERGE_AGE_MS: u64 = 600_000;
/// Bytes of claims from which a file takes no further segment. A segment adds at most twice its 64 KB,
/// so a file stays far below one megabyte.
pub(crate) const FULL_FILE_BYTES: usize = 400 * 1024;
/// Age from which an id can no longer be looked up, because its file may be deleted.
pub(crate) const LOOKUP_AGE_MAX_MS: u64 = 24 * HOUR_MS;
/// Hours after which a file is deleted: no record is younger than 24 h by then.
pub(crate) const RETENTION_HOURS: u64 = 25;
/// Hours that an owner sweeps for files that former owners left.
pub(crate) const SWEEP_LOOKBACK_HOURS: u64 = 48;

/// A claim and how it ended, written as an array to keep the names out of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord(
    /// The request.
    pub RequestId,
    /// Digest of service and body.
    pub String,
    /// Instance that ran it.
    pub InstanceId,
    /// How it ended, if known when the file was written.
    pub Option<Settled>,
);

/// Claims and results of consecutive sealed segments.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimFile {
    /// First segment.
    pub from: u64,
    /// Last segment.
    pub through: u64,
    /// Time at which the last segment was sealed.
    pub at: UnixMillis,
    /// The claims.
    pub claims: Vec<ClaimRecord>,
}

/// What a reply says about the writing of a file.
#[derive(Clone, Debug)]
pub(crate) enum FileWriteOutcome {
    /// The file is in the store, perhaps written by another owner, and covers segments up to this one.
    Stored(u64),
    /// Not known; the write is repeated, which is harmless because it expects no file.
    RetryLater,
    /// The store refused the file.
    Refused(String),
    /// Something that is no claim file is in its place.
    Unreadable(String),
}

/// Hour since 1970 of a time.
pub(crate) fn hour(at: UnixMillis) -> u64 {
    at.0 / HOUR_MS
}

/// Interprets the reply to the write of a file through segment `through`.
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

/// Reads a file.
pub(crate) fn decode(entry: &Entry) -> Result<ClaimFile, String> {
    segment::decode(&entry.key, &entry.value)
}

/// Time at which a UUID of version 7 was issued. Nothing for other ids, which the request path refuses.
pub(crate) fn issue_time(id: &RequestId) -> Option<UnixMillis> {
    let text = id.as_str();
    if text.len() != 36 || text.as_bytes().get(14) != Some(&b'7') {
        return None;
    }
    let high = u64::from_str_radix(text.get(..8)?, 16).ok()?;
    let low = u64::from_str_radix(text.get(9..13)?, 16).ok()?;
    Some(UnixMillis(high << 16 | low))
}
