//! Control lease of a worker.

use std::time::Duration;

use daisymast_protocol::worker::{LeaseStamp, Refusal};
use daisymast_types::ids::{BootId, Epoch, InstanceId};
use daisymast_types::time::Monotonic;

/// Longest time to live that a holder may request.
pub const TTL_MAX: Duration = Duration::from_secs(60);

/// Result of a request for the lease.
#[derive(Clone, Debug)]
pub(super) enum AcquireResult {
    /// The lease was granted under a new epoch.
    Granted,
    /// The requesting instance already holds the lease; its epoch is unchanged.
    AlreadyHeld,
    /// Another instance holds the lease, for this remaining time.
    HeldByOther(InstanceId, Duration),
}

/// A lease with at most one holder. It expires by the worker's own clock.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    boot: BootId,
    epoch: Epoch,
    holder: Option<InstanceId>,
    expires_at: Monotonic,
    ttl: Duration,
}

impl Lease {
    pub(super) fn new(boot: BootId) -> Self {
        Self {
            boot,
            epoch: Epoch(0),
            holder: None,
            expires_at: Monotonic::ZERO,
            ttl: Duration::ZERO,
        }
    }

    /// Grants the lease if it is free, expired or held by `holder`.
    ///
    /// The epoch rises unless `holder` holds an unexpired lease. After a release or an expiry even
    /// the same holder gets a new epoch, so that messages sent under the old lease stay refused.
    pub(super) fn acquire(
        &mut self,
        now: Monotonic,
        holder: InstanceId,
        ttl: Duration,
    ) -> AcquireResult {
        let current = self.holder.as_ref().filter(|_| now < self.expires_at);
        let already_held = current == Some(&holder);
        if let Some(other) = current
            && !already_held
        {
            return AcquireResult::HeldByOther(other.clone(), self.expires_at - now);
        }
        if !already_held {
            self.epoch = self.epoch.next();
            self.holder = Some(holder);
        }
        self.ttl = ttl;
        self.expires_at = now + ttl;
        if already_held {
            AcquireResult::AlreadyHeld
        } else {
            AcquireResult::Granted
        }
    }

    pub(super) fn verify(&self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        if self.holder.is_some() && stamp == self.stamp() && now < self.expires_at {
            Ok(())
        } else {
            Err(Refusal::StaleLease)
        }
    }

    pub(super) fn renew(&mut self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        self.verify(now, stamp)?;
        self.expires_at = now + self.ttl;
        Ok(())
    }

    pub(super) fn release(&mut self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        self.verify(now, stamp)?;
        self.holder = None;
        Ok(())
    }

    pub(super) fn stamp(&self) -> LeaseStamp {
        LeaseStamp {
            boot: self.boot,
            epoch: self.epoch,
        }
    }

    pub(super) fn holder(&self, now: Monotonic) -> Option<&InstanceId> {
        self.holder.as_ref().filter(|_| now < self.expires_at)
    }
}
