//! Group commit: the queue of entries for the next write, and the write that is in progress.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::peer::ClaimState;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{InstanceId, RequestId};
use daisymast_types::time::Monotonic;

use crate::effect::{Reply, Ticket};
use crate::entry::Entry;
use crate::segment::{self, SEAL_BYTES, SEAL_ENTRIES, Segment};
use crate::write::CasWrite;

/// Time after which a pending request is answered with what is known of it: [`Reply::Unknown`] if
/// its write is unresolved, [`Reply::Unavailable`] otherwise.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of pending groups of a partition, and of pending status queries.
pub(crate) const PENDING_MAX: usize = 1_024;

/// Entries that are recorded together, with the ticket of the request.
#[derive(Clone, Debug)]
pub(crate) struct PendingGroup {
    /// `None` once the request was answered.
    pub(crate) ticket: Option<Ticket>,
    queued_at: Monotonic,
    pub(crate) entries: Vec<Entry>,
    pub(crate) bytes: usize,
}

/// A write in progress with the groups of entries that it contains.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    pub(crate) write: CasWrite,
    /// Content of the open segment if the write takes effect.
    pub(crate) segment: Segment,
    /// Bytes of the entries of `segment`.
    pub(crate) bytes: usize,
    pub(crate) groups: Vec<PendingGroup>,
}

/// Pending groups in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommitQueue {
    groups: VecDeque<PendingGroup>,
    /// Digest and instance of each claim that is pending or being written.
    claims: FastMap<RequestId, (String, InstanceId)>,
}

/// Replies to deliver.
pub(crate) type Answers = Vec<(Ticket, Reply)>;

impl CommitQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Number of claims that are pending or being written.
    pub(crate) fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// State of a claim that is pending or being written. The write may still fail, but the
    /// inquirer must not execute the request in either case.
    pub(crate) fn claim_state(&self, request: &RequestId) -> Option<ClaimState> {
        let (digest, by) = self.claims.get(request)?;
        Some(ClaimState::Claimed {
            by: by.clone(),
            digest: digest.clone(),
        })
    }

    /// Adds a group, or returns the reply if the queue is full or the group is larger than a
    /// segment.
    pub(crate) fn push(
        &mut self,
        now: Monotonic,
        ticket: Ticket,
        entries: Vec<Entry>,
    ) -> Option<Reply> {
        let bytes = entries.iter().map(encoded_len).sum::<usize>();
        if self.groups.len() >= PENDING_MAX || bytes > SEAL_BYTES {
            return Some(Reply::Unavailable);
        }
        for entry in &entries {
            if let Entry::Claim {
                request,
                digest,
                by,
            } = entry
            {
                self.claims
                    .insert(request.clone(), (digest.clone(), by.clone()));
            }
        }
        self.groups.push_back(PendingGroup {
            ticket: Some(ticket),
            queued_at: now,
            entries,
            bytes,
        });
        None
    }

    /// Removes the groups for the next write from the queue, until a segment that holds `entries`
    /// entries of `bytes` bytes is full. The last group may exceed the limits.
    pub(crate) fn take(&mut self, mut entries: usize, mut bytes: usize) -> Vec<PendingGroup> {
        let mut taken = Vec::new();
        while entries < SEAL_ENTRIES && bytes < SEAL_BYTES {
            let Some(group) = self.groups.pop_front() else {
                break;
            };
            entries += group.entries.len();
            bytes += group.bytes;
            taken.push(group);
        }
        taken
    }

    /// Returns groups to the front of the queue after their write took no effect. Groups that were
    /// already answered are dropped.
    pub(crate) fn requeue(&mut self, groups: Vec<PendingGroup>) {
        for group in groups.into_iter().rev() {
            if group.ticket.is_some() {
                self.groups.push_front(group);
            } else {
                self.remove_claims(&group);
            }
        }
    }

    /// Removes the claims of a group that is recorded or dropped.
    pub(crate) fn remove_claims(&mut self, group: &PendingGroup) {
        for entry in &group.entries {
            if let Entry::Claim { request, .. } = entry {
                self.claims.remove(request);
            }
        }
    }

    /// Drops groups that have been pending for [`REPLY_TIMEOUT`]. They were not sent, or their
    /// write took no effect.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = Answers::new();
        while self
            .groups
            .front()
            .is_some_and(|group| now - group.queued_at >= REPLY_TIMEOUT)
        {
            if let Some(group) = self.groups.pop_front() {
                self.remove_claims(&group);
                answers.extend(group.ticket.map(|ticket| (ticket, Reply::Unavailable)));
            }
        }
        answers
    }

    /// Drops all groups and answers them with `reply`. They were not sent, or their write took no
    /// effect.
    pub(crate) fn reject_all(&mut self, reply: &Reply) -> Answers {
        self.claims.clear();
        self.groups
            .drain(..)
            .filter_map(|group| group.ticket.map(|ticket| (ticket, reply.clone())))
            .collect()
    }
}

impl Commit {
    /// Answers groups whose write is unresolved after [`REPLY_TIMEOUT`]. They remain part of the
    /// write.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        self.groups
            .iter_mut()
            .filter(|group| now - group.queued_at >= REPLY_TIMEOUT)
            .filter_map(|group| group.ticket.take().map(|ticket| (ticket, Reply::Unknown)))
            .collect()
    }

    /// Answers all groups that were not answered yet.
    pub(crate) fn answer(self, reply: &Reply) -> Answers {
        self.groups
            .into_iter()
            .filter_map(|group| group.ticket.map(|ticket| (ticket, reply.clone())))
            .collect()
    }

    /// Answers all groups after a failed write: with `if_not_applied` if the write took no effect,
    /// with [`Reply::Unknown`] if it may have taken effect.
    pub(crate) fn answer_failed_write(self, if_not_applied: &Reply) -> Answers {
        let uncertain = self.write.uncertain;
        self.answer(if uncertain {
            &Reply::Unknown
        } else {
            if_not_applied
        })
    }

    pub(crate) fn has_waiters(&self) -> bool {
        self.groups.iter().any(|group| group.ticket.is_some())
    }
}

/// Bytes of an entry in an encoded segment, including the separator.
fn encoded_len(entry: &Entry) -> usize {
    segment::encode(entry).map_or(usize::MAX / 2, |text| text.len() + 1)
}
