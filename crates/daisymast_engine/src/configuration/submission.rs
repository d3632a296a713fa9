//! Operators' submissions of manifests.
//!
//! A submission is parsed, its expected generation is compared with the current one, and the record
//! is written to the store with compare-and-swap. If the outcome of the write is unknown, the key
//! is read back to find out whether the write took effect.

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
use super::in_force::ManifestInForce;
use crate::event::Action;
use crate::outbox;
use crate::shared::Context;

/// Time within which an operator gets a reply to a submission.
pub(crate) const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean interval between two attempts to resolve an unknown write.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of open submissions at one instance; each keeps a manifest in memory.
const OPEN_SUBMISSIONS_MAX: usize = 16;

/// The purpose of a store call of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// Reads the revision and generation before the write.
    Read,
    /// Writes the record.
    Write,
    /// Reads the key to find out whether an unknown write took effect.
    ReadBack,
}

/// An open submission: the record to write and the state of the write.
#[derive(Clone, Debug)]
struct Submission {
    expected: Generation,
    nonce: Nonce,
    manifest: Manifest,
    body: String,
    deadline: Monotonic,
    /// Revision that the compare-and-swap expects.
    base: Revision,
    /// The encoded record, empty before the first write.
    value: String,
    /// Whether an earlier write may have taken effect or may still do so.
    uncertain: bool,
    /// Time of the next attempt to resolve an unknown write.
    resolve_at: Option<Monotonic>,
}

impl Submission {
    /// Generation of the submitted manifest.
    fn generation(&self) -> Generation {
        self.expected.next()
    }
}

/// Open submissions, by the token of the operator's request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Submissions {
    open: FastMap<Token, Submission>,
}

