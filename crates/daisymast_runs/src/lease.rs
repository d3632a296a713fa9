//! Time after which an unreachable attempt is certain to have ended.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_types::time::Monotonic;

/// Time for which a holder continues to extend the tasks of a run after the last poll by its owner.
pub const HOLDER_EXTENSION: Duration = Duration::from_secs(3);
/// Safety margin for clocks that run at different rates.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(2);
/// Time from the last extension of an exclusive attempt by its owner until the attempt is certain
/// to have ended: 15 s.
pub const ATTEMPT_LEASE: Duration = Duration::from_secs(
    HOLDER_EXTENSION.as_secs() + limits::EXCLUSIVE_TASK_LEASE.as_secs() + CLOCK_MARGIN.as_secs(),
);
/// Age of the last confirmation of ownership at which an owner stops polling. Store outages shorter
/// than this stop no running task.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(15 * 60);
/// Time without contact after which a non-exclusive task is started again.
pub const SHARED_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Last extension of an attempt, as far as this owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// This owner has not extended the attempt after this time, which is the deadline of the start
    /// or the time of the last poll that may have reached a holder.
    LastExtension(Monotonic),
    /// The attempt was claimed by a former owner, which may still poll. This owner took over at
    /// this time and has not reached the attempt yet.
    TakenOver(Monotonic),
}

/// Time from which the attempt is certain not to run; for a non-exclusive attempt, time from which
/// it may be started again.
///
/// `takeover` is the time of the takeover if a former owner may still poll the run through an
/// instance from which this owner receives no heartbeats. Such a poll extends every task of the
/// run, including those that this owner has reached or started itself.
///
/// ```
/// use std::time::Duration;
/// use daisymast_runs::lease;
/// use daisymast_types::time::Monotonic;
/// let seen = lease::Contact::LastExtension(Monotonic::ZERO);
/// assert_eq!(lease::expiry(seen, true, None), Monotonic::ZERO + Duration::from_secs(15));
/// let takeover = Some(Monotonic::ZERO);
/// assert_eq!(lease::expiry(seen, true, takeover), Monotonic::ZERO + Duration::from_secs(915));
/// ```
pub fn expiry(contact: Contact, exclusive: bool, takeover: Option<Monotonic>) -> Monotonic {
    if !exclusive {
        let (Contact::LastExtension(at) | Contact::TakenOver(at)) = contact;
        return at + SHARED_ATTEMPT_TIMEOUT;
    }
    let own = match contact {
        Contact::LastExtension(at) => at + ATTEMPT_LEASE,
        Contact::TakenOver(at) => at + MAX_CONFIRMATION_AGE + ATTEMPT_LEASE,
    };
    takeover.map_or(own, |takeover| {
        own.max(takeover + MAX_CONFIRMATION_AGE + ATTEMPT_LEASE)
    })
}
