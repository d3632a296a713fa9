//! Taking over a partition: head, fence, read back, open.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{Epoch, Revision};
use daisymast_types::time::{Monotonic, Timestamp};

use crate::identity::Identity;
use crate::keys;
use crate::memory::Memory;
use crate::owned::{Owned, SealedSegment};
use crate::segment::{self, Head, Segment, Stamp};
use crate::write::{Progress, Write};

/// A segment as it was read.
#[derive(Clone, Debug)]
struct Loaded {
    number: u64,
    revision: Revision,
    segment: Segment,
}

#[derive(Clone, Debug)]
enum Stage {
    ReadHead,
    WriteHead(Write),
    List,
    Seal(Write, Segment),
    Open(Write, Segment),
}

/// A takeover in progress.
#[derive(Clone, Debug)]
pub(crate) struct Takeover {
    stage: Stage,
    /// Epoch of the new ownership; before the head is read, the lowest that it must exceed.
    epoch: Epoch,
    /// Segment that is opened if no segment is found; the same for every owner until one exists.
    first: u64,
    loaded: Vec<Loaded>,
    memory: Memory,
}

/// What follows from a reply.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The next call is due at once.
    Again,
    /// The next call is due after a pause.
    Later,
    /// The partition is owned.
    Owned(Box<Owned>),
    /// Another instance was faster; its epoch, if known.
    Lost(Option<Epoch>),
    /// A value cannot be read or written.
    Broken(String),
}

impl Takeover {
    /// Starts a takeover with an epoch above `floor`.
    pub(crate) fn new(floor: Epoch) -> Self {
        Self {
            stage: Stage::ReadHead,
            epoch: floor,
            first: 1,
            loaded: Vec::new(),
            memory: Memory::default(),
        }
    }

