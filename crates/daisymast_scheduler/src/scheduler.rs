//! The scheduler of one term.
//!
//! It owns all room on workers while its token is the highest that they have seen. Nothing is sent
//! to a worker or told to a caller before the records that it depends on are stored: see
//! [`journal`](crate::journal).

use std::sync::Arc;

use daisymast_jobs::job;
use daisymast_jobs::job_table;
use daisymast_jobs::queue;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use crate::action;
use crate::advisors;
use crate::config;
use crate::decision;
use crate::fleet;
use crate::journal;
use crate::steps;

mod callers;
mod dispatch;
mod ends;
mod gangs;
mod looks;
mod orders;
mod placement;
mod questions;
mod startup;
mod timers;
mod workers;

/// A question to the advice service that has no answer yet.
#[derive(Clone, Debug)]
struct Question {
    step: spec::StepId,
    queue: ids::QueueName,
    advisor: ids::InstanceId,
    workers: Vec<usize>,
}

/// The scheduler of one term.
#[derive(Debug)]
pub struct Scheduler {
    config: Arc<config::Configuration>,
    book: job_table::JobTable,
    fleet: fleet::Fleet,
    journal: journal::Journal,
    steps: collections::FastMap<spec::StepId, steps::ReadyStep>,
    /// Jobs with occurrences that are still to come.
    scheduled: Vec<spec::JobId>,
    advisors: advisors::Advisors,
    questions: collections::FastMap<u64, Question>,
    last_question: u64,
    /// Learned share of workers that a queue's steps may use.
    allowed_share: collections::FastMap<ids::QueueName, f64>,
    actions: Vec<action::Action>,
    /// Whether something changed that may let a waiting task start.
    dirty: bool,
    /// When the next pass over waiting steps may begin.
    next_pass: time::Monotonic,
    /// Wall-clock time of the last event.
    wall: time::UnixMillis,
}

impl Scheduler {
    /// Takes what there is to do since the last call.
    pub fn take_actions(&mut self) -> Vec<action::Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the next batch for the journal, unless one is in flight.
    pub fn take_batch(&mut self) -> Option<Vec<record::Record>> {
        self.journal.take_batch()
    }

    /// Records from which a scheduler can begin, in place of all batches up to the one that was just
    /// taken. Call it right after [`take_batch`](Self::take_batch): later changes are in no batch yet.
    pub fn checkpoint(&mut self) -> Vec<record::Record> {
        self.book.compact(self.wall);
        self.book.checkpoint()
    }

    /// The batch in flight is stored.
    pub fn committed(&mut self, now: time::Monotonic) {
        for effect in self.journal.committed() {
            self.apply(effect, now);
        }
    }

    /// Takes a configuration into force.
    pub fn configure(&mut self, config: Arc<config::Configuration>) {
        self.config = config;
        self.dirty = true;
    }

    /// Sets the nodes that can ask the advice service.
    pub fn set_advisors(&mut self, alive: &[ids::InstanceId]) {
        self.advisors.set(alive);
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<config::Configuration> {
        &self.config
    }

    /// Terms of a queue: those in force, or the last ones of a queue that was removed.
    fn queue(&self, name: &ids::QueueName) -> Option<&queue::Queue> {
        self.config.queue(name).or_else(|| self.book.queue(name))
    }

    /// The jobs, for inspection.
    pub fn book(&self) -> &job_table::JobTable {
        &self.book
    }

    /// The workers, for inspection.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// Number of steps with tasks that wait.
    pub fn waiting_steps(&self) -> usize {
        self.steps
            .values()
            .filter(|step| !step.waiting.is_empty())
            .count()
    }

    fn log(&mut self, decision: decision::Decision) {
        self.actions.push(action::Action::Log(decision));
    }

    /// Carries out an effect, now or when the records so far are stored.
    fn after_commit(&mut self, effect: journal::Effect, now: time::Monotonic) {
        if let Some(effect) = self.journal.after(effect) {
            self.apply(effect, now);
        }
    }

    fn apply(&mut self, effect: journal::Effect, now: time::Monotonic) {
        match effect {
            journal::Effect::Answer { token, answer, .. } => {
                self.actions.push(action::Action::Answer { token, answer });
            }
            journal::Effect::Show(id, state) => {
                if let Some(job) = self.book.job_mut(id) {
                    job.committed_state = state;
                }
            }
            journal::Effect::Start(place, task, run) => self.send_start(place, task, run, now),
            journal::Effect::Note {
                worker,
                life,
                number,
            } => {
                let worker = self.fleet.at_mut(worker);
                if worker.life == life {
                    worker.noted = worker.noted.max(number);
                }
            }
        }
    }

    /// Makes a step ready: its tasks that are not done and not placed wait.
    fn activate(&mut self, id: spec::StepId, now: time::Monotonic) {
        let Some(job) = self.book.job(id.job) else {
            return;
        };
        let (Some(tasks), Some(queue)) = (job.tasks(id), self.queue(&job.queue)) else {
            return;
        };
        let waiting = tasks
            .tasks
            .iter()
            .zip(0_u32..)
            .filter(|(task, _)| task.phase == job::Phase::Waiting)
            .map(|(_, index)| index)
            .collect();
        let allowance = steps::allowance_ms(queue, &job.spec);
        let begun = job.spec.schedule.map_or(job.accepted.0, |schedule| {
            schedule.start_ms + schedule.interval_ms * u64::from(id.occurrence)
        });
        // Clocks of the nodes differ, so a time ahead of ours counts as now.
        let age = self.wall.0.saturating_sub(begun);
        let millis = std::time::Duration::from_millis;
        let objective = now + millis(allowance.saturating_sub(age));
        let tail = steps::tail_ms(&job.spec, id.step);
        let to_start = allowance.saturating_sub(age).saturating_sub(tail);
        let step = steps::ReadyStep {
            id,
            queue: job.queue.clone(),
            spec: Arc::clone(&job.spec),
            service: queue.service.clone(),
            priority: queue.priority,
            advice: queue.advice,
            waiting,
            placed: collections::FastMap::default(),
            aborting: false,
            verdicts: collections::FastMap::default(),
            question: None,
            next_question: now,
            not_before: now,
            latest_start: now + millis(to_start),
            objective,
            allowance: millis(allowance),
        };
        self.steps.insert(id, step);
        self.dirty = true;
    }

    /// Makes all steps of an occurrence ready that wait for no other step any more.
    fn activate_occurrence(&mut self, id: spec::JobId, occurrence: u32, now: time::Monotonic) {
        let Some(job) = self.book.job(id) else {
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
