//! Terms of a queue, as the operator configures them.

use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: ids::QueueName,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the paths of its jobs.
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: ids::ServiceName,
    /// Urgency: 0 comes first.
    pub priority: u32,
    /// Most failed runs of a task.
    pub attempts: u32,
    /// Factor from the critical path to the time objective.
    pub stretch: f64,
    /// Fixed part of the time objective, in milliseconds.
    pub latency_ms: f64,
    /// Terms of the advice service, if its permission is needed.
    pub advice: Option<Advice>,
}

/// Terms of the advice service for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed time of a question, in milliseconds.
    pub decide_ms: f64,
    /// Time for each worker named, in milliseconds.
    pub per_worker_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: f64,
}
