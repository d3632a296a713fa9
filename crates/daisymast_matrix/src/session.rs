//! The sessions of the matrix: what is done, and what must be true at the end.

mod jobs;
mod leases;
mod manifests;
mod requests;

use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_types::ids::{Generation, InstanceId, JobName};

use crate::checkers::Violation;
use crate::world::{Layout, World};

/// A session: an action on a settled system, and the messages that follow from it.
#[derive(Clone, Copy)]
pub struct Session {
    /// Name, for reports and golden files.
    pub name: &'static str,
    /// Whether heartbeats and renewals count as steps.
    pub periodic: bool,
    /// Time during which steps are counted, in milliseconds.
    pub window_ms: u64,
    /// Time between the end of the counted steps and the final checks, in milliseconds. Longer than
    /// what is left of an outage with the time to recover from it.
    pub settle_ms: u64,
    /// What is done.
    pub action: fn(&mut World),
    /// What must be true once all faults are over. Safety is checked by the checkers; this makes
    /// sure that safety is not bought by doing nothing.
    pub final_check: fn(&mut World) -> Vec<Violation>,
}

/// All sessions.
pub fn all() -> Vec<Session> {
    let mut sessions = requests::sessions();
    sessions.extend(jobs::sessions());
    sessions.extend(manifests::sessions());
    sessions.extend(leases::sessions());
    sessions
}

/// Services that are declared in every session.
const SERVICES: &str = r#"{"name":"quotes","team":"crews","urgency":"urgent","replicas":6,
      "size":{"millicores":2000,"memory_mib":2048}},
     {"name":"invoices","team":"crews","replicas":6,
      "size":{"millicores":2000,"memory_mib":2048}}"#;

/// Time to settle after an outage of 8 s: leases move within 5 s and the configuration spreads within
/// 5 s.
const SETTLE_MS: u64 = 18_000;
/// Time to settle with exclusive tasks, which start again 15 s after the last contact at the latest.
const JOBS_SETTLE_MS: u64 = 35_000;

/// Time for a fresh system to elect owners, take leases and start all replicas, in milliseconds.
const WARM_UP_MS: u64 = 15_000;

/// A manifest with the services of every session and the given batches and gang jobs.
fn manifest(release: &str, batches: &str, gang_jobs: &str) -> String {
    format!(
        r#"{{"release":"{release}",
    "teams":[{{"name":"crews","quota":{{"millicores":4000000,"memory_mib":16000000,"accelerators":64}}}}],
    "services":[{SERVICES}],"batches":[{batches}],"gang_jobs":[{gang_jobs}]}}"#
    )
}

/// Names that such a manifest declares.
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

/// A system in which the services run and nothing else happens.
///
/// # Panics
///
/// If the first manifest is not accepted or its replicas do not start, which is a fault of the
/// system and not of a session.
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

/// Submits a manifest at an instance; it must be accepted once the faults are over.
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
