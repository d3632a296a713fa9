//! No worker is given more work than it can hold.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{TaskKey, WorkerId};
use daisymast_types::quantities::Resources;

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

#[derive(Default)]
struct Load {
    capacity: Resources,
    tasks: FastMap<TaskKey, Resources>,
}

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut loads: FastMap<WorkerId, Load> = FastMap::default();
    let mut found = Vec::new();
    for (at, seen) in &trace.seen {
        match seen {
            Seen::WorkerJoined { worker, capacity } => {
                loads.entry(worker.clone()).or_default().capacity = *capacity;
            }
            Seen::TaskStarted { worker, spec } => {
                let load = loads.entry(worker.clone()).or_default();
                load.tasks.insert(spec.key, spec.size);
                let used = load
                    .tasks
                    .values()
                    .fold(Resources::ZERO, |sum, size| sum + *size);
                if !used.fits_in(load.capacity) {
                    let detail = format!("{worker} holds {used:?} of {:?}", load.capacity);
                    found.push(Violation {
                        rule: "capacity",
                        at: *at,
                        detail,
                    });
                }
            }
            Seen::TaskEnded { worker, key, .. } => {
                loads.entry(worker.clone()).or_default().tasks.remove(key);
            }
            Seen::WorkerDied { worker } => {
                loads.entry(worker.clone()).or_default().tasks.clear();
            }
            _ => {}
        }
    }
    found
}
