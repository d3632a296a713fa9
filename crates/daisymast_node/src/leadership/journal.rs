//! Writes the journal one batch at a time, and renews the term.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_election::{leader_lease, record as election_record};
use daisymast_jobs::{batch_index, record};
use smol::Timer;

use crate::batch;
use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::leadership;
use crate::leadership::commit::{self, WriteOutcome};

/// Renews the term while the journal is replayed, and records each confirmation. Without this, a
/// leader that took long to replay would appear to have lost the store as soon as it starts.
pub(super) async fn renew_term(
    context: Arc<context::Context>,
    term: u64,
    leader_lease: Arc<Mutex<leader_lease::LeaderLease>>,
) {
    let transaction = store::Transaction::default()
        .expect(keys::LEADER, term)
        .put(keys::HEARTBEAT, term.to_string().into_bytes());
    loop {
        Timer::after(constants::RENEWAL_INTERVAL).await;
        let sent = clock::now();
        let committed = context
            .store
            .commit(&transaction, constants::STORE_TIMEOUT)
            .await;
        match committed {
            Ok(store::CommitOutcome::Done(_)) => lock(&leader_lease).renew(sent),
            Ok(store::CommitOutcome::Conflict(_)) => return,
            Ok(store::CommitOutcome::Refused | store::CommitOutcome::Invalid(_)) => {
                log::debug!("renewal of term {term} refused");
            }
            Err(error) => log::debug!("failed to renew term {term}: {error}"),
        }
    }
}

/// Writes batches, and renews the term while there is nothing to write.
pub(super) async fn run_writer(
    context: Arc<context::Context>,
    leadership: Arc<leadership::Leadership>,
    mut batches: batch_index::BatchIndex,
) {
    let mut last = clock::now();
    loop {
        let next = batch::next_batch(&mut lock(&leadership.scheduler), &mut batches);
        let Some(batch) = next else {
            if clock::now() - last >= constants::RENEWAL_INTERVAL {
                last = clock::now();
                let transaction = commit::term_transaction(&leadership);
                commit::commit(&context, &leadership, &transaction, None).await;
            }
            Timer::after(constants::MIN_COMMIT_INTERVAL).await;
            if leadership.deposed.load(Ordering::Relaxed) {
                return;
            }
            continue;
        };
        leadership.committing.store(true, Ordering::Relaxed);
        last = clock::now();
        let written = match batch {
            batch::Batch::Records(records) => {
                write(&context, &leadership, &records, &mut batches).await
            }
            batch::Batch::Checkpoint { parts, records } => {
                match write_checkpoint(&context, &leadership, &parts, &mut batches).await {
                    WriteOutcome::Invalid => {
                        batches.on_checkpoint_refused();
                        write(&context, &leadership, &records, &mut batches).await
                    }
                    written => written,
                }
            }
        };
        match written {
            WriteOutcome::Stored => {}
            WriteOutcome::NoEffect | WriteOutcome::Invalid => {
                leadership.update(|scheduler| scheduler.reject_unstored_jobs(true));
                leadership.committing.store(false, Ordering::Relaxed);
                Timer::after(constants::STORE_RETRY_DELAY / 2).await;
                continue;
            }
            WriteOutcome::TermEnded => return,
        }
        let now = clock::now();
        leadership.update(|scheduler| scheduler.committed(now));
        leadership.committing.store(false, Ordering::Relaxed);
        let elapsed = clock::now() - last;
        Timer::after(constants::MIN_COMMIT_INTERVAL.saturating_sub(elapsed)).await;
    }
}

/// Writes a checkpoint in a single commit, since a partial checkpoint would lose jobs.
async fn write_checkpoint(
    context: &context::Context,
    leadership: &leadership::Leadership,
    parts: &[Vec<u8>],
    batches: &mut batch_index::BatchIndex,
) -> WriteOutcome {
    let first = batches.next();
    let mut transaction = commit::term_transaction(leadership).expect(&keys::batch(first), 0);
    for (number, part) in (first..).zip(parts) {
        transaction = transaction.put(&keys::batch(number), part.clone());
    }
    let bytes = transaction.bytes();
    let Some(part) = parts.first() else {
        return WriteOutcome::Stored;
    };
    let key = keys::batch(first);
    let written = commit::commit(context, leadership, &transaction, Some((&key, part))).await;
    if matches!(written, WriteOutcome::Stored) {
        batches.on_checkpointed(parts.len() as u64, bytes);
        log::info!("wrote a checkpoint of {bytes} bytes at batch {first}");
    }
    written
}

/// Writes a batch, split over several keys if it is large, and removes obsolete batches.
async fn write(
    context: &context::Context,
    leadership: &leadership::Leadership,
    batch: &[record::Record],
    batches: &mut batch_index::BatchIndex,
) -> WriteOutcome {
    let parts = match record::encode_parts(batch, constants::MAX_BATCH_BYTES) {
        Ok(parts) => parts,
        Err(error) => {
            log::error!("failed to encode batch {}: {error}", batches.next());
            leadership.depose();
            return WriteOutcome::TermEnded;
        }
    };
    for (position, part) in parts.into_iter().enumerate() {
        // Once the first part is stored, the others must follow; only the first may be abandoned.
        loop {
            match append(context, leadership, &part, batches).await {
                WriteOutcome::Stored => break,
                WriteOutcome::NoEffect if position == 0 => return WriteOutcome::NoEffect,
                WriteOutcome::NoEffect => {}
                WriteOutcome::Invalid if position == 0 => return WriteOutcome::Invalid,
                WriteOutcome::Invalid => {
                    leadership.depose();
                    return WriteOutcome::TermEnded;
                }
                WriteOutcome::TermEnded => return WriteOutcome::TermEnded,
            }
        }
    }
    WriteOutcome::Stored
}

async fn append(
    context: &context::Context,
    leadership: &leadership::Leadership,
    part: &[u8],
    batches: &mut batch_index::BatchIndex,
) -> WriteOutcome {
    let key = keys::batch(batches.next());
    let garbage = batches.garbage();
    let mut transaction = commit::term_transaction(leadership)
        .expect(&key, 0)
        .put(&key, part.to_vec());
    for number in garbage.clone() {
        transaction = transaction.remove(keys::batch(number));
    }
    let written = commit::commit(context, leadership, &transaction, Some((&key, part))).await;
    if matches!(written, WriteOutcome::Stored) {
        batches.on_appended(part.len());
        batches.on_removed(garbage.end);
    }
    written
}

/// Waits for the commit in flight before the leader resigns, then delivers pending answers.
pub(super) async fn wait_for_open_commit(leadership: &leadership::Leadership) {
    let started = clock::now();
    while leadership.committing.load(Ordering::Relaxed)
        && clock::now() - started < constants::STORE_TIMEOUT
    {
        Timer::after(constants::MIN_COMMIT_INTERVAL).await;
    }
    let answers = {
        let mut scheduler = lock(&leadership.scheduler);
        scheduler.take_actions()
    };
    for action in answers {
        leadership.deliver(action);
    }
}

/// Marks the leader key as resigned, so that another node takes over immediately. Leaders of earlier
/// terms may act for up to `former_lease`.
pub(super) async fn resign(context: &context::Context, term: u64, former_lease: Duration) {
    let leader = context.leader(true, former_lease);
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
    if let Ok(store::CommitOutcome::Done(term)) = committed {
        let elected = election_record::Elected { term, leader };
        context.candidate().on_elected(elected, clock::now());
    }
}
