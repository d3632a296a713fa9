//! The control lease of a worker.

use std::time::Duration;

use daisymast_protocol::worker::{LeaseStamp, Refusal};
use daisymast_types::ids::{BootId, Epoch, InstanceId};
use daisymast_types::time::Monotonic;

/// Longest time to live that a holder may ask for.
pub const TTL_MAX: Duration = Duration::from_secs(60);

/// Result of asking for the lease.
#[derive(Clone, Debug)]
pub(super) enum Acquired {
    /// The lease is granted under a new epoch.
    New,
    /// The asking instance holds the lease already.
    Kept,
    /// Another instance holds the lease for this long.
    Held(InstanceId, Duration),
}

/// At most one holder, until the worker's own clock says that its time is over.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    boot: BootId,
    epoch: Epoch,
    holder: Option<InstanceId>,
    until: Monotonic,
    ttl: Duration,
}

impl Lease {
    pub(super) fn new(boot: BootId) -> Self {
        Self {
            boot,
            epoch: Epoch(0),
            holder: None,
            until: Monotonic::ZERO,
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
    ) -> Acquired {
        let live = self.holder.as_ref().filter(|_| now < self.until);
        let kept = live == Some(&holder);
        if let Some(other) = live
            && !kept
        {
            return Acquired::Held(other.clone(), self.until - now);
        }
        if !kept {
            self.epoch = self.epoch.next();
            self.holder = Some(holder);
        }
        self.ttl = ttl;
        self.until = now + ttl;
        if kept { Acquired::Kept } else { Acquired::New }
    }

    pub(super) fn check(&self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        if self.holder.is_some() && stamp == self.stamp() && now < self.until {
            Ok(())
        } else {
            Err(Refusal::StaleLease)
        }
    }

    pub(super) fn renew(&mut self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        self.check(now, stamp)?;
        self.until = now + self.ttl;
        Ok(())
    }

    pub(super) fn release(&mut self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        self.check(now, stamp)?;
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
        self.holder.as_ref().filter(|_| now < self.until)
    }
}
