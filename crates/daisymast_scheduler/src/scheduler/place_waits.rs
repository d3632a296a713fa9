//! Waits for places near the data of a step, or on one rack for a gang, during a pass.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::quantities;
use daisymast_types::time;

use super::Scheduler;
use super::dispatch;
use super::placement;
use crate::decision;
use crate::lease;
use crate::locality;
use crate::run;
use crate::steps;
use crate::worker;

/// Number of workers of an advice request whose duration a place without a ticket waits for.
const TYPICAL_REQUEST_WORKERS: f64 = 10.0;

impl Scheduler {
    /// Uses other terms for waiting for near places. Without a call, no step waits.
    ///
    /// ```
    /// use daisymast_scheduler::{locality, scheduler::Scheduler};
    /// fn start(scheduler: Scheduler) -> Scheduler {
    ///     scheduler.with_locality(locality::Locality::new(1.5))
    /// }
    /// ```
    #[must_use]
    pub fn with_locality(mut self, locality: locality::Locality) -> Self {
        self.locality = locality;
        self
    }

    /// Returns what decides about waits for near places, for inspection.
    pub fn locality(&self) -> &locality::Locality {
        &self.locality
    }

    /// Takes the tasks off the end of `chosen` that wait for a near place instead of starting far
    /// away. `needed` tasks may start now.
    pub(super) fn hold_for_places(
        &mut self,
        id: spec::StepId,
        chosen: &mut Vec<usize>,
        needed: u32,
        pass: &mut dispatch::Pass,
    ) {
        if !self.locality.is_enabled() {
            return;
        }
        let Some(step) = self.steps.get(&id).filter(|step| prefers_rack(step)) else {
            return;
        };
        let limit = self.locality.open_wait(id).map(|wait| wait.until);
        if limit.is_none() && step.has_waited {
            return;
        }
        let is_complete = chosen.len() >= needed as usize;
        let far_tasks = self.far_tasks(step, chosen, is_complete);
        if far_tasks == 0 {
            // The rest of the tasks finds no room at all, so that no start far away is given up.
            if is_complete {
                self.close_wait(id, locality::Outcome::Paid, pass.now);
            }
            return;
        }
        let hold = self.best_hold(step, chosen, far_tasks, limit, pass);
        let Some((rack, hold)) = hold else {
            self.close_wait(id, locality::Outcome::Lost, pass.now);
            return;
        };
        let size = step.size();
        for &worker_index in &hold.workers {
            *pass.awaited.entry(worker_index).or_default() += size;
        }
        let kept = chosen.len().saturating_sub(hold.tasks as usize);
        chosen.truncate(kept);
        self.open_wait(id, rack, hold, pass.now);
    }

    /// Reserves the workers whose places a gang waits for. Returns whether it waits for any.
    pub(super) fn reserve_awaited(&self, id: spec::StepId, pass: &mut dispatch::Pass) -> bool {
        let Some(wait) = self.locality.open_wait(id) else {
            return false;
        };
        for row in &mut pass.snapshot.rows {
            if row.reserved_for.is_none() && wait.workers.contains(&row.worker_index) {
                row.reserved_for = Some(id);
            }
        }
        pass.reserving_gangs += 1;
        true
    }

    /// Closes the waits whose steps have nothing that waits any more, and those that are over but
    /// whose steps were not tried.
    pub(super) fn close_ended_waits(&mut self, now: time::Monotonic) {
        for (id, until) in self.locality.open_waits() {
            let is_waiting = self
                .steps
                .get(&id)
                .is_some_and(|step| !step.waiting.is_empty() && !step.aborting);
            if !is_waiting {
                self.close_wait(id, locality::Outcome::Dropped, now);
            } else if now >= until {
                self.close_wait(id, locality::Outcome::Lost, now);
            }
        }
    }

