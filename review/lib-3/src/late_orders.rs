//! Case 12: orders that are carried out late, by a worker that has started again under its ID.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use crate::lab::{FINISH_MS, Lab, sleep};
use crate::lost_worker::WORKERS;
use crate::world::lock;

/// Worker that is disturbed.
const WORKER: usize = 4;
/// Time of undisturbed traffic.
const WARM_UP_MS: u64 = 6_000;
/// End of the traffic.
const TRAFFIC_MS: u64 = 16_000;
/// Average time between two submissions.
const INTERVAL_MS: u64 = 250;
/// How much later the two orders are carried out. The pages allow 2 to 12 s.
const LATE_HOLD: Duration = Duration::from_millis(5_000);
const LATE_START: Duration = Duration::from_millis(3_000);
/// Time between the two orders, at least.
const BETWEEN_MS: u64 = 800;
/// Time from the second order to the crash.
const CRASH_AFTER_MS: u64 = 50;
/// Time for which the worker is down.
const DOWN_MS: u64 = 300;
/// Time for which it is cut off afterwards.
const CUT_MS: u64 = 4_000;

/// Returns whether the rules held.
pub async fn run(lab: &Arc<Lab>, trouble: bool) -> bool {
    if trouble {
        let shared = Arc::clone(lab);
        lab.executor
            .spawn(async move { disturb(&shared).await })
            .detach();
    }
    let begun = lab.now();
    while lab.now() - begun < TRAFFIC_MS {
        let caller = Arc::clone(lab);
        let submit = async move {
            let step = json!({"count": WORKERS, "cpu": 2_000, "mem_mb": 256, "est_duration_ms": 300, "anti_affinity": 1});
            caller.submit("quotes", step, json!({"ms": 300}), 0).await;
        };
        lab.executor.spawn(submit).detach();
        sleep(fastrand::u64(INTERVAL_MS / 2..INTERVAL_MS * 3 / 2)).await;
    }
    lab.note("the traffic ends");
    sleep(FINISH_MS).await;
    let unanswered = lab.ask_for_jobs().await;
    lab.note(&format!("{unanswered} accepted jobs get no answer"));
    let twice = lab.started_after_done();
    for line in &twice {
        lab.note(line);
    }
    lab.note(&format!(
        "{} tasks start after an end `done` that was taken note of",
        twice.len()
    ));
    unanswered == 0 && twice.is_empty()
}

async fn disturb(lab: &Arc<Lab>) {
    sleep(WARM_UP_MS).await;
    lock(&lab.world).workers[WORKER].late_hold = Some(LATE_HOLD);
    while lock(&lab.world).workers[WORKER].late_hold.is_some() {
        sleep(5).await;
    }
    lab.note(&format!(
        "an acknowledgement of ends to worker {WORKER} gets no answer, and is carried out late"
    ));
    sleep(BETWEEN_MS).await;
    lock(&lab.world).workers[WORKER].late_start = Some(LATE_START);
    while lock(&lab.world).workers[WORKER].late_start.is_some() {
        sleep(5).await;
    }
    lab.note(&format!(
        "a start on worker {WORKER} gets no answer, and is carried out late"
    ));
    sleep(CRASH_AFTER_MS).await;
    lab.crash_and_cut_off(WORKER, DOWN_MS, CUT_MS).await;
}
