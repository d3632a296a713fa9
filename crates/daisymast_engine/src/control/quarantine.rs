//! Quarantines a worker on which most tasks fail.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::task::TaskState;
use daisymast_types::time::Monotonic;

/// Number of recent task ends that are considered.
const RECENT_ENDS: usize = 10;
/// Number of task ends below which a worker is never quarantined.
const MIN_ENDS: usize = 5;
/// Interval between starts that probe a quarantined worker.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of consecutive successes that end the quarantine.
const RESET_SUCCESSES: u32 = 3;

#[derive(Clone, Debug, Default)]
pub(super) struct Quarantine {
    /// Recent task ends, oldest first; `true` is a failure.
    recent: VecDeque<bool>,
    is_active: bool,
    successes: u32,
    next_probe: Monotonic,
}

impl Quarantine {
    /// Records the end of a task. Returns the timeline event if the quarantine begins or ends.
    pub(super) fn record_end(&mut self, now: Monotonic, state: TaskState) -> Option<&'static str> {
        let failed = match state {
            TaskState::Failed => true,
            TaskState::Succeeded => false,
            TaskState::Running | TaskState::Stopped | TaskState::Expired => return None,
        };
        if self.recent.len() == RECENT_ENDS {
            self.recent.pop_front();
        }
        self.recent.push_back(failed);
        self.successes = if failed { 0 } else { self.successes + 1 };
        if self.is_active {
            return self.try_reinstate();
        }
        let failures = self.recent.iter().filter(|&&failed| failed).count();
        if self.recent.len() < MIN_ENDS || failures * 2 <= self.recent.len() {
            return None;
        }
        self.is_active = true;
        self.next_probe = now + PROBE_INTERVAL;
        Some("worker.quarantined")
    }

    /// Whether a start may be sent at `now`: always outside quarantine, once per interval within.
    pub(super) fn allows_start(&self, now: Monotonic) -> bool {
        !self.is_active || now >= self.next_probe
    }

    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// Records that a start was sent, which delays the next probe.
    pub(super) fn record_start(&mut self, now: Monotonic) {
        self.next_probe = now + PROBE_INTERVAL;
    }

    fn try_reinstate(&mut self) -> Option<&'static str> {
        if self.successes < RESET_SUCCESSES {
            return None;
        }
        self.is_active = false;
        self.recent.clear();
        Some("worker.reinstated")
    }
}
