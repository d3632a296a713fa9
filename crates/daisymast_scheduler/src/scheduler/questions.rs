//! Questions to the advice service: when, about which workers, and what the answers mean.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::queue;
use daisymast_jobs::spec;
use daisymast_types::collections;
use daisymast_types::hashing;
use daisymast_types::time;

use super::dispatch;
use super::placement;
use super::{Question, Scheduler};
use crate::action;
use crate::constants;
use crate::steps;

/// Factor from the room that a step needs to the room that is asked about.
const ROOM_FACTOR: f64 = 1.4;
/// Fewest workers in a question whose answers are not known.
const LEAST_UNKNOWN: usize = 2;

impl Scheduler {
    /// Asks for permission to use workers that have room, or, for a gang, for workers that may take
    /// it once they have.
    pub(super) fn ask_if_useful(
        &mut self,
        id: spec::StepId,
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
        if step.question.is_some() || now < step.next_question {
            return;
        }
        let urgent = step.priority == 0;
        let open = pass.open.get(&step.queue).copied().unwrap_or(0);
        let limit = if pass.table.scarce {
            constants::OPEN_QUESTIONS
        } else {
            constants::OPEN_QUESTIONS_IDLE
        };
        if !urgent && open >= limit {
            return;
        }
        let workers = if step.content().gang {
            self.gang_question(step, candidates, pass)
        } else {
            self.plain_question(step, candidates, now)
        };
        if workers.is_empty() {
            return;
        }
        let cost = question_time(advice, workers.len());
        let Some((advisor, wait)) = self.advisors.pick(now, cost) else {
            return;
        };
        *pass.open.entry(step.queue.clone()).or_default() += 1;
        self.last_question += 1;
        let call = self.last_question;
        let names = workers
            .iter()
            .map(|&place| self.fleet.at(place).id.as_str().to_owned())
            .collect();
        self.questions.insert(
            call,
            Question {
                step: id,
                queue: step.queue.clone(),
                advisor: advisor.clone(),
                workers,
            },
        );
        if let Some(step) = self.steps.get_mut(&id) {
            step.question = Some(call);
        }
        self.actions.push(action::Action::Ask {
            call,
            advisor,
            step: id,
            workers: names,
            timeout: wait + constants::QUESTION_SLACK,
        });
    }

    fn share(&self, step: &steps::ReadyStep) -> f64 {
        let share = self.allowed_share.get(&step.queue).copied();
        share.unwrap_or(constants::ALLOWED_SHARE).clamp(0.1, 1.0)
    }

    /// Workers that have room now and no valid ticket, as many as the step probably needs.
    fn plain_question(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        now: time::Monotonic,
    ) -> Vec<usize> {
        let needed = step.waiting.len() as f64 * ROOM_FACTOR;
        let share = self.share(step);
        let mut expected = 0.0;
        let mut workers = Vec::new();
        for candidate in candidates {
            if workers.len() >= constants::QUESTION_WORKERS {
                break;
            }
            let is_known = step.is_allowed(candidate.place);
            let enough = expected >= needed && (is_known || workers.len() >= LEAST_UNKNOWN);
            if enough || step.ticket(candidate.place, now).is_some() {
                continue;
            }
            expected += f64::from(candidate.fits) * if is_known { 1.0 } else { share };
            workers.push(candidate.place);
        }
        workers
    }

    /// For a gang: new tickets for workers that may run it and have room together; or, while too few
    /// such workers are known, others, whether or not they have room now.
    fn gang_question(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        pass: &dispatch::Pass,
    ) -> Vec<usize> {
        let now = pass.now;
        let needed = step.content().tasks;
        let mut ready = 0;
        let mut expired = Vec::new();
        for candidate in candidates.iter().filter(|one| step.is_allowed(one.place)) {
            if ready >= needed {
                break;
            }
            ready += candidate.fits;
            if step.ticket(candidate.place, now).is_none() {
                expired.push(candidate.place);
            }
        }
        if ready >= needed && !expired.is_empty() {
            expired.truncate(constants::GANG_QUESTION_WORKERS);
            return expired;
        }
        self.unknown_for_gang(step, candidates, pass)
    }

