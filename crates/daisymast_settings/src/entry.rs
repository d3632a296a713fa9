//! Settings of `daisymast-entry`.

use std::net::SocketAddr;

use daisymast_types::collections::FastSet;
use daisymast_types::ids::{InstanceId, Rack, WorkerId, Zone};
use serde_json::Value;

use crate::Secret;
use crate::fault::Faults;
use crate::fields::Fields;

const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000;
const THREAD_RANGE: std::ops::RangeInclusive<u32> = 1..=64;
const DEFAULT_THREADS: u32 = 2;
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Maximum number of seeds and of workers in one file, several times those of the target size.
const MAX_LIST_ITEMS: usize = 10_000;

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Capacity relative to other instances, 1 by default.
    pub weight: u32,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// Address at which other instances reach the listener for peers; `None` for the bound address
    /// of the listener.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform, which provides the store and the list of members.
    pub platform: SocketAddr,
    /// Other instances that are known before the platform's list of members is read.
    pub seeds: Vec<Seed>,
    /// Workers that are known before the platform's list of members is read.
    pub workers: Vec<Worker>,
    /// Key that authenticates messages between instances.
    pub peer_key: Secret,
    /// Key that authenticates messages of operators. Differs from `peer_key`.
    pub operator_key: Secret,
    /// Number of executor threads.
    pub threads: u32,
    /// Minimum level of log messages, such as `info`.
    pub log_level: String,
    /// Path of a log4rs configuration file in JSON, which overrides `log_level`.
    pub log_config: Option<String>,
}

/// Addresses to listen on. With port 0 the kernel chooses a free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other instances.
    pub peers: SocketAddr,
    /// Listener for metrics and health checks.
    pub metrics: SocketAddr,
}

/// Another instance, known from the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Availability zone in which it runs.
    pub zone: Zone,
    /// Address of its listener for peers.
    pub address: SocketAddr,
}

/// A worker, known from the settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Availability zone in which it runs.
    pub zone: Zone,
    /// Rack of the worker.
    pub rack: Rack,
    /// Address of its listener.
    pub address: SocketAddr,
}

/// Parses and validates the text of the file that `--settings` names.
///
/// # Errors
/// Returns all faults together, each with the field, its value and what is allowed. Keys are
/// redacted.
///
/// ```
/// use daisymast_settings::entry;
/// let faults = entry::parse(r#"{"instance": "entry 1", "weight": 0}"#).unwrap_err();
/// assert!(faults.iter().any(|fault| fault.path == "weight"));
/// assert!(faults.iter().any(|fault| fault.path == "listen"));
/// ```
pub fn parse(text: &str) -> Result<EntrySettings, Faults> {
    let mut faults = Faults::default();
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            faults.add("settings", &"invalid JSON", &error.to_string());
            return Err(faults);
        }
    };
    let mut fields = Fields::new("", value, &mut faults);
    let settings = read_settings(&mut fields);
    fields.report_unknown_fields();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        Some(_) | None => Err(faults),
    }
}

/// Takes all fields before the first `?`, so that every fault is reported.
fn read_settings(fields: &mut Fields<'_>) -> Option<EntrySettings> {
    let instance = fields.name("instance");
    let zone = fields.label("zone");
    let weight = fields.number("weight", 1, WEIGHT_RANGE);
    let listen = fields.object("listen", read_listen);
    let advertise = if fields.has("advertise") {
        fields.remote_address("advertise")
    } else {
        None
    };
    let platform = fields.remote_address("platform");
    let seeds = read_seeds(fields);
    let workers = read_workers(fields);
    let peer_key = fields.secret("peer_key");
    let operator_key = fields.secret("operator_key");
    if peer_key.is_some() && peer_key == operator_key {
        // With equal keys, an operator could send messages in the name of an instance.
        fields.add_fault("operator_key", &"(hidden)", "must differ from peer_key");
    }
    let threads = fields.number("threads", DEFAULT_THREADS, THREAD_RANGE);
    let log_level = fields.one_of("log_level", "info", &LOG_LEVELS);
    let log_config = fields.optional_text("log_config");
    Some(EntrySettings {
        instance: InstanceId::from(instance?),
        zone: Zone::from(zone?),
        weight,
        listen: listen?,
        advertise,
        platform: platform?,
        seeds,
        workers,
        peer_key: peer_key?,
        operator_key: operator_key?,
        threads,
        log_level,
        log_config,
    })
}

fn read_listen(fields: &mut Fields<'_>) -> Option<Listen> {
    let callers = fields.address("callers");
    let operators = fields.address("operators");
    let peers = fields.address("peers");
    let metrics = fields.address("metrics");
    Some(Listen {
        callers: callers?,
        operators: operators?,
        peers: peers?,
        metrics: metrics?,
    })
}

fn read_seeds(fields: &mut Fields<'_>) -> Vec<Seed> {
    let mut seen = FastSet::default();
    fields.list("seeds", MAX_LIST_ITEMS, |fields| {
        let (id, zone) = (
            unique_id(fields, "instance", &mut seen),
            fields.label("zone"),
        );
        let address = fields.remote_address("address");
        Some(Seed {
            instance: InstanceId::from(id?),
            zone: Zone::from(zone?),
            address: address?,
        })
    })
}

fn read_workers(fields: &mut Fields<'_>) -> Vec<Worker> {
    let mut seen = FastSet::default();
    fields.list("workers", MAX_LIST_ITEMS, |fields| {
        let (id, zone) = (unique_id(fields, "worker", &mut seen), fields.label("zone"));
        let (rack, address) = (fields.label("rack"), fields.remote_address("address"));
        Some(Worker {
            worker: WorkerId::from(id?),
            zone: Zone::from(zone?),
            rack: Rack::from(rack?),
            address: address?,
        })
    })
}

fn unique_id(fields: &mut Fields<'_>, name: &str, seen: &mut FastSet<String>) -> Option<String> {
    let id = fields.name(name)?;
    if !seen.insert(id.clone()) {
        fields.add_fault(name, &format!("\"{id}\""), "must be unique in the list");
    }
    Some(id)
}
