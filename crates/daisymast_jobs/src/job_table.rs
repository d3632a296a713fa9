//! In-memory table of all jobs, rebuilt by replaying the journal.

use std::time::Duration;

use daisymast_organisations::organisation;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use crate::job;
use crate::queue;
use crate::record;
use crate::spec;

/// Time for which the final state of an ended job can be queried. Callers are promised two minutes.
pub const ENDED_RETENTION: Duration = Duration::from_secs(600);

/// Time for which an ended job is kept whole after a start of one of its tasks got no answer. The next
/// scheduler must not acknowledge the end of such a task while the start may be carried out: for 12 s after
/// the last order of this one, which may act for 7 s more.
pub const LATE_START_RETENTION: Duration = Duration::from_secs(20);

/// What is kept of an ended job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EndedJob {
    ended: record::Ended,
    organisation: Option<ids::Organisation>,
}

/// Table of all known jobs, plus the queue settings and worker speeds that the journal records.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    jobs: collections::FastMap<spec::JobId, job::Job>,
    ended: collections::FastMap<spec::JobId, EndedJob>,
    queues: collections::FastMap<ids::QueueName, queue::Queue>,
    /// Settings of the organisations that jobs belong to.
    organisations: collections::FastMap<ids::Organisation, organisation::Terms>,
    /// Measured speeds of workers, in thousandths of the speed that declared run times assume.
    speeds: collections::FastMap<ids::WorkerId, u32>,
}

impl JobTable {
    /// Looks up a job that has not been compacted.
    pub fn job(&self, id: spec::JobId) -> Option<&job::Job> {
        self.jobs.get(&id)
    }

    /// Returns the state of a job that committed journal records support and that callers may be
    /// told.
    pub fn committed_state(&self, id: spec::JobId) -> Option<job::State> {
        let ended = || self.ended.get(&id).map(|kept| kept.ended.state);
        self.jobs
            .get(&id)
            .map(|job| job.committed_state)
            .or_else(ended)
    }

    /// Returns the organisation that a job belongs to, `None` if it belongs to none or is unknown.
    pub fn owner(&self, id: spec::JobId) -> Option<&ids::Organisation> {
        match self.jobs.get(&id) {
            Some(job) => job.organisation.as_ref(),
            None => self.ended.get(&id)?.organisation.as_ref(),
        }
    }

    /// Returns the settings of a queue as of its last accepted job.
    pub fn queue(&self, name: &ids::QueueName) -> Option<&queue::Queue> {
        self.queues.get(name)
    }

    /// Returns the measured speed of a worker, in thousandths.
    pub fn speed(&self, worker: &ids::WorkerId) -> Option<u32> {
        self.speeds.get(worker).copied()
    }

    /// Sets the measured speed of a worker, in thousandths.
    pub fn set_speed(&mut self, worker: ids::WorkerId, permille: u32) {
        self.speeds.insert(worker, permille);
    }

    /// Sets the settings of a queue.
    pub fn set_queue(&mut self, queue: queue::Queue) {
        self.queues.insert(queue.name.clone(), queue);
    }

    /// Returns the stored settings of an organisation.
    pub fn organisation(&self, name: &ids::Organisation) -> Option<&organisation::Terms> {
        self.organisations.get(name)
    }

    /// Iterates over the stored settings of the organisations, in no particular order.
    pub fn organisations(&self) -> impl Iterator<Item = &organisation::Terms> {
        self.organisations.values()
    }

    /// Sets the settings of an organisation.
    pub fn set_organisation(&mut self, terms: organisation::Terms) {
        self.organisations.insert(terms.name.clone(), terms);
    }

    /// Looks up a job that has not been compacted, for modification.
    pub fn job_mut(&mut self, id: spec::JobId) -> Option<&mut job::Job> {
        self.jobs.get_mut(&id)
    }

