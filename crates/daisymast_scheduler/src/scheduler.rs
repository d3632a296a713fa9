//! The scheduler of one term.
//!
//! It alone allocates worker resources while its fencing token is the highest that the workers have
//! seen. Nothing is sent to a worker or a caller before the records that it depends on are stored:
//! see [`journal`].

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::job;
use daisymast_jobs::job_table;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use crate::action;
use crate::advice_nodes;
use crate::config;
use crate::decision;
use crate::failing_jobs;
use crate::fencing;
use crate::fleet;
use crate::journal;
use crate::locality;
use crate::progress;
use crate::steps;

mod advice;
mod availability;
mod caller_requests;
mod dispatch;
mod explain;
mod gangs;
mod late_starts;
mod order;
mod orders;
mod organisations;
mod place_waits;
mod placement;
mod polls;
mod queues;
mod reports;
mod run_ends;
mod stalls;
mod startup;
mod stops;
mod timers;
mod workers;

pub use caller_requests::Submission;

/// A request to the advice service that is not answered yet.
#[derive(Clone, Debug)]
struct AdviceRequest {
    step: spec::StepId,
    queue: ids::QueueName,
    node: ids::InstanceId,
    workers: Vec<usize>,
}

/// What a scheduler has to know of its term.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// Number of the term, the fencing token of its first calls.
    pub number: u64,
    /// After this time, no former scheduler sends orders.
    pub orders_end: time::Monotonic,
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
}

/// State of the scheduler in one term.
#[derive(Debug)]
pub struct Scheduler {
    config: Arc<config::Configuration>,
    fencing: fencing::Fencing,
    /// Longest lease that a worker accepts.
    max_lease: Duration,
    /// After this time, no former scheduler sends orders.
    former_orders_end: time::Monotonic,
    job_table: job_table::JobTable,
    fleet: fleet::Fleet,
    journal: journal::Journal,
    steps: collections::FastMap<spec::StepId, steps::ReadyStep>,
    /// Jobs with occurrences that have not started yet.
    recurring: Vec<spec::JobId>,
    failing_jobs: failing_jobs::FailingJobs,
    organisations: organisations::Organisations,
    /// Jobs with ready steps that cannot start, because their queue is unknown.
    without_queue: Vec<spec::JobId>,
    advice_nodes: advice_nodes::AdviceNodes,
    advice_requests: collections::FastMap<u64, AdviceRequest>,
    last_request_id: u64,
    /// Learned share of workers that the advice service allows, by queue.
    allowed_share: collections::FastMap<ids::QueueName, f64>,
    actions: Vec<action::Action>,
    /// Whether something changed that may let a waiting task start.
    dirty: bool,
    /// Earliest time of the next pass over the waiting steps.
    next_pass: time::Monotonic,
    /// Decides which steps wait for near places.
    locality: locality::Locality,
    /// Number of steps beyond the most urgent ones at which the next pass continues.
    further_steps: usize,
    /// Wall-clock time of the last event.
    wall: time::UnixMillis,
}

impl Scheduler {
    /// Takes the actions that were added since the last call.
    pub fn take_actions(&mut self) -> Vec<action::Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the next batch of records for the journal. Returns `None` if one is in flight or there
    /// are no records.
    pub fn take_batch(&mut self) -> Option<Vec<record::Record>> {
        self.journal.take_batch()
    }

    /// Returns records that replace all batches up to the one that was just taken. Must be called
    /// right after [`take_batch`](Self::take_batch), before any change that is in no batch yet.
    pub fn checkpoint(&mut self) -> Vec<record::Record> {
        self.mark_open_starts();
        self.job_table.compact(self.wall);
        self.job_table.checkpoint()
    }

    /// Handles the successful commit of the batch in flight.
    pub fn committed(&mut self, now: time::Monotonic) {
        for effect in self.journal.committed() {
            self.apply(effect, now);
        }
    }

    /// Records the revision of the store that a commit of the term has returned.
    pub fn on_revision(&mut self, revision: u64) {
        self.fencing.on_committed(revision);
    }

    /// Sets the live nodes, which can send requests to the advice service.
    pub fn set_advice_nodes(&mut self, alive: &[ids::InstanceId]) {
        self.advice_nodes.set(alive);
    }

    /// Returns the jobs, for inspection.
    pub fn job_table(&self) -> &job_table::JobTable {
        &self.job_table
    }

