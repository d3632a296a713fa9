//! One worker of the own zone, as this instance sees it.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_membership::lease::Lease;
use daisymast_protocol::worker::LeaseStamp;
use daisymast_types::collections::FastSet;
use daisymast_types::ids::{InstanceId, TaskKey};
use daisymast_types::time::Monotonic;

use super::mirror::Mirror;
use super::quarantine::Quarantine;

/// Time for which a draining holder waits for a moment without open calls before it refuses new
/// ones. Without this bound a busy worker would never be handed over.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Lease exchange that is open. There is one at a time, so replies cannot overtake each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LeaseCall {
    #[default]
    None,
    Acquire,
    Renew,
    Release,
}

/// Wish to release the lease at the next moment without open calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRelease {
    pub(super) since: Monotonic,
    /// End of the wish; nothing while the instance drains.
    pub(super) until: Option<Monotonic>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) lease: Lease,
    /// Stamp of the last grant, to which the mirror belongs.
    pub(super) stamp: Option<LeaseStamp>,
    pub(super) mirror: Mirror,
    pub(super) quarantine: Quarantine,
    pub(super) lease_call: LeaseCall,
    /// Time of the next acquisition or renewal.
    pub(super) next_lease_call: Monotonic,
    /// Whether the last renewal failed, so that the next one must be answered at once.
    pub(super) is_retry: bool,
    /// Open calls other than lease exchanges.
    pub(super) open_calls: u32,
    pub(super) release: Option<PendingRelease>,
    /// Holder that the worker named last; nothing if the worker could not be asked.
    pub(super) reported_holder: Option<InstanceId>,
    /// Since when this instance is the preferred holder.
    pub(super) preferred_since: Option<Monotonic>,
    /// Time from which this instance takes the worker although another one is preferred.
    pub(super) fallback_at: Option<Monotonic>,
    /// Time of the next request for a hand-over.
    pub(super) next_hand_over_request: Monotonic,
    /// Time until which a hand-over is expected, so that acquisitions are tried often.
    pub(super) fast_retry_until: Monotonic,
    /// Time of the next comparison with the manifest.
    pub(super) next_sweep: Monotonic,
    /// Tasks that are declared no longer and not yet stopped.
    pub(super) undeclared: VecDeque<TaskKey>,
    pub(super) next_stop: Monotonic,
    /// Ended tasks whose `Forget` is open.
    pub(super) forgetting: FastSet<TaskKey>,
}

impl Worker {
    /// The stamp, if this instance may send new calls under it.
    pub(super) fn usable_stamp(&self, now: Monotonic) -> Option<LeaseStamp> {
        let closes = self.lease_call == LeaseCall::Release
            || self.release.is_some_and(|release| {
                release.until.is_none() && now - release.since >= DRAIN_IDLE_TIMEOUT
            });
        if closes { None } else { self.lease.stamp(now) }
    }

    /// Whether this instance should take the lease.
    pub(super) fn is_wanted(&self, now: Monotonic) -> bool {
        self.preferred_since.is_some() || self.fallback_at.is_some_and(|at| now >= at)
    }

    /// Starts a wish to release when the instance drains, and ends one whose time is over.
    pub(super) fn update_release(&mut self, now: Monotonic, is_draining: bool) {
        let is_lasting = self.release.is_some_and(|release| release.until.is_none());
        if is_draining && !is_lasting {
            self.release = Some(PendingRelease {
                since: now,
                until: None,
            });
        }
        let until = self.release.and_then(|release| release.until);
        if until.is_some_and(|until| now >= until) {
            self.release = None;
        }
    }

    /// Whether no lease is held and no call is open.
    pub(super) fn is_idle(&self) -> bool {
        self.lease.held_stamp().is_none()
            && self.open_calls == 0
            && self.lease_call == LeaseCall::None
    }
}
