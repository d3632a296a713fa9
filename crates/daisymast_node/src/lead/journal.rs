//! The journal: read at the begin of a term, then written one batch at a time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_election::record as election;
use daisymast_jobs::{book, record};
use daisymast_types::time;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::lead;

/// How long commits usually take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    usual: Duration,
}

/// Weight of a new sample in the usual time of a commit, as a divisor.
const PACE_DIVISOR: u32 = 8;

impl Pace {
    pub(super) fn new() -> Self {
        Self {
            usual: constants::COMMIT_TIMEOUT_MIN / constants::COMMIT_TIMEOUT_FACTOR,
        }
    }

    fn timeout(self) -> Duration {
        (self.usual * constants::COMMIT_TIMEOUT_FACTOR)
            .clamp(constants::COMMIT_TIMEOUT_MIN, constants::STORE_TIMEOUT)
    }

    fn answered(&mut self, took: Duration) {
        self.usual = self.usual - self.usual / PACE_DIVISOR + took / PACE_DIVISOR;
    }

    /// The store may be slow, so the next try gets more time.
    fn unanswered(&mut self) {
        self.usual = (self.usual * 2).min(constants::STORE_TIMEOUT);
    }
}

/// Reads the journal. The term's own write of the leader key precedes this read, so no former
/// scheduler can add to it any more. Returns the jobs and the number of the next batch.
pub(super) async fn replay(context: &context::Context, term: u64) -> Option<(book::Book, u64)> {
    let mut book = book::Book::default();
    let mut next = 1;
    let mut after = String::new();
    loop {
        if context.is_draining() || is_replaced(context, term) {
            return None;
        }
        let page = context
            .store
            .page(keys::JOURNAL, &after, constants::PAGE_TIMEOUT)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::warn!("journal was not read: {error}");
                Timer::after(constants::STORE_RETRY).await;
                continue;
            }
        };
        for item in &page.items {
            match record::decode(&item.value) {
                Ok(batch) => batch.into_iter().for_each(|record| book.apply(record)),
                Err(error) => log::error!("batch {} does not decode: {error}", item.key),
            }
        }
        if let Some(last) = page.items.last() {
            after.clone_from(&last.key);
            let number = last.key.strip_prefix(keys::JOURNAL).map(str::parse::<u64>);
            if let Some(Ok(number)) = number {
                next = number + 1;
            }
        }
        if !page.more {
            return Some((book, next));
        }
    }
}

/// Shows that the term goes on while the journal is read.
pub(super) async fn renew(context: Arc<context::Context>, term: u64) {
    let transaction = store::Transaction::default()
        .expect(keys::LEADER, term)
        .put(keys::BEAT, term.to_string().into_bytes());
    loop {
        Timer::after(constants::RENEW).await;
        let committed = context
            .store
            .commit(&transaction, constants::STORE_TIMEOUT)
            .await;
        if let Ok(store::Committed::Conflict(_)) = committed {
            return;
        }
    }
}

fn is_replaced(context: &context::Context, term: u64) -> bool {
    let candidate = context.candidate();
    candidate
        .elected()
        .is_some_and(|elected| elected.term > term)
}

/// Writes batches, and confirms the term while there is nothing to write.
pub(super) async fn keep(context: Arc<context::Context>, lead: Arc<lead::Lead>, mut next: u64) {
    let mut last = clock::now();
    loop {
        let batch = lock(&lead.scheduler).take_batch();
        let Some(batch) = batch else {
            if clock::now() - last >= constants::RENEW {
                last = clock::now();
                let transaction = transaction(&lead);
                commit(&context, &lead, &transaction, None).await;
            }
            Timer::after(constants::COMMIT_PAUSE).await;
            if lead.deposed.load(Ordering::Relaxed) {
                return;
            }
            continue;
        };
        lead.committing.store(true, Ordering::Relaxed);
        last = clock::now();
        let written = match write(&context, &lead, &batch, next).await {
            Written::Keys(written) => written,
            Written::Nothing => {
                lead.update(|scheduler| scheduler.withdraw(true));
                lead.committing.store(false, Ordering::Relaxed);
                Timer::after(constants::STORE_RETRY / 2).await;
                continue;
            }
            Written::TermEnded => return,
        };
        next += written;
        let now = clock::now();
        lead.update(|scheduler| scheduler.committed(now));
        lead.committing.store(false, Ordering::Relaxed);
        let spent = clock::now() - last;
        Timer::after(constants::COMMIT_PAUSE.saturating_sub(spent)).await;
    }
}

/// What became of a batch.
enum Written {
    /// It is stored under this number of keys.
    Keys(u64),
    /// It surely had no effect.
    Nothing,
    /// The term has ended.
    TermEnded,
}

