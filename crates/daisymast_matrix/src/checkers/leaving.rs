//! Checks that a leaving endpoint receives no new work after a few seconds.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::WorkerId;

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

/// Time after which a leaving worker must not receive new work, in milliseconds. The requirement
/// says "a few seconds".
const LEAVING_BOUND_MS: u64 = 3_000;

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut leaving: FastMap<WorkerId, u64> = FastMap::default();
    let mut found = Vec::new();
    for (at, seen) in &trace.seen {
        let started = match seen {
            Seen::WorkerLeaving { worker } => {
                leaving.entry(worker.clone()).or_insert(*at);
                continue;
            }
            Seen::TaskStarted { worker, .. } | Seen::RequestStarted { worker, .. } => worker,
            _ => continue,
        };
        if let Some(since) = leaving.get(started)
            && at - since > LEAVING_BOUND_MS
        {
            let detail = format!("{started} received work, but has been leaving since {since} ms");
            found.push(Violation {
                rule: "leaving",
                at: *at,
                detail,
            });
        }
    }
    found
}
