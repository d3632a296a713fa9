//! Configuration of an instance.

use std::time::Duration;

use daisymast_types::ids::{BootId, InstanceId, Rack, WorkerId, Zone};

/// Interval between [`crate::event::Event::Tick`] events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// An instance known from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address of its listener for instances.
    pub address: String,
}

/// A worker known from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSeed {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Rack of the worker. Replicas of a service are spread over racks.
    pub rack: Rack,
    /// Address of its listener.
    pub address: String,
}

/// Configuration of an instance, created by [`InstanceConfig::builder`].
///
/// ```
/// use daisymast_engine::config;
/// use daisymast_types::ids;
/// let config = config::InstanceConfig::builder(
///     ids::InstanceId::from("entry-1"),
///     ids::Zone::from("Austin"),
///     ids::BootId(7),
/// )
/// .address("127.0.0.1:7101")
/// .weight(2)
/// .build();
/// assert_eq!(config.weight, 2);
/// ```
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance. Its leases are on workers of this zone.
    pub zone: Zone,
    /// Random value that identifies this start of the process.
    pub boot: BootId,
    /// Address of this instance's listener for other instances.
    pub address: String,
    /// Measured capacity relative to other instances. It determines how many workers and partitions
    /// the instance is assigned.
    pub weight: u32,
    /// Instances known from the settings.
    pub seeds: Vec<Seed>,
    /// Workers known from the settings.
    pub workers: Vec<WorkerSeed>,
    /// Longest time from [`crate::event::Event::Drain`] to [`crate::event::Action::Stopped`].
    pub drain_limit: Duration,
}

impl InstanceConfig {
    /// Returns a builder with defaults for everything except the identity of the instance.
    pub fn builder(instance: InstanceId, zone: Zone, boot: BootId) -> InstanceConfigBuilder {
        InstanceConfigBuilder {
            config: Self {
                instance,
                zone,
                boot,
                address: String::new(),
                weight: 1,
                seeds: Vec::new(),
                workers: Vec::new(),
                drain_limit: Duration::from_secs(30),
            },
        }
    }
}

/// Builder of an [`InstanceConfig`].
#[derive(Clone, Debug)]
pub struct InstanceConfigBuilder {
    config: InstanceConfig,
}

impl InstanceConfigBuilder {
    /// Sets the address of this instance's listener for other instances.
    #[must_use]
    pub fn address(mut self, address: &str) -> Self {
        address.clone_into(&mut self.config.address);
        self
    }

    /// Sets the capacity relative to other instances. The default is 1.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.config.weight = weight;
        self
    }

    /// Sets the instances known from the settings.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<Seed>) -> Self {
        self.config.seeds = seeds;
        self
    }

    /// Sets the workers known from the settings.
    #[must_use]
    pub fn workers(mut self, workers: Vec<WorkerSeed>) -> Self {
        self.config.workers = workers;
        self
    }

    /// Sets the longest time that draining may take. The default is 30 s.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.config.drain_limit = limit;
        self
    }

    /// Returns the configuration.
    pub fn build(self) -> InstanceConfig {
        self.config
    }
}
