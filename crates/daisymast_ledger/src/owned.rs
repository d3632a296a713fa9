//! An owned partition: commits entries in groups, confirms the ownership and maintains the claim
//! files.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{Entry as StoreEntry, StoreReply, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Epoch, RequestId, Revision};
use daisymast_types::time::{Monotonic, Timestamp, UnixMillis};

use crate::claim_file::{self, LOOKUP_AGE_MAX_MS, MERGE_AGE_MS, MERGE_SEGMENTS};
use crate::commit::{Answers, Commit, CommitQueue};
use crate::effect::{Reply, Ticket};
use crate::entry::Entry;
use crate::identity::Identity;
use crate::keys::{self, SLOTS};
use crate::merge::{Merge, SealedSegment};
use crate::search::Searches;
use crate::segment::{self, SEAL_BYTES, SEAL_ENTRIES, Segment, WriteId};
use crate::state::{CLAIM_AGE_MAX_MS, CLAIMS_MAX, PartitionState};
use crate::status_queries::StatusQueries;
use crate::sweep::Sweep;
use crate::write::{CasWrite, Progress};

mod replies;

/// Minimum time between the starts of two writes of a partition.
pub(crate) const COMMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a confirmation after which the ownership is verified by a read of the open segment.
/// Runs are polled only if the ownership was confirmed within the last 15 min, so several reads may
/// fail.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum time between two reads for status queries. Queries that arrive in between share one
/// read.
const STATUS_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the first entry at which a segment is sealed, so that its claims are written to a claim
/// file.
const SEAL_AGE: Duration = Duration::from_secs(600);
/// Number of slots reserved for the segments that takeovers open.
const SPARE_SLOTS: u64 = 8;
/// Time after a takeover before expired claim files are deleted, to keep load off the takeover.
const SWEEP_DELAY: Duration = Duration::from_secs(60);
/// Pause after the store refused a claim file.
const MERGE_RETRY_PAUSE: Duration = Duration::from_secs(10);

/// Purpose of the store call that is open.
#[derive(Clone, Debug)]
enum Activity {
    None,
    Commit(Box<Commit>),
    Confirm,
    Merge(Merge),
    /// Lists the claim files of an hour for a status query.
    Search(u64),
    Sweep(StoreRequest),
}

/// State of the ownership after a store reply.
#[derive(Clone, Debug)]
pub(crate) enum Transition {
    /// The next call is due immediately.
    Continue,
    /// The next call is due after a pause.
    RetryLater,
    /// Another instance owns the partition. Holds its epoch, if known.
    Fenced(Option<Epoch>),
    /// A value in the store cannot be decoded.
    Unreadable(String),
    /// The store refused a write, which took no effect.
    Refused(String),
}

/// State of an owned partition.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    /// Expected revision of the slot of the open segment.
    revision: Revision,
    /// Revisions of all slots that were written.
    slots: FastMap<u64, Revision>,
    segment: Segment,
    /// Bytes of the entries of the open segment.
    bytes: usize,
    /// Time of the first write of entries to the open segment.
    first_entry_at: Option<Monotonic>,
    pub(crate) state: PartitionState,
    pub(crate) queue: CommitQueue,
    /// Sealed segments whose claims are not in a claim file yet.
    unmerged: VecDeque<SealedSegment>,
    /// Number of the last segment whose claims are in claim files.
    merged_through: u64,
    merge_not_before: Monotonic,
    activity: Activity,
    last_write_at: Option<Monotonic>,
    owned_since: Monotonic,
    /// Send time of the last call that confirmed the ownership.
    pub(crate) ownership_confirmed_at: Monotonic,
    confirm_requested: bool,
    status_queries: StatusQueries,
    searches: Searches,
    sweep: Sweep,
    last_confirm_at: Option<Monotonic>,
}

