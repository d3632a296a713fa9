//! Checks that the running tasks of a worker never exceed its capacity.

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{TaskKey, WorkerId};
use daisymast_types::quantities::Resources;

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

#[derive(Default)]
struct WorkerUsage {
    capacity: Resources,
    tasks: FastMap<TaskKey, Resources>,
}

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut usages: FastMap<WorkerId, WorkerUsage> = FastMap::default();
    let mut found = Vec::new();
    for (at, seen) in &trace.seen {
        match seen {
            Seen::WorkerJoined { worker, capacity } => {
                usages.entry(worker.clone()).or_default().capacity = *capacity;
            }
            Seen::TaskStarted { worker, spec } => {
                let usage = usages.entry(worker.clone()).or_default();
                usage.tasks.insert(spec.key, spec.size);
                let used = usage
                    .tasks
                    .values()
                    .fold(Resources::ZERO, |sum, size| sum + *size);
                if !used.fits_in(usage.capacity) {
                    let detail =
                        format!("{worker} uses {used:?}, capacity is {:?}", usage.capacity);
                    found.push(Violation {
                        rule: "capacity",
                        at: *at,
                        detail,
                    });
                }
            }
            Seen::TaskEnded { worker, key, .. } => {
                usages.entry(worker.clone()).or_default().tasks.remove(key);
            }
            Seen::WorkerDied { worker } => {
                usages.entry(worker.clone()).or_default().tasks.clear();
            }
            _ => {}
        }
    }
    found
}
