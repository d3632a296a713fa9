//! Records that are not stored yet, and what waits for them.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::collections;

use crate::action;

/// What may happen once the records before it are stored.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// Number of the caller's request.
        token: u64,
        /// The job that it asked for.
        job: spec::JobId,
        /// The answer.
        answer: action::Answer,
    },
    /// Show a state of a job.
    Publish(spec::JobId, job::State),
    /// Send the start of a task to the worker at a place in the fleet.
    Start(usize, spec::TaskId, u32),
    /// Tell a worker that its ends up to a number are stored.
    AckEnds {
        /// Place in the fleet.
        worker: usize,
        /// Count of lives of the worker that were seen.
        incarnation: u32,
        /// Number of the end.
        number: u64,
    },
}

impl Effect {
    /// The job that it concerns.
    fn job(&self) -> Option<spec::JobId> {
        match self {
            Self::Answer { job, .. } | Self::Publish(job, _) => Some(*job),
            Self::Start(_, task, _) => Some(task.step.job),
            Self::AckEnds { .. } => None,
        }
    }
}

/// Records and what waits for them.
#[derive(Clone, Debug, Default)]
struct Batch {
    records: Vec<record::Record>,
    effects: Vec<Effect>,
}

/// Gathers records for the next commit. One commit is in flight at a time.
#[derive(Debug, Default)]
pub struct Journal {
    pending: Batch,
    in_flight: Option<Batch>,
}

impl Journal {
    /// Adds a record.
    pub fn append(&mut self, record: record::Record) {
        self.pending.records.push(record);
    }

    /// Adds what waits for all records so far. Returns it at once if nothing is unsaved.
    #[must_use]
    pub fn defer(&mut self, effect: Effect) -> Option<Effect> {
        if self.pending.records.is_empty() && self.in_flight.is_none() {
            return Some(effect);
        }
        self.pending.effects.push(effect);
        None
    }

    /// Takes the next batch unless one is in flight or nothing is unsaved.
    pub fn take_batch(&mut self) -> Option<Vec<record::Record>> {
        if self.in_flight.is_some() || self.pending.records.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.pending);
        let records = batch.records.clone();
        self.in_flight = Some(batch);
        Some(records)
    }

    /// The batch in flight is stored. Returns what waited for it.
    pub fn committed(&mut self) -> Vec<Effect> {
        let mut effects = self.in_flight.take().unwrap_or_default().effects;
        if self.pending.records.is_empty() {
            effects.append(&mut self.pending.effects);
        }
        effects
    }

    /// The batch in flight surely had no effect: its records wait for the next commit again.
    pub fn requeue_batch(&mut self) {
        if let Some(mut batch) = self.in_flight.take() {
            batch.records.append(&mut self.pending.records);
            batch.effects.append(&mut self.pending.effects);
            self.pending = batch;
        }
    }

    /// Takes back the jobs whose acceptance is neither stored nor in flight, with all that follows
    /// from it. Returns the jobs, and the callers that wait for an answer about them.
    pub fn remove_unstored_jobs(&mut self) -> (Vec<spec::JobId>, Vec<u64>) {
        let records = &mut self.pending.records;
        let jobs: collections::FastSet<spec::JobId> = records
            .iter()
            .filter_map(|record| match record {
                record::Record::Accepted { job, .. } => Some(*job),
                _ => None,
            })
            .collect();
        if jobs.is_empty() {
            return (Vec::new(), Vec::new());
        }
        records.retain(|record| record.job().is_none_or(|job| !jobs.contains(&job)));
        let concerns = |effect: &Effect| effect.job().is_some_and(|job| jobs.contains(&job));
        let mut callers = Vec::new();
        self.pending.effects.retain(|effect| {
            if !concerns(effect) {
                return true;
            }
            if let Effect::Answer { token, .. } = effect {
                callers.push(*token);
            }
            false
        });
        (jobs.into_iter().collect(), callers)
    }
}
