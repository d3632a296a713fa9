//! Events of the timeline that is merged over all processes.

use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

/// One change of state, with the time and the process at which it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Wall-clock time.
    pub at: UnixMillis,
    /// Process that recorded the event.
    pub source: String,
    /// Step, such as `lease.acquired`.
    pub step: String,
    /// What it concerns, such as a worker, request or run.
    pub subject: String,
    /// Details in plain words, possibly empty.
    pub detail: String,
}
