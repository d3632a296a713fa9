//! Takeover of a partition: writes the head with a new epoch, seals the open segment to fence the
//! former owner, reads segments and claim files, and opens the next segment.

use std::collections::VecDeque;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, Revision};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

use crate::claim_file::{self, ClaimFile, FileWriteOutcome};
use crate::identity::Identity;
use crate::keys;
use crate::merge::{Merge, SealedSegment};
use crate::owned::Owned;
use crate::segment::{self, Head, Segment, WriteId};
use crate::state::{IN_MEMORY_RETENTION_MS, PartitionState};
use crate::write::{CasWrite, Progress};

/// A segment as read from the store.
#[derive(Clone, Debug)]
struct LoadedSegment {
    number: u64,
    revision: Revision,
    segment: Segment,
}

#[derive(Clone, Debug)]
enum Stage {
    ReadHead,
    WriteHead(CasWrite),
    ListSegments,
    Seal(CasWrite, Segment),
    /// Reads the claim files of an hour. This follows the list of segments, because a slot is
    /// overwritten only after its claims are in a claim file.
    ReadFiles(u64),
    Merge(Merge),
    Open(CasWrite, Segment),
}

/// A takeover in progress.
#[derive(Clone, Debug)]
pub(crate) struct Takeover {
    stage: Stage,
    /// Epoch of the new ownership. Until the head is read, the epoch that the new one must exceed.
    epoch: Epoch,
    /// Number of the segment that is opened if none is found. It is the same for every owner until
    /// a segment exists.
    first_segment: u64,
    segments: Vec<LoadedSegment>,
    files: Vec<ClaimFile>,
    /// Number of the last segment that is known to be in a claim file.
    merged_through: u64,
    state: PartitionState,
}

/// State of the takeover after a store reply.
#[derive(Clone, Debug)]
pub(crate) enum Transition {
    /// The next call is due immediately.
    Continue,
    /// The next call is due after a pause.
    RetryLater,
    /// The takeover is complete.
    Owned(Box<Owned>),
    /// Another instance took the partition over first. Holds its epoch, if known.
    Fenced(Option<Epoch>),
    /// A value in the store cannot be decoded, or a required one cannot be written.
    Unreadable(String),
}

impl Takeover {
    /// Starts a takeover with an epoch above `highest_other_epoch`.
    pub(crate) fn new(highest_other_epoch: Epoch) -> Self {
        Self {
            stage: Stage::ReadHead,
            epoch: highest_other_epoch,
            first_segment: 1,
            segments: Vec::new(),
            files: Vec::new(),
            merged_through: 0,
            state: PartitionState::default(),
        }
    }

