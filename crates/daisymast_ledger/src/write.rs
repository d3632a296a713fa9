//! Compare-and-swap write that determines its outcome after a lost reply.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{Nonce, Revision};

use crate::segment::{self, WriteId};

/// A compare-and-swap write that is repeated with the same nonce until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) struct CasWrite {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) expect: Revision,
    pub(crate) nonce: Nonce,
    /// Whether an earlier attempt may have taken effect or may still do so.
    pub(crate) uncertain: bool,
    reading: bool,
}

/// State of the write after a reply.
#[derive(Clone, Debug)]
pub(crate) enum Progress {
    /// The write took effect. Holds the new revision of the key.
    Applied(Revision),
    /// The next call is due immediately.
    Continue,
    /// The next call is due after a pause.
    RetryLater,
    /// The write took no effect, and no earlier attempt can still take effect.
    NoEffect,
    /// The store refused the value.
    Refused(String),
    /// Another write changed the key first. Identifies the write that stored the current value,
    /// `None` if the key does not exist.
    Conflict(Option<WriteId>),
    /// The key holds a value that cannot be decoded.
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

    /// The next store call: the write, or a read of the key after an unknown outcome.
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
