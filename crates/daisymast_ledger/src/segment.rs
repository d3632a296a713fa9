//! Values that the ledger keeps in the store, encoded as JSON.

use daisymast_types::ids::{Epoch, InstanceId, Nonce};
use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::record::RunRecord;

/// Number of entries at which a segment is sealed.
pub const SEAL_ENTRIES: usize = 256;
/// Bytes of entries at which a segment is sealed. The copied runs do not count, because a copy
/// larger than this limit would seal every segment immediately.
pub const SEAL_BYTES: usize = 64 * 1024;

/// Ownership record of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Epoch of the owner. Each takeover increases it.
    pub epoch: Epoch,
    /// Nonce of the write that stored this value.
    pub nonce: Nonce,
    /// Instance that owns the partition.
    pub owner: InstanceId,
    /// Address of the owner's peer listener.
    pub address: String,
    /// Number of the segment that an owner opens if it finds none in the store.
    pub segment: u64,
}

/// A section of a partition's log. Each write replaces the whole segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// Epoch of the instance that last wrote the segment.
    pub epoch: Epoch,
    /// Nonce of the last write.
    pub nonce: Nonce,
    /// Segment number, from 1. The store key contains only the slot of the segment.
    pub number: u64,
    /// Time at which the segment was sealed, `None` while it is open. Nothing is added to a sealed
    /// segment.
    pub sealed: Option<UnixMillis>,
    /// Copy of the runs at the time the segment was opened.
    pub runs: Vec<RunRecord>,
    /// Entries recorded since the segment was opened.
    pub entries: Vec<Entry>,
}

/// The fields that identify the write that stored a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct WriteId {
    pub(crate) epoch: Epoch,
    pub(crate) nonce: Nonce,
}

/// Encodes a value as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|error| format!("encode ledger value: {error}"))
}

/// Decodes a value. The error message contains the key.
pub(crate) fn decode<'a, T: Deserialize<'a>>(key: &str, value: &'a str) -> Result<T, String> {
    serde_json::from_str(value).map_err(|error| format!("{key} cannot be read: {error}"))
}
