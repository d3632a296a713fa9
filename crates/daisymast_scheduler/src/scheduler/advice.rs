//! Requests to the advice service: when they are sent, about which workers, and how the answers are
//! used.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::queue;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::hashing;
use daisymast_types::time;

use super::dispatch;
use super::place_waits;
use super::placement;
use super::{AdviceRequest, Scheduler};
use crate::action;
use crate::constants;
use crate::steps;

/// Ratio of the capacity that is asked about to the capacity that a step needs.
const REQUEST_HEADROOM_FACTOR: f64 = 1.4;
/// Minimum number of workers of unknown permission in a request.
const MIN_UNKNOWN_WORKERS: usize = 2;
/// Ratio of the fixed part of a repeated request's duration to the part that its workers add, up to
/// which further workers are named. They make it more likely that the answer leads to a start.
const REPEATED_REQUEST_COST_RATIO: f64 = 4.0;

impl Scheduler {
    /// Whether a request to the advice service may be sent for a step now.
    pub(super) fn may_request_advice(
        &self,
        step: &steps::ReadyStep,
        pass: &dispatch::Pass,
    ) -> bool {
        if step.advice.is_none() || step.open_request.is_some() || pass.now < step.next_request {
            return false;
        }
        let open = pass.open_requests.get(&step.queue).copied().unwrap_or(0);
        let nodes = self.advice_nodes.len();
        let limit = if pass.snapshot.high_utilisation {
            constants::MIN_OPEN_REQUESTS.max(nodes / constants::NODES_PER_OPEN_REQUEST)
        } else {
            constants::MIN_OPEN_REQUESTS_IDLE.max(nodes)
        };
        step.is_urgent() || open < limit
    }

    /// Asks the advice service for permission to use workers with free capacity. For a gang, also
    /// asks about workers whose capacity becomes free later. To be called only if
    /// [`may_request_advice`](Self::may_request_advice).
    pub(super) fn request_advice_if_needed(
        &mut self,
        id: spec::StepId,
        needed: u32,
        candidates: &[placement::Candidate],
        pass: &mut dispatch::Pass,
    ) {
        let now = pass.now;
        let Some(step) = self.steps.get(&id) else {
            return;
        };
        let Some(advice) = step.advice else {
            return;
        };
        let workers = if step.step_spec().gang {
            self.gang_workers_to_ask_about(step, candidates, pass)
        } else {
            self.workers_to_ask_about(step, needed, candidates, now)
        };
        if workers.is_empty() {
            // The search for a gang's workers reads the whole fleet, so it is not repeated in each
            // pass.
            if let Some(step) = self.steps.get_mut(&id)
                && step.step_spec().gang
                && step.priority > 0
            {
                step.next_request = now + constants::ADVICE_REQUEST_INTERVAL;
            }
            return;
        }
        let cost = request_duration(advice, workers.len());
        let Some((node, wait)) = self.advice_nodes.pick(now, cost) else {
            return;
        };
        *pass.open_requests.entry(step.queue.clone()).or_default() += 1;
        self.last_request_id += 1;
        let call = self.last_request_id;
        let names = workers
            .iter()
            .map(|&worker_index| self.fleet.at(worker_index).id.as_str().to_owned())
            .collect();
        self.advice_requests.insert(
            call,
            AdviceRequest {
                step: id,
                queue: step.queue.clone(),
                node: node.clone(),
                workers,
            },
        );
        if let Some(step) = self.steps.get_mut(&id) {
            step.open_request = Some(call);
        }
        self.actions.push(action::Action::RequestAdvice {
            call,
            node,
            step: id,
            workers: names,
            timeout: wait + constants::ADVICE_TIMEOUT_MARGIN,
        });
    }

    fn expected_share(&self, step: &steps::ReadyStep) -> f64 {
        let share = self.allowed_share.get(&step.queue).copied();
        share
            .unwrap_or(constants::INITIAL_ALLOWED_SHARE)
            .clamp(0.1, 1.0)
    }

    /// Returns workers with free capacity and without a valid ticket, as many as the step is
    /// expected to need. The first request follows the order of placement. If its answer led to no
    /// start, the workers with the most free capacity come first: the others may be full again when
    /// the answer arrives, and a step could ask about them forever.
    fn workers_to_ask_about(
        &self,
        step: &steps::ReadyStep,
        needed: u32,
        candidates: &[placement::Candidate],
        now: time::Monotonic,
    ) -> Vec<usize> {
        let needed = f64::from(needed) * REQUEST_HEADROOM_FACTOR;
        let share = self.expected_share(step);
        let mut candidates = candidates.to_vec();
        let mut min_workers = MIN_UNKNOWN_WORKERS;
        if !step.permissions.is_empty() {
            candidates.sort_by_key(|candidate| {
                let is_near = self.locality.is_enabled() && candidate.on_preferred_rack;
                std::cmp::Reverse((is_near, candidate.free_millicores))
            });
            min_workers = min_workers.max(repeated_request_workers(step));
        }
        let mut expected = 0.0;
        let mut workers = self.awaited_without_ticket(step, now);
        workers.truncate(constants::MAX_WORKERS_PER_REQUEST);
        for candidate in &candidates {
            if workers.len() >= constants::MAX_WORKERS_PER_REQUEST {
                break;
            }
            if workers.contains(&candidate.worker_index) {
                continue;
            }
            let is_known = step.is_allowed(candidate.worker_index);
            let enough = expected >= needed && (is_known || workers.len() >= min_workers);
            if enough || step.has_ticket(candidate.worker_index, now) {
                continue;
            }
            expected += f64::from(candidate.fits) * if is_known { 1.0 } else { share };
            workers.push(candidate.worker_index);
        }
        workers
    }

