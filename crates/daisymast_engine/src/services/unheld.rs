//! Tracks the workers of the zone that have no holder.

use std::time::Duration;

use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use crate::shared::Context;

/// Time after which a worker without a holder counts as dead. Until then its replicas may still run
/// and may be reported by its next holder, which can acquire the worker when the 3 s lease of a
/// failed holder has expired.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Maximum time for which starts are delayed, even if workers keep losing their holders.
const MAX_START_DELAY: Duration = Duration::from_secs(10);

/// Workers without a holder, and how long they have delayed starts.
#[derive(Clone, Debug, Default)]
pub(super) struct UnheldWorkers {
    /// Workers of this instance's zone that no live instance holds, and since when.
    unheld_since: FastMap<WorkerId, Monotonic>,
    /// Time since which starts have been delayed.
    waiting_since: Option<Monotonic>,
}

impl UnheldWorkers {
    /// Updates the workers without a holder from the latest heartbeats.
    pub(super) fn refresh(&mut self, cx: &Context<'_>) {
        let now = cx.now.mono;
        let view = &cx.shared.view;
        let held: FastSet<&WorkerId> = view
            .peers(now)
            .chain(std::iter::once(view.own()))
            .flat_map(|member| &member.workers)
            .collect();
        let workers = &cx.shared.workers;
        let is_unheld = |worker: &WorkerId| {
            let known = workers.get(worker);
            known.is_some_and(|known| known.zone == cx.config.zone) && !held.contains(worker)
        };
        self.unheld_since.retain(|worker, _| is_unheld(worker));
        for worker in workers.keys().filter(|worker| is_unheld(worker)) {
            self.unheld_since.entry(worker.clone()).or_insert(now);
        }
    }

    /// Whether replicas may run on workers that no holder `reported` in a pass, so that missing
    /// replicas must not be started yet. Returns false after [`MAX_START_DELAY`].
    pub(super) fn may_hide_replicas(
        &mut self,
        cx: &Context<'_>,
        reported: &FastSet<WorkerId>,
    ) -> bool {
        let now = cx.now.mono;
        let is_hidden = cx.shared.workers.iter().any(|(worker, known)| {
            known.zone == cx.config.zone
                && !reported.contains(worker)
                && self
                    .unheld_since
                    .get(worker)
                    .is_none_or(|since| now - *since < DEAD_AFTER)
        });
        if !is_hidden {
            self.waiting_since = None;
            return false;
        }
        now - *self.waiting_since.get_or_insert(now) < MAX_START_DELAY
    }
}
