//! Effects that a partition requests from its caller, and its replies.

use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::StoreRequest;
use daisymast_types::ids::Epoch;

/// Number that the caller chooses for a request and receives back with the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Reply to a request to the partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The entries are durable. For a claim, the id was not claimed before.
    Committed,
    /// Recorded state of a request: reply to a status query, and to a claim or result that changes
    /// nothing. The claim may still be in the process of being written.
    ClaimState(ClaimState),
    /// This instance does not own the partition. Nothing was or will be recorded.
    NotOwner,
    /// The request cannot be recorded or looked up at present. Nothing was or will be recorded.
    Unavailable,
    /// The outcome of the write is unknown: the entries may be recorded now or later.
    Unknown,
}

/// A change of the ownership, or a persistent error in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This instance owns the partition in the given epoch.
    Owned(Epoch),
    /// Another instance owns the partition. Holds its epoch, if known.
    Fenced(Option<Epoch>),
    /// The ownership ended because this instance is draining.
    Released,
    /// A value in the store cannot be decoded, or a required one cannot be written. The stored
    /// value is left unchanged and the partition is not owned.
    Unreadable(String),
    /// The store refused a write because of its size or format. The partition stays owned.
    Refused(String),
}

/// An action that the caller carries out.
#[must_use = "a dropped effect loses a call or an answer"]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Make a store call and pass its outcome to [`crate::partition::Partition::on_store`] with the
    /// same call number.
    Call {
        /// Number of the call.
        call: u64,
        /// The request to the store.
        request: StoreRequest,
    },
    /// Deliver a reply. Each ticket receives exactly one.
    Answer {
        /// Ticket of the request.
        ticket: Ticket,
        /// The reply.
        reply: Reply,
    },
    /// Handle a change of the ownership or an error in the store.
    Changed(Change),
}
