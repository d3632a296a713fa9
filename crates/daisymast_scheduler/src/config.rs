//! The part of the operator's configuration that the scheduler uses.

use daisymast_jobs::queue;
use daisymast_organisations::directory;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<queue::Queue>,
    /// Services that the queues refer to.
    pub services: Vec<Service>,
    /// Organisations that share the cell. `None` if the configuration knows no organisations, so
    /// that callers need no API keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<directory::Directory>,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Service name.
    pub name: ids::ServiceName,
    /// Whether the machines of the service are switched off.
    pub standby: bool,
}

impl Configuration {
    /// Returns the queue with the given name.
    pub fn queue(&self, name: &ids::QueueName) -> Option<&queue::Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// Returns the queue that a request is routed to: the one for its host with the longest
    /// matching path prefix. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&queue::Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.prefix.as_str()))
            .max_by_key(|queue| queue.prefix.len())
    }
}