    /// Returns how many of the chosen workers are not near the step's data. All members of a gang
    /// count if they are not together on one rack.
    fn far_tasks(&self, step: &steps::ReadyStep, chosen: &[usize], is_complete: bool) -> u32 {
        let step_spec = step.step_spec();
        let far = if step_spec.gang {
            let first = chosen.first().map(|&first| self.fleet.at(first).rack());
            let is_together = chosen.iter().all(|&worker_index| {
                let rack = self.fleet.at(worker_index).rack();
                Some(rack) == first && is_near(rack, step_spec)
            });
            if is_together || !is_complete {
                0
            } else {
                chosen.len()
            }
        } else {
            let far = chosen.iter();
            far.filter(|&&at| !is_near(self.fleet.at(at).rack(), step_spec))
                .count()
        };
        u32::try_from(far).unwrap_or(u32::MAX)
    }

    /// Returns the rack whose places are free first, and what to hold back for them.
    fn best_hold(
        &self,
        step: &steps::ReadyStep,
        chosen: &[usize],
        far_tasks: u32,
        limit: Option<time::Monotonic>,
        pass: &dispatch::Pass,
    ) -> Option<(ids::WorkerLabel, locality::Hold)> {
        let step_spec = step.step_spec();
        let far = chosen.iter().map(|&at| self.fleet.at(at));
        let speeds = far
            .filter(|worker| step_spec.gang || !is_near(worker.rack(), step_spec))
            .map(|worker| worker.speed);
        let far_speed = if step_spec.gang {
            speeds.fold(f64::INFINITY, f64::min)
        } else {
            speeds.fold(0.0, f64::max)
        };
        let choice = locality::Choice {
            estimate: Duration::from_millis(step_spec.estimate_ms.into()),
            far_speed,
            latest_start: step.deadlines.latest_start,
            far_tasks,
            is_gang: step_spec.gang,
            limit,
        };
        let holds = self.places(step, pass).into_iter();
        holds
            .filter_map(|(rack, places)| {
                let hold = self.locality.weigh(&choice, &rack, places, pass.now)?;
                Some((rack, hold))
            })
            .min_by(|(rack, hold), (other_rack, other)| {
                (hold.expected, rack).cmp(&(other.expected, other_rack))
            })
    }

    /// Returns the near places by rack.
    fn places(
        &self,
        step: &steps::ReadyStep,
        pass: &dispatch::Pass,
    ) -> collections::FastMap<ids::WorkerLabel, Vec<locality::Place>> {
        let step_spec = step.step_spec();
        let mut by_rack: collections::FastMap<_, Vec<_>> = collections::FastMap::default();
        for row in &pass.snapshot.rows {
            let worker = self.fleet.at(row.worker_index);
            let Some(rack) = worker.rack().filter(|&rack| is_near(Some(rack), step_spec)) else {
                continue;
            };
            let is_reserved = row.reserved_for.is_some_and(|by| by != step.id);
            if row.is_on_probation()
                || (is_reserved && !step.uses_reserve() && pass.snapshot.high_utilisation)
                || !placement::may_run(worker, step)
                || step.is_denied(row.worker_index)
            {
                continue;
            }
            let places = by_rack.entry(rack.clone()).or_default();
            self.add_places(step, (worker, row), pass, places);
        }
        by_rack
    }

    /// Adds the places on a worker, by the expected ends of its runs.
    pub(super) fn add_places(
        &self,
        step: &steps::ReadyStep,
        (worker, row): (&worker::Worker, &placement::WorkerSnapshot),
        pass: &dispatch::Pass,
        places: &mut Vec<locality::Place>,
    ) {
        let awaited = pass.awaited.get(&row.worker_index).copied();
        let awaited = awaited.unwrap_or(quantities::Resources::ZERO);
        let spread = placement::remaining_spread(step, row.worker_index);
        let mut available = row.available_for(step);
        let mut count = 0;
        let mut add = |available: quantities::Resources, free_in: Option<Duration>| {
            let fits = placement::fits(available.saturating_sub(awaited), step.size()).min(spread);
            if let Some(free_in) = free_in {
                let place = locality::Place {
                    worker_index: row.worker_index,
                    free_in,
                    speed: worker.speed,
                };
                places.extend((count..fits.min(step.step_spec().tasks)).map(|_| place));
            }
            count = count.max(fits);
        };
        let ticket_in = ticket_wait(step, row.worker_index, pass.now);
        // Free places are taken at once, unless the members of a gang wait for others.
        let is_taken = ticket_in.is_zero() && !step.step_spec().gang;
        add(available, (!is_taken).then_some(ticket_in));
        let mut ends: Vec<(Duration, quantities::Resources)> = worker
            .runs
            .iter()
            .filter_map(|(&task, run)| {
                Some((self.remaining(task, run, worker, pass.now)?, run.size))
            })
            .collect();
        ends.sort_unstable_by_key(|&(end, _)| end);
        for (end, size) in ends {
            available += size;
            add(available, Some(end.max(ticket_in)));
        }
    }