/// Writes a batch, over several keys if it is large.
async fn write(
    context: &context::Context,
    lead: &lead::Lead,
    batch: &[record::Record],
    next: u64,
) -> Written {
    let bytes = match record::encode(batch) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("batch {next} does not encode: {error}");
            lead.depose();
            return Written::TermEnded;
        }
    };
    if bytes.len() > constants::BATCH_BYTES && batch.len() > 1 {
        let (first, second) = batch.split_at(batch.len() / 2);
        let mut keys = 0;
        for half in [first, second] {
            // A part that is stored binds the rest, so only the first may come to nothing.
            loop {
                match Box::pin(write(context, lead, half, next + keys)).await {
                    Written::Keys(written) => keys += written,
                    Written::Nothing if keys == 0 => return Written::Nothing,
                    Written::Nothing => continue,
                    Written::TermEnded => return Written::TermEnded,
                }
                break;
            }
        }
        return Written::Keys(keys);
    }
    let key = keys::batch(next);
    let transaction = transaction(lead).expect(&key, 0).put(&key, bytes.clone());
    commit(context, lead, &transaction, Some((&key, &bytes))).await
}

fn transaction(lead: &lead::Lead) -> store::Transaction {
    store::Transaction::default()
        .expect(keys::LEADER, lead.term)
        .put(keys::BEAT, lead.term.to_string().into_bytes())
}

/// Commits until the outcome is known. The conditions let a repeated commit take effect once. If the
/// store refuses each try for a while, the commit surely had no effect and is given up.
async fn commit(
    context: &context::Context,
    lead: &lead::Lead,
    transaction: &store::Transaction,
    written: Option<(&str, &[u8])>,
) -> Written {
    let begun = clock::now();
    let mut unknown = false;
    let mut failures = 0_u32;
    while !lead.deposed.load(Ordering::Relaxed) {
        let sent = clock::now();
        let timeout = lock(&lead.pace).timeout();
        let committed = context.store.commit(transaction, timeout).await;
        match committed {
            Ok(store::Committed::Done(_)) => {
                let took = clock::now() - sent;
                context.metrics.call("store", "done");
                context.metrics.committed(took);
                lock(&lead.pace).answered(took);
                lock(&lead.authority).confirm(sent);
                log_regained(failures, begun);
                lead.storeless.store(false, Ordering::Relaxed);
                return Written::Keys(1);
            }
            Ok(store::Committed::Conflict(items)) => {
                let leads = items
                    .iter()
                    .any(|item| item.key == keys::LEADER && item.revision == lead.term);
                let stored = written.is_some_and(|(key, bytes)| {
                    items
                        .iter()
                        .any(|item| item.key == key && item.value == bytes)
                });
                if leads && stored {
                    lock(&lead.authority).confirm(sent);
                    log_regained(failures, begun);
                    lead.storeless.store(false, Ordering::Relaxed);
                    return Written::Keys(1);
                }
                log::info!("term {} was replaced", lead.term);
                lead.depose();
                return Written::TermEnded;
            }
            Ok(store::Committed::Refused) => {
                context.metrics.call("store", "refused");
                log_lost(failures, "refused");
                if clock::now() - begun >= constants::STORELESS && !unknown {
                    lead.storeless.store(true, Ordering::Relaxed);
                    return Written::Nothing;
                }
                Timer::after(constants::STORE_RETRY / 2).await;
            }
            Err(error) => {
                context.metrics.call("store", "unknown");
                log_lost(failures, &error.reason);
                unknown = true;
                lock(&lead.pace).unanswered();
                if clock::now() - begun >= constants::STORELESS
                    && !lead.storeless.swap(true, Ordering::Relaxed)
                {
                    lead.update(|scheduler| scheduler.withdraw(false));
                }
                Timer::after(constants::COMMIT_PAUSE).await;
            }
        }
        failures += 1;
    }
    Written::TermEnded
}

fn log_lost(failures: u32, reason: &str) {
    if failures == 0 {
        log::warn!("commit to the platform store failed: {reason}");
    }
}

fn log_regained(failures: u32, begun: time::Monotonic) {
    if failures > 0 {
        let took = (clock::now() - begun).as_millis();
        log::info!("commit took effect after {failures} failures and {took} ms");
    }
}

/// Waits for the open commit, before the role is given back.
pub(super) async fn finish(lead: &lead::Lead) {
    let begun = clock::now();
    while lead.committing.load(Ordering::Relaxed) && clock::now() - begun < constants::STORE_TIMEOUT
    {
        Timer::after(constants::COMMIT_PAUSE).await;
    }
    let answers = {
        let mut scheduler = lock(&lead.scheduler);
        scheduler.take_actions()
    };
    for action in answers {
        lead.deliver(action);
    }
}

/// Gives the role back, so that another node takes it at once.
pub(super) async fn resign(context: &context::Context, term: u64) {
    let leader = context.leader(true);
    let Ok(value) = serde_json::to_vec(&leader) else {
        return;
    };
    let transaction = store::Transaction::default()
        .expect(keys::LEADER, term)
        .put(keys::LEADER, value);
    let committed = context
        .store
        .commit(&transaction, constants::STORE_TIMEOUT)
        .await;
    if let Ok(store::Committed::Done(term)) = committed {
        let elected = election::Elected { term, leader };
        context.candidate().on_elected(elected, clock::now());
    }
}
