//! An owned partition: group commit, confirmation of the ownership, claim files.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{Entry as StoreEntry, StoreReply, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, RequestId, Revision};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

use crate::commit::{Answers, Commit, Queue};
use crate::effect::{Reply, Ticket};
use crate::entry::Entry;
use crate::file::{self, MERGE_AGE_MS, MERGE_SEGMENTS, RECORD_AGE_MS};
use crate::identity::Identity;
use crate::keys::{self, SLOTS};
use crate::memory::{CLAIM_AGE_MS, CLAIMS_MAX, Memory};
use crate::merge::{Merge, SealedSegment};
use crate::questions::Questions;
use crate::search::Searches;
use crate::segment::{self, SEAL_BYTES, SEAL_ENTRIES, Segment, Stamp};
use crate::sweep::Sweep;
use crate::write::{Progress, Write};

mod replies;

/// Least time between the starts of two writes of a partition.
pub(crate) const COMMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a successful call after which the ownership is read back. Runs are polled only
/// while it was confirmed within 15 min, so several reads may fail.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_secs(60);
/// Least time between two reads for the sake of questions; those that come meanwhile share one.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a segment with entries is sealed, so that its claims get into a file.
const SEAL_AGE: Duration = Duration::from_secs(600);
/// Slots that stay free for the segments that takeovers open.
const SPARE_SLOTS: u64 = 8;
/// Time of ownership after which old files are looked for; a takeover is busy enough.
const SWEEP_AFTER: Duration = Duration::from_secs(60);
/// Pause after the store refused a claim file.
const MERGE_PAUSE: Duration = Duration::from_secs(10);

/// What the open store call is for.
#[derive(Clone, Debug)]
enum Activity {
    None,
    Commit(Box<Commit>),
    Confirm,
    Merge(Merge),
    /// List of the claim files of an hour for a question.
    Search(u64),
    Sweep(StoreRequest),
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
    /// Revision of the slot of the open segment.
    revision: Revision,
    /// Revisions of all slots that were ever written.
    slots: FastMap<u64, Revision>,
    segment: Segment,
    /// Bytes of the entries of the open segment.
    bytes: usize,
    /// Time of the first write of entries to it.
    filled: Option<Monotonic>,
    pub(crate) memory: Memory,
    pub(crate) queue: Queue,
    /// Sealed segments whose claims are in no file.
    sealed: VecDeque<SealedSegment>,
    /// Last segment whose claims are in files.
    merged: u64,
    merge_after: Monotonic,
    activity: Activity,
    last_write: Option<Monotonic>,
    since: Monotonic,
    /// Time of sending of the last call that showed the ownership.
    pub(crate) confirmed: Monotonic,
    confirm_now: bool,
    questions: Questions,
    searches: Searches,
    sweep: Sweep,
    last_confirm: Option<Monotonic>,
}

