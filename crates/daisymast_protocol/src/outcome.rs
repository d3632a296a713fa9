//! The three outcomes of a call over the network.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the caller knows after the reply to a call or its deadline.
///
/// ```
/// use daisymast_protocol::outcome;
/// let lost: outcome::Outcome<u32> = outcome::Outcome::Unknown(outcome::CallError::new(
///     "renew control lease",
///     "worker w-7",
///     "deadline of 500 ms passed",
/// ));
/// assert!(lost.done().is_none());
/// ```
#[must_use = "an unknown outcome must be handled"]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The peer replied.
    Done(T),
    /// The call definitely took no effect, for example because no connection could be opened.
    NoEffect(CallError),
    /// The call may have taken effect, or may still take effect until its deadline.
    Unknown(CallError),
}

impl<T> Outcome<T> {
    /// Returns the reply, or `None` if there is none.
    pub fn done(self) -> Option<T> {
        match self {
            Self::Done(reply) => Some(reply),
            Self::NoEffect(_) | Self::Unknown(_) => None,
        }
    }

    /// Converts the reply with `convert`. The other outcomes are unchanged.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Done(reply) => Outcome::Done(convert(reply)),
            Self::NoEffect(error) => Outcome::NoEffect(error),
            Self::Unknown(error) => Outcome::Unknown(error),
        }
    }
}

/// Error of a call without a reply: the failed step, the peer and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallError {
    /// Step that failed, such as `renew control lease`.
    pub step: String,
    /// Peer that was called, such as `worker w-7`.
    pub peer: String,
    /// Human-readable reason.
    pub reason: String,
}

impl CallError {
    /// Creates an error from the failed step, the peer and a human-readable reason.
    pub fn new(step: &str, peer: &str, reason: &str) -> Self {
        Self {
            step: step.to_owned(),
            peer: peer.to_owned(),
            reason: reason.to_owned(),
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}: {}", self.step, self.peer, self.reason)
    }
}

impl std::error::Error for CallError {}
