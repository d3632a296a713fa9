//! Checks that an instance never returns to an older generation of the configuration, that the
//! newest generation comes into force on all instances, and that tasks of removed jobs stop.

use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{Generation, InstanceId, JobName, TaskKey, WorkerId};

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

/// Times from which the liveness rules apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Virtual time in milliseconds by which all faults have ended and the system has had time to
    /// recover. From then on the newest generation must be in force on all instances and no
    /// undeclared task may run. Zero disables the liveness rules.
    pub settled_ms: u64,
}

pub(crate) fn check(trace: &Trace, bounds: &Bounds) -> Vec<Violation> {
    let mut found = check_no_revert(trace);
    if bounds.settled_ms > 0 {
        found.extend(check_newest_in_force(trace, bounds.settled_ms));
        found.extend(check_undeclared_tasks(trace, bounds.settled_ms));
    }
    found
}

fn check_no_revert(trace: &Trace) -> Vec<Violation> {
    let mut in_force: FastMap<InstanceId, Generation> = FastMap::default();
    let mut found = Vec::new();
    for (at, seen) in &trace.seen {
        match seen {
            Seen::InstanceRestarted { instance } => {
                in_force.remove(instance);
            }
            Seen::InForce {
                instance,
                generation,
            } => {
                let before = in_force
                    .insert(instance.clone(), *generation)
                    .unwrap_or_default();
                if *generation < before {
                    let detail =
                        format!("{instance} went back from generation {before} to {generation}");
                    found.push(Violation {
                        rule: "no revert",
                        at: *at,
                        detail,
                    });
                }
            }
            _ => {}
        }
    }
    found
}

/// Reports instances on which the newest accepted generation is not in force at `settled`.
fn check_newest_in_force(trace: &Trace, settled: u64) -> Vec<Violation> {
    let mut newest = Generation::default();
    let mut in_force: FastMap<InstanceId, Generation> = FastMap::default();
    for (_, seen) in trace.seen.iter().filter(|(at, _)| *at <= settled) {
        match seen {
            Seen::Accepted { generation, .. } => newest = newest.max(*generation),
            Seen::InstanceRestarted { instance } => {
                in_force.insert(instance.clone(), Generation::default());
            }
            Seen::Drained { instance } => {
                in_force.remove(instance);
            }
            Seen::InForce {
                instance,
                generation,
            } => {
                in_force.insert(instance.clone(), *generation);
            }
            _ => {}
        }
    }
    in_force
        .iter()
        .filter(|(_, generation)| **generation < newest)
        .map(|(instance, generation)| Violation {
            rule: "in force",
            at: settled,
            detail: format!("{instance} has generation {generation}, newest accepted is {newest}"),
        })
        .collect()
}

/// Reports tasks that run at `settled` although the newest manifest does not declare their job.
fn check_undeclared_tasks(trace: &Trace, settled: u64) -> Vec<Violation> {
    let mut newest = Generation::default();
    let mut declared: Option<FastSet<JobName>> = None;
    let mut running: FastMap<(WorkerId, TaskKey), JobName> = FastMap::default();
    for (_, seen) in trace.seen.iter().filter(|(at, _)| *at <= settled) {
        match seen {
            Seen::Accepted {
                generation,
                declared: names,
            } if *generation >= newest => {
                newest = *generation;
                declared = Some(names.iter().cloned().collect());
            }
            Seen::TaskStarted { worker, spec } => {
                running.insert((worker.clone(), spec.key), spec.job.clone());
            }
            Seen::TaskEnded { worker, key, .. } => {
                running.remove(&(worker.clone(), *key));
            }
            Seen::WorkerDied { worker } => running.retain(|(place, _), _| place != worker),
            _ => {}
        }
    }
    let Some(declared) = declared else {
        return Vec::new();
    };
    running
        .iter()
        .filter(|(_, job)| !declared.contains(*job))
        .map(|((worker, key), job)| Violation {
            rule: "undeclared stops",
            at: settled,
            detail: format!("{job} {key} still runs on {worker}"),
        })
        .collect()
}