    fn unknown_for_gang(
        &self,
        step: &steps::ReadyStep,
        candidates: &[placement::Candidate],
        pass: &dispatch::Pass,
    ) -> Vec<usize> {
        let size = step.size();
        let room: collections::FastMap<usize, u32> =
            candidates.iter().map(|one| (one.place, one.fits)).collect();
        let mut known = 0.0;
        let mut unknown: Vec<(u32, u64, usize, u32)> = Vec::new();
        for row in &pass.table.rows {
            let place = row.place;
            if !placement::may_run(self.fleet.at(place), step) {
                continue;
            }
            let fits = room.get(&place).copied().unwrap_or(0);
            // On a full fleet room is gathered on workers that have none now; otherwise only those
            // that have room are of use.
            let slots = if pass.table.scarce {
                placement::fits(row.capacity, size)
            } else {
                fits
            };
            if step.verdicts.contains_key(&place) {
                if step.is_allowed(place) {
                    known += f64::from(slots);
                }
            } else if slots > 0 {
                unknown.push((fits, spread(step.id, place), place, slots));
            }
        }
        let choice = if pass.table.scarce {
            GANG_CHOICE
        } else {
            GANG_CHOICE_IDLE
        };
        let wanted = f64::from(step.content().tasks) * choice;
        if known >= wanted {
            return Vec::new();
        }
        unknown.sort_unstable_by(|a, b| b.cmp(a));
        let share = self.share(step);
        let mut workers = Vec::new();
        for (_, _, place, slots) in unknown.into_iter().take(constants::GANG_QUESTION_WORKERS) {
            if known >= wanted {
                break;
            }
            known += f64::from(slots) * share;
            workers.push(place);
        }
        workers
    }

    /// Answer of the advice service: the workers that may run the step, with their tickets; none if
    /// the question failed.
    pub fn on_advice(
        &mut self,
        call: u64,
        answer: Option<Vec<(String, String)>>,
        now: time::Monotonic,
    ) {
        let Some(question) = self.questions.remove(&call) else {
            return;
        };
        self.dirty = true;
        self.advisors.finish(&question.advisor, now);
        let pause = constants::QUESTION_PAUSE;
        let Some(allowed) = answer else {
            self.advisors.shun(&question.advisor, now);
            if let Some(step) = self.steps.get_mut(&question.step) {
                step.question = None;
            }
            return;
        };
        self.learn_share(&question, allowed.len());
        let Some(step) = self.steps.get_mut(&question.step) else {
            return;
        };
        step.question = None;
        if step.priority > 0 {
            step.next_question = now + pause;
        }
        let valid_ms = step.advice.map_or(0.0, |advice| advice.valid_ms);
        let until = now + Duration::from_secs_f64((valid_ms / 1_000.0).clamp(0.0, 1e6));
        for place in question.workers {
            let id = self.fleet.at(place).id.as_str();
            let ticket = allowed.iter().find(|(worker, _)| worker == id);
            let verdict = match ticket {
                Some((_, ticket)) => steps::Verdict::Allowed(Arc::from(ticket.as_str()), until),
                None => steps::Verdict::Denied,
            };
            step.verdicts.insert(place, verdict);
        }
    }

    /// Only answers about workers of unknown permission say something about the share.
    fn learn_share(&mut self, question: &Question, allowed: usize) {
        let Some(step) = self.steps.get(&question.step) else {
            return;
        };
        let unknown = |place: &&usize| !step.verdicts.contains_key(place);
        if question.workers.iter().filter(unknown).count() < question.workers.len() {
            return;
        }
        let sample = allowed as f64 / question.workers.len().max(1) as f64;
        let share = self
            .allowed_share
            .entry(question.queue.clone())
            .or_insert(constants::ALLOWED_SHARE);
        *share += (sample - *share) * constants::ALLOWED_WEIGHT;
    }
}

/// Factor from the tasks of a gang to those that the workers known to be allowed can hold when they
/// are empty. More choice shortens the wait for room, and costs time of the advice service.
const GANG_CHOICE: f64 = 4.0;

/// The same while the fleet has room, counting the places that are free now.
const GANG_CHOICE_IDLE: f64 = 1.6;

/// Order of equal workers for a step. Gangs that ask at the same time would otherwise get permission
/// for the same workers, of which the first to start leaves nothing to the others.
fn spread(step: spec::StepId, place: usize) -> u64 {
    hashing::stable_pair(&step.job.0.to_le_bytes(), &place.to_le_bytes())
}

/// Time that a question takes.
fn question_time(advice: queue::Advice, workers: usize) -> Duration {
    let millis = advice.decide_ms + advice.per_worker_ms * workers as f64;
    Duration::from_secs_f64((millis / 1_000.0).clamp(0.0, 60.0))
}
