//! The platform's key-value service and its list of instances.

use std::time::Duration;

use daisymast_types::ids::{InstanceId, Rack, Revision, WorkerId, Zone};
use serde::{Deserialize, Serialize};

/// A request to the store. Each counts as one call against the store's rates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreRequest {
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads all keys with a prefix, in key order.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Writes one key if its revision is `expect`; revision 0 means that the key is absent.
    Put {
        /// Key to write.
        key: String,
        /// New value, at most one megabyte.
        value: String,
        /// Revision that the key must have.
        expect: Revision,
    },
    /// Deletes one key if its revision is `expect`.
    Delete {
        /// Key to delete.
        key: String,
        /// Revision that the key must have.
        expect: Revision,
    },
    /// Waits until a key has a revision other than `seen`, or until the time is over.
    Watch {
        /// Key to watch.
        key: String,
        /// Revision that the watcher knows.
        seen: Revision,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads the lagging list of entry instances and workers.
    Members,
}

impl StoreRequest {
    /// Whether a repeat of the request could change the store.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Delete { .. })
    }
}

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of the key, rising with each write. A key that is deleted and written again
    /// continues above its former revision.
    pub revision: Revision,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// The key, or nothing if it is absent. Answers `Get` and `Watch`.
    Value {
        /// The key as it stands.
        entry: Option<Entry>,
    },
    /// All keys with the prefix.
    Entries {
        /// The keys, in key order.
        entries: Vec<Entry>,
    },
    /// The write took effect.
    Written {
        /// Revision of the key after the write.
        revision: Revision,
    },
    /// The compare failed; the write took no effect.
    Conflict {
        /// The key as it stands.
        entry: Option<Entry>,
    },
    /// The lagging list.
    Members {
        /// Entry instances and workers.
        members: Vec<Member>,
    },
    /// The request was refused and took no effect, for example for its size.
    Refused {
        /// Reason in plain words.
        reason: String,
    },
}

/// What the platform's list says of an instance or a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which machine it is.
    pub who: MemberId,
    /// Availability zone.
    pub zone: Zone,
    /// IP address and port of its listener for instances.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Identity in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberId {
    /// An entry instance.
    Instance(InstanceId),
    /// A worker and the rack that it stands in.
    Worker(WorkerId, Rack),
}

/// Longest wait of one watch call.
pub const WATCH_WAIT: Duration = Duration::from_secs(20);
