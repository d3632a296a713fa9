//! Keys of the store with their values and revisions.

use std::collections::BTreeMap;

use daisymast_protocol::limits;
use daisymast_protocol::store::{Entry, StoreReply};
use daisymast_types::ids::Revision;

use super::{refused, revision};

/// Longest key, in bytes.
const KEY_BYTES: usize = 1_024;
/// Largest number of keys in the store.
const KEYS_MAX: usize = 100_000;
/// Largest sum of the value sizes in the reply to one list, in bytes.
const LIST_BYTES: usize = 8 * 1024 * 1024;

/// Copy of all keys and revisions at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot(State);

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct State {
    entries: BTreeMap<String, Entry>,
    /// Highest revision of all deleted keys. New keys start above it, so that the revision of a key
    /// that is deleted and written again rises without a record of each deleted key.
    deleted_revision_max: u64,
}

impl State {
    pub(super) fn from_snapshot(snapshot: &Snapshot) -> Self {
        snapshot.0.clone()
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot(self.clone())
    }

    pub(super) fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn list(&self, prefix: &str) -> StoreReply {
        let range = self.entries.range(prefix.to_owned()..);
        let matching = range.take_while(|(key, _)| key.starts_with(prefix));
        let mut entries = Vec::new();
        let mut bytes = 0;
        for (_, entry) in matching {
            bytes += entry.value.len();
            if bytes > LIST_BYTES {
                return refused(&format!(
                    "list of prefix {prefix:?} exceeds {LIST_BYTES} bytes"
                ));
            }
            entries.push(entry.clone());
        }
        StoreReply::Entries { entries }
    }

    pub(super) fn put(&mut self, key: String, value: String, expect: Revision) -> StoreReply {
        if let Some(reason) = self.validate_write(&key, &value) {
            return refused(&reason);
        }
        let current = self.get(&key);
        if revision(current) != expect {
            return StoreReply::Conflict {
                entry: current.cloned(),
            };
        }
        let previous = current.map_or(self.deleted_revision_max, |entry| entry.revision.0);
        let revision = Revision(previous).next();
        let entry = Entry {
            key: key.clone(),
            value,
            revision,
        };
        self.entries.insert(key, entry);
        StoreReply::Written { revision }
    }

    /// Deletes a key. The reply has revision 0, which stands for an absent key.
    pub(super) fn delete(&mut self, key: &str, expect: Revision) -> StoreReply {
        let current = self.get(key);
        if revision(current) != expect {
            return StoreReply::Conflict {
                entry: current.cloned(),
            };
        }
        if let Some(entry) = self.entries.remove(key) {
            self.deleted_revision_max = self.deleted_revision_max.max(entry.revision.0);
        }
        StoreReply::Written {
            revision: Revision(0),
        }
    }

    /// Returns the reason why a write must be refused, or `None` if it is within the limits.
    fn validate_write(&self, key: &str, value: &str) -> Option<String> {
        let max_bytes = limits::STORE_VALUE_BYTES;
        if key.is_empty() || key.len() > KEY_BYTES {
            Some(format!(
                "key has {} bytes, allowed are 1 to {KEY_BYTES}",
                key.len()
            ))
        } else if value.len() > max_bytes {
            Some(format!(
                "value of key {key:?} has {} bytes, allowed are {max_bytes}",
                value.len()
            ))
        } else if self.entries.len() >= KEYS_MAX && !self.entries.contains_key(key) {
            Some(format!("store holds {KEYS_MAX} keys already"))
        } else {
            None
        }
    }
}
