//! When an attempt that cannot be reached has surely ended.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_types::time::Monotonic;

/// Time for which a holder extends a run after the last poll of its owner.
pub const HOLDER_EXTENSION: Duration = Duration::from_secs(3);
/// Allowance for clocks that run at different rates.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(2);
/// Time from the last extension of an exclusive attempt by its owner to its sure end: 15 s.
pub const ATTEMPT_LEASE: Duration = Duration::from_secs(
    HOLDER_EXTENSION.as_secs() + limits::EXCLUSIVE_TASK_LEASE.as_secs() + CLOCK_MARGIN.as_secs(),
);
/// Age of the last confirmation of ownership from which an owner no longer polls. A store outage of
/// this length stops no running task.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(15 * 60);
/// Time without contact after which a task that may run twice is started again.
pub const SHARED_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// What is known of the last extension of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Nothing that this owner did extends the attempt after this time: deadline of its start, or
    /// time of the last poll that may have reached a holder.
    LastExtension(Monotonic),
    /// The attempt was claimed under a former owner, which may go on polling. This owner took over
    /// at this time and has not reached the attempt yet.
    TakenOver(Monotonic),
}

/// Time from which the attempt surely runs no longer.
///
/// `takeover` is the time of the takeover if a former owner may still poll the run through an instance
/// that this owner does not see. Such a poll extends each task of the run, also one that this owner
/// has reached before or has started itself.
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
