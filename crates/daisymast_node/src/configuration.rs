//! Keeps the operator's configuration in sync with the store.

use std::sync::Arc;

use daisymast_adapter::{configuration, keys, store};
use daisymast_organisations::declaration;
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;

/// Maximum number of faults of one version that are logged.
const MAX_LOGGED_FAULTS: usize = 32;

/// Reads the configuration and watches it for changes, for as long as the process runs.
pub async fn sync(context: Arc<context::Context>) {
    loop {
        match read(&context).await {
            Ok(revision) => watch(&context, revision).await,
            Err(error) => {
                context.candidate().on_store_failed(clock::now());
                log::debug!("failed to read the configuration: {error}");
            }
        }
        Timer::after(constants::STORE_RETRY_DELAY).await;
    }
}

async fn read(context: &context::Context) -> Result<u64, store::Failure> {
    let held = context.config_version();
    let begun = context.freshness().begin_read(held, clock::now());
    let item = context
        .store
        .read(keys::CONFIGURATION, constants::STORE_TIMEOUT)
        .await;
    let version = match &item {
        Ok(Some(item)) => apply(context, item),
        Ok(None) | Err(_) => None,
    };
    context.freshness().end_read(begun, version, clock::now());
    Ok(item?.map_or(0, |item| item.revision))
}

/// Applies changes until the store has compacted the revisions to watch or does not answer.
async fn watch(context: &context::Context, mut revision: u64) {
    loop {
        let watched = context
            .store
            .watch(
                keys::CONFIGURATION,
                revision,
                constants::WATCH_WAIT,
                constants::WATCH_TIMEOUT,
            )
            .await;
        match watched {
            Ok(store::WatchOutcome::Changes(changes, next)) => {
                for change in changes {
                    if let store::Change::Put(item) = change {
                        apply(context, &item);
                    }
                }
                revision = next;
            }
            Ok(store::WatchOutcome::Compacted) => return,
            Err(_) => {
                context.candidate().on_store_failed(clock::now());
                return;
            }
        }
    }
}

/// Applies the configuration in an item unless a later one is in force. Returns the version that
/// the item contains.
pub(crate) fn apply(context: &context::Context, item: &store::Item) -> Option<u64> {
    if item.key != keys::CONFIGURATION {
        return None;
    }
    let known = context.config();
    let last = known
        .as_ref()
        .and_then(|known| known.organisations.as_ref());
    match configuration::decode(&item.value, last) {
        Ok(decoded) => {
            let version = decoded.config.version;
            // The store delivers a version more than once; its faults are reported once.
            if context.configure_from_store(decoded.config) {
                report_faults(context, version, &decoded.faults);
            }
            Some(version)
        }
        Err(error) => {
            context.metrics.count_invalid("configuration");
            log::warn!(
                "ignoring invalid configuration at revision {}: {error}",
                item.revision
            );
            None
        }
    }
}

/// Names the faults of a version in the log, and counts them.
fn report_faults(context: &context::Context, version: u64, faults: &[declaration::Fault]) {
    for fault in faults {
        context.metrics.count_invalid(fault.part.name());
    }
    for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
        log::warn!("configuration version {version}: ignoring {fault}");
    }
    if let Some(more) = faults.len().checked_sub(MAX_LOGGED_FAULTS + 1) {
        log::warn!("configuration version {version}: {} more faults", more + 1);
    }
}
