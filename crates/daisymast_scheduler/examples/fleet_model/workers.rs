//! Modelled workers and their runs.

use daisymast_jobs::spec;
use daisymast_scheduler::{action, report};
use daisymast_types::collections;

/// A run on a modelled worker.
#[derive(Clone, Copy)]
pub(crate) struct Run {
    pub(crate) run: u32,
    pub(crate) started_at: u64,
    /// When the run ends, `None` while it waits for its gang.
    pub(crate) ends_at: Option<u64>,
    pub(crate) end: report::End,
}

/// A modelled worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) running: collections::FastMap<spec::TaskId, Run>,
    pub(crate) ended: Vec<report::Ended>,
    pub(crate) last_end: u64,
    pub(crate) open_poll: Option<action::Target>,
}

impl Run {
    /// Returns the progress in percent. That of a run that waits for its gang is modelled as steady, so
    /// that it does not count as hung.
    pub(crate) fn percent(&self, now: u64) -> u8 {
        let percent = match self.ends_at {
            Some(ends_at) => {
                let took = ends_at.saturating_sub(self.started_at).max(1);
                (now.saturating_sub(self.started_at) * 100 / took).min(99)
            }
            None => now / 500 % 90,
        };
        u8::try_from(percent).unwrap_or(99)
    }
}

impl Worker {
    /// Ends a run, which the next report lists.
    pub(crate) fn end(&mut self, task: spec::TaskId, run: u32, end: report::End) {
        if self.running.remove(&task).is_none() {
            return;
        }
        self.last_end += 1;
        self.ended.push(report::Ended {
            number: self.last_end,
            task,
            run,
            end,
            checkpoint: None,
        });
    }
}
