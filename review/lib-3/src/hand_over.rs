//! Case 15: the leader is stopped and started again while gangs start.

use std::sync::Arc;

use serde_json::json;

use crate::lab::{Lab, sleep};

/// Time of the first restart after the start of the traffic.
const FIRST_RESTART_MS: u64 = 6_000;
/// Time between two restarts.
const RESTART_INTERVAL_MS: u64 = 14_000;
/// End of the traffic.
const TRAFFIC_MS: u64 = 66_000;
/// Average time between two submissions.
const INTERVAL_MS: u64 = 10;
/// Time for the last gangs to end.
const END_MS: u64 = 14_000;

/// Returns whether the rules held.
pub async fn run(lab: &Arc<Lab>, trouble: bool) -> bool {
    let begun = lab.now();
    let mut next_restart = FIRST_RESTART_MS;
    while lab.now() - begun < TRAFFIC_MS {
        if lab.now() - begun >= next_restart {
            next_restart += RESTART_INTERVAL_MS;
            if trouble {
                restart_leader(lab);
            }
        }
        let caller = Arc::clone(lab);
        let submit = async move {
            let step = json!({"count": 3, "cpu": 1_000, "mem_mb": 256, "est_duration_ms": 200, "gang": true});
            caller
                .submit("surveys", step, json!({"ms": 200, "gang": 3}), 0)
                .await;
        };
        lab.executor.spawn(submit).detach();
        sleep(fastrand::u64(INTERVAL_MS / 2..INTERVAL_MS * 3 / 2)).await;
    }
    lab.note("the traffic ends");
    sleep(END_MS).await;
    let unanswered = lab.ask_for_jobs().await;
    let standstills = lab.standstills();
    lab.note(&format!("{unanswered} accepted jobs get no answer"));
    for (job, since, until) in &standstills {
        lab.note(&format!(
            "job {job} has nothing running from {since} to {until} ms"
        ));
    }
    lab.note(&format!(
        "{} times a job had nothing running for 3 s after 4 s of calm",
        standstills.len()
    ));
    unanswered == 0 && standstills.is_empty()
}

/// Stops the leader by SIGTERM, and starts it again when it has exited.
fn restart_leader(lab: &Arc<Lab>) {
    let Some(at) = lab.cell.leader() else {
        return;
    };
    let disruption = lab.begin_disruption();
    lab.note(&format!("SIGTERM for edge-{at}, the leader"));
    lab.cell.signal(at, "-TERM");
    let shared = Arc::clone(lab);
    let restart = async move {
        while shared.cell.is_running(at) {
            sleep(20).await;
        }
        if let Err(error) = shared.cell.start(at) {
            shared.note(&format!("edge-{at} does not start: {error}"));
        }
        shared.note(&format!("edge-{at} starts again"));
        shared.end_disruption(disruption);
    };
    lab.executor.spawn(restart).detach();
}
