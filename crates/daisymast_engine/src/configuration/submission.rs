//! Operators' submissions: check, compare, write, and settle an unknown write by reading back.

use std::time::Duration;

use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::parse;
use daisymast_manifest::record::{self, Record};
use daisymast_protocol::operator::OperatorReply;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, Nonce, Release, Revision, Token};
use daisymast_types::time::Monotonic;

use super::PendingCall;
use super::in_force::InForce;
use crate::event::Action;
use crate::outbox;
use crate::shared::Context;

/// Time within which an operator gets an answer.
pub(crate) const SUBMIT_LIMIT: Duration = Duration::from_secs(10);
/// Time for the reply of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean time between two attempts to settle an unknown write.
const SETTLE_EVERY: Duration = Duration::from_millis(200);
/// Submissions that may be open at one instance; each holds a manifest in memory.
const OPEN_LIMIT: usize = 16;

/// A call of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// Reads the revision and generation before the write.
    Read,
    /// Writes the record.
    Write,
    /// Reads what became of an unknown write.
    ReadBack,
}

/// The record to write, and what is known of the write.
#[derive(Clone, Debug)]
struct Submission {
    expected: Generation,
    nonce: Nonce,
    manifest: Manifest,
    body: String,
    deadline: Monotonic,
    /// Revision that the write compares with.
    base: Revision,
    value: String,
    /// Whether an earlier write may have taken effect, or may still do so.
    uncertain: bool,
    /// Time of the next attempt to settle an unknown write.
    settle_at: Option<Monotonic>,
}

