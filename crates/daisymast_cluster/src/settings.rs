//! Settings of the entry instances, and the manifest of a cell.

use std::net::SocketAddr;

use serde_json::{Value, json};

pub(crate) const PEER_KEY: &str = "peer-key-peer-key-peer-key-peer-key";
pub(crate) const OPERATOR_KEY: &str = "operator-key-operator-key-operator-key";

/// Settings of an entry instance that listens on ports chosen by the kernel. `advertise` is the
/// address that it announces to the others, if not the one it listens on.
pub(crate) fn instance(
    (name, zone): (&str, &str),
    (platform, seeds, workers): (SocketAddr, &[Value], &[Value]),
    advertise: Option<SocketAddr>,
) -> Value {
    let any = "127.0.0.1:0";
    let mut settings = json!({
        "instance": name,
        "zone": zone,
        "listen": {"callers": any, "operators": any, "peers": any, "metrics": any},
        "platform": platform,
        "seeds": seeds,
        "workers": workers,
        "peer_key": PEER_KEY,
        "operator_key": OPERATOR_KEY,
    });
    if let Some(address) = advertise {
        settings["advertise"] = json!(address);
    }
    settings
}

/// Manifest with the services `quotes` and `invoices` and an exclusive batch. `change` is the
/// number of replicas of the small service `parcels`, so that manifests can differ.
///
/// ```
/// assert!(daisymast_cluster::cell::manifest(2).contains("\"replicas\":2"));
/// ```
pub fn manifest(change: u32) -> String {
    json!({
        "release": format!("r{change}"),
        "teams": [
            {"name": "crews", "quota": {"millicores": 200_000, "memory_mib": 400_000}},
            {"name": "billing", "quota": {"millicores": 50_000, "memory_mib": 100_000}},
        ],
        "services": [
            {"name": "quotes", "team": "crews", "urgency": "urgent", "replicas": 9,
             "size": {"millicores": 2_000, "memory_mib": 4_096}},
            {"name": "invoices", "team": "billing", "replicas": 9,
             "size": {"millicores": 1_000, "memory_mib": 2_048}},
            {"name": "parcels", "team": "billing", "replicas": change,
             "size": {"millicores": 100, "memory_mib": 64}},
        ],
        "batches": [
            {"name": "surveys", "team": "crews", "every_s": 10, "tasks": 3, "exclusive": true,
             "size": {"millicores": 1_000, "memory_mib": 1_024}, "run_s": 5, "deadline_s": 120},
        ],
    })
    .to_string()
}