    pub(crate) fn request(&self, identity: &Identity) -> StoreRequest {
        match &self.stage {
            Stage::ReadHead => StoreRequest::Get {
                key: keys::head(identity.partition),
            },
            Stage::List => StoreRequest::List {
                prefix: keys::segments(identity.partition),
            },
            Stage::WriteHead(write) | Stage::Seal(write, _) | Stage::Open(write, _) => {
                write.request()
            }
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        now: Timestamp,
        sent: Monotonic,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Step {
        let result = match &mut self.stage {
            Stage::ReadHead => self.head_read(identity, outcome),
            Stage::List => self.listed(now, identity, outcome),
            Stage::WriteHead(write) => {
                let progress = write.on_reply(outcome);
                self.head_written(&progress)
            }
            Stage::Seal(write, _) => {
                let progress = write.on_reply(outcome);
                self.sealed(now, identity, &progress)
            }
            Stage::Open(write, _) => {
                let progress = write.on_reply(outcome);
                self.opened(sent, &progress)
            }
        };
        result.unwrap_or_else(Step::Broken)
    }

    fn head_read(
        &mut self,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Result<Step, String> {
        let Outcome::Done(StoreReply::Value { entry }) = outcome else {
            return Ok(Step::Later);
        };
        let mut expect = Revision(0);
        if let Some(entry) = entry {
            let head: Head = segment::decode(&entry.key, &entry.value)?;
            expect = entry.revision;
            self.epoch = self.epoch.max(head.epoch);
            // The former owner may still open this segment, so both have to write the same key.
            self.first = head.segment;
        }
        self.epoch = self.epoch.next();
        let head = Head {
            epoch: self.epoch,
            nonce: identity.nonce(),
            owner: identity.owner.clone(),
            address: identity.address.clone(),
            segment: self.first,
        };
        let key = keys::head(identity.partition);
        let write = Write::new(key, segment::encode(&head)?, expect, head.nonce);
        self.stage = Stage::WriteHead(write);
        Ok(Step::Again)
    }

    fn head_written(&mut self, progress: &Progress) -> Result<Step, String> {
        match progress {
            Progress::Landed(_) => {
                self.stage = Stage::List;
                Ok(Step::Again)
            }
            other => self.unfinished(other, Step::Lost),
        }
    }

    fn listed(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Result<Step, String> {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Ok(Step::Later);
        };
        self.loaded = load(identity, &entries)?;
        if let Some(higher) = self.loaded.iter().map(|one| one.segment.epoch).max()
            && higher > self.epoch
        {
            return Ok(Step::Lost(Some(higher)));
        }
        let open = self
            .loaded
            .iter()
            .filter(|one| one.segment.sealed.is_none())
            .count();
        let Some(last) = self.loaded.last() else {
            return self.prepare_open(now, identity);
        };
        if last.segment.sealed.is_some() && open == 0 {
            return self.prepare_open(now, identity);
        }
        if open > 1 || last.segment.sealed.is_some() {
            // A segment is opened only after the one before it was sealed, so the list was read
            // while the former owner wrote.
            return Ok(Step::Later);
        }
        let last = last.clone();
        self.prepare_seal(now, identity, last)
    }

    /// Marks the open segment with the new epoch, so that every write of the former owner fails.
    fn prepare_seal(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        last: Loaded,
    ) -> Result<Step, String> {
        let segment = Segment {
            epoch: self.epoch,
            nonce: identity.nonce(),
            sealed: Some(now.wall),
            ..last.segment
        };
        let key = keys::segment(identity.partition, last.number);
        let write = Write::new(
            key,
            segment::encode(&segment)?,
            last.revision,
            segment.nonce,
        );
        self.stage = Stage::Seal(write, segment);
        Ok(Step::Again)
    }

    fn sealed(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        progress: &Progress,
    ) -> Result<Step, String> {
        let Progress::Landed(revision) = progress else {
            return self.relist(progress);
        };
        if let (Stage::Seal(_, segment), Some(last)) = (&self.stage, self.loaded.last_mut()) {
            last.segment = segment.clone();
            last.revision = *revision;
        }
        self.prepare_open(now, identity)
    }

    /// Rebuilds the state from the segments, which are all sealed, and opens the next one.
    fn prepare_open(&mut self, now: Timestamp, identity: &mut Identity) -> Result<Step, String> {
        self.memory = Memory::default();
        for one in &self.loaded {
            self.memory.load(one.number, &one.segment);
        }
        let segment = Segment {
            epoch: self.epoch,
            nonce: identity.nonce(),
            sealed: None,
            runs: self.memory.copy_runs(now.wall),
            entries: Vec::new(),
        };
        let key = keys::segment(identity.partition, self.next_number());
        let write = Write::new(key, segment::encode(&segment)?, Revision(0), segment.nonce);
        self.stage = Stage::Open(write, segment);
        Ok(Step::Again)
    }

    fn opened(&mut self, sent: Monotonic, progress: &Progress) -> Result<Step, String> {
        let Progress::Landed(revision) = progress else {
            return self.relist(progress);
        };
        let Stage::Open(_, segment) = &self.stage else {
            return Ok(Step::Later);
        };
        let sealed = self.loaded.iter().map(|one| SealedSegment {
            number: one.number,
            revision: one.revision,
            at: one.segment.sealed.unwrap_or_default(),
        });
        Ok(Step::Owned(Box::new(Owned::new(
            self.next_number(),
            *revision,
            segment.clone(),
            std::mem::take(&mut self.memory),
            sealed.collect(),
            sent,
        ))))
    }

    /// A segment changed after it was listed: by the former owner, or by one with a higher epoch,
    /// which the next list shows.
    fn relist(&mut self, progress: &Progress) -> Result<Step, String> {
        if let Progress::Lost(stamp) = progress
            && stamp.is_none_or(|stamp| stamp.epoch <= self.epoch)
        {
            self.stage = Stage::List;
            return Ok(Step::Again);
        }
        self.unfinished(progress, Step::Lost)
    }

    fn unfinished(
        &self,
        progress: &Progress,
        lost: impl FnOnce(Option<Epoch>) -> Step,
    ) -> Result<Step, String> {
        match progress {
            Progress::Again => Ok(Step::Again),
            Progress::Landed(_) | Progress::Later | Progress::NoEffect => Ok(Step::Later),
            Progress::Lost(stamp) => Ok(lost(stamp.map(|stamp: Stamp| stamp.epoch))),
            Progress::Refused(reason) | Progress::Broken(reason) => Err(reason.clone()),
        }
    }

    fn next_number(&self) -> u64 {
        self.loaded
            .last()
            .map_or(self.first, |last| last.number + 1)
    }
}

fn load(identity: &Identity, entries: &[Entry]) -> Result<Vec<Loaded>, String> {
    let mut loaded = Vec::with_capacity(entries.len());
    for entry in entries {
        let number = keys::segment_number(identity.partition, &entry.key)
            .ok_or_else(|| format!("{} is not the key of a segment", entry.key))?;
        loaded.push(Loaded {
            number,
            revision: entry.revision,
            segment: segment::decode(&entry.key, &entry.value)?,
        });
    }
    loaded.sort_by_key(|one| one.number);
    Ok(loaded)
}
