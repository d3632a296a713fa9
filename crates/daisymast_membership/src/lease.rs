//! A control lease of a worker, as seen by its holder.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_protocol::worker::{LeaseStamp, WorkerMillis};
use daisymast_types::time::Monotonic;

/// Divisor of the allowance for clock drift: elapsed time is reduced by a thousandth, which exceeds
/// the drift of ordinary quartz clocks, so that the estimate stays behind the worker's clock.
const DRIFT_DIVISOR: u32 = 1_000;

/// Holder's state of one control lease, with an estimate of the worker's clock.
///
/// ```
/// use std::time::Duration;
/// use daisymast_membership::lease;
/// use daisymast_protocol::worker;
/// use daisymast_types::{ids, time};
/// let sent = time::Monotonic::from_millis(100);
/// let arrived = time::Monotonic::from_millis(400);
/// let stamp = worker::LeaseStamp { boot: ids::BootId(7), epoch: ids::Epoch(1) };
/// let mut lease = lease::Lease::default();
/// lease.granted(sent, arrived, stamp, worker::WorkerMillis(5_000));
/// assert_eq!(lease.stamp(time::Monotonic::from_millis(2_099)), Some(stamp));
/// assert_eq!(lease.stamp(time::Monotonic::from_millis(2_100)), None);
/// let deadline = lease.not_after(arrived, Duration::from_millis(500));
/// assert_eq!(deadline, Some(worker::WorkerMillis(5_500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lease {
    state: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    stamp: LeaseStamp,
    valid_until: Monotonic,
    clock: WorkerMillis,
    clock_at: Monotonic,
}

impl Lease {
    /// Records a grant that was requested at `sent` and arrived at `arrived`.
    pub fn granted(
        &mut self,
        sent: Monotonic,
        arrived: Monotonic,
        stamp: LeaseStamp,
        clock: WorkerMillis,
    ) {
        if self.held_stamp() == Some(stamp) {
            self.renewed(sent, arrived, clock);
            return;
        }
        self.state = Some(HeldLease {
            stamp,
            valid_until: sent + validity(),
            clock,
            clock_at: arrived,
        });
    }

    /// Records a successful renewal. The validity is counted from the time of sending, because the
    /// worker may have renewed the lease at any moment after that.
    pub fn renewed(&mut self, sent: Monotonic, arrived: Monotonic, clock: WorkerMillis) {
        let Some(held) = &mut self.state else {
            return;
        };
        held.valid_until = held.valid_until.max(sent + validity());
        // The reply to a long poll may carry an old clock reading. Each reading gives a lower
        // bound, so the highest estimate is the best one.
        if clock >= held.estimate(arrived) {
            held.clock = clock;
            held.clock_at = arrived;
        }
    }

    /// Discards the lease after it was refused, released or has expired.
    pub fn clear(&mut self) {
        self.state = None;
    }

    /// Stamp of the lease if it is valid at `now`, so that the holder may act under it.
    pub fn stamp(&self, now: Monotonic) -> Option<LeaseStamp> {
        self.state
            .as_ref()
            .filter(|held| now < held.valid_until)
            .map(|held| held.stamp)
    }

    /// Stamp of the last grant, even if the lease has expired. `None` once it was cleared.
    pub fn held_stamp(&self) -> Option<LeaseStamp> {
        self.state.as_ref().map(|held| held.stamp)
    }

    /// Time from which the holder may no longer act, `None` if there is no lease.
    pub fn valid_until(&self) -> Option<Monotonic> {
        self.state.as_ref().map(|held| held.valid_until)
    }

    /// Estimate of the worker's clock at `now`. It is never ahead of that clock as long as the two
    /// clocks drift apart by less than a thousandth.
    pub fn clock(&self, now: Monotonic) -> Option<WorkerMillis> {
        self.state.as_ref().map(|held| held.estimate(now))
    }

    /// Time on the worker's clock from which the worker refuses a message sent at `now` with a
    /// timeout of `timeout`. `None` if the lease is not valid at `now`.
    pub fn not_after(&self, now: Monotonic, timeout: Duration) -> Option<WorkerMillis> {
        self.stamp(now)?;
        let estimate = self.clock(now)?;
        Some(WorkerMillis(estimate.0.saturating_add(millis(timeout))))
    }
}

impl HeldLease {
    fn estimate(&self, now: Monotonic) -> WorkerMillis {
        let elapsed = now - self.clock_at;
        let min_elapsed = elapsed.saturating_sub(elapsed / DRIFT_DIVISOR);
        WorkerMillis(self.clock.0.saturating_add(millis(min_elapsed)))
    }
}

/// Time for which the holder may act after a renewal was sent.
fn validity() -> Duration {
    limits::CONTROL_LEASE_TTL.saturating_sub(limits::CONTROL_LEASE_MARGIN)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
