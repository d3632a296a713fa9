//! Checks that an exclusive task never runs in more than one place at the same time.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{RunKey, TaskKey, WorkerId};

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut running: FastMap<(RunKey, u32), Vec<(WorkerId, TaskKey)>> = FastMap::default();
    let mut found = Vec::new();
    for (at, seen) in &trace.seen {
        match seen {
            Seen::TaskStarted { worker, spec } if spec.exclusive => {
                let places = running.entry((spec.key.run, spec.key.index)).or_default();
                places.push((worker.clone(), spec.key));
                if places.len() > 1 {
                    let detail =
                        format!("{} {} runs more than once: {places:?}", spec.job, spec.key);
                    found.push(Violation {
                        rule: "exclusive",
                        at: *at,
                        detail,
                    });
                }
            }
            Seen::TaskEnded { worker, key, .. } => {
                if let Some(places) = running.get_mut(&(key.run, key.index)) {
                    places.retain(|place| *place != (worker.clone(), *key));
                }
            }
            Seen::WorkerDied { worker } => {
                for places in running.values_mut() {
                    places.retain(|(place, _)| place != worker);
                }
            }
            _ => {}
        }
    }
    found
}
