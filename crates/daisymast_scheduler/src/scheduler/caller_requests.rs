//! Requests of callers: submissions, cancellations and queries.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_organisations::access;
use daisymast_types::ids;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::journal;
use crate::steps;

/// A job as a caller submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// ID of the job.
    pub job: spec::JobId,
    /// Queue of the job.
    pub queue: ids::QueueName,
    /// Organisation of the caller, if its queue is not public.
    pub organisation: Option<ids::Organisation>,
    /// Content of the job.
    pub spec: spec::JobSpec,
}

impl Submission {
    /// Creates a submission that belongs to no organisation.
    pub fn new(job: spec::JobId, queue: ids::QueueName, spec: spec::JobSpec) -> Self {
        Self {
            job,
            queue,
            organisation: None,
            spec,
        }
    }

    /// Sets the organisation of the caller.
    #[must_use]
    pub fn owned_by(mut self, organisation: Option<ids::Organisation>) -> Self {
        self.organisation = organisation;
        self
    }
}

impl Scheduler {
    /// Accepts a job, and answers once it is stored. A repeated ID names the same job, if that belongs
    /// to the same organisation or to none; otherwise the submission has no effect. A job on an
    /// unknown queue is not accepted; see [`add_queue`](Self::add_queue). Neither is one of an unknown
    /// organisation, whose cap is not known, or one that the cap can never allow.
    pub fn submit(&mut self, token: u64, submission: Submission, now: time::Timestamp) {
        let Submission {
            job: id,
            queue,
            organisation,
            spec,
        } = submission;
        self.wall = now.wall;
        let owner = self.job_table.owner(id);
        if owner.is_some() && owner != organisation.as_ref() {
            let answer = action::Answer::IdTaken;
            self.actions.push(action::Action::Answer { token, answer });
            return;
        }
        if self.job_table.committed_state(id).is_none() {
            let refusal = self.refusal(&queue, organisation.as_ref(), &spec);
            if let Some(answer) =
                refusal.or_else(|| self.over_rate(organisation.as_ref(), now.mono))
            {
                self.actions.push(action::Action::Answer { token, answer });
                return;
            }
            self.store_configured_queue(&queue);
            if let Some(organisation) = &organisation {
                self.store_organisation(organisation);
            }
            let over_rate = self.take_rate(organisation.as_ref(), now.mono);
            self.journal.append(record::Record::Accepted {
                job: id,
                queue: queue.clone(),
                spec: spec.clone(),
                at: now.wall,
                organisation: organisation.clone(),
                over_rate,
            });
            let allowance_ms = self
                .queue(&queue)
                .map_or(0, |terms| steps::allowance_ms(terms, &spec));
            self.log(decision::Decision::Submitted {
                job: id,
                queue: queue.clone(),
                version: self.config.version,
                allowance_ms,
                over_rate,
            });
            let job = job::Job::new(queue, spec, now.wall)
                .owned_by(organisation)
                .over_rate(over_rate);
            if job.spec.schedule.is_some() {
                self.recurring.push(id);
            }
            self.job_table.insert(id, job);
            self.activate_occurrence(id, 0, now.mono);
        }
        let answer = journal::Effect::Answer {
            token,
            job: id,
            answer: action::Answer::Accepted,
        };
        self.after_commit(answer, now.mono);
    }

    /// Answers that a submission was not taken.
    pub fn refuse(&mut self, token: u64) {
        let answer = action::Answer::Refused;
        self.actions.push(action::Action::Answer { token, answer });
    }

    /// Returns why a job is not accepted, `None` if it is.
    fn refusal(
        &self,
        queue: &ids::QueueName,
        organisation: Option<&ids::Organisation>,
        spec: &spec::JobSpec,
    ) -> Option<action::Answer> {
        let is_known = organisation.is_none_or(|name| self.terms(name).is_some());
        if self.queue(queue).is_none() || !is_known {
            return Some(action::Answer::UnknownQueue);
        }
        self.over_cap(organisation, spec)
    }

