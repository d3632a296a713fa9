//! Stops tasks of jobs that the manifest in force does not declare.

use std::time::Duration;

use daisymast_protocol::task::Kind;
use daisymast_types::collections::FastSet;
use daisymast_types::ids::{Generation, JobName, TaskKey, WorkerId};
use daisymast_types::time::Monotonic;

use super::Control;
use super::mirror::TrackedTask;
use crate::config;
use crate::shared::Context;

/// Interval between comparisons of a worker's tasks with the manifest when nothing has changed. The
/// repetition resends stops that were lost.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest interval between stops on one worker. It limits them to 20 per second, including the
/// one stop that a late tick may catch up on.
const MIN_STOP_INTERVAL: Duration = Duration::from_millis(53);
/// Age below which an undeclared task is not stopped. The instance that started it may have a newer
/// manifest.
const UNDECLARED_GRACE: Duration = Duration::from_secs(2);
/// Retention of the results of undeclared tasks, which no owner collects.
const RESULT_RETENTION: Duration = Duration::from_secs(60);

/// Jobs that the manifest in force declares.
#[derive(Clone, Debug, Default)]
pub(super) struct DeclaredJobs {
    generation: Option<Generation>,
    jobs: FastSet<JobName>,
}

impl Control {
    /// Compares workers with the manifest where due and sends the stops that the rate limit allows.
    pub(super) fn sweep(&mut self, cx: &mut Context<'_>) {
        if !self.update_declared_jobs(cx) {
            return;
        }
        let now = cx.now.mono;
        let is_behind = cx
            .shared
            .view
            .newest_generation(now)
            .is_some_and(|(generation, _)| generation > cx.shared.generation);
        for worker in self.sorted_workers() {
            let Some((state, _)) = self.usable_worker(now, &worker) else {
                continue;
            };
            if now >= state.next_sweep {
                let forgettable = self.compare_with_manifest(now, &worker);
                self.forget(cx, &worker, forgettable);
            }
            if !is_behind {
                self.stop_undeclared(cx, &worker);
            }
        }
    }

    /// Updates the declared jobs from the manifest in force. Returns `false` if there is none.
    fn update_declared_jobs(&mut self, cx: &Context<'_>) -> bool {
        let Some(manifest) = &cx.shared.manifest else {
            return false;
        };
        if self.declared.generation != Some(cx.shared.generation) {
            self.declared.generation = Some(cx.shared.generation);
            let services = manifest.services.iter().map(|job| &job.name);
            let batches = manifest.batches.iter().map(|job| &job.name);
            let gangs = manifest.gang_jobs.iter().map(|job| &job.name);
            self.declared.jobs = services.chain(batches).chain(gangs).cloned().collect();
            for worker in self.workers.values_mut() {
                worker.next_sweep = cx.now.mono;
            }
        }
        true
    }

    /// Queues the undeclared tasks of a worker for a stop. Returns ended tasks whose results are
    /// not needed.
    fn compare_with_manifest(&mut self, now: Monotonic, worker: &WorkerId) -> Vec<TaskKey> {
        let mut forgettable = Vec::new();
        let Some(state) = self.workers.get_mut(worker) else {
            return forgettable;
        };
        state.next_sweep = now + SWEEP_INTERVAL;
        state.undeclared.clear();
        let mut undeclared = Vec::new();
        for task in state.mirror.tasks() {
            let spec = &task.report.spec;
            let is_declared = self.declared.jobs.contains(&spec.job);
            if task.report.state.is_ended() {
                let is_old = now - task.seen_at >= RESULT_RETENTION;
                if spec.kind == Kind::Service || (!is_declared && is_old) {
                    forgettable.push(spec.key);
                }
            } else if !is_declared {
                let wait = UNDECLARED_GRACE.saturating_sub(age(now, task));
                if wait.is_zero() {
                    undeclared.push(spec.key);
                } else {
                    state.next_sweep = state.next_sweep.min(now + wait);
                }
            }
        }
        undeclared.sort_unstable();
        state.undeclared.extend(undeclared);
        forgettable.sort_unstable();
        forgettable
    }

    fn stop_undeclared(&mut self, cx: &mut Context<'_>, worker: &WorkerId) {
        let now = cx.now.mono;
        while let Some(state) = self.workers.get_mut(worker) {
            if now < state.next_stop {
                return;
            }
            let Some(task) = state.undeclared.pop_front() else {
                return;
            };
            // A late tick may catch up on one stop at most.
            let earliest = Monotonic::ZERO + (now - (Monotonic::ZERO + config::TICK_INTERVAL));
            state.next_stop = state.next_stop.max(earliest) + MIN_STOP_INTERVAL;
            if !state.mirror.is_ended(&task) {
                self.send_stop(cx, worker, task, None, false);
            }
        }
    }
}

/// Time since the start of a running task.
fn age(now: Monotonic, task: &TrackedTask) -> Duration {
    Duration::from_millis(task.report.elapsed_ms) + (now - task.seen_at)
}
