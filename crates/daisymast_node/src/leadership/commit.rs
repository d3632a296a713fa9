//! Commits one transaction to the store, retrying until its outcome is known.

use std::sync::atomic::Ordering;
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_types::time;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::leadership;

/// Outcome of writing a batch.
pub(super) enum WriteOutcome {
    /// The batch is stored.
    Stored,
    /// The batch was certainly not stored.
    NoEffect,
    /// The batch was not stored, and the store would refuse it each time.
    Invalid,
    /// The term has ended.
    TermEnded,
}

pub(super) fn term_transaction(leadership: &leadership::Leadership) -> store::Transaction {
    store::Transaction::default()
        .expect(keys::LEADER, leadership.term)
        .put(keys::HEARTBEAT, leadership.term.to_string().into_bytes())
}

/// Commits a transaction, retrying until the outcome is known. The transaction's conditions ensure
/// that a repeated commit takes effect only once. If the store refuses every attempt for
/// [`constants::STORE_OUTAGE_THRESHOLD`], the commit certainly had no effect and is abandoned.
pub(super) async fn commit(
    context: &context::Context,
    leadership: &leadership::Leadership,
    transaction: &store::Transaction,
    written_item: Option<(&str, &[u8])>,
) -> WriteOutcome {
    *lock(&leadership.commit_began) = Some(clock::now());
    let outcome = commit_until_known(context, leadership, transaction, written_item).await;
    *lock(&leadership.commit_began) = None;
    outcome
}

async fn commit_until_known(
    context: &context::Context,
    leadership: &leadership::Leadership,
    transaction: &store::Transaction,
    written_item: Option<(&str, &[u8])>,
) -> WriteOutcome {
    let started = clock::now();
    let mut unknown = false;
    let mut failures = 0_u32;
    while !leadership.deposed.load(Ordering::Relaxed) {
        let sent = clock::now();
        let timeout =
            lock(&leadership.commit_timeout).timeout(failures) + transfer_time(transaction.bytes());
        let committed = context.store.commit(transaction, timeout).await;
        match committed {
            Ok(store::CommitOutcome::Done(revision)) => {
                lock(&leadership.scheduler).on_revision(revision);
                let took = clock::now() - sent;
                context.metrics.count_call("store", "done");
                context.metrics.observe_commit(took);
                lock(&leadership.commit_timeout).record_response_time(took);
                lock(&leadership.leader_lease).renew(sent);
                log_recovery(failures, started);
                leadership.on_commit_succeeded();
                return WriteOutcome::Stored;
            }
            Ok(store::CommitOutcome::Conflict(items)) => {
                let leads = items
                    .iter()
                    .any(|item| item.key == keys::LEADER && item.revision == leadership.term);
                let stored = written_item.is_some_and(|(key, bytes)| {
                    items
                        .iter()
                        .any(|item| item.key == key && item.value == bytes)
                });
                if leads && stored {
                    let revisions = items.iter().map(|item| item.revision);
                    if let Some(revision) = revisions.max() {
                        lock(&leadership.scheduler).on_revision(revision);
                    }
                    lock(&leadership.leader_lease).renew(sent);
                    log_recovery(failures, started);
                    leadership.on_commit_succeeded();
                    return WriteOutcome::Stored;
                }
                log::info!("term {} was superseded by another leader", leadership.term);
                leadership.depose();
                return WriteOutcome::TermEnded;
            }
            Ok(store::CommitOutcome::Refused) => {
                context.metrics.count_call("store", "refused");
                log_first_failure(failures, "refused");
                if clock::now() - started >= constants::STORE_OUTAGE_THRESHOLD && !unknown {
                    leadership.store_unavailable.store(true, Ordering::Relaxed);
                    return WriteOutcome::NoEffect;
                }
                Timer::after(constants::STORE_RETRY_DELAY / 2).await;
            }
            Ok(store::CommitOutcome::Invalid(status)) => {
                context.metrics.count_call("store", "invalid");
                log::error!(
                    "the platform store refuses a commit of {} bytes with status {status}",
                    transaction.bytes()
                );
                return WriteOutcome::Invalid;
            }
            Err(error) => {
                context.metrics.count_call("store", "unknown");
                log_first_failure(failures, &error.reason);
                unknown = true;
                if let Some((key, bytes)) = written_item
                    && let Some(revision) = stored_revision(context, key, bytes, timeout).await
                {
                    lock(&leadership.scheduler).on_revision(revision);
                    log_recovery(failures + 1, started);
                    leadership.on_commit_succeeded();
                    return WriteOutcome::Stored;
                }
                Timer::after(constants::MIN_COMMIT_INTERVAL).await;
            }
        }
        failures += 1;
        leadership.commit_failing.store(true, Ordering::Relaxed);
    }
    WriteOutcome::TermEnded
}

/// Reads back a batch whose commit was not answered, and returns its revision if it is stored. Where
/// responses to writes are lost but reads are answered, this is faster than sending the commit again.
async fn stored_revision(
    context: &context::Context,
    key: &str,
    bytes: &[u8],
    timeout: Duration,
) -> Option<u64> {
    match context.store.read(key, timeout).await {
        Ok(item) => item
            .filter(|item| item.value == bytes)
            .map(|item| item.revision),
        Err(error) => {
            log::debug!("failed to read back batch {key}: {error}");
            None
        }
    }
}

/// Transfer time of a commit of this size on the slowest link.
fn transfer_time(bytes: usize) -> Duration {
    Duration::from_millis(bytes as u64 / constants::SLOW_LINK_BYTES_PER_MS)
}

fn log_first_failure(failures: u32, reason: &str) {
    if failures == 0 {
        log::warn!("commit to the platform store failed: {reason}");
    }
}

fn log_recovery(failures: u32, started: time::Monotonic) {
    if failures > 0 {
        let took = (clock::now() - started).as_millis();
        log::info!("commit took effect after {failures} failures and {took} ms");
    }
}
