//! Keeps the scheduler's worker list in sync with the registrations in the store.

use std::sync::Arc;

use daisymast_adapter::{directory, keys, store};
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;
use crate::leadership;

/// Lists the workers and watches for changes, for as long as the term lasts.
pub(super) async fn sync(context: Arc<context::Context>, leadership: Arc<leadership::Leadership>) {
    loop {
        match list(&context, &leadership).await {
            Ok(revision) => watch(&context, &leadership, revision).await,
            Err(error) => log::debug!("failed to list workers: {error}"),
        }
        Timer::after(constants::STORE_RETRY_DELAY).await;
    }
}

async fn list(
    context: &context::Context,
    leadership: &leadership::Leadership,
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
        if let Some(last) = page.items.last() {
            after.clone_from(&last.key);
        }
        let decoded = page.items.iter();
        entries.extend(decoded.filter_map(|item| directory::decode(&item.key, &item.value)));
        if !page.more {
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
async fn watch(context: &context::Context, leadership: &leadership::Leadership, mut revision: u64) {
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
        let Ok(store::Watched::Changes(changes, next)) = watched else {
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
                        match directory::decode(&item.key, &item.value) {
                            Some(entry) => scheduler.on_worker_registered(entry, now),
                            // An invalid registration counts as no registration.
                            None => {
                                if let Some(id) = directory::worker_of(&item.key) {
                                    scheduler.on_worker_deregistered(&id, now);
                                }
                            }
                        }
                    }
                    store::Change::Removed(key) => {
                        if let Some(id) = directory::worker_of(&key) {
                            scheduler.on_worker_deregistered(&id, now);
                        }
                    }
                }
            }
        });
    }
}