impl Submissions {
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Validates a submission and reads the store key, whose revision the write will expect.
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
        if self.open.len() >= OPEN_SUBMISSIONS_MAX {
            let reason = format!("{OPEN_SUBMISSIONS_MAX} submissions are open at this instance");
            return answer(cx, token, unavailable(&reason));
        }
        let submission = Submission {
            expected,
            nonce: cx.outbox.nonce(),
            manifest,
            body,
            deadline: cx.now.mono + SUBMIT_TIMEOUT,
            base: Revision(0),
            value: String::new(),
            uncertain: false,
            resolve_at: None,
        };
        self.open.insert(token, submission);
        call_store(cx, token, Call::Read, get_manifest(), CALL_TIMEOUT);
    }

    /// Ends submissions whose deadline has passed and resolves unknown writes.
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let mut tokens: Vec<Token> = self.open.keys().copied().collect();
        tokens.sort_unstable();
        for token in tokens {
            let Some(submission) = self.open.get_mut(&token) else {
                continue;
            };
            if now >= submission.deadline {
                let reply = undecided_reply(submission, "the deadline of the submission passed");
                self.finish(cx, token, reply);
            } else if submission.resolve_at.is_some_and(|at| now >= at) {
                submission.resolve_at = None;
                let timeout = CALL_TIMEOUT.min(submission.deadline - now);
                call_store(cx, token, Call::ReadBack, get_manifest(), timeout);
            }
        }
    }

    pub(crate) fn on_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut ManifestInForce,
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
        // A newer manifest in the store applies whatever the outcome of the submission is.
        if let Some(entry) = &entry {
            in_force.observe(cx, entry.as_ref());
        }
        match (call, entry) {
            (Call::Read, Some(entry)) => self.check_generation(cx, token, entry),
            (Call::Read, None) => {
                let reply = unavailable(&failure_reason("read the manifest key", &outcome));
                self.finish(cx, token, reply);
            }
            (Call::ReadBack, Some(entry)) => self.resolve(cx, token, entry),
            (Call::ReadBack, None) => self.resolve_later(cx, token),
            (Call::Write, Some(entry)) => self.on_write_conflict(cx, token, entry),
            (Call::Write, None) => self.on_write_reply(cx, in_force, token, outcome),
        }
    }

    /// Compares the expected generation with the highest known one, and writes the record if they
    /// are equal. The generations of live peers count as well: otherwise an instance that missed a
    /// change before the store was restored to an older state could assign the same generation
    /// again.
    fn check_generation(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
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
        let peer_generation = cx.shared.view.newest_generation(cx.now.mono);
        let peer_generation = peer_generation.map_or(Generation(0), |(generation, _)| generation);
        let actual = stored.max(cx.shared.generation).max(peer_generation);
        if submission.expected != actual {
            let release = if actual == stored {
                release
            } else {
                release_in_force(cx, actual)
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
        call_store(cx, token, Call::Write, request, timeout);
    }

    /// Handles the outcome of a write other than a conflict.
    fn on_write_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut ManifestInForce,
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
                self.accept(cx, token);
            }
            Outcome::Unknown(_) => {
                submission.uncertain = true;
                submission.resolve_at = Some(cx.now.mono);
            }
            // An earlier write with this nonce may still have taken effect.
            Outcome::Done(_) | Outcome::NoEffect(_) if submission.uncertain => {
                self.resolve_later(cx, token);
            }
            Outcome::Done(_) | Outcome::NoEffect(_) => {
                let reply = unavailable(&failure_reason("write the manifest key", &outcome));
                self.finish(cx, token, reply);
            }
        }
    }

    /// Handles a failed compare-and-swap. After an unknown write, that write may be the cause.
    fn on_write_conflict(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
        self.resolve(cx, token, entry);
    }

    /// Decides by the state of the key whether the write took effect.
    fn resolve(&mut self, cx: &mut Context<'_>, token: Token, entry: Option<Entry>) {
        let Some(submission) = self.open.get_mut(&token) else {
            return;
        };
        let revision = entry.as_ref().map_or(Revision(0), |entry| entry.revision);
        if revision == submission.base {
            // The write has not taken effect. A retry with the same nonce and expected revision is
            // safe.
            return self.write(cx, token);
        }
        let found = entry.and_then(|entry| Record::decode(&entry.value).ok());
        let expected = submission.expected;
        match found {
            Some(found) if found.nonce == submission.nonce => self.accept(cx, token),
            // A generation is written only once, and another submission has written this one.
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
                let reply = undecided_reply(submission, "the store key was replaced meanwhile");
                self.finish(cx, token, reply);
            }
        }
    }

    fn resolve_later(&mut self, cx: &mut Context<'_>, token: Token) {
        if let Some(submission) = self.open.get_mut(&token) {
            let wait = RESOLVE_INTERVAL / 2 + cx.outbox.jitter(RESOLVE_INTERVAL);
            submission.resolve_at = Some(cx.now.mono + wait);
        }
    }

    fn accept(&mut self, cx: &mut Context<'_>, token: Token) {
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

/// The release of the manifest in force, if that has the given generation.
fn release_in_force(cx: &Context<'_>, generation: Generation) -> Option<Release> {
    let manifest = cx.shared.manifest.as_ref()?;
    (cx.shared.generation == generation).then(|| manifest.release.clone())
}

/// The reply to a submission whose outcome cannot be determined. If no write was sent, it certainly
/// took no effect.
fn undecided_reply(submission: &Submission, cause: &str) -> OperatorReply {
    // The value is encoded right before the first write is sent.
    if submission.uncertain || !submission.value.is_empty() {
        let generation = submission.generation();
        let reason = format!("whether generation {generation} was written is not known: {cause}");
        return OperatorReply::Unknown { reason };
    }
    unavailable(cause)
}

fn unavailable(reason: &str) -> OperatorReply {
    OperatorReply::Unavailable {
        reason: reason.to_owned(),
    }
}

fn failure_reason(operation: &str, outcome: &Outcome<StoreReply>) -> String {
    match outcome {
        Outcome::NoEffect(error) | Outcome::Unknown(error) => error.to_string(),
        Outcome::Done(StoreReply::Refused { reason }) => format!("{operation}: refused: {reason}"),
        Outcome::Done(_) => format!("{operation}: the store's reply does not fit the request"),
    }
}

fn answer(cx: &mut Context<'_>, token: Token, reply: OperatorReply) {
    cx.outbox.emit(Action::AnswerOperator { token, reply });
}

fn call_store(
    cx: &mut Context<'_>,
    token: Token,
    call: Call,
    request: StoreRequest,
    timeout: Duration,
) {
    let pending = outbox::PendingCall::Configuration(PendingCall::Submission(token, call));
    cx.outbox.call_store(pending, request, timeout);
}

fn get_manifest() -> StoreRequest {
    StoreRequest::Get {
        key: record::KEY.to_owned(),
    }
}
