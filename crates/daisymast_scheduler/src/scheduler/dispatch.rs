//! A placement pass over the waiting steps, the most urgent first.

use daisymast_jobs::job;
use daisymast_jobs::record;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::quantities;
use daisymast_types::time;

use super::Scheduler;
use super::order;
use super::placement;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::lease;
use crate::run;
use crate::steps;

/// State of one pass, shared between its steps.
pub(super) struct Pass {
    pub(super) now: time::Monotonic,
    pub(super) snapshot: placement::FleetSnapshot,
    /// Number of gangs that have reserved workers in this pass.
    pub(super) reserving_gangs: usize,
    /// Number of open advice requests by queue.
    pub(super) open_requests: collections::FastMap<daisymast_types::ids::QueueName, usize>,
    /// Resources that steps tried earlier in this pass wait for, by worker index.
    pub(super) awaited: collections::FastMap<usize, quantities::Resources>,
}

impl Scheduler {
    /// Places waiting tasks, requests advice where it is needed, and reserves workers for waiting
    /// gangs. Returns the number of waiting steps.
    pub(super) fn dispatch(&mut self, now: time::Monotonic) -> usize {
        let mut pass = Pass {
            now,
            snapshot: self.snapshot(now),
            reserving_gangs: 0,
            open_requests: collections::FastMap::default(),
            awaited: collections::FastMap::default(),
        };
        let cell = order::Cell {
            workers: pass.snapshot.rows.len(),
            shares: self.shares(&pass.snapshot),
        };
        let mut order = order::waiting_steps(&self.steps, &cell, now);
        let steps = order.len();
        self.remove_over_cap(&mut order, now);
        for request in self.advice_requests.values() {
            *pass.open_requests.entry(request.queue.clone()).or_default() += 1;
        }
        let further = self.take_further(order.len());
        let urgent = order.len().min(constants::MAX_URGENT_STEPS_PER_PASS);
        for position in (0..urgent).chain(further) {
            self.place_step(order[position], &mut pass);
        }
        self.count_backlogs();
        self.close_ended_waits(now);
        steps
    }

    /// Returns the positions of the steps beyond the most urgent ones that this pass tries to place.
    fn take_further(&mut self, steps: usize) -> std::ops::Range<usize> {
        let first = constants::MAX_URGENT_STEPS_PER_PASS;
        if steps <= first {
            return 0..0;
        }
        let start = first + self.further_steps % (steps - first);
        let end = steps.min(start + constants::FURTHER_STEPS_PER_PASS);
        self.further_steps = end - first;
        start..end
    }

    /// Places as many tasks of a step as its cap and the workers allow. Then reserves workers for a gang that
    /// did not start, and asks for advice for the tasks that are left.
    fn place_step(&mut self, id: spec::StepId, pass: &mut Pass) {
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        // Steps that were placed before in this pass may have used up the cap of the organisation.
        if !self.fits_cap(step) {
            return;
        }
        let may_request = self.may_request_advice(step, pass);
        let candidates = if step.advice.is_some() && !may_request {
            self.candidates_with_ticket(step, &pass.snapshot, pass.now)
        } else {
            self.candidates(step, &pass.snapshot)
        };
        let waiting = u32::try_from(step.waiting.len()).unwrap_or(u32::MAX);
        // A step that is wider than the cap allows runs in waves.
        let needed = waiting.min(self.cap_room(step));
        let step_spec = step.step_spec();
        if step_spec.gang && needed < step_spec.tasks {
            return;
        }
        let is_gang = step_spec.gang;
        let mut chosen = self.choose_workers(step, &candidates, needed, pass.now);
        self.hold_for_places(id, &mut chosen, needed, pass);
        let placed = u32::try_from(chosen.len()).unwrap_or(u32::MAX);
        if is_gang && placed < needed {
            chosen.clear();
        }
        let is_complete = placed >= needed;
        if !chosen.is_empty() {
            self.place_tasks(id, chosen, pass);
        }
        if is_complete {
            return;
        }
        if is_gang
            && !self.reserve_awaited(id, pass)
            && let Some(step) = self.steps.get(&id)
        {
            self.reserve_for_gang(step, pass);
        }
        if may_request {
            self.request_advice_if_needed(id, needed, &candidates, pass);
        }
    }

    /// Chooses workers for up to `needed` tasks. If the queue needs advice, only workers with a
    /// valid ticket are chosen.
    pub(super) fn choose_workers(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        needed: u32,
        now: time::Monotonic,
    ) -> Vec<usize> {
        let usable = |candidate: &&placement::Candidate| {
            step.advice.is_none() || step.has_ticket(candidate.worker_index, now)
        };
        let mut chosen = Vec::new();
        let rack_of = |worker_index: usize| self.fleet.at(worker_index).rack();
        let step_spec = step.step_spec();
        let wanted = step_spec.rack.as_ref();
        let is_faster_near = self.locality.is_enabled() && wanted.is_some();
        if step_spec.same_rack || (step_spec.gang && is_faster_near) {
            let mut by_rack: collections::FastMap<_, u32> = collections::FastMap::default();
            for candidate in candidates.iter().filter(usable) {
                *by_rack.entry(rack_of(candidate.worker_index)).or_default() += candidate.fits;
            }
            let rack = by_rack
                .into_iter()
                .filter(|(_, fits)| *fits >= needed)
                .map(|(rack, _)| rack)
                .min_by_key(|&rack| (rack != wanted, rack));
            if let Some(rack) = rack {
                let usable_candidates = candidates.iter().filter(usable);
                take_fitting(
                    usable_candidates.filter(|candidate| rack_of(candidate.worker_index) == rack),
                    needed,
                    &mut chosen,
                );
                return chosen;
            }
        }
        if step.step_spec().gang {
            // A gang is as slow as its slowest member, so mixed workers waste the fast ones, and a
            // member that fails breaks the whole gang.
            let rounds = [
                (true, &[true][..]),
                (true, &[false]),
                (true, &[true, false]),
                (false, &[true]),
                (false, &[false]),
            ];
            for (needs_sound, speeds) in rounds {
                let alike = candidates.iter().filter(usable).filter(|candidate| {
                    (candidate.is_sound || !needs_sound) && speeds.contains(&candidate.is_fast)
                });
                take_fitting(alike, needed, &mut chosen);
                if chosen.len() >= needed as usize {
                    return chosen;
                }
                chosen.clear();
            }
        }
        take_fitting(candidates.iter().filter(usable), needed, &mut chosen);
        chosen
    }

