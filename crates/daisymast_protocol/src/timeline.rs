//! Events of the cluster timeline. Each process records its own; readers merge them.

use daisymast_types::time::UnixMillis;
use serde::{Deserialize, Serialize};

/// One state change, with its time and the process that recorded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Wall-clock time of the event.
    pub at: UnixMillis,
    /// Process that recorded the event.
    pub source: String,
    /// Type of the event, such as `lease.acquired`.
    pub step: String,
    /// Subject of the event, such as a worker, a request or a run.
    pub subject: String,
    /// Human-readable details; may be empty.
    pub detail: String,
}
