//! One compare-and-swap that survives lost replies.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{Nonce, Revision};

use crate::segment::{self, Stamp};

/// A write that is repeated with the same nonce until its outcome is known.
#[derive(Clone, Debug)]
pub(crate) struct Write {
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
    Landed(Revision),
    /// The next call is due at once.
    Again,
    /// The next call is due after a pause.
    Later,
    /// It surely took no effect; nothing was sent that could still land.
    NoEffect,
    /// The store refused the value.
    Refused(String),
    /// Another write came first. The entry is the key as it stands.
    Lost(Option<Stamp>),
    /// The key holds something that cannot be read.
    Broken(String),
}

impl Write {
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
                Progress::Landed(revision)
            }
            Outcome::Done(StoreReply::Conflict { entry }) if !self.reading => self.compare(entry),
            Outcome::Done(StoreReply::Value { entry }) if self.reading => self.compare(entry),
            Outcome::Done(StoreReply::Refused { reason }) if !self.reading && !self.uncertain => {
                Progress::Refused(reason)
            }
            Outcome::NoEffect(_) if !self.reading && !self.uncertain => Progress::NoEffect,
            Outcome::Unknown(_) if !self.reading => {
                self.uncertain = true;
                self.reading = true;
                Progress::Again
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => {
                self.reading = self.uncertain;
                Progress::Later
            }
        }
    }

    fn compare(&mut self, entry: Option<Entry>) -> Progress {
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        let stamp = match entry {
            None => None,
            Some(entry) => match segment::decode::<Stamp>(&entry.key, &entry.value) {
                Ok(stamp) => Some(stamp),
                Err(reason) => return Progress::Broken(reason),
            },
        };
        if stamp.is_some_and(|stamp| stamp.nonce == self.nonce) {
            return Progress::Landed(revision);
        }
        if self.reading && revision == self.expect {
            self.reading = false;
            return Progress::Again;
        }
        Progress::Lost(stamp)
    }
}
