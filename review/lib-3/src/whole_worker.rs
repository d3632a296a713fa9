//! Case 13: a task that needs a whole worker, while another service is busy.

use std::sync::Arc;

use serde_json::json;

use crate::lab::{FINISH_MS, Lab, sleep};
use crate::world;

/// Service of the jobs that need whole workers.
pub const SERVICE: &str = "books";
/// Number of workers of the other service.
const BUSY_WORKERS: usize = 10;
/// Number of workers of [`SERVICE`].
const IDLE_WORKERS: usize = 5;
/// Time between two of the other service's jobs without a burst.
const USUAL_INTERVAL_MS: u64 = 1_000;
/// Factor of the burst.
const BURST: u64 = 2;
/// When the burst begins and ends.
const BURST_MS: std::ops::Range<u64> = 4_000..11_000;
/// End of the other service's traffic.
const SERVICES_MS: u64 = 11_000;
/// Time between two jobs that need a whole worker.
const LEDGER_INTERVAL_MS: u64 = 2_000;
/// End of the traffic.
const TRAFFIC_MS: u64 = 30_000;

/// Returns the service of each worker.
pub fn workers() -> Vec<&'static str> {
    let mut workers = vec![world::SERVICE; BUSY_WORKERS];
    workers.extend([SERVICE; IDLE_WORKERS]);
    workers
}

/// Returns whether the rules held.
pub async fn run(lab: &Arc<Lab>, trouble: bool) -> bool {
    let begun = lab.now();
    let (mut next_service, mut next_ledger) = (0, 0);
    let mut burst_begun = false;
    while lab.now() - begun < TRAFFIC_MS {
        let at = lab.now() - begun;
        let has_burst = trouble && BURST_MS.contains(&at);
        if has_burst && !burst_begun {
            burst_begun = true;
            lab.note("the burst begins");
        }
        if at >= next_service && at < SERVICES_MS {
            next_service = at + USUAL_INTERVAL_MS / if has_burst { BURST } else { 1 };
            let caller = Arc::clone(lab);
            let submit = async move {
                let step = json!({"count": 1, "cpu": 16_000, "mem_mb": 1_024, "est_duration_ms": 1_000, "perpetual": true});
                caller
                    .submit("surveys", step, json!({"ms": 1_000, "lasting": true}), 0)
                    .await;
            };
            lab.executor.spawn(submit).detach();
        }
        if at >= next_ledger {
            next_ledger = at + LEDGER_INTERVAL_MS;
            let caller = Arc::clone(lab);
            let submit = async move {
                let step =
                    json!({"count": 1, "cpu": 32_000, "mem_mb": 1_024, "est_duration_ms": 500});
                caller.submit("ledgers", step, json!({"ms": 500}), 0).await;
            };
            lab.executor.spawn(submit).detach();
        }
        sleep(20).await;
    }
    lab.note("the traffic ends");
    sleep(FINISH_MS).await;
    let unanswered = lab.ask_for_jobs().await;
    lab.note(&format!("{unanswered} accepted jobs get no answer"));
    let standing = lab.standing(SERVICE);
    for (job, since) in &standing {
        lab.note(&format!(
            "job {job} has had nothing running since {since} ms, on {IDLE_WORKERS} idle workers"
        ));
    }
    lab.note(&format!(
        "{} jobs stand still {FINISH_MS} ms after the end of the traffic",
        standing.len()
    ));
    unanswered == 0 && standing.is_empty()
}