    pub(crate) fn request(&self, identity: &Identity) -> StoreRequest {
        match &self.stage {
            Stage::ReadHead => StoreRequest::Get {
                key: keys::head(identity.partition),
            },
            Stage::ListSegments => StoreRequest::List {
                prefix: keys::segments(identity.partition),
            },
            Stage::ReadFiles(hour) => StoreRequest::List {
                prefix: keys::claim_files(identity.partition, *hour),
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
        sent_at: Monotonic,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Transition {
        let result = match &mut self.stage {
            Stage::ReadHead => self.on_head_read(identity, outcome),
            Stage::ListSegments => self.on_segments_listed(now, identity, outcome),
            Stage::ReadFiles(hour) => {
                let hour = *hour;
                self.on_files_read(now, identity, hour, outcome)
            }
            Stage::Merge(merge) => {
                let through = merge.through;
                self.on_merge_reply(now, identity, through, &outcome)
            }
            Stage::WriteHead(write) => {
                let progress = write.on_reply(outcome);
                self.on_head_written(&progress)
            }
            Stage::Seal(write, _) => {
                let progress = write.on_reply(outcome);
                self.on_sealed(now, &progress)
            }
            Stage::Open(write, _) => {
                let progress = write.on_reply(outcome);
                self.on_opened(sent_at, &progress)
            }
        };
        result.unwrap_or_else(Transition::Unreadable)
    }

    fn on_head_read(
        &mut self,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Result<Transition, String> {
        let Outcome::Done(StoreReply::Value { entry }) = outcome else {
            return Ok(Transition::RetryLater);
        };
        let mut expect = Revision(0);
        if let Some(entry) = entry {
            let head: Head = segment::decode(&entry.key, &entry.value)?;
            expect = entry.revision;
            self.epoch = self.epoch.max(head.epoch);
            // The former owner may still open this segment. Both must write the same key, so that
            // one of the writes fails.
            self.first_segment = head.segment;
        }
        self.epoch = self.epoch.next();
        let head = Head {
            epoch: self.epoch,
            nonce: identity.next_nonce(),
            owner: identity.owner.clone(),
            address: identity.address.clone(),
            segment: self.first_segment,
        };
        let key = keys::head(identity.partition);
        let write = CasWrite::new(key, segment::encode(&head)?, expect, head.nonce);
        self.stage = Stage::WriteHead(write);
        Ok(Transition::Continue)
    }

    fn on_head_written(&mut self, progress: &Progress) -> Result<Transition, String> {
        match progress {
            Progress::Applied(_) => {
                self.stage = Stage::ListSegments;
                Ok(Transition::Continue)
            }
            other => self.on_write_not_applied(other, Transition::Fenced),
        }
    }

    fn on_segments_listed(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        outcome: Outcome<StoreReply>,
    ) -> Result<Transition, String> {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Ok(Transition::RetryLater);
        };
        self.segments = decode_segments(identity, &entries)?;
        if let Some(higher) = self
            .segments
            .iter()
            .map(|loaded| loaded.segment.epoch)
            .max()
            && higher > self.epoch
        {
            return Ok(Transition::Fenced(Some(higher)));
        }
        let open = self
            .segments
            .iter()
            .filter(|loaded| loaded.segment.sealed.is_none())
            .count();
        let Some(last) = self.segments.last() else {
            return Ok(self.read_files(now));
        };
        if last.segment.sealed.is_some() && open == 0 {
            return Ok(self.read_files(now));
        }
        if open > 1 || last.segment.sealed.is_some() {
            // A segment is opened only after its predecessor was sealed, so the former owner wrote
            // while the list was read.
            return Ok(Transition::RetryLater);
        }
        let last = last.clone();
        self.prepare_seal(now, identity, last)
    }

    /// Seals the open segment under the new epoch. This changes its revision, so that every write
    /// of the former owner fails.
    fn prepare_seal(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        last: LoadedSegment,
    ) -> Result<Transition, String> {
        let segment = Segment {
            epoch: self.epoch,
            nonce: identity.next_nonce(),
            sealed: Some(now.wall),
            ..last.segment
        };
        let key = keys::segment(identity.partition, last.number);
        let write = CasWrite::new(
            key,
            segment::encode(&segment)?,
            last.revision,
            segment.nonce,
        );
        self.stage = Stage::Seal(write, segment);
        Ok(Transition::Continue)
    }

    fn on_sealed(&mut self, now: Timestamp, progress: &Progress) -> Result<Transition, String> {
        let Progress::Applied(revision) = progress else {
            return self.retry_from_list(progress);
        };
        if let (Stage::Seal(_, segment), Some(last)) = (&self.stage, self.segments.last_mut()) {
            last.segment = segment.clone();
            last.revision = *revision;
        }
        Ok(self.read_files(now))
    }

    /// Starts reading the claim files of the hours whose claims must be in memory.
    fn read_files(&mut self, now: Timestamp) -> Transition {
        self.files.clear();
        let since = UnixMillis(now.wall.0.saturating_sub(IN_MEMORY_RETENTION_MS));
        self.stage = Stage::ReadFiles(claim_file::hour(since));
        Transition::Continue
    }

    fn on_files_read(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        hour: u64,
        outcome: Outcome<StoreReply>,
    ) -> Result<Transition, String> {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Ok(Transition::RetryLater);
        };
        for entry in &entries {
            let file = claim_file::decode(entry)?;
            self.merged_through = self.merged_through.max(file.through);
            self.files.push(file);
        }
        // The wall clock of the former owner may have been ahead of this one, so one more hour is
        // read.
        if hour <= claim_file::hour(now.wall) {
            self.stage = Stage::ReadFiles(hour + 1);
            return Ok(Transition::Continue);
        }
        self.state = PartitionState::default();
        for file in std::mem::take(&mut self.files) {
            self.state.load_file(&file);
        }
        for loaded in &self.segments {
            self.state.load_segment(loaded.number, &loaded.segment);
        }
        self.prepare_open(now, identity)
    }

    fn on_merge_reply(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
        through: u64,
        outcome: &Outcome<StoreReply>,
    ) -> Result<Transition, String> {
        let Outcome::Done(reply) = outcome else {
            return Ok(Transition::RetryLater);
        };
        match claim_file::interpret_write_reply(through, reply) {
            FileWriteOutcome::Stored(through) => {
                self.merged_through = self.merged_through.max(through);
                self.prepare_open(now, identity)
            }
            FileWriteOutcome::RetryLater => Ok(Transition::RetryLater),
            FileWriteOutcome::Refused(reason) | FileWriteOutcome::Unreadable(reason) => Err(reason),
        }
    }

    /// Sealed segments whose claims are not in a claim file yet.
    fn unmerged(&self) -> VecDeque<SealedSegment> {
        self.segments
            .iter()
            .filter(|loaded| loaded.number > self.merged_through)
            .map(|loaded| SealedSegment {
                number: loaded.number,
                sealed_at: loaded.segment.sealed.unwrap_or_default(),
            })
            .collect()
    }

    /// Prepares the write that opens the next segment. If the slot still holds claims that are not
    /// in a claim file, that file is written first.
    fn prepare_open(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
    ) -> Result<Transition, String> {
        let number = self.next_number();
        let mut sealed = self.unmerged();
        while let Some(first) = sealed.front()
            && first.number + keys::SLOTS <= number
        {
            let merge = Merge::prepare(identity.partition, now.wall, &self.state, &sealed)
                .ok_or("a claim file cannot be written")?;
            if merge.request().is_some() {
                self.stage = Stage::Merge(merge);
                return Ok(Transition::Continue);
            }
            self.merged_through = merge.through;
            sealed = self.unmerged();
        }
        let segment = Segment {
            epoch: self.epoch,
            nonce: identity.next_nonce(),
            number,
            sealed: None,
            runs: self.state.snapshot_runs(now.wall),
            entries: Vec::new(),
        };
        let key = keys::segment(identity.partition, number);
        let expect = self.slot_revision(number);
        let write = CasWrite::new(key, segment::encode(&segment)?, expect, segment.nonce);
        self.stage = Stage::Open(write, segment);
        Ok(Transition::Continue)
    }

    fn slot_revision(&self, number: u64) -> Revision {
        self.segments
            .iter()
            .find(|loaded| keys::slot(loaded.number) == keys::slot(number))
            .map_or(Revision(0), |loaded| loaded.revision)
    }

    fn on_opened(&mut self, sent_at: Monotonic, progress: &Progress) -> Result<Transition, String> {
        let Progress::Applied(revision) = progress else {
            return self.retry_from_list(progress);
        };
        let Stage::Open(_, segment) = &self.stage else {
            return Ok(Transition::RetryLater);
        };
        let mut slots: FastMap<u64, Revision> = self
            .segments
            .iter()
            .map(|loaded| (keys::slot(loaded.number), loaded.revision))
            .collect();
        slots.insert(keys::slot(segment.number), *revision);
        let sealed = self.unmerged();
        Ok(Transition::Owned(Box::new(Owned::new(
            segment.clone(),
            slots,
            std::mem::take(&mut self.state),
            (sealed, self.merged_through),
            sent_at,
        ))))
    }

    /// Lists the segments again if the write conflicted with a change made after the list. The
    /// change was made by the former owner, or by an owner with a higher epoch, which the next list
    /// shows.
    fn retry_from_list(&mut self, progress: &Progress) -> Result<Transition, String> {
        if let Progress::Conflict(write_id) = progress
            && write_id.is_none_or(|id| id.epoch <= self.epoch)
        {
            self.stage = Stage::ListSegments;
            return Ok(Transition::Continue);
        }
        self.on_write_not_applied(progress, Transition::Fenced)
    }

    fn on_write_not_applied(
        &self,
        progress: &Progress,
        fenced: impl FnOnce(Option<Epoch>) -> Transition,
    ) -> Result<Transition, String> {
        match progress {
            Progress::Continue => Ok(Transition::Continue),
            Progress::Applied(_) | Progress::RetryLater | Progress::NoEffect => {
                Ok(Transition::RetryLater)
            }
            Progress::Conflict(write_id) => Ok(fenced(write_id.map(|id: WriteId| id.epoch))),
            Progress::Refused(reason) | Progress::Unreadable(reason) => Err(reason.clone()),
        }
    }

    fn next_number(&self) -> u64 {
        self.segments
            .last()
            .map_or(self.first_segment, |last| last.number + 1)
    }
}

fn decode_segments(identity: &Identity, entries: &[Entry]) -> Result<Vec<LoadedSegment>, String> {
    let mut loaded = Vec::with_capacity(entries.len());
    for entry in entries {
        let segment: Segment = segment::decode(&entry.key, &entry.value)?;
        if keys::segment(identity.partition, segment.number) != entry.key {
            return Err(format!("{} holds another segment", entry.key));
        }
        loaded.push(LoadedSegment {
            number: segment.number,
            revision: entry.revision,
            segment,
        });
    }
    loaded.sort_by_key(|loaded| loaded.number);
    Ok(loaded)
}
