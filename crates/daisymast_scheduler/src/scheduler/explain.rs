//! Explains where a request or a job would go now, and why. Nothing is changed, stored or counted.

use std::time::Duration;

use daisymast_jobs::job;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use super::Scheduler;
use super::dispatch;
use super::order;
use super::placement;
use crate::constants;
use crate::explanation::{
    Answer, Explanation, OrganisationUse, Reason, StepPlan, Subject, Verdict,
};
use crate::lease;
use crate::steps;

/// Maximum number of steps that an answer holds. The first ones that are not done are shown.
const MAX_STEPS: usize = 20;
/// ID that a request has while it is explained, which no job of a caller is expected to have.
const REQUEST_ID: spec::JobId = spec::JobId(u64::MAX);

impl Scheduler {
    /// Explains where a request or a job would go now. Costs about as much as a placement pass over the
    /// steps that go before it.
    pub fn explain(&self, subject: &Subject, now: time::Monotonic) -> Answer {
        match subject {
            Subject::Job(id) => match self.job_table.job(*id) {
                Some(job) => Answer::Explained(self.explain_job(*id, job, &self.steps, now)),
                None => Answer::UnknownJob,
            },
            Subject::Request {
                queue,
                organisation,
                spec,
            } => self.explain_request(queue, organisation.as_ref(), spec, now),
        }
    }

    fn explain_request(
        &self,
        queue: &ids::QueueName,
        organisation: Option<&ids::Organisation>,
        spec: &spec::JobSpec,
        now: time::Monotonic,
    ) -> Answer {
        if self.queue(queue).is_none() {
            return Answer::UnknownQueue;
        }
        if organisation.is_some_and(|name| self.terms(name).is_none()) {
            return Answer::UnknownOrganisation;
        }
        if self.over_cap(organisation, spec).is_some() {
            return Answer::OverCap;
        }
        let mut job =
            job::Job::new(queue.clone(), spec.clone(), self.wall).owned_by(organisation.cloned());
        // The first occurrence of a recurring job is explained as if it were due.
        job.start_occurrence(0);
        let mut steps = self.steps.clone();
        for id in step_ids(REQUEST_ID, &job) {
            if job.is_ready(id)
                && let Some(step) = self.ready_step(id, &job, now)
            {
                steps.insert(id, step);
            }
        }
        Answer::Explained(self.explain_job(REQUEST_ID, &job, &steps, now))
    }

    fn explain_job(
        &self,
        id: spec::JobId,
        job: &job::Job,
        steps: &collections::FastMap<spec::StepId, steps::ReadyStep>,
        now: time::Monotonic,
    ) -> Explanation {
        let organisation = job.organisation.as_ref().map(|name| OrganisationUse {
            name: name.clone(),
            used: self.usage(name),
            cap: self.terms(name).map(|terms| terms.cap),
        });
        let snapshot = self.snapshot(now);
        let cell = order::Cell {
            workers: snapshot.rows.len(),
            shares: self.shares(&snapshot),
        };
        let order = order::waiting_steps(steps, &cell, now);
        let open =
            step_ids(id, job).filter(|&step| job.tasks(step).is_some_and(|at| !at.is_done()));
        Explanation {
            state: job.state(),
            queue: job.queue.clone(),
            organisation,
            steps: open
                .take(MAX_STEPS)
                .map(|step| self.explain_step(step, job, steps, (&order, &snapshot), now))
                .collect(),
        }
    }

    fn explain_step(
        &self,
        id: spec::StepId,
        job: &job::Job,
        steps: &collections::FastMap<spec::StepId, steps::ReadyStep>,
        (order, snapshot): (&[spec::StepId], &placement::FleetSnapshot),
        now: time::Monotonic,
    ) -> StepPlan {
        let mut plan = StepPlan {
            order_length: u32::try_from(order.len()).unwrap_or(u32::MAX),
            ..initial_plan(id, job)
        };
        let Some(step) = steps.get(&id) else {
            return plan;
        };
        plan.slack_ms = Some(signed_millis(now, step.deadlines.latest_start));
        if step.waiting.is_empty() {
            plan.verdict = Verdict::Placed;
            return plan;
        }
        let Some(position) = order.iter().position(|&at| at == id) else {
            plan.verdict = Verdict::Pausing;
            plan.expected_wait_ms = Some(lease::millis(step.not_before - now));
            return plan;
        };
        plan.position = u32::try_from(position + 1).ok();
        let mut pass = dispatch::Pass {
            now,
            snapshot: snapshot.clone(),
            reserving_gangs: 0,
            open_requests: collections::FastMap::default(),
            awaited: collections::FastMap::default(),
        };
        let ahead = &order[..position.min(constants::MAX_URGENT_STEPS_PER_PASS)];
        for step in ahead.iter().filter_map(|id| steps.get(id)) {
            self.preview(step, &mut pass);
        }
        self.explain_placement(step, &mut pass, &mut plan);
        plan
    }