    /// Returns the workers whose places the step waits for and for which it holds no ticket, so that
    /// the tickets are there when the places are free.
    fn awaited_without_ticket(&self, step: &steps::ReadyStep, now: time::Monotonic) -> Vec<usize> {
        let Some(wait) = self.locality.open_wait(step.id) else {
            return Vec::new();
        };
        let awaited = wait.workers.iter().copied();
        let mut workers: Vec<usize> = awaited
            .filter(|&worker_index| !step.is_denied(worker_index))
            .filter(|&worker_index| !step.has_ticket(worker_index, now))
            .collect();
        workers.sort_unstable();
        workers.dedup();
        workers
    }

    /// Returns the workers to ask about for a gang: allowed workers with an expired ticket, if the
    /// allowed workers have enough free capacity together, and otherwise workers of unknown
    /// permission, whether or not they have free capacity.
    fn gang_workers_to_ask_about(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        pass: &dispatch::Pass,
    ) -> Vec<usize> {
        let now = pass.now;
        let needed = step.step_spec().tasks;
        let mut ready_tasks = 0;
        let mut expired_workers = Vec::new();
        for candidate in candidates
            .iter()
            .filter(|candidate| step.is_allowed(candidate.worker_index))
        {
            if ready_tasks >= needed {
                break;
            }
            ready_tasks += candidate.fits;
            if !step.has_ticket(candidate.worker_index, now) {
                expired_workers.push(candidate.worker_index);
            }
        }
        if ready_tasks >= needed && !expired_workers.is_empty() {
            expired_workers.truncate(constants::MAX_WORKERS_PER_GANG_REQUEST);
            return expired_workers;
        }
        let unknown = self.unknown_gang_workers(step, candidates, pass);
        if unknown.is_empty() {
            self.expiring_gang_workers(step, pass)
        } else {
            unknown
        }
    }

    /// Returns the allowed workers whose tickets expire before a later request could renew them,
    /// those with the most free capacity first. A gang can start in the moment in which its workers
    /// have room together only if it holds valid tickets for all of them by then.
    fn expiring_gang_workers(&self, step: &steps::ReadyStep, pass: &dispatch::Pass) -> Vec<usize> {
        let Some(advice) = step.advice else {
            return Vec::new();
        };
        let lead = request_duration(advice, constants::MAX_WORKERS_PER_GANG_REQUEST)
            + constants::ADVICE_REQUEST_INTERVAL;
        let mut expiring: Vec<(u32, usize)> = pass
            .snapshot
            .rows
            .iter()
            .filter(|row| step.is_allowed(row.worker_index))
            .filter(|row| !step.has_ticket(row.worker_index, pass.now + lead))
            .map(|row| (row.available.millicores, row.worker_index))
            .collect();
        expiring.sort_unstable_by(|a, b| b.cmp(a));
        expiring.truncate(constants::MAX_WORKERS_PER_GANG_REQUEST);
        expiring.into_iter().map(|(_, index)| index).collect()
    }

    fn unknown_gang_workers(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        pass: &dispatch::Pass,
    ) -> Vec<usize> {
        let size = step.size();
        let fits_by_worker: collections::FastMap<usize, u32> = candidates
            .iter()
            .map(|candidate| (candidate.worker_index, candidate.fits))
            .collect();
        let mut known_tasks = 0.0;
        let mut unknown: Vec<(bool, u32, u64, usize, u32)> = Vec::new();
        let awaited = self.awaited_without_ticket(step, pass.now);
        for row in &pass.snapshot.rows {
            let worker_index = row.worker_index;
            if !placement::may_run(self.fleet.at(worker_index), step) {
                continue;
            }
            let fits = fits_by_worker.get(&worker_index).copied().unwrap_or(0);
            // On a full fleet, capacity is reserved on workers that have none free now; otherwise
            // only workers with free capacity are useful.
            let slots = if pass.snapshot.high_utilisation {
                placement::fits(row.capacity, size)
            } else {
                fits
            };
            if step.permissions.contains_key(&worker_index) {
                if step.is_allowed(worker_index) {
                    known_tasks += f64::from(slots);
                }
            } else if slots > 0 {
                let rack = self.fleet.at(worker_index).rack();
                let is_near = awaited.contains(&worker_index)
                    || (self.locality.is_enabled()
                        && awaited.is_empty()
                        && place_waits::is_near(rack, step.step_spec()));
                let tie_break = tie_break(step.id, worker_index);
                unknown.push((is_near, fits, tie_break, worker_index, slots));
            }
        }
        let choice_factor = if pass.snapshot.high_utilisation {
            GANG_CHOICE_FACTOR
        } else {
            GANG_CHOICE_FACTOR_IDLE
        };
        let wanted_tasks = f64::from(step.step_spec().tasks) * choice_factor;
        if known_tasks >= wanted_tasks {
            return Vec::new();
        }
        unknown.sort_unstable_by(|a, b| b.cmp(a));
        let share = self.expected_share(step);
        let mut workers = Vec::new();
        for (_, _, _, worker_index, slots) in unknown
            .into_iter()
            .take(constants::MAX_WORKERS_PER_GANG_REQUEST)
        {
            if known_tasks >= wanted_tasks {
                break;
            }
            known_tasks += f64::from(slots) * share;
            workers.push(worker_index);
        }
        workers
    }

