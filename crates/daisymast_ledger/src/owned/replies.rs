//! Handles the replies of the store for an owned partition.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::Revision;
use daisymast_types::time::{Monotonic, UnixMillis};

use super::{Activity, MERGE_RETRY_PAUSE, Owned, Transition, decode_write_id, slot_revision};
use crate::claim_file::{self, FileWriteOutcome};
use crate::commit::{Answers, Commit};
use crate::effect::Reply;
use crate::keys;
use crate::merge::{Merge, SealedSegment};
use crate::search::SearchOutcome;
use crate::write::Progress;

impl Owned {
    pub(super) fn on_applied(
        &mut self,
        commit: Commit,
        revision: Revision,
        wall: UnixMillis,
    ) -> Answers {
        for group in &commit.groups {
            self.queue.remove_claims(group);
            for entry in &group.entries {
                self.state.apply(self.segment.number, entry);
            }
        }
        self.revision = revision;
        self.segment = commit.segment.clone();
        let number = self.segment.number;
        self.slots.insert(keys::slot(number), revision);
        self.bytes = commit.bytes;
        if !self.segment.entries.is_empty() {
            self.first_entry_at = self.first_entry_at.or(self.last_write_at);
        }
        if let Some(at) = self.segment.sealed.take() {
            self.unmerged.push_back(SealedSegment {
                number,
                sealed_at: at,
            });
            self.state.seal(number, at);
            self.segment.number += 1;
            self.revision = slot_revision(&self.slots, self.segment.number);
            self.bytes = 0;
            self.first_entry_at = None;
            self.segment.runs = self.state.snapshot_runs(wall);
            self.segment.entries.clear();
        }
        commit.answer(&Reply::Committed)
    }

    pub(super) fn on_not_applied(
        &mut self,
        commit: Commit,
        progress: Progress,
        answers: &mut Answers,
    ) -> Transition {
        match progress {
            Progress::Applied(_) | Progress::Continue => {
                self.activity = Activity::Commit(Box::new(commit));
                Transition::Continue
            }
            Progress::RetryLater => {
                self.activity = Activity::Commit(Box::new(commit));
                Transition::RetryLater
            }
            Progress::NoEffect => {
                self.queue.requeue(commit.groups);
                Transition::RetryLater
            }
            Progress::Refused(reason) => {
                for group in &commit.groups {
                    self.queue.remove_claims(group);
                }
                answers.extend(commit.answer(&Reply::Unavailable));
                Transition::Refused(reason)
            }
            Progress::Conflict(write_id) => {
                answers.extend(commit.answer_failed_write(&Reply::NotOwner));
                Transition::Fenced(write_id.map(|id| id.epoch))
            }
            Progress::Unreadable(reason) => {
                answers.extend(commit.answer_failed_write(&Reply::Unavailable));
                Transition::Unreadable(reason)
            }
        }
    }

    pub(super) fn on_confirm_reply(
        &mut self,
        sent_at: Monotonic,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Transition {
        let Outcome::Done(StoreReply::Value { entry }) = outcome else {
            self.confirm_requested = true;
            return Transition::RetryLater;
        };
        if entry.as_ref().map_or(Revision(0), |entry| entry.revision) == self.revision {
            self.ownership_confirmed_at = self.ownership_confirmed_at.max(sent_at);
            answers.extend(self.status_queries.on_confirmed(sent_at, &self.state));
            return Transition::Continue;
        }
        match entry.as_ref().map(decode_write_id) {
            None => Transition::Fenced(None),
            Some(Ok(write_id)) => Transition::Fenced(Some(write_id.epoch)),
            Some(Err(reason)) => Transition::Unreadable(reason),
        }
    }

    pub(super) fn on_merge_reply(
        &mut self,
        sent_at: Monotonic,
        merge: &Merge,
        outcome: &Outcome<StoreReply>,
    ) -> Transition {
        let Outcome::Done(reply) = outcome else {
            return Transition::RetryLater;
        };
        match claim_file::interpret_write_reply(merge.through, reply) {
            FileWriteOutcome::Stored(through) => {
                self.mark_merged(through);
                Transition::Continue
            }
            FileWriteOutcome::RetryLater => Transition::RetryLater,
            FileWriteOutcome::Refused(reason) => {
                self.merge_not_before = sent_at + MERGE_RETRY_PAUSE;
                Transition::Refused(reason)
            }
            FileWriteOutcome::Unreadable(reason) => Transition::Unreadable(reason),
        }
    }

    pub(super) fn on_search_reply(
        &mut self,
        hour: u64,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Transition {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Transition::RetryLater;
        };
        match self.searches.on_list(hour, &entries) {
            Ok(SearchOutcome::Continue) => {}
            Ok(SearchOutcome::Recorded(ticket, state)) => {
                answers.push((ticket, Reply::ClaimState(state)));
            }
            // Claim files that a newer owner wrote may be missing from the search, so the ownership
            // must be confirmed before the claim is reported as absent.
            Ok(SearchOutcome::Absent(ticket, id, queried_at)) => {
                answers.extend(self.status_queries.push(queried_at, ticket, id));
            }
            Err(reason) => return Transition::Unreadable(reason),
        }
        Transition::Continue
    }

    pub(super) fn on_sweep_reply(&mut self, outcome: Outcome<StoreReply>) -> Transition {
        match outcome {
            Outcome::Done(StoreReply::Entries { entries }) => self.sweep.on_list(entries),
            Outcome::Done(StoreReply::Written { .. } | StoreReply::Conflict { .. }) => {
                self.sweep.on_deleted();
            }
            _ => return Transition::RetryLater,
        }
        Transition::Continue
    }
}
