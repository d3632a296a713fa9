//! An owned partition: group commit, confirmation of the ownership, deletion of old segments.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{Entry as StoreEntry, StoreReply, StoreRequest};
use daisymast_types::ids::{Epoch, RequestId, Revision};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

use crate::commit::{Answers, Commit, Queue};
use crate::effect::{Reply, Ticket};
use crate::entry::Entry;
use crate::identity::Identity;
use crate::keys;
use crate::memory::Memory;
use crate::questions::Questions;
use crate::segment::{self, SEAL_BYTES, SEAL_ENTRIES, Segment, Stamp};
use crate::write::{Progress, Write};

/// Least time between the starts of two writes of a partition.
pub(crate) const COMMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a successful call after which the ownership is read back. Runs are polled only
/// while it was confirmed within 15 min, so several reads may fail.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_secs(60);
/// Least time between two reads for the sake of questions; those that come meanwhile share one.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a sealed segment is kept, in milliseconds.
pub(crate) const RETENTION_MS: u64 = 24 * 3_600 * 1_000;

/// A sealed segment in the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SealedSegment {
    pub(crate) number: u64,
    pub(crate) revision: Revision,
    pub(crate) at: UnixMillis,
}

/// What the open store call is for.
#[derive(Clone, Debug)]
enum Activity {
    None,
    Commit(Box<Commit>),
    Confirm,
    Delete(SealedSegment),
}

/// What follows from a reply.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The next call may follow at once.
    Again,
    /// The next call is due after a pause.
    Later,
    /// The ownership is over; epoch of the other owner, if known.
    Fenced(Option<Epoch>),
    /// The open segment cannot be read.
    Broken(String),
    /// The store refused a write, which surely took no effect.
    Refused(String),
}

/// State of an owned partition.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    number: u64,
    /// Revision of the open segment; zero as long as it was not written.
    revision: Revision,
    segment: Segment,
    /// Bytes of the entries of the open segment.
    bytes: usize,
    pub(crate) memory: Memory,
    pub(crate) queue: Queue,
    sealed: VecDeque<SealedSegment>,
    activity: Activity,
    last_write: Option<Monotonic>,
    /// Time of sending of the last call that showed the ownership.
    pub(crate) confirmed: Monotonic,
    confirm_now: bool,
    questions: Questions,
    last_confirm: Option<Monotonic>,
}

impl Owned {
    pub(crate) fn new(
        number: u64,
        revision: Revision,
        segment: Segment,
        memory: Memory,
        sealed: VecDeque<SealedSegment>,
        confirmed: Monotonic,
    ) -> Self {
        Self {
            number,
            revision,
            segment,
            bytes: 0,
            memory,
            queue: Queue::default(),
            sealed,
            activity: Activity::None,
            last_write: Some(confirmed),
            confirmed,
            confirm_now: false,
            questions: Questions::default(),
            last_confirm: None,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.segment.epoch
    }

    /// Asks for a read of the open segment, because another instance seems to own the partition.
    pub(crate) fn confirm(&mut self) {
        self.confirm_now = true;
    }

    pub(crate) fn claim_state(&self, request: &RequestId) -> ClaimState {
        self.queue
            .claim_state(request)
            .unwrap_or_else(|| self.memory.claim_state(request))
    }

    /// Queues entries; the answer comes with the write unless it is known at once.
    pub(crate) fn push(&mut self, now: Monotonic, ticket: Ticket, entries: Vec<Entry>) -> Answers {
        let answer = self.queue.push(now, ticket, entries);
        answer.map(|reply| (ticket, reply)).into_iter().collect()
    }

    /// Queues a question after a request of which nothing is known.
    pub(crate) fn ask(&mut self, now: Monotonic, ticket: Ticket, id: RequestId) -> Answers {
        self.questions.push(now, ticket, id)
    }

    /// Answers that are due because they waited too long.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = self.queue.expire(now);
        answers.extend(self.questions.expire(now));
        if let Activity::Commit(commit) = &mut self.activity {
            answers.extend(commit.expire(now));
        }
        answers
    }

    /// Whether somebody waits for an answer.
    pub(crate) fn has_waiters(&self) -> bool {
        let writing = match &self.activity {
            Activity::Commit(commit) => commit.has_waiters(),
            Activity::None | Activity::Confirm | Activity::Delete(_) => false,
        };
        writing || !self.queue.is_empty() || !self.questions.is_empty()
    }

