//! Records that are not stored yet, and what waits for them.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;

use crate::action;

/// What may happen once the records before it are stored.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a caller.
    Answer(u64, action::Answer),
    /// Show a state of a job.
    Show(spec::JobId, job::State),
    /// Send the start of a task to the worker at a place in the fleet.
    Start(usize, spec::TaskId, u32),
    /// Tell a worker that its ends up to a number are stored, in the life that began at `born`.
    Note {
        /// Place in the fleet.
        worker: usize,
        /// Count of lives of the worker that were seen.
        life: u32,
        /// Number of the end.
        number: u64,
    },
}

/// Gathers records for the next commit. One commit is in flight at a time.
#[derive(Debug, Default)]
pub struct Journal {
    records: Vec<record::Record>,
    effects: Vec<Effect>,
    in_flight: Option<Vec<Effect>>,
}

impl Journal {
    /// Adds a record.
    pub fn record(&mut self, record: record::Record) {
        self.records.push(record);
    }

    /// Adds what waits for all records so far. Returns it at once if nothing is unsaved.
    #[must_use]
    pub fn after(&mut self, effect: Effect) -> Option<Effect> {
        if self.records.is_empty() && self.in_flight.is_none() {
            return Some(effect);
        }
        self.effects.push(effect);
        None
    }

    /// Takes the next batch unless one is in flight or nothing is unsaved.
    pub fn take_batch(&mut self) -> Option<Vec<record::Record>> {
        if self.in_flight.is_some() || self.records.is_empty() {
            return None;
        }
        self.in_flight = Some(std::mem::take(&mut self.effects));
        Some(std::mem::take(&mut self.records))
    }

    /// The batch in flight is stored. Returns what waited for it.
    pub fn committed(&mut self) -> Vec<Effect> {
        let mut effects = self.in_flight.take().unwrap_or_default();
        if self.records.is_empty() {
            effects.append(&mut self.effects);
        }
        effects
    }

    /// Whether records wait for a commit.
    pub fn is_dirty(&self) -> bool {
        !self.records.is_empty()
    }
}
