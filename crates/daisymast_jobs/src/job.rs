//! One job and the progress of its tasks.

use std::sync::Arc;

use daisymast_types::ids;
use daisymast_types::time;
use serde::{Deserialize, Serialize};

use crate::spec;

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// No task has been placed on a worker.
    Queued,
    /// At least one task has been placed on a worker.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl State {
    /// Whether no further task of the job may start.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Phase of a task. A checkpoint holds tens of thousands of these, hence the one-letter serialized
/// names.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// Not placed on a worker.
    #[default]
    #[serde(rename = "w")]
    Waiting,
    /// Placed on a worker, where it may be running.
    #[serde(rename = "p")]
    Placed {
        /// The worker that it is placed on.
        worker: ids::WorkerId,
    },
    /// Completed; a completed task never runs again.
    #[serde(rename = "d")]
    Done,
}

/// Whether starts of a run may still be carried out that no answer has been recorded of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenStart {
    /// There is none as far as the journal tells.
    #[default]
    No,
    /// One start may be open: it got no answer, or was sent so recently that none is known of.
    Single,
    /// Several starts were sent, so that one may be open after another has taken effect.
    Repeated,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Current phase.
    pub phase: Phase,
    /// Highest run number used so far, 0 before the first run.
    pub run: u32,
    /// Highest run number recorded as failed.
    pub failed_run: u32,
    /// Number of failed runs recorded.
    pub failures: u32,
    /// Latest checkpoint that a run of the task reported.
    pub checkpoint: Option<Arc<str>>,
    /// Whether a start of the present run may be open.
    #[serde(skip)]
    pub open_start: OpenStart,
}

/// Tasks of a step in one occurrence of the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTasks {
    /// Tasks, indexed by position in the step.
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

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Queue that the job was submitted to.
    pub queue: ids::QueueName,
    /// Content as submitted.
    pub spec: Arc<spec::JobSpec>,
    /// Time of acceptance.
    pub accepted: time::UnixMillis,
    /// Occurrences that have started, each with its steps.
    pub occurrences: Vec<Vec<StepTasks>>,
    /// Whether a caller cancelled the job.
    pub cancelled: bool,
    /// Whether a task has used up its attempts.
    pub failed: bool,
    /// Whether any task was ever placed on a worker.
    pub started: bool,
    /// Whether any worker has confirmed the start of a task.
    #[serde(rename = "begun")]
    pub start_confirmed: bool,
    /// State that committed journal records support, and so the only one that callers are told.
    #[serde(rename = "shown")]
    pub committed_state: State,
    /// Organisation that the job belongs to; `None` for a job of a public queue, and where no
    /// organisations are configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<ids::Organisation>,
    /// Whether the job came beyond the rate of its organisation. Only set with an organisation, because
    /// fields are told apart by their position.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub over_rate: bool,
    /// Since when the job has only been kept because a start may be carried out late.
    #[serde(skip)]
    pub kept_since: Option<time::UnixMillis>,
}

impl Job {
    /// Creates a job none of whose tasks has run.
    pub fn new(queue: ids::QueueName, spec: spec::JobSpec, accepted: time::UnixMillis) -> Self {
        let mut job = Self {
            queue,
            spec: Arc::new(spec),
            accepted,
            occurrences: Vec::new(),
            cancelled: false,
            failed: false,
            started: false,
            start_confirmed: false,
            committed_state: State::Queued,
            organisation: None,
            over_rate: false,
            kept_since: None,
        };
        if job.spec.schedule.is_none() {
            job.start_occurrence(0);
        }
        job
    }

    /// Sets the organisation that the job belongs to.
    #[must_use]
    pub fn owned_by(mut self, organisation: Option<ids::Organisation>) -> Self {
        self.organisation = organisation;
        self
    }

    /// Records that the job came beyond the rate of its organisation; without effect on a job of none.
    #[must_use]
    pub fn over_rate(mut self, over_rate: bool) -> Self {
        self.over_rate = over_rate && self.organisation.is_some();
        self
    }

    /// Starts occurrence `number` and all those before it that have not started.
    pub fn start_occurrence(&mut self, number: u32) {
        while self.occurrences.len() <= number as usize {
            let steps = self.spec.steps.iter().map(StepTasks::new).collect();
            self.occurrences.push(steps);
        }
    }

    /// Total number of occurrences, 1 for a job without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the definition of a step.
    pub fn step(&self, id: spec::StepId) -> Option<&spec::Step> {
        self.spec.steps.get(usize::from(id.step))
    }

    /// Returns the tasks of a step, or `None` if its occurrence has not started.
    pub fn tasks(&self, id: spec::StepId) -> Option<&StepTasks> {
        self.occurrences
            .get(id.occurrence as usize)?
            .get(usize::from(id.step))
    }

    /// Returns the tasks of a step for modification.
    pub fn tasks_mut(&mut self, id: spec::StepId) -> Option<&mut StepTasks> {
        self.occurrences
            .get_mut(id.occurrence as usize)?
            .get_mut(usize::from(id.step))
    }

    /// Returns a task for modification.
    pub fn task_mut(&mut self, id: spec::TaskId) -> Option<&mut Task> {
        self.tasks_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Returns a task, or `None` if its occurrence has not started.
    pub fn task(&self, id: spec::TaskId) -> Option<&Task> {
        self.tasks(id.step)?.tasks.get(id.index as usize)
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_ready(&self, id: spec::StepId) -> bool {
        let Some(step) = self.step(id) else {
            return false;
        };
        step.after.iter().all(|&before| {
            let before = spec::StepId { step: before, ..id };
            self.tasks(before).is_some_and(StepTasks::is_done)
        })
    }

    /// Marks a task as done. Returns `false` if it already was or is unknown.
    pub fn mark_task_done(&mut self, id: spec::TaskId) -> bool {
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
        self.start_confirmed = true;
        true
    }

    /// Records a failed run of a task. Returns the number of failures so far, or `None` if this
    /// failure is already recorded.
    pub fn record_failure(&mut self, id: spec::TaskId, run: u32) -> Option<u32> {
        let task = self.task_mut(id)?;
        if run <= task.failed_run {
            return None;
        }
        task.failed_run = run;
        task.failures += 1;
        let failures = task.failures;
        self.start_confirmed = true;
        Some(failures)
    }

    /// Returns the state that follows from all records so far, committed or not.
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

    /// Returns the job as a checkpoint restores it: placement records tell of the open starts.
    pub(crate) fn without_open_starts(&self) -> Self {
        let mut job = self.clone();
        job.kept_since = None;
        let steps = job.occurrences.iter_mut().flatten();
        for task in steps.flat_map(|step| &mut step.tasks) {
            task.open_start = OpenStart::No;
        }
        job
    }

    /// Whether a start of a task got no answer, so that it may be carried out late.
    pub fn has_repeated_start(&self) -> bool {
        self.occurrences.iter().any(|steps| {
            let mut tasks = steps.iter().flat_map(|step| &step.tasks);
            tasks.any(|task| task.open_start == OpenStart::Repeated)
        })
    }

    /// Whether the final state is committed and no task is placed on a worker, so that the job can
    /// be reduced to its state.
    pub fn is_settled(&self) -> bool {
        let holds = |task: &Task| matches!(task.phase, Phase::Placed { .. });
        self.committed_state.is_final()
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