impl Submission {
    fn generation(&self) -> Generation {
        self.expected.next()
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Submissions {
    open: FastMap<Token, Submission>,
}

impl Submissions {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Checks a submission and reads the key, whose revision the write compares with.
    pub(crate) fn open(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        expected: Generation,
        body: String,
    ) {
        let manifest = match parse::parse(&body) {
            Ok(manifest) => manifest,
            Err(faults) => {
                let faults = faults.lines();
                return answer(cx, token, OperatorReply::Invalid { faults });
            }
        };
        if cx.shared.draining {
            return answer(cx, token, unavailable("the instance is draining"));
        }
        if self.open.len() >= OPEN_LIMIT {
            let reason = format!("{OPEN_LIMIT} submissions are open at this instance");
            return answer(cx, token, unavailable(&reason));
        }
        let submission = Submission {
            expected,
            nonce: cx.outbox.nonce(),
            manifest,
            body,
            deadline: cx.now.mono + SUBMIT_LIMIT,
            base: Revision(0),
            value: String::new(),
            uncertain: false,
            settle_at: None,
        };
        self.open.insert(token, submission);
        call(cx, token, Call::Read, get(), CALL_TIMEOUT);
    }

    /// Ends submissions whose deadline has passed and goes on with unknown writes.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let mut tokens: Vec<Token> = self.open.keys().copied().collect();
        tokens.sort_unstable();
        for token in tokens {
            let Some(submission) = self.open.get_mut(&token) else {
                continue;
            };
            if now >= submission.deadline {
                let reply = give_up(submission, "the deadline of the submission passed");
                self.finish(cx, token, reply);
            } else if submission.settle_at.is_some_and(|at| now >= at) {
                submission.settle_at = None;
                let timeout = CALL_TIMEOUT.min(submission.deadline - now);
                call(cx, token, Call::ReadBack, get(), timeout);
            }
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut InForce,
        token: Token,
        call: Call,
        outcome: Outcome<StoreReply>,
    ) {
        let entry = match &outcome {
            Outcome::Done(StoreReply::Value { entry } | StoreReply::Conflict { entry }) => {
                Some(entry.clone())
            }
            _ => None,
        };
        // Any state of the key is news, whatever becomes of the submission.
        if let Some(entry) = &entry {
            in_force.observe(cx, entry.as_ref());
        }
        match (call, entry) {
            (Call::Read, Some(entry)) => self.compare(cx, token, entry),
            (Call::Read, None) => {
                let reply = unavailable(&reason("read the manifest key", &outcome));
                self.finish(cx, token, reply);
            }
            (Call::ReadBack, Some(entry)) => self.settle(cx, token, entry),
            (Call::ReadBack, None) => self.settle_later(cx, token),
            (Call::Write, Some(entry)) => self.conflict(cx, token, entry),
            (Call::Write, None) => self.written(cx, in_force, token, outcome),
        }
    }

    /// Compares the expected generation with the highest one known. An instance that missed a
    /// change while the store was restored must not hand out the same generation again.
    fn compare(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
        let Some(submission) = self.open.get_mut(&token) else {
            return;
        };
        let (stored, release) = match entry.as_ref().map(|entry| Record::decode(&entry.value)) {
            None => (Generation(0), None),
            Some(Ok(record)) => (record.generation, Some(record.release)),
            Some(Err(error)) => {
                let reply = unavailable(&error.to_string());
                return self.finish(cx, token, reply);
            }
        };
        let heard = cx.shared.view.newest(cx.now.mono);
        let heard = heard.map_or(Generation(0), |(generation, _)| generation);
        let actual = stored.max(cx.shared.generation).max(heard);
        if submission.expected != actual {
            let release = if actual == stored {
                release
            } else {
                own_release(cx, actual)
            };
            let expected = submission.expected;
            let reply = OperatorReply::Conflict {
                expected,
                actual,
                release,
            };
            return self.finish(cx, token, reply);
        }
        submission.base = entry.map_or(Revision(0), |entry| entry.revision);
        self.encode_and_write(cx, token);
    }

    fn encode_and_write(&mut self, cx: &mut Context<'_>, token: Token) {
        let Some(submission) = self.open.get_mut(&token) else {
            return;
        };
        let record = Record {
            generation: submission.generation(),
            nonce: submission.nonce,
            release: submission.manifest.release.clone(),
            body: submission.body.clone(),
        };
        match record.to_value() {
            Ok(value) => {
                submission.value = value;
                self.write(cx, token);
            }
            Err(length) => {
                let fault = format!("manifest = {length} bytes in the store: too large to keep");
                let reply = OperatorReply::Invalid {
                    faults: vec![fault],
                };
                self.finish(cx, token, reply);
            }
        }
    }

    fn write(&mut self, cx: &mut Context<'_>, token: Token) {
        let Some(submission) = self.open.get(&token) else {
            return;
        };
        let request = StoreRequest::Put {
            key: record::KEY.to_owned(),
            value: submission.value.clone(),
            expect: submission.base,
        };
        let timeout = CALL_TIMEOUT.min(submission.deadline - cx.now.mono);
        call(cx, token, Call::Write, request, timeout);
    }

    /// A write was answered by anything but a conflict.
    fn written(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut InForce,
        token: Token,
        outcome: Outcome<StoreReply>,
    ) {
        let Some(submission) = self.open.get_mut(&token) else {
            return;
        };
        match &outcome {
            Outcome::Done(StoreReply::Written { .. }) => {
                let (generation, body) = (submission.generation(), submission.body.clone());
                let manifest = submission.manifest.clone();
                in_force.apply(cx, generation, body, manifest, "an operator");
                self.accepted(cx, token);
            }
            Outcome::Unknown(_) => {
                submission.uncertain = true;
                submission.settle_at = Some(cx.now.mono);
            }
            // An earlier write with this nonce may still have taken effect.
            Outcome::Done(_) | Outcome::NoEffect(_) if submission.uncertain => {
                self.settle_later(cx, token);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) => {
                let reply = unavailable(&reason("write the manifest key", &outcome));
                self.finish(cx, token, reply);
            }
        }
    }

    /// The compare of a write failed. Behind an earlier unknown write, the cause may be that write.
    fn conflict(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
        self.settle(cx, token, entry);
    }

    /// Decides by the state of the key what became of the write.
    fn settle(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
        let Some(submission) = self.open.get_mut(&token) else {
            return;
        };
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        if revision == submission.base {
            // The write has not arrived. A repeat with the same nonce and revision is harmless.
            return self.write(cx, token);
        }
        let found = entry.and_then(|entry| Record::decode(&entry.value).ok());
        let expected = submission.expected;
        match found {
            Some(found) if found.nonce == submission.nonce => self.accepted(cx, token),
            // Each generation is written once, and another submission has this one.
            Some(found) if found.generation == submission.generation() || !submission.uncertain => {
                let (actual, release) = (found.generation, Some(found.release));
                let reply = OperatorReply::Conflict {
                    expected,
                    actual,
                    release,
                };
                self.finish(cx, token, reply);
            }
            Some(_) | None => {
                let reply = give_up(submission, "the store key was replaced meanwhile");
                self.finish(cx, token, reply);
            }
        }
    }

    fn settle_later(&mut self, cx: &mut Context<'_>, token: Token) {
        if let Some(submission) = self.open.get_mut(&token) {
            let wait = SETTLE_EVERY / 2 + cx.outbox.jitter(SETTLE_EVERY);
            submission.settle_at = Some(cx.now.mono + wait);
        }
    }

    fn accepted(&mut self, cx: &mut Context<'_>, token: Token) {
        let Some(submission) = self.open.get(&token) else {
            return;
        };
        let generation = submission.generation();
        let release = submission.manifest.release.clone();
        let detail = format!("generation {generation}");
        cx.outbox
            .record("configuration.accepted", release.as_str(), detail);
        self.finish(cx, token, OperatorReply::Accepted { generation });
    }

    fn finish(&mut self, cx: &mut Context<'_>, token: Token, reply: OperatorReply) {
        if self.open.remove(&token).is_some() {
            answer(cx, token, reply);
        }
    }
}

fn own_release(cx: &Context<'_>, generation: Generation) -> Option<Release> {
    let manifest = cx.shared.manifest.as_ref()?;
    (cx.shared.generation == generation).then(|| manifest.release.clone())
}

/// The answer where no more can be learned. Without an unknown or open write nothing took effect.
fn give_up(submission: &Submission, why: &str) -> OperatorReply {
    // The value is encoded right before the first write is sent.
    if submission.uncertain || !submission.value.is_empty() {
        let generation = submission.generation();
        let reason = format!("whether generation {generation} was written is not known: {why}");
        return OperatorReply::Unknown { reason };
    }
    unavailable(why)
}

fn unavailable(reason: &str) -> OperatorReply {
    OperatorReply::Unavailable {
        reason: reason.to_owned(),
    }
}

fn reason(step: &str, outcome: &Outcome<StoreReply>) -> String {
    match outcome {
        Outcome::NoEffect(error) | Outcome::Unknown(error) => error.to_string(),
        Outcome::Done(StoreReply::Refused { reason }) => format!("{step}: refused: {reason}"),
        Outcome::Done(_) => format!("{step}: the store's reply does not fit the request"),
    }
}

fn answer(cx: &mut Context<'_>, token: Token, reply: OperatorReply) {
    cx.outbox.emit(Action::AnswerOperator { token, reply });
}

fn call(cx: &mut Context<'_>, token: Token, call: Call, request: StoreRequest, timeout: Duration) {
    let step = outbox::PendingCall::Configuration(PendingCall::Submission(token, call));
    cx.outbox.call_store(step, request, timeout);
}

fn get() -> StoreRequest {
    StoreRequest::Get {
        key: record::KEY.to_owned(),
    }
}
