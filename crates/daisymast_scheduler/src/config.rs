//! The part of the operator's configuration that the product uses.

use daisymast_jobs::queue;
use daisymast_types::ids;
use serde::{Deserialize, Serialize};

/// The configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; it only rises.
    pub version: u64,
    /// Queues.
    pub queues: Vec<queue::Queue>,
    /// Services.
    pub services: Vec<Service>,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ids::ServiceName,
    /// Its machines are switched off.
    pub standby: bool,
}

impl Configuration {
    /// A queue by name.
    pub fn queue(&self, name: &ids::QueueName) -> Option<&queue::Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// The queue of a request: the host and the longest prefix that the path begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&queue::Queue> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host == host && path.starts_with(queue.prefix.as_str()))
            .max_by_key(|queue| queue.prefix.len())
    }
}
