//! Taking over a partition: head, fence, read back, open.

use std::collections::VecDeque;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, Revision};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

use crate::file::{self, ClaimFile, Written};
use crate::identity::Identity;
use crate::keys;
use crate::memory::{MEMORY_MS, Memory};
use crate::merge::{Merge, SealedSegment};
use crate::owned::Owned;
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
    /// Reads the claim files of an hour. The hours follow the list of the segments, because a slot is
    /// overwritten only after a file holds its claims.
    Files(u64),
    Merge(Merge),
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
    files: Vec<ClaimFile>,
    /// Last segment whose claims are in files, as far as known.
    merged: u64,
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
            files: Vec::new(),
            merged: 0,
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
            Stage::Files(hour) => StoreRequest::List {
                prefix: keys::files(identity.partition, *hour),
            },
            Stage::Merge(merge) => merge.request().unwrap_or_else(|| StoreRequest::Get {
                key: keys::head(identity.partition),
            }),
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
            Stage::Files(hour) => {
                let hour = *hour;
                self.files_read(now, identity, hour, outcome)
            }
            Stage::Merge(merge) => {
                let through = merge.through;
                self.merge_written(now, identity, through, &outcome)
            }
            Stage::WriteHead(write) => {
                let progress = write.on_reply(outcome);
                self.head_written(&progress)
            }
            Stage::Seal(write, _) => {
                let progress = write.on_reply(outcome);
                self.sealed(now, &progress)
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
            return Ok(self.read_files(now));
        };
        if last.segment.sealed.is_some() && open == 0 {
            return Ok(self.read_files(now));
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

    fn sealed(&mut self, now: Timestamp, progress: &Progress) -> Result<Step, String> {
        let Progress::Landed(revision) = progress else {
            return self.relist(progress);
        };
        if let (Stage::Seal(_, segment), Some(last)) = (&self.stage, self.loaded.last_mut()) {
            last.segment = segment.clone();
            last.revision = *revision;
        }
        Ok(self.read_files(now))
    }

    /// Starts to read the files whose claims may have to be in memory.
    fn read_files(&mut self, now: Timestamp) -> Step {
        self.files.clear();
        let since = UnixMillis(now.wall.0.saturating_sub(MEMORY_MS));
        self.stage = Stage::Files(file::hour(since));
        Step::Again
    }

    fn files_read(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        hour: u64,
        outcome: Outcome<StoreReply>,
    ) -> Result<Step, String> {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Ok(Step::Later);
        };
        for entry in &entries {
            let file = file::read(entry)?;
            self.merged = self.merged.max(file.through);
            self.files.push(file);
        }
        // The wall clock of the former owner may have been ahead.
        if hour <= file::hour(now.wall) {
            self.stage = Stage::Files(hour + 1);
            return Ok(Step::Again);
        }
        self.memory = Memory::default();
        for file in std::mem::take(&mut self.files) {
            self.memory.load_file(&file);
        }
        for one in &self.loaded {
            self.memory.load(one.number, &one.segment);
        }
        self.prepare_open(now, identity)
    }

    fn merge_written(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        through: u64,
        outcome: &Outcome<StoreReply>,
    ) -> Result<Step, String> {
        let Outcome::Done(reply) = outcome else {
            return Ok(Step::Later);
        };
        match file::written(through, reply) {
            Written::Through(through) => {
                self.merged = self.merged.max(through);
                self.prepare_open(now, identity)
            }
            Written::Later => Ok(Step::Later),
            Written::Refused(reason) | Written::Broken(reason) => Err(reason),
        }
    }

    /// Sealed segments whose claims are in no file.
    fn unmerged(&self) -> VecDeque<SealedSegment> {
        self.loaded
            .iter()
            .filter(|one| one.number > self.merged)
            .map(|one| SealedSegment {
                number: one.number,
                at: one.segment.sealed.unwrap_or_default(),
            })
            .collect()
    }

    /// Opens the next segment, after a file holds the claims of the one in its slot.
    fn prepare_open(&mut self, now: Timestamp, identity: &mut Identity) -> Result<Step, String> {
        let number = self.next_number();
        let mut sealed = self.unmerged();
        while let Some(first) = sealed.front()
            && first.number + keys::SLOTS <= number
        {
            let merge = Merge::prepare(identity.partition, now.wall, &self.memory, &sealed)
                .ok_or("a claim file cannot be written")?;
            if merge.request().is_some() {
                self.stage = Stage::Merge(merge);
                return Ok(Step::Again);
            }
            self.merged = merge.through;
            sealed = self.unmerged();
        }
        let segment = Segment {
            epoch: self.epoch,
            nonce: identity.nonce(),
            number,
            sealed: None,
            runs: self.memory.copy_runs(now.wall),
            entries: Vec::new(),
        };
        let key = keys::segment(identity.partition, number);
        let expect = self.slot_revision(number);
        let write = Write::new(key, segment::encode(&segment)?, expect, segment.nonce);
        self.stage = Stage::Open(write, segment);
        Ok(Step::Again)
    }

    fn slot_revision(&self, number: u64) -> Revision {
        self.loaded
            .iter()
            .find(|one| keys::slot(one.number) == keys::slot(number))
            .map_or(Revision(0), |one| one.revision)
    }

    fn opened(&mut self, sent: Monotonic, progress: &Progress) -> Result<Step, String> {
        let Progress::Landed(revision) = progress else {
            return self.relist(progress);
        };
        let Stage::Open(_, segment) = &self.stage else {
            return Ok(Step::Later);
        };
        let mut slots: FastMap<u64, Revision> = self
            .loaded
            .iter()
            .map(|one| (keys::slot(one.number), one.revision))
            .collect();
        slots.insert(keys::slot(segment.number), *revision);
        let sealed = self.unmerged();
        Ok(Step::Owned(Box::new(Owned::new(
            segment.clone(),
            slots,
            std::mem::take(&mut self.memory),
            (sealed, self.merged),
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
        let segment: Segment = segment::decode(&entry.key, &entry.value)?;
        if keys::segment(identity.partition, segment.number) != entry.key {
            return Err(format!("{} holds another segment", entry.key));
        }
        loaded.push(Loaded {
            number: segment.number,
            revision: entry.revision,
            segment,
        });
    }
    loaded.sort_by_key(|one| one.number);
    Ok(loaded)
}
