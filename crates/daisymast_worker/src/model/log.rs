//! Event log of a worker, for the checkers of tests.

use std::collections::VecDeque;

use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::{Epoch, InstanceId, RequestId, TaskKey};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;
use serde::{Deserialize, Serialize};

/// Largest number of entries that the log holds.
pub const LOG_ENTRIES: usize = 65_536;

/// One logged event with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Time of the event on the worker's clock. A task whose lease expired while the worker was
    /// frozen is logged with the time of the expiry, because nothing runs on a frozen worker.
    pub at: Monotonic,
    /// The event.
    pub event: LogEvent,
}

/// Kinds of log entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent {
    /// The control lease was granted under a new epoch.
    Granted {
        /// Instance that holds the lease now.
        holder: InstanceId,
        /// Epoch of the new lease.
        epoch: Epoch,
    },
    /// A task or a request was refused because of a stale lease, a passed deadline, or because the
    /// worker is leaving. Other refusals are not logged: an overload would fill the log with them.
    WorkRefused {
        /// Epoch of the lease under which the message was sent.
        epoch: Epoch,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// A task started.
    TaskStarted {
        /// Task attempt.
        task: TaskKey,
        /// Resources that the task may use.
        size: Resources,
        /// Whether the task must never run in two places at once.
        exclusive: bool,
    },
    /// A task ended.
    TaskEnded {
        /// Task attempt.
        task: TaskKey,
        /// State in which the task ended.
        state: TaskState,
    },
    /// A replica started to serve a request.
    RequestStarted {
        /// Request ID.
        id: RequestId,
    },
    /// A replica finished a request.
    RequestEnded {
        /// Request ID.
        id: RequestId,
        /// Whether the request was answered; `false` if it failed.
        answered: bool,
    },
}

/// Ring buffer of the last [`LOG_ENTRIES`] entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    entries: VecDeque<LogEntry>,
    dropped: u64,
}

impl Log {
    pub(super) fn add(&mut self, at: Monotonic, event: LogEvent) {
        if self.entries.len() == LOG_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(LogEntry { at, event });
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter()
    }

    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }
}
