//! One commit to the journal, repeated until its outcome is known.

use std::sync::atomic::Ordering;
use std::time::Duration;

use daisymast_adapter::{keys, store};
use daisymast_types::time;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::lead;

/// What became of a batch.
pub(super) enum Written {
    /// It is stored.
    Stored,
    /// It surely had no effect.
    Nothing,
    /// The term has ended.
    TermEnded,
}

pub(super) fn transaction(lead: &lead::Lead) -> store::Transaction {
    store::Transaction::default()
        .expect(keys::LEADER, lead.term)
        .put(keys::BEAT, lead.term.to_string().into_bytes())
}

/// Commits until the outcome is known. The conditions let a repeated commit take effect once. If the
/// store refuses each try for a while, the commit surely had no effect and is given up.
pub(super) async fn commit(
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
                lock(&lead.authority).renew(sent);
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
                    lock(&lead.authority).renew(sent);
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
                    lead.update(|scheduler| scheduler.reject_unstored_jobs(false));
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
