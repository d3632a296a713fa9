//! Start of a term: jobs from the journal and runs that the former scheduler placed.

use std::sync::Arc;

use daisymast_jobs::job;
use daisymast_jobs::job_table;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use super::organisations;
use super::{Scheduler, Term};
use crate::advice_nodes;
use crate::config;
use crate::failing_jobs;
use crate::fencing;
use crate::fleet;
use crate::journal;
use crate::lease;
use crate::locality;
use crate::run;
use crate::steps;

/// A task that is placed on a worker according to the journal.
struct PlacedRun {
    task: spec::TaskId,
    run: u32,
    worker: ids::WorkerId,
    size: daisymast_types::quantities::Resources,
    is_final: bool,
    open_start: job::OpenStart,
    charge: Option<run::Charge>,
}

impl Scheduler {
    /// Starts a term with the jobs of the journal. Runs that a former scheduler placed count as
    /// running until the worker reports, or until all leases have expired that former schedulers may
    /// have given.
    pub fn resume(
        config: Arc<config::Configuration>,
        mut job_table: job_table::JobTable,
        term: Term,
        now: time::Timestamp,
    ) -> Self {
        let former_lease_end = term.orders_end + lease::longest_granted(term.max_lease);
        job_table.mark_all_committed();
        let mut scheduler = Self {
            config,
            fencing: fencing::Fencing::new(term.number),
            max_lease: term.max_lease,
            former_orders_end: term.orders_end,
            job_table,
            fleet: fleet::Fleet::default(),
            journal: journal::Journal::default(),
            steps: collections::FastMap::default(),
            recurring: Vec::new(),
            failing_jobs: failing_jobs::FailingJobs::default(),
            organisations: organisations::Organisations::default(),
            without_queue: Vec::new(),
            advice_nodes: advice_nodes::AdviceNodes::default(),
            advice_requests: collections::FastMap::default(),
            last_request_id: 0,
            allowed_share: collections::FastMap::default(),
            actions: Vec::new(),
            dirty: true,
            next_pass: now.mono,
            locality: locality::Locality::default(),
            further_steps: 0,
            wall: now.wall,
        };
        for placed in scheduler.placed_runs() {
            scheduler.insert_inherited_run(placed, former_lease_end, now.mono);
        }
        scheduler.store_known_queues();
        scheduler.update_organisations();
        scheduler.activate_all(now.mono);
        scheduler
    }

    fn placed_runs(&self) -> Vec<PlacedRun> {
        let mut placed = Vec::new();
        for (id, job) in self.job_table.iter() {
            // A process that has started since refuses the ticket of a start.
            let has_tickets = self
                .queue(&job.queue)
                .is_some_and(|queue| queue.advice.is_some());
            for (occurrence, steps) in (0_u32..).zip(&job.occurrences) {
                for ((step, tasks), step_spec) in (0_u16..).zip(steps).zip(&job.spec.steps) {
                    let step = spec::StepId {
                        job: id,
                        occurrence,
                        step,
                    };
                    for (index, task) in (0_u32..).zip(&tasks.tasks) {
                        if let job::Phase::Placed { worker } = &task.phase {
                            placed.push(PlacedRun {
                                task: step.task(index),
                                run: task.run,
                                worker: worker.clone(),
                                size: steps::task_size(step_spec),
                                charge: run::Charge::of(job, step.step),
                                is_final: job.state().is_final(),
                                open_start: if has_tickets {
                                    job::OpenStart::No
                                } else {
                                    task.open_start
                                },
                            });
                        }
                    }
                }
            }
        }
        placed
    }

    fn insert_inherited_run(
        &mut self,
        placed: PlacedRun,
        former_lease_end: time::Monotonic,
        now: time::Monotonic,
    ) {
        let late_until = self.former_starts_end();
        let worker_index = self.fleet.index_or_insert(&placed.worker);
        let worker = self.fleet.at_mut(worker_index);
        worker.lease_end = former_lease_end;
        let mut run = run::Run::new(placed.run, placed.size, now);
        run.state = if placed.is_final {
            run::RunState::Stopping { accepted_at: None }
        } else {
            run::RunState::Inherited
        };
        run.inherit_open_start(placed.open_start, late_until);
        run.charge = placed.charge;
        self.fleet.assign(worker_index, placed.task, run);
        // The scheduler after this one would not know the placement as a recent one.
        if placed.open_start == job::OpenStart::Single {
            self.record_open_start(worker_index, placed.task);
        }
    }

    fn activate_all(&mut self, now: time::Monotonic) {
        let open: Vec<(spec::JobId, bool)> = self
            .job_table
            .iter()
            .filter(|(_, job)| !job.state().is_final())
            .map(|(id, job)| {
                let started = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
                (id, started < job.occurrence_count())
            })
            .collect();
        for (id, has_more_occurrences) in open {
            if has_more_occurrences {
                self.recurring.push(id);
            }
            self.activate_started(id, now);
        }
        // They may have waited for near places under the former scheduler.
        for step in self.steps.values_mut() {
            step.has_waited = true;
        }
        let placed: Vec<(usize, spec::TaskId)> = (0..self.fleet.len())
            .flat_map(|worker_index| {
                let runs = self.fleet.at(worker_index).runs.keys();
                runs.map(move |&task| (worker_index, task))
                    .collect::<Vec<_>>()
            })
            .collect();
        for (worker_index, task) in placed {
            if let Some(step) = self.steps.get_mut(&task.step) {
                *step.placed.entry(worker_index).or_default() += 1;
            }
        }
    }
}