    /// Iterates over all jobs that have not been compacted, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (spec::JobId, &job::Job)> {
        self.jobs.iter().map(|(&id, job)| (id, job))
    }

    /// Adds a job unless its id is already present. Returns whether it was added.
    pub fn insert(&mut self, id: spec::JobId, job: job::Job) -> bool {
        match self.jobs.entry(id) {
            std::collections::hash_map::Entry::Occupied(_) => false,
            std::collections::hash_map::Entry::Vacant(slot) => {
                slot.insert(job);
                true
            }
        }
    }

    /// Removes a job without keeping its final state.
    pub fn remove(&mut self, id: spec::JobId) {
        self.jobs.remove(&id);
    }

    /// Replaces settled jobs by their final state, and drops final states older than
    /// [`ENDED_RETENTION`] and the settings of organisations that have no job any more.
    pub fn compact(&mut self, now: time::UnixMillis) {
        let kept = u64::try_from(ENDED_RETENTION.as_millis()).unwrap_or(u64::MAX);
        let ended = &mut self.ended;
        ended.retain(|_, job| now.0.saturating_sub(job.ended.at.0) <= kept);
        self.jobs.retain(|&id, job| {
            if !job.is_settled() {
                return true;
            }
            if job.has_repeated_start() {
                let since = *job.kept_since.get_or_insert(now);
                let span = now.0.saturating_sub(since.0);
                if u128::from(span) < LATE_START_RETENTION.as_millis() {
                    return true;
                }
            }
            let state = job.committed_state;
            let kept = EndedJob {
                ended: record::Ended { state, at: now },
                organisation: job.organisation.take(),
            };
            ended.insert(id, kept);
            false
        });
        // The settings of an organisation are stored again with its next job.
        let jobs = self.jobs.values();
        let owners: collections::FastSet<&ids::Organisation> =
            jobs.filter_map(|job| job.organisation.as_ref()).collect();
        self.organisations.retain(|name, _| owners.contains(name));
    }

    /// Returns records from which the table can be rebuilt without any earlier record.
    pub fn checkpoint(&self) -> Vec<record::Record> {
        let mut records = vec![record::Record::Checkpoint];
        let queues = self.queues.values().cloned();
        records.extend(queues.map(|terms| record::Record::Queue { terms }));
        let organisations = self.organisations.values().cloned();
        records.extend(organisations.map(|terms| record::Record::Organisation { terms }));
        let speeds = self.speeds.iter();
        records.extend(speeds.map(|(worker, &permille)| record::Record::Speed {
            worker: worker.clone(),
            permille,
        }));
        let mut groups: collections::FastMap<&EndedJob, Vec<spec::JobId>> =
            collections::FastMap::default();
        for (&job, ended) in &self.ended {
            groups.entry(ended).or_default().push(job);
        }
        let ended = groups.into_iter();
        records.extend(ended.map(|(kept, jobs)| record::Record::Ended {
            ended: kept.ended,
            jobs,
            organisation: kept.organisation.clone(),
        }));
        for (&job, content) in &self.jobs {
            let restored = record::Record::Restored {
                job,
                content: Box::new(content.without_open_starts()),
            };
            records.push(restored);
            records.extend(repeated_placements(job, content));
        }
        records
    }

    /// Applies one journal record. A record about an unknown job is ignored, since that job was
    /// removed from the journal by compaction.
    pub fn apply(&mut self, record: record::Record) {
        match record {
            record::Record::Queue { terms } => self.set_queue(terms),
            record::Record::Organisation { terms } => self.set_organisation(terms),
            record::Record::Speed { worker, permille } => self.set_speed(worker, permille),
            record::Record::Accepted {
                job,
                queue,
                spec,
                at,
                organisation,
                over_rate,
            } => {
                if !self.ended.contains_key(&job) {
                    let content = job::Job::new(queue, spec, at)
                        .owned_by(organisation)
                        .over_rate(over_rate);
                    self.insert(job, content);
                }
            }
            record::Record::Placed { step, run, tasks } => self.place(step, run, tasks),
            record::Record::Done { task } => {
                if let Some(job) = self.job_mut(task.step.job) {
                    job.mark_task_done(task);
                }
            }
            record::Record::GangDone { step } => self.mark_gang_done(step),
            record::Record::Failed { task, run } => {
                if let Some(job) = self.job_mut(task.step.job) {
                    job.record_failure(task, run);
                }
            }
            record::Record::GaveUp { job } => {
                if let Some(job) = self.job_mut(job) {
                    job.failed = true;
                }
            }
            record::Record::Cancelled { job } => {
                if let Some(job) = self.job_mut(job) {
                    job.cancelled = true;
                }
            }
            record::Record::Checkpoint => *self = Self::default(),
            record::Record::CheckpointPart => {}
            record::Record::Ended {
                ended,
                jobs,
                organisation,
            } => {
                let kept = EndedJob {
                    ended,
                    organisation,
                };
                self.ended
                    .extend(jobs.into_iter().map(|job| (job, kept.clone())));
            }
            record::Record::Restored { job, content } => {
                self.jobs.insert(job, *content);
            }
        }
    }

    /// Marks tasks as placed on workers under a run number. Placing a task again under the same number on
    /// the same worker says that one more start of it may be open.
    pub fn place(&mut self, step: spec::StepId, run: u32, tasks: Vec<(u32, ids::WorkerId)>) {
        let Some(job) = self.job_mut(step.job) else {
            return;
        };
        job.started = true;
        job.start_occurrence(step.occurrence);
        for (index, worker) in tasks {
            let Some(task) = job.task_mut(step.task(index)) else {
                continue;
            };
            // A repeated placement of a run that a later one has replaced.
            if run < task.run {
                continue;
            }
            let phase = job::Phase::Placed { worker };
            let is_repeated = task.phase == job::Phase::Done || task.phase == phase;
            task.open_start = match task.open_start {
                _ if task.run != run || !is_repeated => job::OpenStart::No,
                job::OpenStart::No => job::OpenStart::Single,
                job::OpenStart::Single | job::OpenStart::Repeated => job::OpenStart::Repeated,
            };
            task.run = task.run.max(run);
            if task.phase != job::Phase::Done {
                task.phase = phase;
            }
        }
    }

    /// Marks the tasks of a placement as ones whose start may be open, if they are still placed by it.
    pub fn mark_recent_placement(
        &mut self,
        step: spec::StepId,
        run: u32,
        tasks: Vec<(u32, ids::WorkerId)>,
    ) {
        let Some(job) = self.job_mut(step.job) else {
            return;
        };
        for (index, worker) in tasks {
            let phase = job::Phase::Placed { worker };
            if let Some(task) = job.task_mut(step.task(index))
                && task.run == run
                && task.phase == phase
            {
                task.open_start = task.open_start.max(job::OpenStart::Single);
            }
        }
    }

    /// Marks all tasks of a gang step as done.
    pub fn mark_gang_done(&mut self, step: spec::StepId) {
        let Some(job) = self.job_mut(step.job) else {
            return;
        };
        let count = job.tasks(step).map_or(0, |tasks| tasks.tasks.len());
        for index in 0..count {
            job.mark_task_done(step.task(u32::try_from(index).unwrap_or(u32::MAX)));
        }
    }

    /// Marks the current state of every job as committed. Call it once the whole journal is
    /// applied.
    pub fn mark_all_committed(&mut self) {
        for job in self.jobs.values_mut() {
            job.committed_state = job.state();
        }
    }
}

/// Returns the placements of the tasks of a job of which starts may be open, as a restored job does not
/// tell of them.
fn repeated_placements(id: spec::JobId, job: &job::Job) -> Vec<record::Record> {
    let mut records = Vec::new();
    for (occurrence, steps) in (0_u32..).zip(&job.occurrences) {
        for (step, tasks) in (0_u16..).zip(steps) {
            let step = spec::StepId {
                job: id,
                occurrence,
                step,
            };
            for (index, task) in (0_u32..).zip(&tasks.tasks) {
                let worker = match &task.phase {
                    job::Phase::Placed { worker } => worker.clone(),
                    // The placement of a task that is done counts whatever worker it names.
                    job::Phase::Done => ids::WorkerId::from(""),
                    job::Phase::Waiting => continue,
                };
                let copies = match task.open_start {
                    job::OpenStart::No => 0,
                    job::OpenStart::Single => 1,
                    job::OpenStart::Repeated => 2,
                };
                let placed = record::Record::Placed {
                    step,
                    run: task.run,
                    tasks: vec![(index, worker)],
                };
                records.extend(std::iter::repeat_n(placed, copies));
            }
        }
    }
    records
}
