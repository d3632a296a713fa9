//! The journal: read at the begin of a term, then written one batch at a time.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_election::{authority, record as election};
use daisymast_jobs::{book, record, segments};
use daisymast_types::time;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::lead;

/// What the journal holds.
pub(super) struct Replayed {
    pub(super) book: book::Book,
    pub(super) segments: segments::Segments,
}

/// Reads the journal. The term's own write of the leader key precedes this read, so no former
/// scheduler can add to it any more.
pub(super) async fn replay(context: &context::Context, term: u64) -> Option<Replayed> {
    let begun = clock::now();
    let mut replayed = Replayed {
        book: book::Book::default(),
        segments: segments::Segments::default(),
    };
    let mut after = String::new();
    let mut bytes = 0;
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
            bytes += item.value.len();
            replayed.apply(item);
        }
        if let Some(last) = page.items.last() {
            after.clone_from(&last.key);
        }
        if !page.more {
            let took = (clock::now() - begun).as_millis();
            log::info!("journal of {bytes} bytes was read in {took} ms");
            return Some(replayed);
        }
    }
}

impl Replayed {
    fn apply(&mut self, item: &store::Item) {
        let number = item.key.strip_prefix(keys::JOURNAL).map(str::parse::<u64>);
        let Some(Ok(number)) = number else {
            log::error!("key {} has no number of a batch", item.key);
            return;
        };
        let batch = match record::decode(&item.value) {
            Ok(batch) => batch,
            Err(error) => {
                log::error!("batch {} does not decode: {error}", item.key);
                Vec::new()
            }
        };
        let kind = segments::Kind::of(&batch);
        self.segments.found(number, item.value.len(), kind);
        for record in batch {
            self.book.apply(record);
        }
    }
}

