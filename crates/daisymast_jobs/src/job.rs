//! One job: what became of its tasks.

use std::sync::Arc;

use daisymast_types::ids;
use daisymast_types::time;
use serde::{Deserialize, Serialize};

use crate::spec;

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl State {
    /// Whether nothing of the job may start any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Where a task stands. A checkpoint holds tens of thousands of these, so their names there are short.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for a worker.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// It was given to a worker, where it may be running.
    #[serde(rename = "p")]
    Placed {
        /// The worker.
        worker: ids::WorkerId,
    },
    /// It is done for good.
    #[serde(rename = "d")]
    Done,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Highest run number that was used, 0 before the first.
    pub run: u32,
    /// Highest run that is recorded as failed.
    pub failed_run: u32,
    /// Recorded failures.
    pub failures: u32,
    /// Latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// The tasks of a step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTasks {
    /// All tasks, by position.
    pub tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub done: u32,
}

impl StepTasks {
    fn new(step: &spec::Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.tasks as usize],
            done: 0,
        }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Queue that took it.
    pub queue: ids::QueueName,
    /// Content.
    pub spec: Arc<spec::JobSpec>,
    /// When it was accepted.
    pub accepted: time::UnixMillis,
    /// Occurrences that have begun, by number.
    pub occurrences: Vec<Vec<StepTasks>>,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
    /// Whether a task has used up its attempts.
    pub failed: bool,
    /// Whether a task was ever placed.
    pub started: bool,
    /// Whether a worker surely took the start of a task.
    pub begun: bool,
    /// State that is stored and so may be shown.
    pub shown: State,
}

impl Job {
    /// A job of which nothing has run.
    pub fn new(queue: ids::QueueName, spec: spec::JobSpec, accepted: time::UnixMillis) -> Self {
        let mut job = Self {
            queue,
            spec: Arc::new(spec),
            accepted,
            occurrences: Vec::new(),
            cancelled: false,
            failed: false,
            started: false,
            begun: false,
            shown: State::Queued,
        };
        if job.spec.schedule.is_none() {
            job.begin(0);
        }
        job
    }

    /// Makes sure that occurrence `number` and those before it have begun.
    pub fn begin(&mut self, number: u32) {
        while self.occurrences.len() <= number as usize {
            let steps = self.spec.steps.iter().map(StepTasks::new).collect();
            self.occurrences.push(steps);
        }
    }

    /// Number of occurrences in all.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.count)
    }

    /// A step of the job's content.
    pub fn step(&self, id: spec::StepId) -> Option<&spec::Step> {
        self.spec.steps.get(usize::from(id.step))
    }

    /// The tasks of a step.
    pub fn tasks(&self, id: spec::StepId) -> Option<&StepTasks> {
        self.occurrences
            .get(id.occurrence as usize)?
            .get(usize::from(id.step))
    }

    /// The tasks of a step, to change them.
    pub fn tasks_mut(&mut self, id: spec::StepId) -> Option<&mut StepTasks> {
        self.occurrences
            .get_mut(id.occurrence as usize)?
            .get_mut(usize::from(id.step))
    }

    /// A task, to change it.
    pub fn task_mut(&mut self, id: spec::TaskId) -> Option<&mut Task> {
        self.tasks_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// A task.
    pub fn task(&self, id: spec::TaskId) -> Option<&Task> {
        self.tasks(id.step)?.tasks.get(id.index as usize)
    }

    /// Whether all steps that a step waits for are done.
    pub fn is_ready(&self, id: spec::StepId) -> bool {
        let Some(step) = self.step(id) else {
            return false;
        };
        step.after.iter().all(|&before| {
            let before = spec::StepId { step: before, ..id };
            self.tasks(before).is_some_and(StepTasks::is_done)
        })
    }

    /// Notes that a task is done. Returns whether it was not done before.
    pub fn finish(&mut self, id: spec::TaskId) -> bool {
        let Some(tasks) = self.tasks_mut(id.step) else {
            return false;
        };
        let Some(task) = tasks.tasks.get_mut(id.index as usize) else {
            return false;
        };
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        tasks.done += 1;
        self.begun = true;
        true
    }

    /// Notes a failed run of a task. Returns the number of failures, or none if it was known.
    pub fn fail(&mut self, id: spec::TaskId, run: u32) -> Option<u32> {
        let task = self.task_mut(id)?;
        if run <= task.failed_run {
            return None;
        }
        task.failed_run = run;
        task.failures += 1;
        let failures = task.failures;
        self.begun = true;
        Some(failures)
    }

    /// State as the records say it.
    pub fn state(&self) -> State {
        if self.cancelled {
            State::Cancelled
        } else if self.failed {
            State::Failed
        } else if self.is_complete() {
            State::Completed
        } else if self.started {
            State::Running
        } else {
            State::Queued
        }
    }

    /// Whether its end is stored and no worker holds a task of it: only its state matters any more.
    pub fn is_settled(&self) -> bool {
        let holds = |task: &Task| matches!(task.phase, Phase::Placed { .. });
        self.shown.is_final()
            && !self.occurrences.iter().any(|steps| {
                let mut tasks = steps.iter().flat_map(|step| &step.tasks);
                tasks.any(holds)
            })
    }

    fn is_complete(&self) -> bool {
        self.occurrences.len() == self.occurrence_count() as usize
            && self
                .occurrences
                .iter()
                .all(|steps| steps.iter().all(StepTasks::is_done))
    }
}
