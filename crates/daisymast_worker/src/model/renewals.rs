//! Long-polling renewals of the control lease: they wait until a task changes.

use std::time::Duration;

use daisymast_protocol::worker::{LeaseStamp, Refusal, WorkerReply};
use daisymast_types::time::Monotonic;

use super::{ExchangeId, WorkerModel, worker_millis};

/// Longest time that a renewal waits for a change. A longer requested wait is cut to this.
pub const RENEW_WAIT_MAX: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
pub(super) struct Renewal {
    stamp: LeaseStamp,
    since: u64,
    leaving: bool,
    deadline: Monotonic,
}

impl WorkerModel {
    /// Answers a renewal at once if there is a change to report or it cannot wait. Otherwise
    /// returns `None` and keeps it until [`Self::answer_renewals`].
    pub(super) fn answer_or_defer_renewal(
        &mut self,
        now: Monotonic,
        exchange: ExchangeId,
        (stamp, since, wait_ms): (LeaseStamp, u64, u64),
    ) -> Option<WorkerReply> {
        let wait = Duration::from_millis(wait_ms).min(RENEW_WAIT_MAX);
        let changed = self.tasks.seq() > since;
        let full = self.open_exchanges() >= self.settings.connections;
        if wait.is_zero() || changed || full || self.stopping {
            return Some(self.renewal_reply(now, since));
        }
        let renewal = Renewal {
            stamp,
            since,
            leaving: self.settings.faults.leaving,
            deadline: now + wait,
        };
        self.renewals.insert(exchange, renewal);
        None
    }

    fn renewal_reply(&self, now: Monotonic, since: u64) -> WorkerReply {
        WorkerReply::Renewed {
            clock: worker_millis(now),
            seq: self.tasks.seq().max(since),
            changes: self.tasks.changes(now, since),
            usage: self.usage,
            leaving: self.settings.faults.leaving,
        }
    }

    /// Answers the renewals whose lease is stale, whose wait is over, or that have a change to
    /// report.
    pub(super) fn answer_renewals(&mut self, now: Monotonic) {
        for (exchange, renewal) in std::mem::take(&mut self.renewals) {
            if self.lease.verify(now, renewal.stamp).is_err() {
                let reason = Refusal::StaleLease;
                self.ready_replies
                    .push((exchange, WorkerReply::Refused { reason }));
            } else if self.tasks.seq() > renewal.since
                || self.settings.faults.leaving != renewal.leaving
                || now >= renewal.deadline
                || self.stopping
            {
                let reply = self.renewal_reply(now, renewal.since);
                self.ready_replies.push((exchange, reply));
            } else {
                self.renewals.insert(exchange, renewal);
            }
        }
    }
}