    /// Handles a store that takes no records. Jobs whose acceptance was certainly not stored are
    /// removed, and their callers are told at once that they were refused. `batch_failed` says that
    /// the batch in flight had no effect, so that its records are written again.
    pub fn reject_unstored_jobs(&mut self, batch_failed: bool) {
        if batch_failed {
            self.journal.requeue_batch();
        }
        let (jobs, tokens) = self.journal.remove_unstored_jobs();
        for id in jobs {
            for (worker_index, task) in self.placed_tasks(id) {
                self.fleet.unassign(worker_index, task);
            }
            self.steps.retain(|step, _| step.job != id);
            self.recurring.retain(|&job| job != id);
            self.job_table.remove(id);
        }
        for token in tokens {
            let answer = action::Answer::Refused;
            self.actions.push(action::Action::Answer { token, answer });
        }
    }

    /// Cancels a job, and answers once the cancellation is stored.
    pub fn cancel(&mut self, token: u64, id: spec::JobId, now: time::Monotonic) {
        if self.job_table.committed_state(id).is_none() {
            let answer = action::Answer::NoSuchJob;
            self.actions.push(action::Action::Answer { token, answer });
            return;
        }
        if let Some(job) = self.job_table.job_mut(id)
            && !job.state().is_final()
        {
            job.cancelled = true;
            self.journal.append(record::Record::Cancelled { job: id });
            self.after_commit(journal::Effect::Publish(id, job::State::Cancelled), now);
            self.log_finished(id);
            self.stop_job(id, now);
        }
        let answer = journal::Effect::Answer {
            token,
            job: id,
            answer: action::Answer::Cancelled,
        };
        self.after_commit(answer, now);
    }

    /// Returns the state of a job as far as it is stored.
    pub fn state(&self, id: spec::JobId) -> Option<job::State> {
        self.job_table.committed_state(id)
    }

    /// Whether a caller may see and cancel a job. An unknown job is open to all callers.
    pub fn may_use(&self, id: spec::JobId, caller: &access::Caller) -> bool {
        caller.may_use(self.job_table.owner(id))
    }

    /// Number of jobs of a queue of which no worker has accepted a task yet. A task that is only
    /// placed does not count, as its worker may never answer.
    pub fn pending(&self, queue: &ids::QueueName) -> u64 {
        self.job_table
            .iter()
            .filter(|(_, job)| {
                job.queue == *queue && !job.start_confirmed && !job.state().is_final()
            })
            .count() as u64
    }

    /// Prevents further starts of a job and stops its runs.
    pub(super) fn stop_job(&mut self, id: spec::JobId, now: time::Monotonic) {
        self.steps.retain(|step, _| step.job != id);
        self.recurring.retain(|&job| job != id);
        self.failing_jobs.remove(id);
        let placed: Vec<(usize, spec::TaskId)> = self.placed_tasks(id);
        for (worker_index, task) in placed {
            self.request_stop(worker_index, task, decision::StopReason::JobEnded, now);
        }
    }

    pub(super) fn log_finished(&mut self, id: spec::JobId) {
        let Some(job) = self.job_table.job(id) else {
            return;
        };
        let state = match job.state() {
            job::State::Queued | job::State::Running => return,
            job::State::Completed => "completed",
            job::State::Failed => "failed",
            job::State::Cancelled => "cancelled",
        };
        let after_ms = self.wall.0.saturating_sub(job.accepted.0);
        self.log(decision::Decision::Finished {
            job: id,
            state,
            after_ms,
        });
    }

    fn placed_tasks(&self, id: spec::JobId) -> Vec<(usize, spec::TaskId)> {
        let Some(job) = self.job_table.job(id) else {
            return Vec::new();
        };
        let mut placed = Vec::new();
        for (occurrence, steps) in (0_u32..).zip(&job.occurrences) {
            for (step, tasks) in (0_u16..).zip(steps) {
                let step = spec::StepId {
                    job: id,
                    occurrence,
                    step,
                };
                for (index, task) in (0_u32..).zip(&tasks.tasks) {
                    if let job::Phase::Placed { worker } = &task.phase
                        && let Some(worker_index) = self.fleet.index_of(worker)
                    {
                        placed.push((worker_index, step.task(index)));
                    }
                }
            }
        }
        placed
    }
}
