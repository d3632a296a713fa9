//! Content of a submitted job: a dependency graph of steps, each with a number of identical tasks.

use std::fmt;

use daisymast_types::ids;
use daisymast_types::quantities;
use serde::{Deserialize, Serialize};

/// Id of a job, chosen by the caller. Its text form has 16 lower-case hexadecimal digits.
///
/// ```
/// use daisymast_jobs::spec;
/// let id = spec::JobId::parse("5c0e7a21d94b36f8").unwrap();
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
/// assert!(spec::JobId::parse("5C0E7A21D94B36F8").is_none());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Number of digits in the text form.
    pub const DIGITS: usize = 16;

    /// Parses the text form. Upper-case digits are rejected, as formatting the id would not give
    /// the same text again.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != Self::DIGITS || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Identifies one step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Number of the occurrence, 0 for a job that runs once.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u16,
}

impl StepId {
    /// Returns the id of the task at a position in this step.
    pub fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

/// Identifies one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Position of the task in the step.
    pub index: u32,
}

/// A step: a number of identical tasks that become ready together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub size: quantities::Resources,
    /// Declared run time of a task, in milliseconds.
    pub estimate_ms: u32,
    /// Positions of the steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: they run all at the same time or not at all.
    pub gang: bool,
    /// Whether the tasks slow down when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub requires: Option<ids::WorkerLabel>,
    /// Rack that holds the data; tasks are slower on other racks.
    pub rack: Option<ids::WorkerLabel>,
    /// Maximum number of tasks of the step on one worker, 0 for no limit.
    pub spread: u32,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Whether the tasks only use processor time that other tasks leave idle.
    pub fills: bool,
    /// Maximum number of tasks that the scheduler itself may make unavailable at the same time, 0
    /// for no limit.
    pub max_unavailable: u32,
}

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Schedule {
    /// Due time of an occurrence, in milliseconds since the Unix epoch. Saturates at the end of the
    /// clock.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// let schedule = spec::Schedule { start_ms: 5_000, interval_ms: 200, count: 3 };
    /// assert_eq!(schedule.due_ms(2), 5_400);
    /// ```
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let offset = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.start_ms.saturating_add(offset)
    }

    fn check(&self, tasks: u32) -> Result<(), SpecError> {
        let error = |field, reason: String| Err(SpecError { field, reason });
        if self.count > 1 && self.interval_ms == 0 {
            return error("interval_ms", "occurrences need an interval".to_owned());
        }
        let all_tasks = u64::from(tasks) * u64::from(self.count);
        if all_tasks > MAX_SCHEDULED_TASKS {
            return error(
                "repeat_count",
                format!("{all_tasks} tasks in all, at most {MAX_SCHEDULED_TASKS} are allowed"),
            );
        }
        if self.due_ms(self.count) == u64::MAX {
            return error("start_at_ms", "the last occurrence is never due".to_owned());
        }
        Ok(())
    }
}

/// Content of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text passed to each task.
    pub payload: String,
    /// Steps, each of which depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a recurring job, `None` for a job that runs once.
    pub schedule: Option<Schedule>,
}

/// Reason for rejecting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError {
    /// Name of the invalid field in the submission.
    pub field: &'static str,
    /// What is wrong with the field.
    pub reason: String,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SpecError {}

/// Maximum number of tasks in one occurrence of a job.
pub const MAX_TASKS: u32 = 20_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks in all occurrences of a recurring job together, which a scheduler may hold
/// in memory at the same time: occurrences overlap, and those whose time has passed begin at once.
pub const MAX_SCHEDULED_TASKS: u64 = 200_000;

impl JobSpec {
    /// Checks the dependency graph and the limits on steps and tasks.
    ///
    /// ```
    /// use daisymast_jobs::spec;
    /// let step = spec::Step { tasks: 2, after: vec![0], ..spec::Step::default() };
    /// let job = spec::JobSpec { steps: vec![step], ..spec::JobSpec::default() };
    /// assert_eq!(job.check().unwrap_err().field, "after");
    /// ```
    ///
    /// # Errors
    /// There is no step, a step has no tasks, there are too many tasks, a step depends on one that
    /// does not precede it, or the occurrences have no time between them or end beyond the clock.
    pub fn check(&self) -> Result<(), SpecError> {
        let error = |field, reason: String| Err(SpecError { field, reason });
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return error("steps", format!("1 to {MAX_STEPS} steps are allowed"));
        }
        let mut tasks = 0_u32;
        for (position, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return error("count", format!("step {position} has no task"));
            }
            tasks = tasks.saturating_add(step.tasks);
            if step
                .after
                .iter()
                .any(|&before| usize::from(before) >= position)
            {
                return error(
                    "after",
                    format!("step {position} may only name earlier steps"),
                );
            }
        }
        if tasks > MAX_TASKS {
            return error(
                "count",
                format!("{tasks} tasks, at most {MAX_TASKS} are allowed"),
            );
        }
        self.schedule
            .map_or(Ok(()), |schedule| schedule.check(tasks))
    }

    /// Length of the critical path: the longest dependency chain of declared run times, in
    /// milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .map(|&before| ends[usize::from(before)])
                .max();
            ends.push(begin.unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
