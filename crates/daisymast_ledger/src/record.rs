//! State of one run as the ledger records it.

use std::collections::BTreeMap;

use daisymast_types::ids::WorkerId;
use serde::{Deserialize, Serialize};

use crate::entry::{RunOpened, TaskEnd};

/// A run with its tasks. Tasks that were never claimed are absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunRecord {
    /// Properties recorded when the run was opened.
    pub opened: RunOpened,
    /// Whether the run was closed.
    #[serde(default)]
    pub closed: bool,
    /// Claimed tasks by index.
    #[serde(default)]
    pub tasks: BTreeMap<u32, TaskRecord>,
}

/// A task that was claimed at least once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    /// Number of the latest claimed attempt, from 1.
    pub attempt: u32,
    /// Worker of the latest attempt.
    pub worker: WorkerId,
    /// How the latest attempt ended, `None` while it may still run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<TaskEnd>,
    /// Workers on which an attempt failed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<WorkerId>,
}

impl RunRecord {
    /// Creates the record of a run without claimed tasks.
    pub fn new(opened: RunOpened) -> Self {
        Self {
            opened,
            closed: false,
            tasks: BTreeMap::new(),
        }
    }

    /// Number of tasks that succeeded.
    pub fn succeeded(&self) -> u32 {
        let done = self
            .tasks
            .values()
            .filter(|task| task.end == Some(TaskEnd::Succeeded));
        u32::try_from(done.count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn claim(&mut self, index: u32, attempt: u32, worker: &WorkerId) {
        let failed = self
            .tasks
            .remove(&index)
            .map_or_else(Vec::new, |task| task.failed);
        let task = TaskRecord {
            attempt,
            worker: worker.clone(),
            end: None,
            failed,
        };
        self.tasks.insert(index, task);
    }

    pub(crate) fn finish(&mut self, index: u32, attempt: u32, end: TaskEnd) {
        let Some(task) = self.tasks.get_mut(&index) else {
            return;
        };
        if task.attempt != attempt || task.end.is_some() {
            return;
        }
        task.end = Some(end);
        if end == TaskEnd::Failed {
            task.failed.push(task.worker.clone());
        }
    }
}
