//! Deletes claim files after their retention time.

use std::collections::VecDeque;

use daisymast_protocol::store::{Entry, StoreRequest};
use daisymast_types::ids::{Partition, Revision};
use daisymast_types::time::UnixMillis;

use crate::claim_file;
use crate::keys;

/// Progress of the deletion: the next hour to list, and the files to delete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sweep {
    /// Next hour to list, `None` before the first call.
    hour: Option<u64>,
    files: VecDeque<(String, Revision)>,
}

impl Sweep {
    /// The next store call, if any.
    pub(crate) fn request(
        &mut self,
        partition: Partition,
        wall: UnixMillis,
    ) -> Option<StoreRequest> {
        if let Some((key, expect)) = self.files.front().cloned() {
            return Some(StoreRequest::Delete { key, expect });
        }
        let now = claim_file::hour(wall);
        let hour = *self
            .hour
            .get_or_insert(now.saturating_sub(claim_file::SWEEP_LOOKBACK_HOURS));
        (hour + claim_file::RETENTION_HOURS <= now).then(|| StoreRequest::List {
            prefix: keys::claim_files(partition, hour),
        })
    }

    /// Queues the listed claim files for deletion and advances to the next hour.
    pub(crate) fn on_list(&mut self, entries: Vec<Entry>) {
        let files = entries.into_iter().map(|entry| (entry.key, entry.revision));
        self.files.extend(files);
        self.hour = self.hour.map(|hour| hour + 1);
    }

    /// Handles the reply to a delete: the file is deleted, or another instance changed it.
    pub(crate) fn on_deleted(&mut self) {
        self.files.pop_front();
    }
}