    /// Returns the expected time until a run ends, `None` if it may go on for any time.
    fn remaining(
        &self,
        task: spec::TaskId,
        run: &run::Run,
        worker: &worker::Worker,
        now: time::Monotonic,
    ) -> Option<Duration> {
        let may_end = match run.state {
            run::RunState::Journaling | run::RunState::Starting | run::RunState::Running { .. } => {
                true
            }
            run::RunState::Inherited
            | run::RunState::Unsettled
            | run::RunState::Stopping { .. } => false,
        };
        let step_spec = self.steps.get(&task.step)?.step_spec();
        if !may_end || step_spec.lasting {
            return None;
        }
        let declared = f64::from(step_spec.estimate_ms) / 1_000.0;
        let distance_factor = if is_near(worker.rack(), step_spec) {
            1.0
        } else {
            self.locality.far_factor()
        };
        let expected = declared * distance_factor / worker.speed.max(0.01);
        Some(locality::remaining(
            Duration::from_secs_f64(expected.clamp(0.0, 1e6)),
            now - run.placed_at,
            run.percent,
            now - run.last_progress,
        ))
    }

    fn open_wait(
        &mut self,
        id: spec::StepId,
        rack: ids::WorkerLabel,
        hold: locality::Hold,
        now: time::Monotonic,
    ) {
        let opened = decision::Decision::PlaceWaitOpened {
            job: id.job,
            step: id.step,
            rack: rack.clone(),
            tasks: hold.tasks,
            expected_ms: lease::millis(hold.expected),
            saving_ms: lease::millis(hold.saving),
            limit_ms: lease::millis(hold.until - now),
        };
        if self.locality.open(id, rack, hold, now) {
            if let Some(step) = self.steps.get_mut(&id) {
                step.has_waited = true;
            }
            self.log(opened);
        }
    }

    fn close_wait(&mut self, id: spec::StepId, outcome: locality::Outcome, now: time::Monotonic) {
        if let Some(wait) = self.locality.close(id, outcome, now) {
            self.log(decision::Decision::PlaceWaitClosed {
                job: id.job,
                step: id.step,
                rack: wait.rack,
                outcome,
                waited_ms: lease::millis(now - wait.since),
            });
        }
    }
}

/// Whether tasks of the step are faster on some rack, and may be held back for it. A task that lasts
/// serves its users while it runs, so it starts wherever there is room.
fn prefers_rack(step: &steps::ReadyStep) -> bool {
    let step_spec = step.step_spec();
    !step_spec.lasting && (step_spec.rack.is_some() || (step_spec.gang && step_spec.same_rack))
}

/// Whether a rack is the one that holds the step's data; any rack is if the step names none.
pub(super) fn is_near(rack: Option<&ids::WorkerLabel>, step: &spec::Step) -> bool {
    step.rack.is_none() || rack == step.rack.as_ref()
}

/// Returns the expected time until the step holds a ticket for a worker; zero if it needs none.
fn ticket_wait(step: &steps::ReadyStep, worker_index: usize, now: time::Monotonic) -> Duration {
    match step.advice {
        Some(advice) if !step.has_ticket(worker_index, now) => {
            let millis = advice.decide_ms + advice.per_worker_ms * TYPICAL_REQUEST_WORKERS;
            Duration::from_secs_f64((millis / 1_000.0).clamp(0.0, 1e3))
        }
        _ => Duration::ZERO,
    }
}
