//! Time-driven work: expired leases, repeated stops and due occurrences.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::run;

impl Scheduler {
    /// Handles expired timers, then runs a placement pass and polls workers. To be called at
    /// regular intervals.
    pub fn tick(&mut self, now: time::Timestamp) {
        self.wall = now.wall;
        self.expire_leases(now.mono);
        self.resend_stops(now.mono);
        self.begin_due_occurrences(now);
        self.dirty = true;
        self.run_pass(now.mono);
    }

    /// Runs a placement pass if something changed and the minimum interval has passed, and polls
    /// workers.
    pub fn run_pass(&mut self, now: time::Monotonic) {
        let wait_is_over = self.locality.next_end().is_some_and(|end| now >= end);
        if (self.dirty || wait_is_over) && now >= self.next_pass {
            self.dirty = false;
            let steps = self.dispatch(now);
            self.next_pass = if steps >= constants::PACING_THRESHOLD_STEPS {
                now + pass_interval(steps)
            } else {
                now
            };
        }
        self.poll_workers(now);
    }

    /// Returns when [`run_pass`](Self::run_pass) should be called next even if no event arrives;
    /// `None` if no pass is pending. A pass is pending when something changed, and when a wait for
    /// near places ends.
    pub fn next_pass_at(&self) -> Option<time::Monotonic> {
        if self.dirty {
            return Some(self.next_pass);
        }
        let wait_end = self.locality.next_end()?;
        Some(wait_end.max(self.next_pass))
    }

    fn resend_stops(&mut self, now: time::Monotonic) {
        let mut due_stops: Vec<(usize, spec::TaskId)> = Vec::new();
        for (worker_index, worker) in self.fleet.iter().enumerate() {
            for (&task, run) in &worker.runs {
                let is_unanswered = run.state == run::RunState::Stopping { accepted_at: None };
                if is_unanswered && now >= run.retry_at {
                    due_stops.push((worker_index, task));
                }
            }
        }
        for (worker_index, task) in due_stops {
            self.send_stop(worker_index, task, now);
        }
    }

    fn begin_due_occurrences(&mut self, now: time::Timestamp) {
        let mut started = Vec::new();
        let job_table = &mut self.job_table;
        self.recurring.retain(|&id| {
            let Some(job) = job_table.job_mut(id) else {
                return false;
            };
            let Some(schedule) = job.spec.schedule else {
                return false;
            };
            loop {
                let next = u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX);
                if next >= schedule.count || job.state().is_final() {
                    return false;
                }
                if now.wall.0 < schedule.due_ms(next) {
                    return true;
                }
                job.start_occurrence(next);
                started.push((id, next));
            }
        });
        for (id, occurrence) in started {
            self.activate_occurrence(id, occurrence, now.mono);
        }
    }
}

/// Returns the minimum time from a pass over a number of waiting steps to the next one. A pass over
/// more steps costs more.
fn pass_interval(steps: usize) -> Duration {
    let steps = u64::try_from(steps).unwrap_or(u64::MAX);
    let micros = steps.saturating_mul(constants::PASS_INTERVAL_PER_STEP_US);
    Duration::from_micros(micros).clamp(constants::MIN_PASS_INTERVAL, constants::MAX_PASS_INTERVAL)
}
