//! Sessions of batches and gang jobs.

use daisymast_protocol::task::TaskState;
use daisymast_types::collections::FastSet;
use daisymast_types::ids::{Generation, JobName, TaskKey};

use crate::checkers::Violation;
use crate::session::{self, Session, requests};
use crate::trace::Seen;
use crate::world::{InstanceProcess, World};

pub(super) fn sessions() -> Vec<Session> {
    vec![
        Session {
            name: "exclusive batch run",
            periodic: false,
            window_ms: 8_000,
            settle_ms: session::JOBS_SETTLE_MS,
            action: |world| {
                let text = session::manifest("r2", SURVEY, "");
                session::submit(world, "austin-e1", 1, text);
            },
            final_check: |world| check_tasks_succeeded(world, "route-survey", 3),
        },
        Session {
            name: "gang job",
            periodic: false,
            window_ms: 8_000,
            settle_ms: session::JOBS_SETTLE_MS,
            action: |world| {
                let text = session::manifest("r2", "", RECONCILIATION);
                session::submit(world, "temple-e1", 1, text);
            },
            final_check: |world| check_tasks_succeeded(world, "reconciliation", 4),
        },
        Session {
            name: "batch retired while it runs",
            periodic: false,
            window_ms: 4_000,
            settle_ms: session::JOBS_SETTLE_MS,
            action: |world| {
                let text = session::manifest("r2", LONG_SURVEY, "");
                session::submit(world, "austin-e1", 1, text);
                world.run_for(4_000);
                let text = session::manifest("r3", "", "");
                session::submit(world, "waco-e1", 2, text);
            },
            final_check: check_retirement,
        },
    ]
}

/// Three exclusive tasks of 4 s each. The period is one day, so a session has one run.
const SURVEY: &str = r#"{"name":"route-survey","team":"crews","every_s":86400,"tasks":3,
    "size":{"millicores":4000,"memory_mib":4096},"exclusive":true,"run_s":4,"deadline_s":86400}"#;

/// Exclusive tasks that run for longer than the session.
const LONG_SURVEY: &str = r#"{"name":"route-survey","team":"crews","every_s":86400,"tasks":3,
    "size":{"millicores":4000,"memory_mib":4096},"exclusive":true,"run_s":3600,"deadline_s":86400}"#;

/// Gang job of four tasks, which start together.
const RECONCILIATION: &str = r#"{"name":"reconciliation","team":"crews","tasks":4,
    "size":{"millicores":8000,"memory_mib":4096},"exclusive":true,"run_s":4}"#;

/// Whether the generation is in force on any instance. Under a fault, the submission of its
/// manifest can fail.
fn is_in_force(world: &World, generation: Generation) -> bool {
    world.instances().iter().any(|id| {
        world
            .node(id)
            .is_some_and(|node| node.generation() >= generation)
    })
}

/// Checks that all tasks of the job succeeded, if its manifest was accepted.
fn check_tasks_succeeded(world: &mut World, job: &str, tasks: u32) -> Vec<Violation> {
    let mut found = requests::check_recovery(world);
    if !is_in_force(world, Generation(2)) {
        return found;
    }
    let job = JobName::from(job);
    let mut started: FastSet<TaskKey> = FastSet::default();
    let mut done: FastSet<u32> = FastSet::default();
    for (_, seen) in &world.trace.seen {
        match seen {
            Seen::TaskStarted { spec, .. } if spec.job == job => {
                started.insert(spec.key);
            }
            Seen::TaskEnded {
                key,
                state: TaskState::Succeeded,
                ..
            } if started.contains(key) => {
                done.insert(key.index);
            }
            _ => {}
        }
    }
    if done.len() != tasks as usize {
        let detail = format!("job {job}: {} of {tasks} tasks succeeded", done.len());
        found.push(session::violation(world, "runs in full", detail));
    }
    found
}

/// Checks that a manifest without the job comes into force after the faults. The checkers then
/// report tasks of the removed job that still run.
fn check_retirement(world: &mut World) -> Vec<Violation> {
    let mut found = requests::check_recovery(world);
    // Deployment pipelines resubmit a manifest if the submission conflicted or failed.
    let current = world
        .instances()
        .iter()
        .filter_map(|id| world.node(id))
        .map(InstanceProcess::generation)
        .max();
    let Some(current) = current else { return found };
    let text = session::manifest("r3", "", "");
    session::submit(world, "temple-e2", current.0, text);
    world.run_for(5_000);
    if !is_in_force(world, current.next()) {
        let detail = format!(
            "generation {} was not accepted after the faults",
            current.next()
        );
        found.push(session::violation(world, "recovers", detail));
    }
    world.accepted(current.next(), session::declared_jobs(&[]));
    world.run_for(25_000);
    found
}
