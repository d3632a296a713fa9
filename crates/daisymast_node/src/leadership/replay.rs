//! Replays the journal at the start of a term.

use std::collections::VecDeque;

use daisymast_adapter::{keys, store};
use daisymast_jobs::{batch_index, job_table, record};
use smol::Timer;

use crate::clock;
use crate::constants;
use crate::context;

/// State rebuilt from the journal.
pub(super) struct ReplayedJournal {
    pub(super) job_table: job_table::JobTable,
    pub(super) batches: batch_index::BatchIndex,
    /// Batches that were written last.
    recent: VecDeque<Vec<record::Record>>,
}

/// Why a term ends before the journal was replayed.
pub(super) enum ReplayError {
    /// The process is shutting down, or another node was elected.
    TermEnded,
    /// A batch cannot be decoded. Leading without its records would lose jobs or run tasks twice.
    Unreadable,
    /// The store has refused this node the journal for [`constants::REPLAY_STALL_LIMIT`].
    Stalled,
}

/// Reads and replays the journal. This term's write of the leader key precedes the read, so no
/// earlier leader can append to the journal any more.
pub(super) async fn replay(
    context: &context::Context,
    term: u64,
) -> Result<ReplayedJournal, ReplayError> {
    let started = clock::now();
    let mut replayed = ReplayedJournal {
        job_table: job_table::JobTable::default(),
        batches: batch_index::BatchIndex::default(),
        recent: VecDeque::new(),
    };
    let mut after = String::new();
    let mut bytes = 0;
    let mut last_page = started;
    loop {
        if context.is_draining() || is_replaced(context, term) {
            return Err(ReplayError::TermEnded);
        }
        let page = context
            .store
            .page(keys::JOURNAL, &after, constants::PAGE_TIMEOUT)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(error) => {
                log::warn!("failed to read a page of the journal: {error}");
                if clock::now() - last_page >= constants::REPLAY_STALL_LIMIT {
                    return Err(ReplayError::Stalled);
                }
                Timer::after(constants::STORE_RETRY_DELAY).await;
                continue;
            }
        };
        last_page = clock::now();
        for item in &page.items {
            bytes += item.value.len();
            replayed.apply(item)?;
        }
        if let Some(last) = page.last_key {
            after = last;
        }
        if !page.has_more {
            replayed.mark_recent_placements();
            let took = (clock::now() - started).as_millis();
            log::info!("journal of {bytes} bytes was read in {took} ms");
            return Ok(replayed);
        }
    }
}

impl ReplayedJournal {
    fn apply(&mut self, item: &store::Item) -> Result<(), ReplayError> {
        let number = item.key.strip_prefix(keys::JOURNAL).map(str::parse::<u64>);
        let Some(Ok(number)) = number else {
            log::error!("ignoring journal key without a batch number: {}", item.key);
            return Ok(());
        };
        let batch = record::decode(&item.value).map_err(|error| {
            log::error!(
                "failed to decode journal batch {} of {} bytes with release {}: {error}",
                item.key,
                item.value.len(),
                env!("CARGO_PKG_VERSION")
            );
            ReplayError::Unreadable
        })?;
        let kind = batch_index::BatchKind::of(&batch);
        self.batches.on_replayed(number, item.value.len(), kind);
        let placements = batch
            .iter()
            .filter(|record| matches!(record, record::Record::Placed { .. }));
        self.recent.push_back(placements.cloned().collect());
        if self.recent.len() > constants::RECENT_BATCHES {
            self.recent.pop_front();
        }
        for record in batch {
            self.job_table.apply(record);
        }
        Ok(())
    }

    /// Marks the placements of the last batches, whose starts may not have been answered.
    fn mark_recent_placements(&mut self) {
        for record in std::mem::take(&mut self.recent).into_iter().flatten() {
            if let record::Record::Placed { step, run, tasks } = record {
                self.job_table.mark_recent_placement(step, run, tasks);
            }
        }
    }
}

/// Whether another node was elected after this term.
pub(super) fn is_replaced(context: &context::Context, term: u64) -> bool {
    let candidate = context.candidate();
    candidate
        .elected()
        .is_some_and(|elected| elected.term > term)
}
