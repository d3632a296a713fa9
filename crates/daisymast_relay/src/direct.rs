//! Calls that the leader makes to workers itself, and until when it may send them.

use daisymast_scheduler::{action, constants as limits, report};
use daisymast_types::time;

use crate::constants;
use crate::encoding;
use crate::link;

/// A call that the leader makes itself.
#[derive(Clone, Debug)]
pub struct DirectCall {
    /// The call, as the scheduler requested it.
    pub action: action::Action,
    /// Whether a relay may have made the call, or may still make it.
    may_have_been_sent: bool,
    /// When the call becomes too old to be sent; `None` if it is no call to a worker.
    expires: Option<time::Monotonic>,
}

impl DirectCall {
    /// Creates a call that the scheduler has requested and that was given to no relay.
    pub fn requested(action: action::Action) -> Self {
        let target = action.target();
        Self {
            expires: target.map(|target| target.sent_at + limits::MAX_DELIVERY_TIME),
            may_have_been_sent: false,
            action,
        }
    }

    /// Creates a call that a relay did not make, or whose outcome it did not return by `now`.
    ///
    /// Waiting for the relay takes up to a call's timeout and [`constants::OUTCOME_MARGIN`]. A call
    /// that is older by then has waited in a process that was paused.
    pub fn passed_on(call: link::Undelivered, now: time::Monotonic) -> Self {
        let longest_wait =
            constants::MAX_CALL_AGE + encoding::timeout(&call.action) + constants::OUTCOME_MARGIN;
        let oldest = call
            .action
            .target()
            .map(|target| target.sent_at + longest_wait);
        Self {
            expires: oldest.map(|oldest| oldest.min(now + limits::MAX_DELIVERY_TIME)),
            may_have_been_sent: call.may_have_been_sent,
            action: call.action,
        }
    }

    /// Returns the time from which on the call must not be sent any more. `lease_end` is the end of
    /// the leader's lease, `None` if the leader may not act.
    pub fn send_by(&self, lease_end: Option<time::Monotonic>) -> time::Monotonic {
        let lease_end = lease_end.unwrap_or(time::Monotonic::ZERO);
        self.expires
            .map_or(lease_end, |expires| expires.min(lease_end))
    }

    /// Returns the outcome of a start that had `outcome` when it was sent directly. Unless the worker
    /// says that it knows the run or another leader, the copy that a relay may have sent can still
    /// take effect.
    pub fn start_outcome(&self, outcome: report::OrderOutcome) -> report::OrderOutcome {
        match outcome {
            report::OrderOutcome::Refused(report::Refusal::Fenced | report::Refusal::OldRun, _)
            | report::OrderOutcome::Accepted(_)
            | report::OrderOutcome::Unknown => outcome,
            report::OrderOutcome::Refused(..) | report::OrderOutcome::NoEffect
                if self.may_have_been_sent =>
            {
                report::OrderOutcome::Unknown
            }
            report::OrderOutcome::Refused(..) | report::OrderOutcome::NoEffect => outcome,
        }
    }

    /// Returns the outcome of a stop that had `outcome` when it was sent directly.
    pub fn stop_outcome(&self, outcome: report::OrderOutcome) -> report::OrderOutcome {
        match outcome {
            report::OrderOutcome::NoEffect if self.may_have_been_sent => {
                report::OrderOutcome::Unknown
            }
            outcome => outcome,
        }
    }
}
