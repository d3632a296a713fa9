//! The control lease of a worker.

use std::time::Duration;

use daisymast_protocol::worker::{LeaseStamp, Refusal};
use daisymast_types::ids::{BootId, Epoch, InstanceId};
use daisymast_types::time::Monotonic;

/// Longest time to live that a holder may ask for.
pub const TTL_MAX: Duration = Duration::from_secs(60);

/// Result of asking for the lease.
#[derive(Clone, Debug)]
pub(super) enum AcquireResult {
    /// The lease is granted under a new epoch.
    Granted,
    /// The asking instance holds the lease already.
    AlreadyHeld,
    /// Another instance holds the lease for this long.
    HeldByOther(InstanceId, Duration),
}

/// At most one holder, until the worker's own clock says that its time is over.
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

    /// Grants the lease if it is free, expired or held by `holder`. The epoch rises unless `holder`
    /// holds a live lease: a lease that was released or has expired is another one afterwards, so
    /// that messages sent under it stay refused.
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
