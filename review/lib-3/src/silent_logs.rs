//! Case 11: the reader of the nodes' output pauses.

use std::sync::Arc;

use serde_json::json;

use crate::lab::{FINISH_MS, Lab, NODES, sleep};

/// Time of undisturbed traffic.
const WARM_UP_MS: u64 = 8_000;
/// Time of traffic after the readers have paused.
const TRAFFIC_MS: u64 = 45_000;
/// Average time between two submissions.
const INTERVAL_MS: u64 = 14;
/// Length of the jobs' `spec`, in bytes.
const SPEC_BYTES: usize = 1_200;
/// Number of failed readiness checks in a row, one a second, from which on a node that runs counts as
/// hung.
const HUNG_CHECKS: u32 = 10;

/// Returns whether the rules held.
pub async fn run(lab: &Arc<Lab>, trouble: bool) -> bool {
    let begun = lab.now();
    let mut paused = false;
    while lab.now() - begun < WARM_UP_MS + TRAFFIC_MS {
        if trouble && !paused && lab.now() - begun >= WARM_UP_MS {
            paused = true;
            lab.note("the readers of the nodes' output pause (SIGSTOP)");
            (0..NODES).for_each(|at| lab.cell.signal_log_reader(at, "-STOP"));
        }
        let caller = Arc::clone(lab);
        let submit = async move {
            let step = json!({"count": 2, "cpu": 1_000, "mem_mb": 256, "est_duration_ms": 300});
            caller
                .submit("quotes", step, json!({"ms": 300}), SPEC_BYTES)
                .await;
        };
        lab.executor.spawn(submit).detach();
        sleep(fastrand::u64(INTERVAL_MS / 2..INTERVAL_MS * 3 / 2)).await;
    }
    lab.note("the traffic ends");
    sleep(FINISH_MS).await;
    let hung = (0..NODES)
        .filter(|&at| lab.cell.is_running(at) && lab.misses(at) >= HUNG_CHECKS)
        .count();
    let unanswered = lab.ask_for_jobs().await;
    let standstills = lab.standstills().len();
    lab.note(&format!(
        "{hung} of {NODES} nodes run, and answer no readiness check for over {HUNG_CHECKS} s"
    ));
    lab.note(&format!("{unanswered} accepted jobs get no answer"));
    lab.note(&format!(
        "{standstills} times a job had nothing running for 3 s after 4 s of calm"
    ));
    (0..NODES).for_each(|at| lab.cell.signal_log_reader(at, "-CONT"));
    unanswered == 0 && standstills == 0
}