    /// Handles the answer of the advice service: the IDs and tickets of the workers that may run
    /// the step, or `None` if the request failed.
    pub fn on_advice(
        &mut self,
        call: u64,
        answer: Option<Vec<(String, String)>>,
        now: time::Monotonic,
    ) {
        let Some(request) = self.advice_requests.remove(&call) else {
            return;
        };
        self.dirty = true;
        self.advice_nodes.finish(&request.node, now);
        let pause = constants::ADVICE_REQUEST_INTERVAL;
        let Some(allowed) = answer else {
            self.advice_nodes.exclude(&request.node, now);
            if let Some(step) = self.steps.get_mut(&request.step) {
                step.open_request = None;
            }
            return;
        };
        self.learn_share(&request, allowed.len());
        let Some(step) = self.steps.get_mut(&request.step) else {
            return;
        };
        step.open_request = None;
        if step.priority > 0 {
            step.next_request = now + pause;
        }
        let valid_ms = step.advice.map_or(0.0, |advice| advice.valid_ms);
        let until = now + Duration::from_secs_f64((valid_ms / 1_000.0).clamp(0.0, 1e6));
        for worker_index in request.workers {
            let id = self.fleet.at(worker_index).id.as_str();
            let ticket = allowed.iter().find(|(worker, _)| worker == id);
            let permission = match ticket {
                Some((_, ticket)) => steps::Permission::Allowed(Arc::from(ticket.as_str()), until),
                None => steps::Permission::Denied,
            };
            step.permissions.insert(worker_index, permission);
        }
    }

    /// Updates the allowed share of a queue. Requests about workers of known permission are left
    /// out, as their answers would bias it.
    fn learn_share(&mut self, request: &AdviceRequest, allowed: usize) {
        let Some(step) = self.steps.get(&request.step) else {
            return;
        };
        let is_unknown = |worker_index: &&usize| !step.permissions.contains_key(worker_index);
        if request.workers.iter().filter(is_unknown).count() < request.workers.len() {
            return;
        }
        let sample = allowed as f64 / request.workers.len().max(1) as f64;
        let share = self
            .allowed_share
            .entry(request.queue.clone())
            .or_insert(constants::INITIAL_ALLOWED_SHARE);
        *share += (sample - *share) * constants::ALLOWED_SHARE_WEIGHT;
    }
}

/// Ratio of the number of a gang's tasks that its allowed workers can hold when empty to the number
/// of its tasks. More choice shortens the wait for free capacity, but takes more time of the advice
/// service.
const GANG_CHOICE_FACTOR: f64 = 8.0;

/// The same ratio while the fleet has free capacity, counting only what is free now.
const GANG_CHOICE_FACTOR_IDLE: f64 = 1.6;

/// Returns a pseudo-random sort key of a worker for a step. Otherwise gangs that ask at the same
/// time would get permission for the same workers, and the first to start would leave none to the
/// others.
fn tie_break(step: spec::StepId, worker_index: usize) -> u64 {
    hashing::stable_hash_pair(&step.job.0.to_le_bytes(), &worker_index.to_le_bytes())
}

/// Returns how many workers a repeated request names at least.
fn repeated_request_workers(step: &steps::ReadyStep) -> usize {
    let Some(advice) = step.advice else {
        return 0;
    };
    let workers =
        advice.decide_ms / (REPEATED_REQUEST_COST_RATIO * advice.per_worker_ms.max(0.001));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped first"
    )]
    let workers = workers.clamp(0.0, constants::MAX_WORKERS_PER_REQUEST as f64) as usize;
    workers
}

/// Returns the expected duration of a request about a number of workers.
fn request_duration(advice: queue::Advice, workers: usize) -> Duration {
    let millis = advice.decide_ms + advice.per_worker_ms * workers as f64;
    Duration::from_secs_f64((millis / 1_000.0).clamp(0.0, 60.0))
}
