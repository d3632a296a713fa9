//! Values of the ledger in the store, as JSON text.

use daisymast_types::ids::{Epoch, InstanceId, Nonce};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::record::RunRecord;

/// Entries from which a segment is sealed.
pub const SEAL_ENTRIES: usize = 256;
/// Bytes of entries from which a segment is sealed. Copied runs do not count, because a copy that
/// is larger than the bound would seal every segment at once.
pub const SEAL_BYTES: usize = 64 * 1024;

/// Who owns a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Mark of the write.
    pub nonce: Nonce,
    /// Owner.
    pub owner: InstanceId,
    /// Address of the owner's listener for instances.
    pub address: String,
    /// Number of the first segment, for an owner that finds none.
    pub segment: u64,
}

/// A part of the ledger that is written as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// Epoch of the last writer.
    pub epoch: Epoch,
    /// Mark of the last write.
    pub nonce: Nonce,
    /// Number, from 1. The key names only its slot.
    pub number: u64,
    /// Time at which the segment was sealed. Nothing is added to a sealed segment.
    pub sealed: Option<UnixMillis>,
    /// Runs as they stood when the segment was opened.
    pub runs: Vec<RunRecord>,
    /// Entries since then.
    pub entries: Vec<Entry>,
}

/// The fields that tell whose write a value is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct WriteId {
    pub(crate) epoch: Epoch,
    pub(crate) nonce: Nonce,
}

/// JSON text of a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|error| format!("encode ledger value: {error}"))
}

/// Reads a value; the error names the key.
pub(crate) fn decode<'a, T: Deserialize<'a>>(key: &str, value: &'a str) -> Result<T, String> {
    serde_json::from_str(value).map_err(|error| format!("{key} cannot be read: {error}"))
}
