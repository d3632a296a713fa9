//! Write-ahead journal: records that are not stored yet, and effects that wait for them.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::collections;

use crate::action;

/// An effect that may only happen once all records before it are stored.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a caller request.
    Answer {
        /// Number of the caller request.
        token: u64,
        /// Job that the request is about.
        job: spec::JobId,
        /// Answer to send.
        answer: action::Answer,
    },
    /// Make a state of a job visible to callers.
    Publish(spec::JobId, job::State),
    /// Send the start of a run of a task to the worker with the given index.
    Start(usize, spec::TaskId, u32),
    /// Allow a worker to drop its ended runs up to a number.
    AckRunEnds {
        /// Index of the worker in the fleet.
        worker: usize,
        /// Worker process that reported them; numbers start anew when it restarts.
        incarnation: u32,
        /// Highest number that is stored.
        number: u64,
    },
}

impl Effect {
    /// Returns the job that the effect is about, if any.
    fn job(&self) -> Option<spec::JobId> {
        match self {
            Self::Answer { job, .. } | Self::Publish(job, _) => Some(*job),
            Self::Start(_, task, _) => Some(task.step.job),
            Self::AckRunEnds { .. } => None,
        }
    }
}

/// Records, and the effects that wait for them.
#[derive(Clone, Debug, Default)]
struct Batch {
    records: Vec<record::Record>,
    effects: Vec<Effect>,
}

/// Collects records for the next commit. At most one commit is in flight.
#[derive(Debug, Default)]
pub struct Journal {
    pending: Batch,
    in_flight: Option<Batch>,
}

impl Journal {
    /// Adds a record to the next batch.
    pub fn append(&mut self, record: record::Record) {
        self.pending.records.push(record);
    }

    /// Holds an effect back until all records so far are stored. Returns it if there are none to
    /// wait for.
    #[must_use]
    pub fn defer(&mut self, effect: Effect) -> Option<Effect> {
        if self.pending.records.is_empty() && self.in_flight.is_none() {
            return Some(effect);
        }
        self.pending.effects.push(effect);
        None
    }

    /// Takes the next batch. Returns `None` if a batch is in flight or there are no records.
    pub fn take_batch(&mut self) -> Option<Vec<record::Record>> {
        if self.in_flight.is_some() || self.pending.records.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.pending);
        let records = batch.records.clone();
        self.in_flight = Some(batch);
        Some(records)
    }

    /// Marks the batch in flight as stored and returns the effects that waited for it.
    pub fn committed(&mut self) -> Vec<Effect> {
        let mut effects = self.in_flight.take().unwrap_or_default().effects;
        if self.pending.records.is_empty() {
            effects.append(&mut self.pending.effects);
        }
        effects
    }

    /// Puts a batch that did not take effect back, so that its records are part of the next commit.
    pub fn requeue_batch(&mut self) {
        if let Some(mut batch) = self.in_flight.take() {
            batch.records.append(&mut self.pending.records);
            batch.effects.append(&mut self.pending.effects);
            self.pending = batch;
        }
    }

    /// Removes the jobs whose acceptance is neither stored nor in flight, with all records and
    /// effects that concern them. Returns these jobs, and the numbers of the caller requests that
    /// were to be answered.
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
        let mut tokens = Vec::new();
        self.pending.effects.retain(|effect| {
            if !concerns(effect) {
                return true;
            }
            if let Effect::Answer { token, .. } = effect {
                tokens.push(*token);
            }
            false
        });
        (jobs.into_iter().collect(), tokens)
    }
}