    /// Returns the workers, for inspection.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Number of steps with tasks that wait for a worker.
    pub fn waiting_steps(&self) -> usize {
        self.steps
            .values()
            .filter(|step| !step.waiting.is_empty())
            .count()
    }

    fn log(&mut self, decision: decision::Decision) {
        self.actions.push(action::Action::Log(decision));
    }

    /// Applies an effect, now or once all records so far are stored.
    fn after_commit(&mut self, effect: journal::Effect, now: time::Monotonic) {
        if let Some(effect) = self.journal.defer(effect) {
            self.apply(effect, now);
        }
    }

    fn apply(&mut self, effect: journal::Effect, now: time::Monotonic) {
        match effect {
            journal::Effect::Answer { token, answer, .. } => {
                self.actions.push(action::Action::Answer { token, answer });
            }
            journal::Effect::Publish(id, state) => {
                if let Some(job) = self.job_table.job_mut(id) {
                    job.committed_state = state;
                }
            }
            journal::Effect::Start(worker_index, task, run) => {
                self.send_start(worker_index, task, run, now);
            }
            journal::Effect::AckRunEnds {
                worker,
                incarnation,
                number,
            } => {
                let worker = self.fleet.at_mut(worker);
                if worker.incarnation == incarnation {
                    worker.stored_end = worker.stored_end.max(number);
                }
            }
        }
    }

    /// Makes a step ready. Its tasks that are neither done nor placed wait for a worker.
    fn activate(&mut self, id: spec::StepId, now: time::Monotonic) {
        let Some(job) = self.job_table.job(id.job) else {
            return;
        };
        if job.tasks(id).is_none() {
            return;
        }
        let Some(step) = self.ready_step(id, job, now) else {
            self.without_queue.push(id.job);
            return;
        };
        self.steps.insert(id, step);
        self.dirty = true;
    }

    /// Returns a step with its tasks that are neither done nor placed; `None` if its queue is unknown.
    fn ready_step(
        &self,
        id: spec::StepId,
        job: &job::Job,
        now: time::Monotonic,
    ) -> Option<steps::ReadyStep> {
        let tasks = job.tasks(id)?;
        let queue = self.queue(&job.queue)?;
        let waiting = tasks
            .tasks
            .iter()
            .zip(0_u32..)
            .filter(|(task, _)| task.phase == job::Phase::Waiting)
            .map(|(_, index)| index)
            .collect();
        let deadlines = self.deadlines(queue, job, id, now);
        Some(steps::ReadyStep {
            id,
            queue: job.queue.clone(),
            spec: Arc::clone(&job.spec),
            service: queue.service.clone(),
            priority: queue.priority,
            advice: queue.advice,
            waiting,
            placed: collections::FastMap::default(),
            was_placed: tasks.tasks.iter().all(|task| task.run > 0),
            aborting: false,
            permissions: collections::FastMap::default(),
            open_request: None,
            next_request: now,
            not_before: now,
            progress: progress::StepProgress::default(),
            has_waited: false,
            deadlines,
            organisation: job.organisation.clone(),
            within_rate: !job.over_rate,
        })
    }

    /// Makes the steps of a job ready whose predecessors are all done, in all occurrences that have
    /// started.
    fn activate_started(&mut self, id: spec::JobId, now: time::Monotonic) {
        let Some(job) = self.job_table.job(id).filter(|job| !job.state().is_final()) else {
            return;
        };
        let started = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
        for occurrence in 0..started {
            self.activate_occurrence(id, occurrence, now);
        }
    }

    /// Makes the steps of an occurrence ready whose predecessors are all done.
    fn activate_occurrence(&mut self, id: spec::JobId, occurrence: u32, now: time::Monotonic) {
        let Some(job) = self.job_table.job(id) else {
            return;
        };
        let ready: Vec<spec::StepId> = (0_u16..)
            .zip(&job.spec.steps)
            .map(|(step, _)| spec::StepId {
                job: id,
                occurrence,
                step,
            })
            .filter(|&step| {
                job.is_ready(step) && job.tasks(step).is_some_and(|tasks| !tasks.is_done())
            })
            .filter(|step| !self.steps.contains_key(step))
            .collect();
        for step in ready {
            self.activate(step, now);
        }
    }
}
