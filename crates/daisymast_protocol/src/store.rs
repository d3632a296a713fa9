//! Messages to the key-value store and member list of the platform.

use std::time::Duration;

use daisymast_types::ids::{InstanceId, Rack, Revision, WorkerId, Zone};
use serde::{Deserialize, Serialize};

/// A request to the store. Each one counts against the rate limits of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum StoreRequest {
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads all keys with a prefix, ordered by key.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Writes one key if its revision is `expect` (compare-and-swap). Revision 0 stands for an
    /// absent key.
    Put {
        /// Key to write.
        key: String,
        /// New value, at most [`crate::limits::STORE_VALUE_BYTES`] long.
        value: String,
        /// Revision that the key must have.
        expect: Revision,
    },
    /// Deletes one key if its revision is `expect` (compare-and-delete).
    Delete {
        /// Key to delete.
        key: String,
        /// Revision that the key must have.
        expect: Revision,
    },
    /// Waits until the revision of a key differs from `seen`, or until the wait is over (long
    /// poll).
    Watch {
        /// Key to watch.
        key: String,
        /// Last revision that the watcher has seen.
        seen: Revision,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Reads the member list of entry instances and workers. The list is eventually consistent.
    Members,
}

impl StoreRequest {
    /// Returns whether the request is a write or a deletion.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Put { .. } | Self::Delete { .. })
    }
}

/// One key of the store with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the entry.
    pub key: String,
    /// Value of the key.
    pub value: String,
    /// Revision of the key. It rises with each write, also if the key is deleted and written again.
    pub revision: Revision,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum StoreReply {
    /// Answers `Get` and `Watch`.
    Value {
        /// Current entry; `None` if the key is absent.
        entry: Option<Entry>,
    },
    /// Answers `List`.
    Entries {
        /// Entries with the prefix, ordered by key.
        entries: Vec<Entry>,
    },
    /// The write took effect.
    Written {
        /// Revision of the key after the write; 0 after a deletion.
        revision: Revision,
    },
    /// The key does not have the expected revision; the write took no effect.
    Conflict {
        /// Current entry; `None` if the key is absent.
        entry: Option<Entry>,
    },
    /// Answers `Members`.
    Members {
        /// Entry instances and workers on the list.
        members: Vec<Member>,
    },
    /// The request was refused and took no effect, for example because the value is too large.
    Refused {
        /// Human-readable reason.
        reason: String,
    },
}

/// Entry of the member list for an instance or a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member.
    pub who: MemberId,
    /// Availability zone of the member.
    pub zone: Zone,
    /// IP address and port at which it accepts messages of instances.
    pub address: String,
    /// Whether the member is leaving the cluster.
    pub leaving: bool,
}

/// Identity of a member on the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberId {
    /// An entry instance.
    Instance(InstanceId),
    /// A worker, and the rack in which it is installed.
    Worker(WorkerId, Rack),
}

/// Longest wait of one watch request. The store cuts a longer `wait_ms` to this.
pub const WATCH_WAIT_MAX: Duration = Duration::from_secs(20);
