//! The three outcomes of a call over the network.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known of a call after its reply or its deadline.
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
#[must_use = "an unknown outcome has to be settled"]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The other side answered.
    Done(T),
    /// The call surely took no effect, for example because no connection could be opened.
    NoEffect(CallError),
    /// The call may or may not have taken effect, now or until its deadline.
    Unknown(CallError),
}

impl<T> Outcome<T> {
    /// The reply, if there is one.
    pub fn done(self) -> Option<T> {
        match self {
            Self::Done(reply) => Some(reply),
            Self::NoEffect(_) | Self::Unknown(_) => None,
        }
    }

    /// Converts the reply and keeps the other two outcomes.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Done(reply) => Outcome::Done(convert(reply)),
            Self::NoEffect(error) => Outcome::NoEffect(error),
            Self::Unknown(error) => Outcome::Unknown(error),
        }
    }
}

/// Why a call brought no reply, with the step and the peer at which it failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallError {
    /// Step that failed, such as `renew control lease`.
    pub step: String,
    /// Other side, such as `worker w-7`.
    pub peer: String,
    /// Reason in plain words.
    pub reason: String,
}

impl CallError {
    /// Makes an error from the step, the peer and the reason.
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
