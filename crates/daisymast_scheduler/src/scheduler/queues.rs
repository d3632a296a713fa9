//! Settings of the queues, which a new configuration may change while their jobs wait or run.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::job;
use daisymast_jobs::queue;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::ids;
use daisymast_types::time;

use super::Scheduler;
use crate::config;
use crate::steps;

impl Scheduler {
    /// Replaces the configuration. Jobs that are open follow the new settings of their queues; runs
    /// in progress go on where they are.
    pub fn configure(&mut self, config: Arc<config::Configuration>, now: time::Monotonic) {
        self.config = config;
        self.dirty = true;
        self.store_known_queues();
        self.update_organisations();
        self.update_steps();
        for id in std::mem::take(&mut self.without_queue) {
            self.activate_started(id, now);
        }
    }

    /// Adds a queue that another node has from a later configuration. A queue that is known already
    /// stays as it is.
    pub fn add_queue(&mut self, terms: queue::Queue) {
        if self.queue(&terms.name).is_none() {
            self.store_queue(terms);
        }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &Arc<config::Configuration> {
        &self.config
    }

    /// Returns the configured parameters of a queue, or the last known ones if the queue was
    /// removed from the configuration.
    pub(super) fn queue(&self, name: &ids::QueueName) -> Option<&queue::Queue> {
        self.config
            .queue(name)
            .or_else(|| self.job_table.queue(name))
    }

    /// Stores the configured parameters of a queue, unless they are stored already.
    pub(super) fn store_configured_queue(&mut self, name: &ids::QueueName) {
        if let Some(terms) = self.config.queue(name)
            && self.job_table.queue(name) != Some(terms)
        {
            self.store_queue(terms.clone());
        }
    }

    /// Stores the configured parameters of all queues that have had jobs. Once a later configuration
    /// drops such a queue, its open jobs still run with its last parameters.
    pub(super) fn store_known_queues(&mut self) {
        let config = Arc::clone(&self.config);
        for queue in &config.queues {
            if self.job_table.queue(&queue.name).is_some() {
                self.store_configured_queue(&queue.name);
            }
        }
    }

    fn store_queue(&mut self, terms: queue::Queue) {
        self.job_table.set_queue(terms.clone());
        self.journal.append(record::Record::Queue { terms });
    }

    /// Applies the current parameters of the queues to the steps that are ready.
    fn update_steps(&mut self) {
        let mut steps = std::mem::take(&mut self.steps);
        for step in steps.values_mut() {
            if let Some(queue) = self.queue(&step.queue) {
                step.apply(queue);
            }
        }
        self.steps = steps;
    }

    /// Returns the deadlines of a step that becomes ready.
    pub(super) fn deadlines(
        &self,
        queue: &queue::Queue,
        job: &job::Job,
        id: spec::StepId,
        now: time::Monotonic,
    ) -> steps::Deadlines {
        let millis = Duration::from_millis;
        let allowance = steps::allowance_ms(queue, &job.spec);
        let started_ms = job
            .spec
            .schedule
            .map_or(job.accepted.0, |schedule| schedule.due_ms(id.occurrence));
        // Node clocks differ, so a start time in the future counts as now.
        let age = self.wall.0.saturating_sub(started_ms);
        let remaining_ms = steps::remaining_path_ms(&job.spec, id.step);
        let time_to_start = allowance.saturating_sub(age).saturating_sub(remaining_ms);
        steps::Deadlines {
            latest_start: now + millis(time_to_start),
            due_at: now + millis(allowance.saturating_sub(age)),
            allowance: millis(allowance),
        }
    }
}
