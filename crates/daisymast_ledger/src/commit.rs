//! Entries that wait for the next write, and the write that carries a group of them.

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

/// Time after which a waiting claim is answered with what is surely known of it.
pub(crate) const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Groups that may wait in one partition.
pub(crate) const PENDING_MAX: usize = 1_024;

/// Entries that are recorded together, and who waits for that.
#[derive(Clone, Debug)]
pub(crate) struct PendingGroup {
    /// Nothing once the answer was given.
    pub(crate) ticket: Option<Ticket>,
    since: Monotonic,
    pub(crate) entries: Vec<Entry>,
    pub(crate) bytes: usize,
}

/// A write with the groups that it carries.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    pub(crate) write: CasWrite,
    /// The open segment if the write takes effect.
    pub(crate) segment: Segment,
    /// Bytes of its entries.
    pub(crate) bytes: usize,
    pub(crate) groups: Vec<PendingGroup>,
}

/// Groups in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommitQueue {
    groups: VecDeque<PendingGroup>,
    /// Claims that wait or are being written.
    claims: FastMap<RequestId, (String, InstanceId)>,
}

/// Answers that became known.
pub(crate) type Answers = Vec<(Ticket, Reply)>;

impl CommitQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Claims that wait or are being written.
    pub(crate) fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// State of a claim that is not yet recorded. It may still fail, but the one who asks must not
    /// run the request in either case.
    pub(crate) fn claim_state(&self, request: &RequestId) -> Option<ClaimState> {
        let (digest, by) = self.claims.get(request)?;
        Some(ClaimState::Claimed {
            by: by.clone(),
            digest: digest.clone(),
        })
    }

    /// Adds a group, or returns the answer if it surely cannot be recorded.
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
            since: now,
            entries,
            bytes,
        });
        None
    }

    /// Takes the groups that fit in a segment that holds `entries` entries of `bytes` bytes.
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

    /// Puts groups back whose write surely took no effect. Those that were answered are dropped:
    /// nobody waits for them.
    pub(crate) fn requeue(&mut self, groups: Vec<PendingGroup>) {
        for group in groups.into_iter().rev() {
            if group.ticket.is_some() {
                self.groups.push_front(group);
            } else {
                self.remove_claims(&group);
            }
        }
    }

    /// Forgets the claims of a group that is recorded or given up.
    pub(crate) fn remove_claims(&mut self, group: &PendingGroup) {
        for entry in &group.entries {
            if let Entry::Claim { request, .. } = entry {
                self.claims.remove(request);
            }
        }
    }

    /// Gives up groups that wait too long. They were never sent, so they surely took no effect.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        let mut answers = Answers::new();
        while self
            .groups
            .front()
            .is_some_and(|group| now - group.since >= REPLY_TIMEOUT)
        {
            if let Some(group) = self.groups.pop_front() {
                self.remove_claims(&group);
                answers.extend(group.ticket.map(|ticket| (ticket, Reply::Unavailable)));
            }
        }
        answers
    }

    /// Gives up all groups, none of which was sent.
    pub(crate) fn reject_all(&mut self, reply: &Reply) -> Answers {
        self.claims.clear();
        self.groups
            .drain(..)
            .filter_map(|group| group.ticket.map(|ticket| (ticket, reply.clone())))
            .collect()
    }
}

impl Commit {
    /// Answers groups whose write is unresolved for too long. They stay in the write.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Answers {
        self.groups
            .iter_mut()
            .filter(|group| now - group.since >= REPLY_TIMEOUT)
            .filter_map(|group| group.ticket.take().map(|ticket| (ticket, Reply::Unknown)))
            .collect()
    }

    /// Answers all groups that still wait.
    pub(crate) fn answer(self, reply: &Reply) -> Answers {
        self.groups
            .into_iter()
            .filter_map(|group| group.ticket.map(|ticket| (ticket, reply.clone())))
            .collect()
    }

    /// Answers all groups after the write failed: with `sure` if it surely took no effect.
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

/// Bytes of an entry in its segment, with the separator.
fn encoded_len(entry: &Entry) -> usize {
    segment::encode(entry).map_or(usize::MAX / 2, |text| text.len() + 1)
}
