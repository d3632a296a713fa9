//! One compare-and-swap that survives lost replies.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{Nonce, Revision};

use crate::segment::{self, WriteId};

/// A write that is repeated with the same nonce until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) struct CasWrite {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) expect: Revision,
    pub(crate) nonce: Nonce,
    /// Whether an earlier attempt may have taken effect, now or later.
    pub(crate) uncertain: bool,
    reading: bool,
}

/// What a reply means for the write.
#[derive(Clone, Debug)]
pub(crate) enum Progress {
    /// It took effect.
    Applied(Revision),
    /// The next call is due at once.
    Continue,
    /// The next call is due after a pause.
    RetryLater,
    /// It surely took no effect; nothing was sent that could still land.
    NoEffect,
    /// The store refused the value.
    Refused(String),
    /// Another write came first. The entry is the key as it stands.
    Conflict(Option<WriteId>),
    /// The key holds something that cannot be read.
    Unreadable(String),
}

impl CasWrite {
    pub(crate) fn new(key: String, value: String, expect: Revision, nonce: Nonce) -> Self {
        Self {
            key,
            value,
            expect,
            nonce,
            uncertain: false,
            reading: false,
        }
    }

    /// The call that is due: the write itself, or a read after an unknown outcome.
    pub(crate) fn request(&self) -> StoreRequest {
        if self.reading {
            return StoreRequest::Get {
                key: self.key.clone(),
            };
        }
        StoreRequest::Put {
            key: self.key.clone(),
            value: self.value.clone(),
            expect: self.expect,
        }
    }

    pub(crate) fn on_reply(&mut self, outcome: Outcome<StoreReply>) -> Progress {
        match outcome {
            Outcome::Done(StoreReply::Written { revision }) if !self.reading => {
                Progress::Applied(revision)
            }
            Outcome::Done(StoreReply::Conflict { entry }) if !self.reading => {
                self.compare_with_stored(entry)
            }
            Outcome::Done(StoreReply::Value { entry }) if self.reading => {
                self.compare_with_stored(entry)
            }
            Outcome::Done(StoreReply::Refused { reason }) if !self.reading && !self.uncertain => {
                Progress::Refused(reason)
            }
            Outcome::NoEffect(_) if !self.reading && !self.uncertain => Progress::NoEffect,
            Outcome::Unknown(_) if !self.reading => {
                self.uncertain = true;
                self.reading = true;
                Progress::Continue
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                self.reading = self.uncertain;
                Progress::RetryLater
            }
        }
    }

    fn compare_with_stored(&mut self, entry: Option<Entry>) -> Progress {
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        let write_id = match entry {
            None => None,
            Some(entry) => match segment::decode::<WriteId>(&entry.key, &entry.value) {
                Ok(write_id) => Some(write_id),
                Err(reason) => return Progress::Unreadable(reason),
            },
        };
        if write_id.is_some_and(|write_id| write_id.nonce == self.nonce) {
            return Progress::Applied(revision);
        }
        if self.reading && revision == self.expect {
            self.reading = false;
            return Progress::Continue;
        }
        Progress::Conflict(write_id)
    }
}