impl Owned {
    pub(crate) fn new(
        segment: Segment,
        slots: FastMap<u64, Revision>,
        memory: Memory,
        (sealed, merged): (VecDeque<SealedSegment>, u64),
        confirmed: Monotonic,
    ) -> Self {
        Self {
            revision: revision_of(&slots, segment.number),
            slots,
            segment,
            bytes: 0,
            filled: None,
            memory,
            queue: Queue::default(),
            sealed,
            merged,
            merge_after: Monotonic::ZERO,
            activity: Activity::None,
            last_write: Some(confirmed),
            since: confirmed,
            confirmed,
            confirm_now: false,
            questions: Questions::default(),
            searches: Searches::default(),
            sweep: Sweep::default(),
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

    /// Whether no further claim may be kept in memory.
    pub(crate) fn is_full(&self) -> bool {
        self.memory.len() + self.queue.claims() >= CLAIMS_MAX
    }

    /// Queues a question after a request of which nothing is in memory.
    pub(crate) fn ask(&mut self, now: Timestamp, ticket: Ticket, id: RequestId) -> Answers {
        match file::issued(&id) {
            Some(issued) if now.wall.0.saturating_sub(issued.0) >= RECORD_AGE_MS => {
                vec![(ticket, Reply::Unavailable)]
            }
            Some(issued) if now.wall.0.saturating_sub(issued.0) >= CLAIM_AGE_MS => {
                let now = (now.mono, now.wall);
                self.searches.push(now, ticket, id, issued)
            }
            _ => self.questions.push(now.mono, ticket, id),
        }
    }

    /// Answers that are due because they waited too long.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = self.queue.expire(now);
        answers.extend(self.questions.expire(now));
        answers.extend(self.searches.expire(now));
        if let Activity::Commit(commit) = &mut self.activity {
            answers.extend(commit.expire(now));
        }
        answers
    }

    /// Whether somebody waits for an answer.
    pub(crate) fn has_waiters(&self) -> bool {
        let writing = match &self.activity {
            Activity::Commit(commit) => commit.has_waiters(),
            _ => false,
        };
        let asked = !self.questions.is_empty() || !self.searches.is_empty();
        writing || asked || !self.queue.is_empty()
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
        match &self.activity {
            Activity::None => None,
            Activity::Commit(commit) => Some(commit.write.request()),
            Activity::Confirm => Some(StoreRequest::Get {
                key: keys::segment(identity.partition, self.segment.number),
            }),
            Activity::Merge(merge) => merge.request(),
            Activity::Search(hour) => Some(StoreRequest::List {
                prefix: keys::files(identity.partition, *hour),
            }),
            Activity::Sweep(request) => Some(request.clone()),
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
            Activity::Merge(merge) => self.merge_written(sent, &merge, &outcome),
            Activity::Search(hour) => self.searched(hour, outcome, answers),
            Activity::Sweep(_) => self.swept(outcome),
        }
    }

    /// Gives up the ownership: entries that were never sent, or surely did not land, get `unsent`.
    pub(crate) fn give_up(self, unsent: &Reply) -> Answers {
        let mut queue = self.queue;
        let mut answers = queue.clear(unsent);
        let mut questions = self.questions;
        answers.extend(questions.clear(unsent));
        let mut searches = self.searches;
        answers.extend(searches.clear(unsent));
        if let Activity::Commit(commit) = self.activity {
            answers.extend(commit.answer(&Reply::Unknown));
        }
        answers
    }

    fn next_activity(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let rested = self
            .last_write
            .is_none_or(|at| now.mono - at >= COMMIT_INTERVAL);
        let aged = self.is_aged(now.mono);
        if (!self.queue.is_empty() || aged) && rested && !self.is_blocked() {
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
        if let Some(merge) = self.next_merge(now, identity) {
            return Activity::Merge(merge);
        }
        if let Some(hour) = self.searches.hour() {
            return Activity::Search(hour);
        }
        self.memory.drop_old(now.wall, self.merged);
        if now.mono - self.since < SWEEP_AFTER {
            return Activity::None;
        }
        let sweep = self.sweep.request(identity.partition, now.wall);
        sweep.map_or(Activity::None, Activity::Sweep)
    }

    fn is_aged(&self, now: Monotonic) -> bool {
        self.filled.is_some_and(|at| now - at >= SEAL_AGE)
    }

    /// Whether the next segments would overwrite claims that are in no file.
    fn is_blocked(&self) -> bool {
        self.sealed
            .front()
            .is_some_and(|first| first.number + SLOTS <= self.segment.number + SPARE_SLOTS)
    }

    /// The claim file that is due. Segments without claims need none.
    fn next_merge(&mut self, now: Timestamp, identity: &Identity) -> Option<Merge> {
        while let Some(first) = self.sealed.front() {
            let due = self.sealed.len() >= MERGE_SEGMENTS
                || now.wall.0.saturating_sub(first.at.0) >= MERGE_AGE_MS;
            if !due || now.mono < self.merge_after {
                return None;
            }
            let merge = Merge::prepare(identity.partition, now.wall, &self.memory, &self.sealed)?;
            if merge.request().is_some() {
                return Some(merge);
            }
            self.note_merged(merge.through);
        }
        None
    }

    fn note_merged(&mut self, through: u64) {
        self.merged = self.merged.max(through);
        self.memory.merged(through);
        while self.sealed.front().is_some_and(|one| one.number <= through) {
            self.sealed.pop_front();
        }
    }

    fn group(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let items = self.queue.take(self.segment.entries.len(), self.bytes);
        let mut segment = self.segment.clone();
        segment.nonce = identity.nonce();
        let added = items.iter().flat_map(|item| item.entries.iter().cloned());
        segment.entries.extend(added);
        let bytes = self.bytes + items.iter().map(|item| item.bytes).sum::<usize>();
        let full = segment.entries.len() >= SEAL_ENTRIES || bytes >= SEAL_BYTES;
        if full || self.is_aged(now.mono) {
            segment.sealed = Some(now.wall);
        }
        let key = keys::segment(identity.partition, segment.number);
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
}

/// Revision of the slot of a segment; zero if it was never written.
fn revision_of(slots: &FastMap<u64, Revision>, number: u64) -> Revision {
    slots.get(&keys::slot(number)).copied().unwrap_or_default()
}

fn read_stamp(entry: &StoreEntry) -> Result<Stamp, String> {
    segment::decode(&entry.key, &entry.value)
}
