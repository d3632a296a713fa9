//! Which workers of the zone have a holder, and since when the others have none.

use std::time::Duration;

use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::WorkerId;
use daisymast_types::time::Monotonic;

use crate::shared::Context;

/// Time after which a worker without a holder counts as dead. Until then its replicas may still run
/// and be reported by its next holder: the lease of a dead holder lasts 3 s.
const DEAD_AFTER: Duration = Duration::from_secs(5);
/// Longest time for which workers that come and go hold back starts.
const MAX_START_DELAY: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, Default)]
pub(super) struct UnheldWorkers {
    /// Workers of the own zone that no live instance holds, and since when.
    unheld_since: FastMap<WorkerId, Monotonic>,
    waiting_since: Option<Monotonic>,
}

impl UnheldWorkers {
    /// Takes in the heartbeats of the zone.
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

    /// Whether replicas may run on workers that no holder reported in a round.
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
