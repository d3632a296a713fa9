//! What the replies of the store mean for an owned partition.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::Revision;
use daisymast_types::time::{Monotonic, UnixMillis};

use super::{Activity, MERGE_PAUSE, Owned, Step, read_stamp, revision_of};
use crate::commit::{Answers, Commit};
use crate::effect::Reply;
use crate::file::{self, Written};
use crate::keys;
use crate::merge::{Merge, SealedSegment};
use crate::search::Found;
use crate::write::Progress;

impl Owned {
    pub(super) fn landed(
        &mut self,
        commit: Commit,
        revision: Revision,
        wall: UnixMillis,
    ) -> Answers {
        for item in &commit.items {
            self.queue.forget(item);
            for entry in &item.entries {
                self.memory.apply(self.segment.number, entry);
            }
        }
        self.revision = revision;
        self.segment = commit.segment.clone();
        let number = self.segment.number;
        self.slots.insert(keys::slot(number), revision);
        self.bytes = commit.bytes;
        if !self.segment.entries.is_empty() {
            self.filled = self.filled.or(self.last_write);
        }
        if let Some(at) = self.segment.sealed.take() {
            self.sealed.push_back(SealedSegment { number, at });
            self.memory.seal(number, at);
            self.segment.number += 1;
            self.revision = revision_of(&self.slots, self.segment.number);
            self.bytes = 0;
            self.filled = None;
            self.segment.runs = self.memory.copy_runs(wall);
            self.segment.entries.clear();
        }
        commit.answer(&Reply::Committed)
    }

    pub(super) fn not_landed(
        &mut self,
        commit: Commit,
        progress: Progress,
        answers: &mut Answers,
    ) -> Step {
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

    pub(super) fn confirm_read(
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

    pub(super) fn merge_written(
        &mut self,
        sent: Monotonic,
        merge: &Merge,
        outcome: &Outcome<StoreReply>,
    ) -> Step {
        let Outcome::Done(reply) = outcome else {
            return Step::Later;
        };
        match file::written(merge.through, reply) {
            Written::Through(through) => {
                self.note_merged(through);
                Step::Again
            }
            Written::Later => Step::Later,
            Written::Refused(reason) => {
                self.merge_after = sent + MERGE_PAUSE;
                Step::Refused(reason)
            }
            Written::Broken(reason) => Step::Broken(reason),
        }
    }

    pub(super) fn searched(
        &mut self,
        hour: u64,
        outcome: Outcome<StoreReply>,
        answers: &mut Answers,
    ) -> Step {
        let Outcome::Done(StoreReply::Entries { entries }) = outcome else {
            return Step::Later;
        };
        match self.searches.listed(hour, &entries) {
            Ok(Found::Next) => {}
            Ok(Found::Known(ticket, state)) => answers.push((ticket, Reply::Known(state))),
            // A fenced owner does not know the files of the next one.
            Ok(Found::Absent(ticket, id, since)) => {
                answers.extend(self.questions.push(since, ticket, id));
            }
            Err(reason) => return Step::Broken(reason),
        }
        Step::Again
    }

    pub(super) fn swept(&mut self, outcome: Outcome<StoreReply>) -> Step {
        match outcome {
            Outcome::Done(StoreReply::Entries { entries }) => self.sweep.listed(entries),
            Outcome::Done(StoreReply::Written { .. } | StoreReply::Conflict { .. }) => {
                self.sweep.deleted();
            }
            _ => return Step::Later,
        }
        Step::Again
    }
}