impl Owned {
    pub(crate) fn new(
        segment: Segment,
        slots: FastMap<u64, Revision>,
        state: PartitionState,
        (unmerged, merged_through): (VecDeque<SealedSegment>, u64),
        ownership_confirmed_at: Monotonic,
    ) -> Self {
        Self {
            revision: slot_revision(&slots, segment.number),
            slots,
            segment,
            bytes: 0,
            first_entry_at: None,
            state,
            queue: CommitQueue::default(),
            unmerged,
            merged_through,
            merge_not_before: Monotonic::ZERO,
            activity: Activity::None,
            last_write_at: Some(ownership_confirmed_at),
            owned_since: ownership_confirmed_at,
            ownership_confirmed_at,
            confirm_requested: false,
            status_queries: StatusQueries::default(),
            searches: Searches::default(),
            sweep: Sweep::default(),
            last_confirm_at: None,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.segment.epoch
    }

    /// Requests a read of the open segment, because another instance may own the partition.
    pub(crate) fn request_confirmation(&mut self) {
        self.confirm_requested = true;
    }

    pub(crate) fn claim_state(&self, request: &RequestId) -> ClaimState {
        self.queue
            .claim_state(request)
            .unwrap_or_else(|| self.state.claim_state(request))
    }

    /// Queues entries for the next write. Returns the reply if they cannot be queued.
    pub(crate) fn push(&mut self, now: Monotonic, ticket: Ticket, entries: Vec<Entry>) -> Answers {
        let answer = self.queue.push(now, ticket, entries);
        answer.map(|reply| (ticket, reply)).into_iter().collect()
    }

    /// Whether the maximum number of claims in memory is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.state.claim_count() + self.queue.claim_count() >= CLAIMS_MAX
    }

    /// Queues a status query for a request that has no claim in memory.
    pub(crate) fn query_status(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        id: RequestId,
    ) -> Answers {
        match claim_file::issue_time(&id) {
            Some(issued) if now.wall.0.saturating_sub(issued.0) >= LOOKUP_AGE_MAX_MS => {
                vec![(ticket, Reply::Unavailable)]
            }
            Some(issued) if now.wall.0.saturating_sub(issued.0) >= CLAIM_AGE_MAX_MS => {
                let now = (now.mono, now.wall);
                self.searches.push(now, ticket, id, issued)
            }
            _ => self.status_queries.push(now.mono, ticket, id),
        }
    }

