//! Settings of the worker model and its daemon.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{Context, ensure};
use daisymast_protocol::limits::WORKER_REMEMBERED_IDS;
use daisymast_types::quantities::Resources;
use serde::{Deserialize, Serialize};

/// Largest number of executor threads.
const THREADS_MAX: usize = 64;
/// Largest number of workers in one process.
const COUNT_MAX: u16 = 1_000;
/// Range of the speed factor. Outside of it, run times would round to zero or never end.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;
/// Highest simulated resource usage, in percent of the declared size.
const USAGE_PERCENT_MAX: u32 = 1_000;

/// Faults to inject into a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The worker refuses new work and reports that it is leaving.
    pub leaving: bool,
    /// Share of the tasks and requests that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Speed factor of tasks and requests that start from now on; 2 halves the declared run times.
    pub speed: f64,
    /// The worker runs nothing and buffers messages. It handles them when the freeze ends.
    pub freeze: bool,
    /// The worker accepts work under any lease, as if it had no fencing.
    pub ignore_fencing: bool,
    /// Names of the callers for which the worker is unreachable.
    pub refuse: Vec<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            leaving: false,
            failure_rate: 0.0,
            speed: 1.0,
            freeze: false,
            ignore_fencing: false,
            refuse: Vec::new(),
        }
    }
}

impl Faults {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field, its value and the allowed range.
    pub fn validate(&self) -> anyhow::Result<()> {
        ensure!(
            SPEED_RANGE.contains(&self.speed),
            "speed: {} is not within {SPEED_RANGE:?}",
            self.speed
        );
        ensure!(
            (0.0..=1.0).contains(&self.failure_rate),
            "failure_rate: {} is not within 0 to 1",
            self.failure_rate
        );
        Ok(())
    }
}

/// Settings of one worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelSettings {
    /// Capacity for running tasks.
    pub capacity: Resources,
    /// Largest number of requests that are served at the same time.
    pub slots: u32,
    /// Largest number of unanswered messages at the same time.
    pub connections: usize,
    /// Service time of a request at speed 1, in milliseconds.
    pub service_ms: u64,
    /// Simulated CPU and memory usage of a task, in percent of its declared size.
    pub usage_percent: u32,
    /// Largest number of request IDs in the history, and of task IDs.
    pub remembered_ids: usize,
    /// Faults that are injected from the start.
    pub faults: Faults,
}

impl Default for ModelSettings {
    /// A worker with 32 cores and 128 GiB of memory, the size used at Lone Star.
    fn default() -> Self {
        Self {
            capacity: Resources::new(32_000, 128 * 1024, 0),
            slots: 8,
            connections: 60,
            service_ms: 20,
            usage_percent: 100,
            remembered_ids: WORKER_REMEMBERED_IDS,
            faults: Faults::default(),
        }
    }
}

impl ModelSettings {
    /// Returns the usage that is reported while tasks of the given total size run.
    pub(crate) fn measured_usage(&self, used: Resources) -> Resources {
        let scale = |value: u32| {
            let scaled = u64::from(value) * u64::from(self.usage_percent) / 100;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        Resources {
            millicores: scale(used.millicores),
            memory_mib: scale(used.memory_mib),
            accelerators: used.accelerators,
        }
    }

    fn validate(&self) -> anyhow::Result<()> {
        ensure!(self.slots > 0, "slots: 0 is not above 0");
        ensure!(self.connections > 0, "connections: 0 is not above 0");
        ensure!(
            (1..=WORKER_REMEMBERED_IDS).contains(&self.remembered_ids),
            "remembered_ids: {} is not within 1 to {WORKER_REMEMBERED_IDS}",
            self.remembered_ids
        );
        ensure!(
            self.usage_percent <= USAGE_PERCENT_MAX,
            "usage_percent: {} is above {USAGE_PERCENT_MAX}",
            self.usage_percent
        );
        self.faults.validate().context("faults")
    }
}

/// Settings of `daisymast-worker`, read from a JSON file.
///
/// ```
/// use daisymast_worker::settings;
/// let settings = settings::Settings::parse(r#"{"count": 3, "worker": {"slots": 4}}"#).unwrap();
/// assert_eq!(settings.worker.slots, 4);
/// assert_eq!(settings.worker_name(2), "w-2");
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the first worker. The others use the following ports. With port 0, each worker
    /// uses any free port.
    pub listen: SocketAddr,
    /// Number of executor threads.
    pub threads: usize,
    /// Number of workers in the process.
    pub count: u16,
    /// Prefix of the worker names; a hyphen and the index follow.
    pub name: String,
    /// Settings of each worker.
    pub worker: ModelSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 2,
            count: 1,
            name: "w".to_owned(),
            worker: ModelSettings::default(),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and for the reasons of [`Self::parse`].
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("parse settings {}", path.display()))
    }

    /// Parses and validates settings from JSON text.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field, its value and the allowed range.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid field, its value and the allowed range.
    pub fn validate(&self) -> anyhow::Result<()> {
        ensure!(
            (1..=THREADS_MAX).contains(&self.threads),
            "threads: {} is not within 1 to {THREADS_MAX}",
            self.threads
        );
        ensure!(
            (1..=COUNT_MAX).contains(&self.count),
            "count: {} is not within 1 to {COUNT_MAX}",
            self.count
        );
        self.worker.validate().context("worker")?;
        ensure!(
            self.address(self.count - 1).is_some(),
            "listen: {} leaves too few ports for {} workers",
            self.listen,
            self.count
        );
        Ok(())
    }

    /// Returns the name of the worker with this index.
    pub fn worker_name(&self, index: u16) -> String {
        format!("{}-{index}", self.name)
    }

    /// Returns the configured address of the worker with this index, or `None` if its port number
    /// would exceed 65535.
    pub fn address(&self, index: u16) -> Option<SocketAddr> {
        let mut address = self.listen;
        if address.port() != 0 {
            address.set_port(address.port().checked_add(index)?);
        }
        Some(address)
    }
}
