//! What a partition asks of its caller.

use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::Epoch;

/// Number that the caller of a method gives and finds again in the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of a request to the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The entries are recorded. A claim is new.
    Committed,
    /// The id is known already. It may be a claim that is still being written.
    ClaimState(ClaimState),
    /// The partition is not owned here; nothing was or will be recorded.
    NotOwner,
    /// The store cannot be written; nothing was or will be recorded.
    Unavailable,
    /// The entries may or may not be recorded, now or later.
    Unknown,
}

/// A change of the ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The partition is owned from now on.
    Owned(Epoch),
    /// Another instance owns the partition; its epoch, if known.
    Fenced(Option<Epoch>),
    /// The ownership ended because the instance drains.
    Released,
    /// A value in the store cannot be read or written. It is left as it is.
    Unreadable(String),
    /// The store refused a write for its size or form.
    Refused(String),
}

/// What the caller has to do.
#[must_use = "a dropped effect loses a call or an answer"]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make a store call and hand its outcome to [`crate::partition::Partition::on_store`] with the same number.
    Call {
        /// Number of the call.
        call: u64,
        /// The call.
        request: StoreRequest,
    },
    /// Give an answer. Each ticket gets exactly one.
    Answer {
        /// Ticket of the request.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
    /// The ownership changed.
    Changed(Change),
}
