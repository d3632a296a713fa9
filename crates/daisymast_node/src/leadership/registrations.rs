//! Keeps the scheduler's worker list in sync with the registrations in the store.

use std::sync::Arc;

use daisymast_adapter::{keys, registrations, store};
use daisymast_scheduler::worker;
use daisymast_types::collections;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::leadership;
use crate::metrics;

/// Maximum number of keys of which an invalid registration is logged, each once. Further ones are
/// only counted.
const MAX_LOGGED_KEYS: usize = 64;

/// Decodes registrations, and names those that other programs have written and that name no worker.
struct Decoder<'a> {
    metrics: &'a metrics::Metrics,
    logged: collections::FastSet<String>,
}

impl Decoder<'_> {
    fn decode(&mut self, item: &store::Item) -> Option<worker::Registration> {
        match registrations::decode(&item.key, &item.value) {
            Ok(registration) => Some(registration),
            Err(error) => {
                self.metrics.count_invalid("registration");
                if self.logged.len() < MAX_LOGGED_KEYS && self.logged.insert(item.key.clone()) {
                    log::warn!(
                        "ignoring invalid registration {:?} at revision {}: {error}",
                        item.key,
                        item.revision
                    );
                }
                None
            }
        }
    }
}

/// Lists the workers and watches for changes, for as long as the term lasts.
pub(super) async fn sync(context: Arc<context::Context>, leadership: Arc<leadership::Leadership>) {
    let mut decoder = Decoder {
        metrics: &context.metrics,
        logged: collections::FastSet::default(),
    };
    loop {
        match list(&context, &leadership, &mut decoder).await {
            Ok(revision) => watch(&context, &leadership, &mut decoder, revision).await,
            Err(error) => log::debug!("failed to list workers: {error}"),
        }
        Timer::after(constants::STORE_RETRY_DELAY).await;
    }
}

async fn list(
    context: &context::Context,
    leadership: &leadership::Leadership,
    decoder: &mut Decoder<'_>,
) -> Result<u64, store::Failure> {
    let mut after = String::new();
    let mut revision = None;
    let mut entries = Vec::new();
    loop {
        let page = context
            .store
            .page(keys::WORKERS, &after, constants::PAGE_TIMEOUT)
            .await?;
        // Pages are not a consistent snapshot, so the watch starts at the revision of the first
        // page.
        revision.get_or_insert(page.revision);
        entries.extend(page.items.iter().filter_map(|item| decoder.decode(item)));
        if let Some(last) = page.last_key {
            after = last;
        }
        if !page.has_more {
            break;
        }
    }
    let listed: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
    let now = clock::now();
    leadership.update(|scheduler| {
        scheduler.retain_workers(&listed, now);
        for entry in entries {
            scheduler.on_worker_registered(entry, now);
        }
    });
    Ok(revision.unwrap_or(0))
}

/// Applies changes until the store has compacted the revisions to watch or does not answer.
async fn watch(
    context: &context::Context,
    leadership: &leadership::Leadership,
    decoder: &mut Decoder<'_>,
    mut revision: u64,
) {
    loop {
        let watched = context
            .store
            .watch(
                keys::WORKERS,
                revision,
                constants::WATCH_WAIT,
                constants::WATCH_TIMEOUT,
            )
            .await;
        let Ok(store::WatchOutcome::Changes(changes, next)) = watched else {
            return;
        };
        revision = next;
        if changes.is_empty() {
            continue;
        }
        let now = clock::now();
        leadership.update(|scheduler| {
            for change in changes {
                match change {
                    store::Change::Put(item) => {
                        match decoder.decode(&item) {
                            Some(entry) => scheduler.on_worker_registered(entry, now),
                            // An invalid registration counts as no registration.
                            None => {
                                if let Some(id) = registrations::worker_id(&item.key) {
                                    scheduler.on_worker_deregistered(&id, now);
                                }
                            }
                        }
                    }
                    store::Change::Removed(key) => {
                        if let Some(id) = registrations::worker_id(&key) {
                            scheduler.on_worker_deregistered(&id, now);
                        }
                    }
                }
            }
        });
    }
}
