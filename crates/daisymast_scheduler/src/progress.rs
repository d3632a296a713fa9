//! Progress of the runs of a step, which tells tasks that are slow from workers on which tasks stand
//! still.

use std::time::Duration;

use daisymast_types::time;

use crate::constants;

/// Highest number of doublings of the timeout.
const MAX_DOUBLINGS: u32 = 16;

/// Why a run stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallCause {
    /// Its worker, as far as is known.
    Worker,
    /// The tasks of the step take much longer than declared. Holds the worker that was taken for the
    /// cause before.
    SlowTasks(usize),
}

/// Progress of the runs of a step.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepProgress {
    /// When a run last progressed.
    last: Option<time::Monotonic>,
    /// Longest time that a run took for one percent.
    per_percent: Duration,
    /// Number of times that the timeout was doubled since a run progressed.
    doublings: u32,
    /// Worker that was taken for the cause of a stall since a run progressed.
    stalled_on: Option<usize>,
}

impl StepProgress {
    /// Records that a run has advanced by some percent in a time.
    pub fn on_progress(&mut self, percent: u8, took: Duration, now: time::Monotonic) {
        self.per_percent = self.per_percent.max(took / u32::from(percent.max(1)));
        self.last = Some(now);
        self.doublings = 0;
        self.stalled_on = None;
    }

    /// Returns the time without progress after which a run counts as hung.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_scheduler::{constants, progress};
    /// use daisymast_types::time;
    /// let mut progress = progress::StepProgress::default();
    /// assert_eq!(progress.timeout(), constants::HUNG_TIMEOUT);
    /// // A task of ten minutes takes 6 s for one percent.
    /// progress.on_progress(1, Duration::from_secs(6), time::Monotonic::from_millis(7_000));
    /// assert!(progress.timeout() > Duration::from_secs(6));
    /// ```
    pub fn timeout(&self) -> Duration {
        let timeout = constants::HUNG_TIMEOUT.max(self.per_percent * constants::STALL_FACTOR);
        timeout * (1 << self.doublings)
    }

    /// Handles a run that has made no progress for the timeout, and returns the cause to assume. While
    /// other runs of the step progress, it is the worker. Otherwise the worker is taken for the cause
    /// once; if the next run stands still as well, the timeout is doubled.
    ///
    /// ```
    /// use daisymast_scheduler::progress::{StallCause, StepProgress};
    /// use daisymast_types::time;
    /// let now = time::Monotonic::from_millis(1_000);
    /// let mut progress = StepProgress::default();
    /// assert_eq!(progress.on_stalled(4, now), StallCause::Worker);
    /// assert_eq!(progress.on_stalled(7, now), StallCause::SlowTasks(4));
    /// ```
    pub fn on_stalled(&mut self, worker_index: usize, now: time::Monotonic) -> StallCause {
        let others_progress = self.last.is_some_and(|last| now - last <= self.timeout());
        match self.stalled_on.take() {
            Some(earlier) if !others_progress => {
                self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
                StallCause::SlowTasks(earlier)
            }
            _ => {
                self.stalled_on = Some(worker_index);
                StallCause::Worker
            }
        }
    }
}
