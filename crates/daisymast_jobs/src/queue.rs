//! Settings of a queue, from the operator's configuration.

use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// A queue that accepts jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: ids::QueueName,
    /// Value of the `Host` header that selects the queue.
    pub host: String,
    /// Path prefix that selects the queue; the job id follows it.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: ids::ServiceName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Factor from the length of the critical path to the job's target completion time.
    pub stretch: f64,
    /// Constant part of the target completion time, in milliseconds.
    pub latency_ms: f64,
    /// Timing of the advice service, if the queue's tasks need its permission to start.
    pub advice: Option<Advice>,
    /// Whether callers need no API key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Timing of the advice service for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Constant part of the duration of an advice request, in milliseconds.
    pub decide_ms: f64,
    /// Additional duration of an advice request for each worker in it, in milliseconds.
    pub per_worker_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: f64,
}
