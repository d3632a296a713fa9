//! When an attempt that cannot be reached has surely ended.

use std::time::Duration;

use daisymast_protocol::limits;
use daisymast_types::time::Monotonic;

/// Time for which a holder extends a run after the last poll of its owner.
pub const KEEP: Duration = Duration::from_secs(3);
/// Allowance for clocks that run at different rates.
pub const MARGIN: Duration = Duration::from_secs(2);
/// Age of the last confirmation of ownership from which an owner no longer polls. A store outage of
/// this length stops no running task.
pub const CONFIRMED_WITHIN: Duration = Duration::from_secs(15 * 60);
/// Time without contact after which a task that may run twice is started again.
pub const SHARED_PATIENCE: Duration = Duration::from_secs(5);

/// What is known of the last extension of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Nothing that this owner did extends the attempt after this time: deadline of its start, or
    /// time of the last poll that may have reached a holder.
    Seen(Monotonic),
    /// The attempt was claimed under a former owner, which may go on polling. This owner took over
    /// at this time and has not reached the attempt yet.
    Adopted(Monotonic),
}

/// Time from which the attempt surely runs no longer.
///
/// ```
/// use std::time::Duration;
/// use daisymast_runs::lease;
/// use daisymast_types::time::Monotonic;
/// let seen = lease::Contact::Seen(Monotonic::ZERO);
/// assert_eq!(lease::expiry(seen, true), Monotonic::ZERO + Duration::from_secs(15));
/// ```
pub fn expiry(contact: Contact, exclusive: bool) -> Monotonic {
    let lease = KEEP + limits::EXCLUSIVE_TASK_LEASE + MARGIN;
    match (contact, exclusive) {
        (Contact::Seen(at), true) => at + lease,
        (Contact::Adopted(at), true) => at + CONFIRMED_WITHIN + lease,
        (Contact::Seen(at) | Contact::Adopted(at), false) => at + SHARED_PATIENCE,
    }
}
