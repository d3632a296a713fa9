//! What happens with time: leases expire, stops are repeated, occurrences become due.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::worker;

impl Scheduler {
    /// Handles what is due, then places tasks and opens looks.
    pub fn tick(&mut self, now: time::Timestamp) {
        self.wall = now.wall;
        self.expire_leases(now.mono);
        self.repeat_stops(now.mono);
        self.begin_due(now);
        self.dirty = true;
        self.flush(now.mono);
    }

    /// Places tasks if something changed and a pass is due, and opens looks.
    pub fn flush(&mut self, now: time::Monotonic) {
        if self.dirty && now >= self.next_pass {
            self.dirty = false;
            let steps = self.dispatch(now);
            self.next_pass = if steps >= constants::PACED_STEPS {
                now + constants::PASS_PAUSE
            } else {
                now
            };
        }
        self.look(now);
    }

    /// When [`flush`](Self::flush) should be called again though nothing new has happened.
    pub fn due(&self) -> Option<time::Monotonic> {
        self.dirty.then_some(self.next_pass)
    }

    fn repeat_stops(&mut self, now: time::Monotonic) {
        let mut due: Vec<(usize, spec::TaskId)> = Vec::new();
        for (place, worker) in self.fleet.iter().enumerate() {
            for (&task, run) in &worker.runs {
                let waits = run.state == worker::RunState::Stopping { taken: None };
                if waits && now >= run.retry_at {
                    due.push((place, task));
                }
            }
        }
        for (place, task) in due {
            self.send_stop(place, task, now);
        }
    }

    fn begin_due(&mut self, now: time::Timestamp) {
        let mut begun = Vec::new();
        let book = &mut self.book;
        self.scheduled.retain(|&id| {
            let Some(job) = book.job_mut(id) else {
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
                let due = schedule.start_ms + schedule.interval_ms * u64::from(next);
                if now.wall.0 < due {
                    return true;
                }
                job.start_occurrence(next);
                begun.push((id, next));
            }
        });
        for (id, occurrence) in begun {
            self.activate_occurrence(id, occurrence, now.mono);
        }
    }
}
