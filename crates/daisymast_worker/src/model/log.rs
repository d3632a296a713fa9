//! Record of starts and ends for checkers.

use std::collections::VecDeque;

use daisymast_protocol::task::TaskState;
use daisymast_protocol::worker::Refusal;
use daisymast_types::ids::{Epoch, InstanceId, RequestId, TaskKey};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;
use serde::{Deserialize, Serialize};

/// Entries that the log holds.
pub const LOG_ENTRIES: usize = 65_536;

/// Something that a worker did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Worker time. The end of a task whose time was over while the worker was frozen has the time
    /// at which it was over, because nothing runs on a frozen worker.
    pub at: Monotonic,
    /// What happened.
    pub event: LogEvent,
}

/// Kinds of log entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent {
    /// A control lease was granted under a new epoch.
    Granted {
        /// New holder.
        holder: InstanceId,
        /// New epoch.
        epoch: Epoch,
    },
    /// A task or a request was sent under a stale lease, too late, or to a leaving worker. Other
    /// refusals are not logged: an overload would fill the log with them.
    WorkRefused {
        /// Epoch of the lease under which it was sent.
        epoch: Epoch,
        /// Why it was refused.
        reason: Refusal,
    },
    /// A task started.
    TaskStarted {
        /// The attempt.
        task: TaskKey,
        /// Its size.
        size: Resources,
        /// Whether it may never run in two places at once.
        exclusive: bool,
    },
    /// A task ended.
    TaskEnded {
        /// The attempt.
        task: TaskKey,
        /// How it ended.
        state: TaskState,
    },
    /// A replica started to serve a request.
    RequestStarted {
        /// The request.
        id: RequestId,
    },
    /// A replica finished a request.
    RequestEnded {
        /// The request.
        id: RequestId,
        /// Whether there is an answer.
        answered: bool,
    },
}

/// The last [`LOG_ENTRIES`] entries.
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
