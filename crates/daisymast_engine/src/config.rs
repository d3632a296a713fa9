//! Settings of one instance.

use std::time::Duration;

use daisymast_types::ids::{BootId, InstanceId, Rack, WorkerId, Zone};

/// Time between two [`crate::event::Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Another instance that is known from the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The instance.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: Zone,
    /// Address of its listener for instances.
    pub address: String,
}

/// A worker that is known from the settings or the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSeed {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: Rack,
    /// Address of its listener.
    pub address: String,
}

/// Settings of one instance. Made by [`InstanceConfig::builder`].
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
    /// Own id.
    pub instance: InstanceId,
    /// Own zone.
    pub zone: Zone,
    /// Random value of this start of the process.
    pub boot: BootId,
    /// Address of the own listener for instances.
    pub address: String,
    /// Measured capacity, relative to other instances.
    pub weight: u32,
    /// Instances known from the settings.
    pub seeds: Vec<Seed>,
    /// Workers known from the settings.
    pub workers: Vec<WorkerSeed>,
    /// Longest time from the request to drain to [`crate::event::Action::Stopped`].
    pub drain_limit: Duration,
}

impl InstanceConfig {
    /// Starts a configuration with defaults for all but the identity.
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
    /// Address of the own listener for instances.
    #[must_use]
    pub fn address(mut self, address: &str) -> Self {
        address.clone_into(&mut self.config.address);
        self
    }

    /// Measured capacity, relative to other instances.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.config.weight = weight;
        self
    }

    /// Instances known from the settings.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<Seed>) -> Self {
        self.config.seeds = seeds;
        self
    }

    /// Workers known from the settings.
    #[must_use]
    pub fn workers(mut self, workers: Vec<WorkerSeed>) -> Self {
        self.config.workers = workers;
        self
    }

    /// Longest time that draining may take.
    #[must_use]
    pub fn drain_limit(mut self, limit: Duration) -> Self {
        self.config.drain_limit = limit;
        self
    }

    /// The finished configuration.
    pub fn build(self) -> InstanceConfig {
        self.config
    }
}
