//! Gang scheduling: all tasks of a gang start together, and the whole gang is stopped when one of
//! them is lost.

use daisymast_jobs::job;
use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::decision;

impl Scheduler {
    /// Stops the remaining runs of a gang. The gang is placed again once all its tasks wait.
    pub(super) fn abort_gang(&mut self, id: spec::StepId, now: time::Monotonic) {
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        if step.waiting.len() == step.step_spec().tasks as usize {
            step.aborting = false;
            return;
        }
        if step.aborting {
            return;
        }
        step.aborting = true;
        let members = self.members(id);
        if let Some(&(worker_index, task)) = members.first()
            && let Some(run) = self.fleet.at(worker_index).runs.get(&task)
        {
            let stopping = decision::Decision::Stopping {
                job: id.job,
                step: id.step,
                task: task.index,
                run: run.run,
                worker: self.fleet.at(worker_index).id.clone(),
                reason: decision::StopReason::GangBroken,
                others: members.len() - 1,
            };
            self.log(stopping);
        }
        for (worker_index, task) in members {
            self.request_stop(worker_index, task, decision::StopReason::GangBroken, now);
        }
    }

    /// Aborts the gang of a step, if it is one, because one of its runs is being stopped. The other
    /// members would only wait for it until they time out.
    pub(super) fn abort_if_gang(&mut self, id: spec::StepId, now: time::Monotonic) {
        let is_gang = self
            .steps
            .get(&id)
            .is_some_and(|step| step.step_spec().gang);
        if is_gang {
            self.abort_gang(id, now);
        }
    }

    /// Returns the placed tasks of a step with the indexes of their workers.
    fn members(&self, id: spec::StepId) -> Vec<(usize, spec::TaskId)> {
        let Some(tasks) = self.job_table.job(id.job).and_then(|job| job.tasks(id)) else {
            return Vec::new();
        };
        (0_u32..)
            .zip(&tasks.tasks)
            .filter_map(|(index, task)| match &task.phase {
                job::Phase::Placed { worker } => {
                    Some((self.fleet.index_of(worker)?, id.task(index)))
                }
                job::Phase::Waiting | job::Phase::Done => None,
            })
            .collect()
    }
}
