//! The sessions of the matrix, each with its action and the check of its final state.

mod jobs;
mod leases;
mod manifests;
mod requests;

use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_types::ids::{Generation, InstanceId, JobName};

use crate::checkers::Violation;
use crate::world::{Layout, World};

/// A test scenario: an action on a settled system, and the messages that result from it.
#[derive(Clone, Copy)]
pub struct Session {
    /// Name in reports and of the golden file.
    pub name: &'static str,
    /// Whether periodic messages, such as heartbeats and lease renewals, count as steps.
    pub periodic: bool,
    /// Duration in which steps are counted, in milliseconds.
    pub window_ms: u64,
    /// Time between the end of the window and the final check, in milliseconds. Must cover the rest
    /// of an outage and the recovery from it.
    pub settle_ms: u64,
    /// Starts the session, for example by a request or a crash.
    pub action: fn(&mut World),
    /// Checks that the system works again after all faults have ended. Without this liveness check,
    /// a system that does nothing would pass the safety checks.
    pub final_check: fn(&mut World) -> Vec<Violation>,
}

/// All sessions of the matrix; their order determines the order of the cells.
pub fn all() -> Vec<Session> {
    let mut sessions = requests::sessions();
    sessions.extend(jobs::sessions());
    sessions.extend(manifests::sessions());
    sessions.extend(leases::sessions());
    sessions
}

/// Services that the manifest of every session declares.
const SERVICES: &str = r#"{"name":"quotes","team":"crews","urgency":"urgent","replicas":6,
      "size":{"millicores":2000,"memory_mib":2048}},
     {"name":"invoices","team":"crews","replicas":6,
      "size":{"millicores":2000,"memory_mib":2048}}"#;

/// Settle time in milliseconds: 8 s for an outage, up to 5 s until its leases are taken over, and
/// up to 5 s until the configuration is in force on all instances.
const SETTLE_MS: u64 = 18_000;
/// Settle time of sessions with exclusive tasks, in milliseconds. These tasks are restarted at most
/// 15 s after the last contact.
const JOBS_SETTLE_MS: u64 = 35_000;

/// Time in which a new system elects partition owners, acquires leases and starts all replicas, in
/// milliseconds.
const WARM_UP_MS: u64 = 15_000;

/// Manifest with the common services and the given batches and gang jobs, in JSON.
fn manifest(release: &str, batches: &str, gang_jobs: &str) -> String {
    format!(
        r#"{{"release":"{release}",
    "teams":[{{"name":"crews","quota":{{"millicores":4000000,"memory_mib":16000000,"accelerators":64}}}}],
    "services":[{SERVICES}],"batches":[{batches}],"gang_jobs":[{gang_jobs}]}}"#
    )
}

/// Names of the common services and the `extra` jobs, as declared by [`manifest`].
fn declared_jobs(extra: &[&str]) -> Vec<JobName> {
    ["quotes", "invoices"]
        .iter()
        .chain(extra)
        .copied()
        .map(JobName::from)
        .collect()
}

fn instance(name: &str) -> InstanceId {
    InstanceId::from(name)
}

/// A system in which all replicas of the services run and no other operation is in progress.
///
/// # Panics
///
/// If the first manifest is not accepted. No session can run then, so this is not reported as a
/// violation.
pub fn settled_world() -> World {
    let mut world = World::new(Layout::default());
    world.run_for(6_000);
    let first = instance("austin-e1");
    let request = OperatorRequest::Submit {
        expected: Generation(0),
        manifest: manifest("r1", "", ""),
    };
    let token = world.operate(&first, request);
    world.run_for(2_000);
    let reply = world.operator_reply(&first, token);
    assert_eq!(
        reply,
        Some(&OperatorReply::Accepted {
            generation: Generation(1)
        })
    );
    world.accepted(Generation(1), declared_jobs(&[]));
    world.run_for(WARM_UP_MS);
    world
}

/// Submits a manifest through the instance `at`. Under a fault, the submission can fail.
fn submit(world: &mut World, at: &str, expected: u64, manifest: String) {
    let request = OperatorRequest::Submit {
        expected: Generation(expected),
        manifest,
    };
    world.operate(&instance(at), request);
}

fn violation(world: &World, rule: &'static str, detail: String) -> Violation {
    Violation {
        rule,
        at: world.now(),
        detail,
    }
}
