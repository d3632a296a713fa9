//! The begin of a term: jobs from the journal, runs that the former scheduler placed.

use std::sync::Arc;

use daisymast_jobs::job;
use daisymast_jobs::job_table;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use super::Scheduler;
use crate::advisors;
use crate::config;
use crate::fleet;
use crate::journal;
use crate::steps;
use crate::worker;

/// A task that the journal shows on a worker.
struct Placed {
    task: spec::TaskId,
    run: u32,
    worker: ids::WorkerId,
    size: daisymast_types::quantities::Resources,
    is_final: bool,
}

impl Scheduler {
    /// Starts a term with the jobs of the journal. What the former scheduler placed on a worker
    /// counts as running there until the worker reports, or until `former_end`, when the lease that
    /// the former scheduler may have given has surely expired.
    pub fn resume(
        config: Arc<config::Configuration>,
        mut book: job_table::JobTable,
        former_end: time::Monotonic,
        now: time::Timestamp,
    ) -> Self {
        book.mark_all_committed();
        let mut scheduler = Self {
            config,
            book,
            fleet: fleet::Fleet::default(),
            journal: journal::Journal::default(),
            steps: collections::FastMap::default(),
            scheduled: Vec::new(),
            advisors: advisors::Advisors::default(),
            questions: collections::FastMap::default(),
            last_question: 0,
            allowed_share: collections::FastMap::default(),
            actions: Vec::new(),
            dirty: true,
            next_pass: now.mono,
            wall: now.wall,
        };
        for placed in scheduler.placed() {
            scheduler.adopt_later(placed, former_end, now.mono);
        }
        scheduler.activate_all(now.mono);
        scheduler
    }

    fn placed(&self) -> Vec<Placed> {
        let mut placed = Vec::new();
        for (id, job) in self.book.iter() {
            for (occurrence, steps) in (0_u32..).zip(&job.occurrences) {
                for ((step, tasks), content) in (0_u16..).zip(steps).zip(&job.spec.steps) {
                    let step = spec::StepId {
                        job: id,
                        occurrence,
                        step,
                    };
                    for (index, task) in (0_u32..).zip(&tasks.tasks) {
                        if let job::Phase::Placed { worker } = &task.phase {
                            placed.push(Placed {
                                task: step.task(index),
                                run: task.run,
                                worker: worker.clone(),
                                size: steps::task_size(content),
                                is_final: job.state().is_final(),
                            });
                        }
                    }
                }
            }
        }
        placed
    }

    fn adopt_later(&mut self, placed: Placed, former_end: time::Monotonic, now: time::Monotonic) {
        let place = self.fleet.place(&placed.worker);
        let worker = self.fleet.at_mut(place);
        worker.lease_end = former_end;
        let state = if placed.is_final {
            worker::RunState::Stopping { taken: None }
        } else {
            worker::RunState::Adopting
        };
        worker.insert(
            placed.task,
            worker::Run {
                run: placed.run,
                size: placed.size,
                state,
                placed: now,
                tries: 0,
                retry_at: now,
                ticket: None,
                percent: 0,
                progressed: now,
            },
        );
    }

    fn activate_all(&mut self, now: time::Monotonic) {
        let open: Vec<(spec::JobId, u32, bool)> = self
            .book
            .iter()
            .filter(|(_, job)| !job.state().is_final())
            .map(|(id, job)| {
                let begun = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
                (id, begun, begun < job.occurrence_count())
            })
            .collect();
        for (id, begun, more) in open {
            if more {
                self.scheduled.push(id);
            }
            for occurrence in 0..begun {
                self.activate_occurrence(id, occurrence, now);
            }
        }
        let placed: Vec<(usize, spec::TaskId)> = (0..self.fleet.len())
            .flat_map(|place| {
                let runs = self.fleet.at(place).runs.keys();
                runs.map(move |&task| (place, task)).collect::<Vec<_>>()
            })
            .collect();
        for (place, task) in placed {
            if let Some(step) = self.steps.get_mut(&task.step) {
                *step.placed.entry(place).or_default() += 1;
            }
        }
    }
}