    /// Answers requests that have been pending for too long.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = self.queue.expire(now);
        answers.extend(self.status_queries.expire(now));
        answers.extend(self.searches.expire(now));
        if let Activity::Commit(commit) = &mut self.activity {
            answers.extend(commit.expire(now));
        }
        answers
    }

    /// Whether a request is unanswered.
    pub(crate) fn has_waiters(&self) -> bool {
        let writing = match &self.activity {
            Activity::Commit(commit) => commit.has_waiters(),
            _ => false,
        };
        let queried = !self.status_queries.is_empty() || !self.searches.is_empty();
        writing || queried || !self.queue.is_empty()
    }

    /// The next store call, if any. Must be called only while no call is open.
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
                prefix: keys::claim_files(identity.partition, *hour),
            }),
            Activity::Sweep(request) => Some(request.clone()),
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        sent_at: Monotonic,
        wall: UnixMillis,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Transition {
        match std::mem::replace(&mut self.activity, Activity::None) {
            Activity::None => Transition::RetryLater,
            Activity::Commit(mut commit) => match commit.write.on_reply(outcome) {
                Progress::Applied(revision) => {
                    self.ownership_confirmed_at = self.ownership_confirmed_at.max(sent_at);
                    answers.extend(self.on_applied(*commit, revision, wall));
                    answers.extend(self.status_queries.on_confirmed(sent_at, &self.state));
                    Transition::Continue
                }
                other => self.on_not_applied(*commit, other, answers),
            },
            Activity::Confirm => self.on_confirm_reply(sent_at, outcome, answers),
            Activity::Merge(merge) => self.on_merge_reply(sent_at, &merge, &outcome),
            Activity::Search(hour) => self.on_search_reply(hour, outcome, answers),
            Activity::Sweep(_) => self.on_sweep_reply(outcome),
        }
    }

    /// Ends the ownership and answers all pending requests: entries whose write is unresolved with
    /// [`Reply::Unknown`], all other requests with `if_not_recorded`.
    pub(crate) fn into_answers(self, if_not_recorded: &Reply) -> Answers {
        let mut queue = self.queue;
        let mut answers = queue.reject_all(if_not_recorded);
        let mut status_queries = self.status_queries;
        answers.extend(status_queries.reject_all(if_not_recorded));
        let mut searches = self.searches;
        answers.extend(searches.reject_all(if_not_recorded));
        if let Activity::Commit(commit) = self.activity {
            answers.extend(commit.answer(&Reply::Unknown));
        }
        answers
    }

    fn next_activity(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let interval_elapsed = self
            .last_write_at
            .is_none_or(|at| now.mono - at >= COMMIT_INTERVAL);
        let seal_due = self.is_seal_due(now.mono);
        if (!self.queue.is_empty() || seal_due)
            && interval_elapsed
            && !self.would_overwrite_unmerged()
        {
            self.last_write_at = Some(now.mono);
            return self.start_commit(now, identity);
        }
        let queried = !self.status_queries.is_empty()
            && self
                .last_confirm_at
                .is_none_or(|at| now.mono - at >= STATUS_READ_INTERVAL);
        if queried
            || self.confirm_requested
            || now.mono - self.ownership_confirmed_at >= CONFIRM_INTERVAL
        {
            self.confirm_requested = false;
            self.last_confirm_at = Some(now.mono);
            return Activity::Confirm;
        }
        if let Some(merge) = self.next_merge(now, identity) {
            return Activity::Merge(merge);
        }
        if let Some(hour) = self.searches.hour() {
            return Activity::Search(hour);
        }
        self.state.evict_expired(now.wall, self.merged_through);
        if now.mono - self.owned_since < SWEEP_DELAY {
            return Activity::None;
        }
        let sweep = self.sweep.request(identity.partition, now.wall);
        sweep.map_or(Activity::None, Activity::Sweep)
    }

    fn is_seal_due(&self, now: Monotonic) -> bool {
        self.first_entry_at.is_some_and(|at| now - at >= SEAL_AGE)
    }

    /// Whether the next segments would overwrite claims that are not in a claim file yet.
    fn would_overwrite_unmerged(&self) -> bool {
        self.unmerged
            .front()
            .is_some_and(|first| first.number + SLOTS <= self.segment.number + SPARE_SLOTS)
    }

    /// The merge that is due, if any. Segments without claims are skipped, because they need no
    /// claim file.
    fn next_merge(&mut self, now: Timestamp, identity: &Identity) -> Option<Merge> {
        while let Some(first) = self.unmerged.front() {
            let due = self.unmerged.len() >= MERGE_SEGMENTS
                || now.wall.0.saturating_sub(first.sealed_at.0) >= MERGE_AGE_MS;
            if !due || now.mono < self.merge_not_before {
                return None;
            }
            let merge = Merge::prepare(identity.partition, now.wall, &self.state, &self.unmerged)?;
            if merge.request().is_some() {
                return Some(merge);
            }
            self.mark_merged(merge.through);
        }
        None
    }

    fn mark_merged(&mut self, through: u64) {
        self.merged_through = self.merged_through.max(through);
        self.state.clear_merged_results(through);
        while self
            .unmerged
            .front()
            .is_some_and(|segment| segment.number <= through)
        {
            self.unmerged.pop_front();
        }
    }

    fn start_commit(&mut self, now: Timestamp, identity: &mut Identity) -> Activity {
        let groups = self.queue.take(self.segment.entries.len(), self.bytes);
        let mut segment = self.segment.clone();
        segment.nonce = identity.next_nonce();
        let added = groups
            .iter()
            .flat_map(|group| group.entries.iter().cloned());
        segment.entries.extend(added);
        let bytes = self.bytes + groups.iter().map(|group| group.bytes).sum::<usize>();
        let full = segment.entries.len() >= SEAL_ENTRIES || bytes >= SEAL_BYTES;
        if full || self.is_seal_due(now.mono) {
            segment.sealed = Some(now.wall);
        }
        let key = keys::segment(identity.partition, segment.number);
        let Ok(value) = segment::encode(&segment) else {
            self.queue.requeue(groups);
            return Activity::None;
        };
        Activity::Commit(Box::new(Commit {
            write: CasWrite::new(key, value, self.revision, segment.nonce),
            segment,
            bytes,
            groups,
        }))
    }
}

/// Revision of the slot of a segment, zero if it was never written.
fn slot_revision(slots: &FastMap<u64, Revision>, number: u64) -> Revision {
    slots.get(&keys::slot(number)).copied().unwrap_or_default()
}

fn decode_write_id(entry: &StoreEntry) -> Result<WriteId, String> {
    segment::decode(&entry.key, &entry.value)
}