/// Shows that the term goes on while the journal is read, and notes each confirmation. Without these a
/// scheduler that took long to read would seem to be without the store when it begins.
pub(super) async fn renew(
    context: Arc<context::Context>,
    term: u64,
    authority: Arc<Mutex<authority::Authority>>,
) {
    let transaction = store::Transaction::default()
        .expect(keys::LEADER, term)
        .put(keys::BEAT, term.to_string().into_bytes());
    loop {
        Timer::after(constants::RENEW).await;
        let sent = clock::now();
        let committed = context
            .store
            .commit(&transaction, constants::STORE_TIMEOUT)
            .await;
        match committed {
            Ok(store::Committed::Done(_)) => lock(&authority).confirm(sent),
            Ok(store::Committed::Conflict(_)) => return,
            Ok(store::Committed::Refused) => log::debug!("term {term} was not renewed: refused"),
            Err(error) => log::debug!("term {term} was not renewed: {error}"),
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
pub(super) async fn keep(
    context: Arc<context::Context>,
    lead: Arc<lead::Lead>,
    mut segments: segments::Segments,
) {
    let mut last = clock::now();
    loop {
        let Some(batch) = next_batch(&lead, &segments) else {
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
        let written = match batch {
            Batch::Records(records) => write(&context, &lead, &records, &mut segments).await,
            Batch::Checkpoint(parts) => {
                write_checkpoint(&context, &lead, &parts, &mut segments).await
            }
        };
        match written {
            Written::Stored => {}
            Written::Nothing => {
                lead.update(|scheduler| scheduler.withdraw(true));
                lead.committing.store(false, Ordering::Relaxed);
                Timer::after(constants::STORE_RETRY / 2).await;
                continue;
            }
            Written::TermEnded => return,
        }
        let now = clock::now();
        lead.update(|scheduler| scheduler.committed(now));
        lead.committing.store(false, Ordering::Relaxed);
        let spent = clock::now() - last;
        Timer::after(constants::COMMIT_PAUSE.saturating_sub(spent)).await;
    }
}

/// What the next commit holds.
enum Batch {
    Records(Vec<record::Record>),
    /// All that the records so far say, encoded in parts that each fit into a key.
    Checkpoint(Vec<Vec<u8>>),
}

fn next_batch(lead: &lead::Lead, segments: &segments::Segments) -> Option<Batch> {
    let mut scheduler = lock(&lead.scheduler);
    let records = scheduler.take_batch()?;
    if !segments.is_checkpoint_due() {
        return Some(Batch::Records(records));
    }
    let parts = record::encode_checkpoint(&scheduler.checkpoint(), constants::BATCH_BYTES);
    match parts {
        Ok(parts) if parts.len() <= constants::CHECKPOINT_PARTS => Some(Batch::Checkpoint(parts)),
        Ok(parts) => {
            log::error!("a checkpoint of {} parts exceeds one commit", parts.len());
            Some(Batch::Records(records))
        }
        Err(error) => {
            log::error!("the checkpoint does not encode: {error}");
            Some(Batch::Records(records))
        }
    }
}

/// Encodes records in parts of limited size.
fn encode_parts(
    records: &[record::Record],
    parts: &mut Vec<Vec<u8>>,
) -> Result<(), rmp_serde::encode::Error> {
    let bytes = record::encode(records)?;
    if bytes.len() <= constants::BATCH_BYTES || records.len() <= 1 {
        parts.push(bytes);
        return Ok(());
    }
    let (first, second) = records.split_at(records.len() / 2);
    encode_parts(first, parts)?;
    encode_parts(second, parts)
}

/// What became of a batch.
enum Written {
    /// It is stored.
    Stored,
    /// It surely had no effect.
    Nothing,
    /// The term has ended.
    TermEnded,
}

/// Writes a checkpoint in one commit: a part of it alone would lose jobs.
async fn write_checkpoint(
    context: &context::Context,
    lead: &lead::Lead,
    parts: &[Vec<u8>],
    segments: &mut segments::Segments,
) -> Written {
    let first = segments.next();
    let mut transaction = transaction(lead).expect(&keys::batch(first), 0);
    for (number, part) in (first..).zip(parts) {
        transaction = transaction.put(&keys::batch(number), part.clone());
    }
    let bytes = transaction.bytes();
    let Some(part) = parts.first() else {
        return Written::Stored;
    };
    let key = keys::batch(first);
    let written = commit(context, lead, &transaction, Some((&key, part))).await;
    if matches!(written, Written::Stored) {
        segments.checkpointed(parts.len() as u64, bytes);
        log::info!("checkpoint of {bytes} bytes at batch {first}");
    }
    written
}

/// Writes a batch, over several keys if it is large, and removes batches that are of no use.
async fn write(
    context: &context::Context,
    lead: &lead::Lead,
    batch: &[record::Record],
    segments: &mut segments::Segments,
) -> Written {
    let mut parts = Vec::new();
    if let Err(error) = encode_parts(batch, &mut parts) {
        log::error!("batch {} does not encode: {error}", segments.next());
        lead.depose();
        return Written::TermEnded;
    }
    for (position, part) in parts.into_iter().enumerate() {
        // A part that is stored binds the rest, so only the first may come to nothing.
        loop {
            match append(context, lead, &part, segments).await {
                Written::Stored => break,
                Written::Nothing if position == 0 => return Written::Nothing,
                Written::Nothing => {}
                Written::TermEnded => return Written::TermEnded,
            }
        }
    }
    Written::Stored
}

async fn append(
    context: &context::Context,
    lead: &lead::Lead,
    part: &[u8],
    segments: &mut segments::Segments,
) -> Written {
    let key = keys::batch(segments.next());
    let garbage = segments.garbage();
    let mut transaction = transaction(lead).expect(&key, 0).put(&key, part.to_vec());
    for number in garbage.clone() {
        transaction = transaction.remove(keys::batch(number));
    }
    let written = commit(context, lead, &transaction, Some((&key, part))).await;
    if matches!(written, Written::Stored) {
        segments.appended(part.len());
        segments.removed(garbage.end);
    }
    written
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
        let timeout = lock(&lead.pace).timeout(failures) + sending_time(transaction.bytes());
        let committed = context.store.commit(transaction, timeout).await;
        match committed {
            Ok(store::Committed::Done(_)) => {
                let took = clock::now() - sent;
                context.metrics.call("store", "done");
                context.metrics.committed(took);
                lock(&lead.pace).answered(took);
                lock(&lead.authority).confirm(sent);
                log_regained(failures, begun);
                lead.stored();
                return Written::Stored;
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
                    lead.stored();
                    return Written::Stored;
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
                if let Some((key, bytes)) = written
                    && is_stored(context, key, bytes, timeout).await
                {
                    log_regained(failures + 1, begun);
                    lead.stored();
                    return Written::Stored;
                }
                if clock::now() - begun >= constants::STORELESS
                    && !lead.storeless.swap(true, Ordering::Relaxed)
                {
                    lead.update(|scheduler| scheduler.withdraw(false));
                }
                Timer::after(constants::COMMIT_PAUSE).await;
            }
        }
        failures += 1;
        lead.failing.store(true, Ordering::Relaxed);
    }
    Written::TermEnded
}

/// Whether a batch whose commit was not answered is stored. Answers to writes may be lost while reads are
/// answered, so this is quicker than to send the commit again.
async fn is_stored(context: &context::Context, key: &str, bytes: &[u8], timeout: Duration) -> bool {
    match context.store.read(key, timeout).await {
        Ok(item) => item.is_some_and(|item| item.value == bytes),
        Err(error) => {
            log::debug!("batch {key} was not read back: {error}");
            false
        }
    }
}

/// Time that a commit of a size takes on the slowest link.
fn sending_time(bytes: usize) -> Duration {
    Duration::from_millis(bytes as u64 / constants::SLOW_LINK_BYTES_PER_MS)
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