    /// Places the first waiting tasks of a step on workers. Their starts are sent once the
    /// placement is stored.
    fn place_tasks(&mut self, id: spec::StepId, worker_indexes: Vec<usize>, pass: &mut Pass) {
        let now = pass.now;
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        let size = step.size();
        let task_indexes: Vec<u32> = step.waiting.drain(..worker_indexes.len()).collect();
        let Some(job) = self.job_table.job(id.job) else {
            return;
        };
        let runs = task_indexes
            .iter()
            .filter_map(|&task_index| job.task(id.task(task_index)));
        let run = runs.map(|task| task.run).max().unwrap_or(0) + 1;
        let charge = run::Charge::of(job, id.step);
        let is_first_placement = !job.started;
        let slack_ms = if is_late(step, now) {
            -signed(lease::millis(now - step.deadlines.latest_start))
        } else {
            signed(lease::millis(step.deadlines.latest_start - now))
        };
        let waiting = step.waiting.len();
        step.was_placed |= waiting == 0;
        let is_lasting = step.step_spec().lasting;
        let fails_everywhere = self.failing_jobs.workers(id.job).is_some();
        let mut placements = Vec::with_capacity(worker_indexes.len());
        for (&task_index, &worker_index) in task_indexes.iter().zip(&worker_indexes) {
            let ticket = step.ticket(worker_index, now);
            *step.placed.entry(worker_index).or_default() += 1;
            let worker = self.fleet.at(worker_index);
            let repeats_failure =
                is_lasting && (fails_everywhere || worker.health.has_failed(id.job));
            pass.snapshot.take(worker_index, size, repeats_failure);
            placements.push((task_index, worker.id.clone()));
            let mut placed = run::Run::new(run, size, now);
            placed.ticket = ticket;
            placed.repeats_failure = repeats_failure;
            placed.charge.clone_from(&charge);
            self.fleet.assign(worker_index, id.task(task_index), placed);
        }
        if let Some((_, worker)) = placements.first() {
            let placed = decision::Decision::Placed {
                job: id.job,
                step: id.step,
                run,
                tasks: placements.len(),
                waiting,
                slack_ms,
                worker: worker.clone(),
            };
            self.log(placed);
        }
        self.job_table.place(id, run, placements.clone());
        self.journal.append(record::Record::Placed {
            step: id,
            run,
            tasks: placements,
        });
        if is_first_placement {
            self.after_commit(journal::Effect::Publish(id.job, job::State::Running), now);
        }
        for (task_index, worker_index) in task_indexes.into_iter().zip(worker_indexes) {
            let start = journal::Effect::Start(worker_index, id.task(task_index), run);
            self.after_commit(start, now);
        }
    }

    /// Reserves workers for a gang, so that smaller tasks do not take up capacity there as soon as
    /// it becomes free.
    pub(super) fn reserve_for_gang(&self, step: &steps::ReadyStep, pass: &mut Pass) {
        let limit = pass.snapshot.rows.len() / constants::WORKERS_PER_RESERVING_GANG;
        if pass.reserving_gangs >= limit.max(constants::MIN_RESERVING_GANGS) {
            return;
        }
        let size = step.size();
        let mut reservable: Vec<(u32, usize, u32)> = pass
            .snapshot
            .rows
            .iter()
            .enumerate()
            .filter(|(_, row)| {
                row.reserved_for.is_none()
                    && step.is_allowed(row.worker_index)
                    && placement::may_run(self.fleet.at(row.worker_index), step)
            })
            .map(|(position, row)| {
                let capacity_tasks = placement::fits(row.capacity, size);
                (row.available_for(step).millicores, position, capacity_tasks)
            })
            .collect();
        reservable.sort_unstable_by(|a, b| b.cmp(a));
        let needed = step.step_spec().tasks;
        let mut reserved_tasks = 0;
        for (_, position, capacity_tasks) in reservable {
            if reserved_tasks >= needed {
                break;
            }
            reserved_tasks += capacity_tasks;
            pass.snapshot.rows[position].reserved_for = Some(step.id);
        }
        if reserved_tasks > 0 {
            pass.reserving_gangs += 1;
        }
    }
}

fn is_late(step: &steps::ReadyStep, now: time::Monotonic) -> bool {
    now > step.deadlines.latest_start
}

fn signed(millis: u64) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// Adds each candidate as often as a task fits on it, until `needed` tasks are covered.
fn take_fitting<'a>(
    candidates: impl Iterator<Item = &'a placement::Candidate>,
    needed: u32,
    chosen: &mut Vec<usize>,
) {
    for candidate in candidates {
        for _ in 0..candidate.fits {
            if chosen.len() >= needed as usize {
                return;
            }
            chosen.push(candidate.worker_index);
        }
    }
}
