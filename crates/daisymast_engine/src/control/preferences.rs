//! Computes the preferred lease holder of each worker in the local zone.

use std::time::Duration;

use daisymast_membership::assignment;
use daisymast_membership::rendezvous::Candidate;
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, WorkerId};
use daisymast_types::time::Monotonic;

use super::Control;
use crate::shared::Context;

/// Interval between computations of the preferred holders.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the start during which no leases are acquired if the zone has other instances. A new
/// instance that has not received their heartbeats yet would acquire leases only to hand them over.
const STARTUP_WAIT: Duration = Duration::from_millis(1_200);
/// Time without a holder after which an instance acquires the lease of a worker although it is not
/// the preferred holder. The preferred holder may be live and yet partitioned from this worker.
const FALLBACK_AFTER: Duration = Duration::from_secs(6);
/// Upper bound of the jitter added to [`FALLBACK_AFTER`], which keeps the instances of the zone
/// from calling the worker all at once.
const FALLBACK_JITTER: Duration = Duration::from_secs(4);

/// Result and inputs of the last computation.
#[derive(Clone, Debug, Default)]
pub(super) struct Preferences {
    pub(super) holders: FastMap<WorkerId, InstanceId>,
    candidates: Vec<Candidate>,
    workers: Vec<WorkerId>,
    next_refresh: Monotonic,
    started: Option<Monotonic>,
}

impl Preferences {
    /// Whether the instance started so recently that heartbeats of others may be missing.
    pub(super) fn is_starting_up(&self, cx: &Context<'_>) -> bool {
        let is_new = self
            .started
            .is_none_or(|started| cx.now.mono - started < STARTUP_WAIT);
        is_new
            && cx.shared.instances.iter().any(|(instance, (zone, _))| {
                *zone == cx.config.zone && *instance != cx.config.instance
            })
    }
}

impl Control {
    /// Recomputes the preferred holders if the workers or the live instances of the zone changed.
    pub(super) fn refresh_preferences(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        self.preferences.started.get_or_insert(now);
        if now < self.preferences.next_refresh {
            return;
        }
        self.preferences.next_refresh = now + REFRESH_INTERVAL;
        let zone = &cx.config.zone;
        let candidates = cx.shared.view.candidates(now, Some(zone));
        let mut workers: Vec<WorkerId> = cx
            .shared
            .workers
            .iter()
            .filter(|(_, known)| known.zone == *zone)
            .map(|(worker, _)| worker.clone())
            .collect();
        workers.sort_unstable();
        if candidates != self.preferences.candidates || workers != self.preferences.workers {
            self.preferences.holders = assignment::assign(&workers, &candidates);
            self.preferences.candidates = candidates;
            self.workers
                .retain(|id, worker| !worker.is_idle() || workers.binary_search(id).is_ok());
            for worker in &workers {
                self.workers.entry(worker.clone()).or_default();
            }
            self.preferences.workers = workers;
        }
        for (id, worker) in &mut self.workers {
            if self.preferences.holders.get(id) != Some(&cx.config.instance) {
                worker.preferred_since = None;
            } else if worker.preferred_since.is_none() {
                worker.preferred_since = Some(now);
            }
        }
        self.schedule_fallbacks(cx);
    }

    /// Sets the time from which this instance acquires the lease of a worker that has no holder.
    fn schedule_fallbacks(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let held: FastSet<&WorkerId> = cx
            .shared
            .view
            .peers(now)
            .flat_map(|member| &member.workers)
            .collect();
        for (id, worker) in &mut self.workers {
            if held.contains(id) || worker.lease.held_stamp().is_some() {
                worker.fallback_at = None;
            } else if worker.fallback_at.is_none() {
                let wait = FALLBACK_AFTER + cx.outbox.jitter(FALLBACK_JITTER);
                worker.fallback_at = Some(now + wait);
            }
        }
    }
}
