//! Case 14: a worker is lost for good while tasks start.

use std::sync::Arc;

use serde_json::json;

use crate::lab::{FINISH_MS, Lab, sleep};
use crate::world::lock;

/// Number of workers. Two of them are lost, under 14%.
pub const WORKERS: usize = 15;
/// Times of the losses after the start of the traffic.
const LOSSES_MS: [u64; 2] = [8_000, 30_000];
/// End of the traffic, right after the second loss.
const TRAFFIC_MS: u64 = 31_000;
/// Average time between two submissions.
const INTERVAL_MS: u64 = 20;
/// Three heartbeat intervals of 1.5 s, after which the entry of a silent worker is removed.
const ENTRY_MS: u64 = 4_500;

/// Returns whether the rules held.
pub async fn run(lab: &Arc<Lab>, trouble: bool) -> bool {
    let begun = lab.now();
    let mut losses = LOSSES_MS.iter().copied().peekable();
    while lab.now() - begun < TRAFFIC_MS {
        if losses.next_if(|&at| lab.now() - begun >= at).is_some() && trouble {
            lose_one(lab);
        }
        let caller = Arc::clone(lab);
        let submit = async move {
            let step = json!({"count": 1, "cpu": 1_000, "mem_mb": 256, "est_duration_ms": 400});
            caller.submit("quotes", step, json!({"ms": 400}), 0).await;
        };
        lab.executor.spawn(submit).detach();
        sleep(fastrand::u64(INTERVAL_MS / 2..INTERVAL_MS * 3 / 2)).await;
    }
    lab.note("the traffic ends");
    sleep(FINISH_MS).await;
    let unanswered = lab.ask_for_jobs().await;
    let unfinished = lab.unfinished();
    sleep(8_000).await;
    let standstills = lab.standstills();
    lab.note(&format!("{unanswered} accepted jobs get no answer, {unfinished} are not completed {FINISH_MS} ms after the end of the traffic"));
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

/// Loses the worker on which most runs.
fn lose_one(lab: &Arc<Lab>) {
    let busiest = {
        let world = lock(&lab.world);
        let alive = (0..WORKERS).filter(|&at| world.workers[at].alive);
        alive.max_by_key(|&at| world.workers[at].run_count())
    };
    let Some(at) = busiest else {
        return;
    };
    let disruption = lab.begin_disruption();
    lab.lose_worker(at, ENTRY_MS);
    lab.note(&format!("worker {at} is lost for good"));
    let shared = Arc::clone(lab);
    let end = async move {
        sleep(ENTRY_MS).await;
        shared.end_disruption(disruption);
    };
    lab.executor.spawn(end).detach();
}
