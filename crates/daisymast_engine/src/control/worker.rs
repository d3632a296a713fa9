//! State that an instance keeps of one worker of its zone.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_membership::lease::Lease;
use daisymast_protocol::worker::LeaseStamp;
use daisymast_types::collections::FastSet;
use daisymast_types::ids::{InstanceId, TaskKey};
use daisymast_types::time::Monotonic;

use super::mirror::Mirror;
use super::quarantine::Quarantine;

/// Time for which a draining holder waits for all open calls to end before it refuses new ones.
/// Without this limit the lease of a busy worker would never be released.
const DRAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Open lease call of a worker. There is at most one, so replies cannot arrive out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LeaseCall {
    #[default]
    None,
    Acquire,
    Renew,
    Release,
}

/// Release of the lease that waits until no calls are open.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRelease {
    pub(super) since: Monotonic,
    /// Time at which the release is abandoned, or `None` while the instance drains.
    pub(super) until: Option<Monotonic>,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) lease: Lease,
    /// Stamp of the last grant, from which `mirror` was built.
    pub(super) stamp: Option<LeaseStamp>,
    pub(super) mirror: Mirror,
    pub(super) quarantine: Quarantine,
    pub(super) lease_call: LeaseCall,
    /// Earliest time of the next acquisition or renewal.
    pub(super) next_lease_call: Monotonic,
    /// Whether the last renewal failed. The next one then goes without long polling.
    pub(super) is_retry: bool,
    /// Number of open calls other than lease calls.
    pub(super) open_calls: u32,
    pub(super) release: Option<PendingRelease>,
    /// Holder that the worker, or a peer that was asked for a hand-over, named last. `None` if the
    /// worker did not answer the last acquisition.
    pub(super) reported_holder: Option<InstanceId>,
    /// Time since which this instance is the preferred holder, or `None` if it is not.
    pub(super) preferred_since: Option<Monotonic>,
    /// Time from which this instance acquires the lease although another one is preferred. `None`
    /// while the worker has a holder.
    pub(super) fallback_at: Option<Monotonic>,
    /// Earliest time of the next hand-over request.
    pub(super) next_hand_over_request: Monotonic,
    /// Time until which acquisitions are retried at short intervals because a hand-over is
    /// expected.
    pub(super) fast_retry_until: Monotonic,
    /// Time of the next comparison of the worker's tasks with the manifest.
    pub(super) next_sweep: Monotonic,
    /// Undeclared tasks whose stop has not been sent.
    pub(super) undeclared: VecDeque<TaskKey>,
    /// Earliest time of the next stop of an undeclared task.
    pub(super) next_stop: Monotonic,
    /// Ended tasks named in an open `Forget` call.
    pub(super) forgetting: FastSet<TaskKey>,
}

impl Worker {
    /// The lease stamp, or `None` if this instance may not send new calls at `now`.
    pub(super) fn usable_stamp(&self, now: Monotonic) -> Option<LeaseStamp> {
        let is_closing = self.lease_call == LeaseCall::Release
            || self.release.is_some_and(|release| {
                release.until.is_none() && now - release.since >= DRAIN_IDLE_TIMEOUT
            });
        if is_closing {
            None
        } else {
            self.lease.stamp(now)
        }
    }

    /// Whether this instance should acquire the lease.
    pub(super) fn is_wanted(&self, now: Monotonic) -> bool {
        self.preferred_since.is_some() || self.fallback_at.is_some_and(|at| now >= at)
    }

    /// Schedules a release when the instance drains and abandons one whose time has passed.
    pub(super) fn update_release(&mut self, now: Monotonic, is_draining: bool) {
        let is_drain_release = self.release.is_some_and(|release| release.until.is_none());
        if is_draining && !is_drain_release {
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