    /// Places the tasks of a step in a copy of the pass only. Returns the chosen workers.
    fn preview(&self, step: &steps::ReadyStep, pass: &mut dispatch::Pass) -> Vec<usize> {
        if !self.fits_cap(step) {
            return Vec::new();
        }
        let waiting = u32::try_from(step.waiting.len()).unwrap_or(u32::MAX);
        let needed = waiting.min(self.cap_room(step));
        let candidates = self.candidates(step, &pass.snapshot);
        let mut chosen = self.choose_workers(step, &candidates, needed, pass.now);
        if step.step_spec().gang && chosen.len() < step.step_spec().tasks as usize {
            chosen.clear();
            self.reserve_for_gang(step, pass);
        }
        for &worker_index in &chosen {
            pass.snapshot.take(worker_index, step.size(), false);
        }
        chosen
    }

    /// Fills in what would become of the waiting tasks of a step whose turn has come in `pass`.
    fn explain_placement(
        &self,
        step: &steps::ReadyStep,
        pass: &mut dispatch::Pass,
        plan: &mut StepPlan,
    ) {
        let is_at_cap = !self.fits_cap(step);
        plan.passed_over = self.passed_over(step, pass, is_at_cap);
        if is_at_cap {
            plan.verdict = Verdict::AtCap;
            return;
        }
        let candidates = self.candidates(step, &pass.snapshot);
        let needs_tickets = step.advice.is_some()
            && candidates
                .iter()
                .any(|at| !step.has_ticket(at.worker_index, pass.now));
        if let Some(wait) = self.locality.open_wait(step.id) {
            plan.verdict = Verdict::WaitsForNearPlace;
            plan.expected_wait_ms = Some(lease::millis(wait.until - pass.now));
        }
        let chosen = self.preview(step, pass);
        if plan.verdict == Verdict::WaitsForNearPlace {
            return;
        }
        if !chosen.is_empty() {
            plan.verdict = if chosen.len() < step.waiting.len() {
                Verdict::StartsPartly
            } else {
                Verdict::Starts
            };
            plan.starts = self.by_worker(&chosen);
        } else if needs_tickets {
            plan.verdict = Verdict::NeedsAdvice;
        } else {
            plan.verdict = Verdict::NoRoom;
            plan.expected_wait_ms = self.room_in(step, pass).map(lease::millis);
        }
    }

    /// Counts the chosen tasks of each worker.
    fn by_worker(&self, chosen: &[usize]) -> Vec<(ids::WorkerId, u32)> {
        let mut counts: collections::FastMap<usize, u32> = collections::FastMap::default();
        for &worker_index in chosen {
            *counts.entry(worker_index).or_default() += 1;
        }
        let named = counts.into_iter();
        let mut named: Vec<(ids::WorkerId, u32)> = named
            .map(|(worker_index, tasks)| (self.fleet.at(worker_index).id.clone(), tasks))
            .collect();
        named.sort_unstable();
        named
    }

    /// Counts the workers that cannot take a task of the step, by the first reason that applies.
    fn passed_over(
        &self,
        step: &steps::ReadyStep,
        pass: &dispatch::Pass,
        is_at_cap: bool,
    ) -> Vec<(Reason, u32)> {
        let mut counts = std::collections::BTreeMap::new();
        let usable: Vec<usize> = self
            .candidates(step, &pass.snapshot)
            .iter()
            .map(|candidate| candidate.worker_index)
            .collect();
        for worker_index in 0..self.fleet.len() {
            let reason = if usable.contains(&worker_index) {
                is_at_cap.then_some(Reason::Cap)
            } else {
                self.worker_reason(step, worker_index, pass)
            };
            if let Some(reason) = reason {
                *counts.entry(reason).or_insert(0) += 1;
            }
        }
        counts.into_iter().collect()
    }