    /// The call that is due, if any. Only asked for while no call is open.
    pub(crate) fn request(
        &mut self,
        now: Timestamp,
        identity: &mut Identity,
    ) -> Option<StoreRequest> {
        if matches!(self.activity, Activity::None) {
            self.activity = self.next_activity(now, identity);
        }
        let key = |number| keys::segment(identity.partition, number);
        match &self.activity {
            Activity::None => None,
            Activity::Commit(commit) => Some(commit.write.request()),
            Activity::Confirm => Some(StoreRequest::Get {
                key: key(self.number),
            }),
            Activity::Delete(sealed) => Some(StoreRequest::Delete {
                key: key(sealed.number),
                expect: sealed.revision,
            }),
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        sent: Monotonic,
        wall: UnixMillis,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Step {
        match std::mem::replace(&mut self.activity, Activity::None) {
            Activity::None => Step::Later,
            Activity::Commit(mut commit) => match commit.write.on_reply(outcome) {
                Progress::Landed(revision) => {
                    self.confirmed = self.confirmed.max(sent);
                    answers.extend(self.landed(*commit, revision, wall));
                    answers.extend(self.questions.confirmed(sent, &self.memory));
                    Step::Again
                }
                other => self.not_landed(*commit, other, answers),
            },
            Activity::Confirm => self.confirm_read(sent, outcome, answers),
            Activity::Delete(sealed) => self.deleted(sealed, &outcome),
        }
    }

    /// Gives up the ownership: entries that were never sent, or surely did not land, get `unsent`.
    pub(crate) fn give_up(self, unsent: &Reply) -> Answers {
        let mut queue = self.queue;
        let mut answers = queue.clear(unsent);
        let mut questions = self.questions;
        answers.extend(questions.clear(unsent));
        if let Activity::Commit(commit) = self.activity {
            answers.extend(commit.answer(&Reply::Unknown));
        }
        answers
    }

    fn next_activity(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let rested = self
            .last_write
            .is_none_or(|at| now.mono - at >= COMMIT_INTERVAL);
        if !self.queue.is_empty() && rested {
            self.last_write = Some(now.mono);
            return self.group(now, identity);
        }
        let asked = !self.questions.is_empty()
            && self
                .last_confirm
                .is_none_or(|at| now.mono - at >= QUESTION_INTERVAL);
        if asked || self.confirm_now || now.mono - self.confirmed >= CONFIRM_INTERVAL {
            self.confirm_now = false;
            self.last_confirm = Some(now.mono);
            return Activity::Confirm;
        }
        match self.sealed.front() {
            Some(first) if now.wall.0.saturating_sub(first.at.0) >= RETENTION_MS => {
                Activity::Delete(*first)
            }
            _ => Activity::None,
        }
    }

    fn group(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let items = self.queue.take(self.segment.entries.len(), self.bytes);
        let mut segment = self.segment.clone();
        segment.nonce = identity.nonce();
        let added = items.iter().flat_map(|item| item.entries.iter().cloned());
        segment.entries.extend(added);
        let bytes = self.bytes + items.iter().map(|item| item.bytes).sum::<usize>();
        if segment.entries.len() >= SEAL_ENTRIES || bytes >= SEAL_BYTES {
            segment.sealed = Some(now.wall);
        }
        let key = keys::segment(identity.partition, self.number);
        let Ok(value) = segment::encode(&segment) else {
            self.queue.put_back(items);
            return Activity::None;
        };
        Activity::Commit(Box::new(Commit {
            write: Write::new(key, value, self.revision, segment.nonce),
            segment,
            bytes,
            items,
        }))
    }

    fn landed(&mut self, commit: Commit, revision: Revision, wall: UnixMillis) -> Answers {
        for item in &commit.items {
            self.queue.forget(item);
            for entry in &item.entries {
                self.memory.apply(self.number, entry);
            }
        }
        self.revision = revision;
        self.segment = commit.segment.clone();
        self.bytes = commit.bytes;
        if let Some(at) = self.segment.sealed {
            self.sealed.push_back(SealedSegment {
                number: self.number,
                revision,
                at,
            });
            self.number += 1;
            self.revision = Revision(0);
            self.bytes = 0;
            self.segment.sealed = None;
            self.segment.runs = self.memory.copy_runs(wall);
            self.segment.entries.clear();
        }
        commit.answer(&Reply::Committed)
    }

    fn not_landed(&mut self, commit: Commit, progress: Progress, answers: &mut Answers) -> Step {
        match progress {
            Progress::Landed(_) | Progress::Again => {
                self.activity = Activity::Commit(Box::new(commit));
                Step::Again
            }
            Progress::Later => {
                self.activity = Activity::Commit(Box::new(commit));
                Step::Later
            }
            Progress::NoEffect => {
                self.queue.put_back(commit.items);
                Step::Later
            }
            Progress::Refused(reason) => {
                for item in &commit.items {
                    self.queue.forget(item);
                }
                answers.extend(commit.answer(&Reply::Unavailable));
                Step::Refused(reason)
            }
            Progress::Lost(stamp) => {
                answers.extend(commit.answer_unless_uncertain(&Reply::NotOwner));
                Step::Fenced(stamp.map(|stamp| stamp.epoch))
            }
            Progress::Broken(reason) => {
                answers.extend(commit.answer_unless_uncertain(&Reply::Unavailable));
                Step::Broken(reason)
            }
        }
    }

    fn confirm_read(
        &mut self,
        sent: Monotonic,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Step {
        let Outcome::Done(StoreReply::Value { entry }) = outcome else {
            self.confirm_now = true;
            return Step::Later;
        };
        if entry.as_ref().map_or(Revision(0), |entry| entry.revision) == self.revision {
            self.confirmed = self.confirmed.max(sent);
            answers.extend(self.questions.confirmed(sent, &self.memory));
            return Step::Again;
        }
        match entry.as_ref().map(read_stamp) {
            None => Step::Fenced(None),
            Some(Ok(stamp)) => Step::Fenced(Some(stamp.epoch)),
            Some(Err(reason)) => Step::Broken(reason),
        }
    }

    fn deleted(&mut self, sealed: SealedSegment, outcome: &Outcome<StoreReply>) -> Step {
        match outcome {
            Outcome::Done(StoreReply::Written { .. } | StoreReply::Conflict { entry: None }) => {
                self.sealed.pop_front();
                self.memory.drop_segment(sealed.number);
                Step::Again
            }
            Outcome::Done(StoreReply::Conflict { entry: Some(_) }) => {
                self.confirm_now = true;
                self.sealed.pop_front();
                Step::Later
            }
            Outcome::Done(_) | Outcome::NoEffect(_) | Outcome::Unknown(_) => Step::Later,
        }
    }
}

fn read_stamp(entry: &StoreEntry) -> Result<Stamp, String> {
    segment::decode(&entry.key, &entry.value)
}
