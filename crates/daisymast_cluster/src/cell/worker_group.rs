//! The workers of one availability zone, which run in one process.

use daisymast_protocol::store::{Member, MemberId};
use daisymast_worker::daemon::Listening;
use serde_json::{Value, json};

use super::CellConfig;
use crate::process::Process;

/// The workers of one zone, which share one process.
#[derive(Debug)]
pub(super) struct WorkerGroup {
    pub(super) zone: &'static str,
    pub(super) process: Process,
    pub(super) workers: Vec<Listening>,
}

impl WorkerGroup {
    pub(super) async fn start(
        folder: &std::path::Path,
        zone: &'static str,
        config: CellConfig,
    ) -> Self {
        let name = zone.to_lowercase();
        let settings = json!({
            "name": name, "count": config.workers, "worker": {"service_ms": config.service_ms},
        });
        let file = format!("workers-{name}");
        let (process, printed) = Process::start("daisymast-worker", folder, &file, &settings).await;
        let workers = serde_json::from_value(printed["listening"].clone());
        Self {
            zone,
            process,
            workers: workers.expect("worker addresses in the start line"),
        }
    }

    fn rack(&self) -> String {
        format!("{}-rack-1", self.zone.to_lowercase())
    }

    pub(super) fn members(&self) -> Vec<Member> {
        let members = self.workers.iter().map(|worker| Member {
            who: MemberId::Worker(worker.worker.clone(), self.rack().as_str().into()),
            zone: self.zone.into(),
            address: worker.address.to_string(),
            leaving: false,
        });
        members.collect()
    }

    pub(super) fn seeds(&self) -> Vec<Value> {
        let seeds = self.workers.iter().map(|worker| {
            json!({
                "worker": worker.worker, "zone": self.zone, "rack": self.rack(),
                "address": worker.address,
            })
        });
        seeds.collect()
    }
}