    /// Returns why a worker is not a candidate; `None` if it belongs to another service.
    fn worker_reason(
        &self,
        step: &steps::ReadyStep,
        worker_index: usize,
        pass: &dispatch::Pass,
    ) -> Option<Reason> {
        let worker = self.fleet.at(worker_index);
        let Some(registration) = &worker.registration else {
            return Some(Reason::NotRegistered);
        };
        if registration.service != step.service {
            return None;
        }
        let Some(row) = pass.snapshot.row(worker_index) else {
            return Some(if !worker.registered {
                Reason::NotRegistered
            } else if registration.draining {
                Reason::Draining
            } else if worker.health.is_quarantined(pass.now) || worker.health.is_on_probation() {
                Reason::Quarantined
            } else {
                Reason::NoAnswer
            });
        };
        let available = row.available_for(step);
        Some(if !placement::may_run(worker, step) {
            Reason::Label
        } else if step.is_denied(worker_index) {
            Reason::Denied
        } else if placement::fits(available, step.size()) == 0 {
            Reason::NoRoom
        } else if row.reserved_for.is_some_and(|by| by != step.id) {
            Reason::Reserved
        } else {
            Reason::Limit
        })
    }

    /// Returns the expected time until there is room for the step, by the ends of the runs. Steps that go
    /// before it are left out, so it may take longer.
    fn room_in(&self, step: &steps::ReadyStep, pass: &dispatch::Pass) -> Option<Duration> {
        let mut places = Vec::new();
        for row in &pass.snapshot.rows {
            let worker = self.fleet.at(row.worker_index);
            if placement::may_run(worker, step) && !step.is_denied(row.worker_index) {
                self.add_places(step, (worker, row), pass, &mut places);
            }
        }
        places.sort_unstable_by_key(|place| place.free_in);
        let needed = if step.step_spec().gang {
            step.step_spec().tasks as usize
        } else {
            1
        };
        places.get(needed - 1).map(|place| place.free_in)
    }
}

/// Returns the plan of a step that depends on others, with the numbers of its tasks.
fn initial_plan(id: spec::StepId, job: &job::Job) -> StepPlan {
    let tasks = job.tasks(id).map(|tasks| tasks.tasks.as_slice());
    let phases = tasks.unwrap_or_default().iter().map(|task| &task.phase);
    let count = |wanted: fn(&job::Phase) -> bool| {
        u32::try_from(phases.clone().filter(|&phase| wanted(phase)).count()).unwrap_or(u32::MAX)
    };
    StepPlan {
        step: id.step,
        occurrence: id.occurrence,
        waiting: count(|phase| matches!(phase, job::Phase::Waiting)),
        placed: count(|phase| matches!(phase, job::Phase::Placed { .. })),
        done: count(|phase| matches!(phase, job::Phase::Done)),
        verdict: Verdict::AfterOtherSteps,
        position: None,
        order_length: 0,
        slack_ms: None,
        starts: Vec::new(),
        passed_over: Vec::new(),
        expected_wait_ms: None,
    }
}

/// Returns the time from `now` to `at` in milliseconds, negative if `at` has passed. Differences of
/// [`time::Monotonic`] are never negative, so that one of the two terms is zero.
fn signed_millis(now: time::Monotonic, at: time::Monotonic) -> i64 {
    let millis = |span| i64::try_from(lease::millis(span)).unwrap_or(i64::MAX);
    millis(at - now) - millis(now - at)
}

/// Returns the IDs of all steps in the occurrences that have started.
fn step_ids(id: spec::JobId, job: &job::Job) -> impl Iterator<Item = spec::StepId> {
    let steps = u16::try_from(job.spec.steps.len()).unwrap_or(u16::MAX);
    let occurrences = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
    (0..occurrences).flat_map(move |occurrence| {
        (0..steps).map(move |step| spec::StepId {
            job: id,
            occurrence,
            step,
        })
    })
}
