//! Tests of the example deployments, which operators use as templates. They guard against example
//! files that no longer parse or are inconsistent with each other.

use std::collections::BTreeSet;
use std::path::PathBuf;

use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::parse;
use daisymast_protocol::store::MemberId;
use daisymast_settings::entry::EntrySettings;
use daisymast_settings::{entry, operator};
use daisymast_types::quantities::Resources;

const INSTANCES: usize = 8;
const WORKERS: usize = 50;
const WORKERS_PER_RACK: usize = 8;

fn read(deployment: &str, file: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let path = root.join(deployment).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn entries(deployment: &str) -> Vec<EntrySettings> {
    (1..=INSTANCES)
        .map(|number| {
            let text = read(deployment, &format!("entry-{number}.json"));
            entry::parse(&text).unwrap_or_else(|faults| panic!("{faults}"))
        })
        .collect()
}

fn manifest(deployment: &str) -> Manifest {
    parse::parse(&read(deployment, "manifest.json")).unwrap_or_else(|faults| panic!("{faults}"))
}

/// Checks that the files of one deployment are consistent. `zones` maps each availability zone to
/// the settings file of its workers; `memory_mib` is the memory of a worker.
fn check_deployment(deployment: &str, zones: [(&str, &str); 3], memory_mib: u32) {
    let entries = entries(deployment);
    let names: BTreeSet<&str> = zones.iter().map(|(zone, _)| *zone).collect();
    let in_zones: BTreeSet<&str> = entries.iter().map(|entry| entry.zone.as_str()).collect();
    assert_eq!(in_zones, names);
    for entry in &entries {
        assert_eq!(entry.seeds, entries[0].seeds, "{}", entry.instance);
        let own = entry
            .seeds
            .iter()
            .find(|seed| seed.instance == entry.instance);
        let own = own.expect("an instance among the seeds");
        assert_eq!((&own.zone, own.address), (&entry.zone, entry.listen.peers));
        assert!(entry.workers.iter().all(|worker| worker.zone == entry.zone));
    }
    check_workers(deployment, zones, memory_mib, &entries);
    let commands = operator::parse(&read(deployment, "operator.json"));
    let commands = commands.unwrap_or_else(|faults| panic!("{faults}"));
    let operators: Vec<_> = entries.iter().map(|entry| entry.listen.operators).collect();
    let callers: Vec<_> = entries.iter().map(|entry| entry.listen.callers).collect();
    assert_eq!((commands.operators, commands.callers), (operators, callers));
    assert_eq!(commands.operator_key, entries[0].operator_key);
}

fn check_workers(
    deployment: &str,
    zones: [(&str, &str); 3],
    memory_mib: u32,
    entries: &[EntrySettings],
) {
    let platform = read(deployment, "platform.json");
    let platform = daisymast_platform::settings::Settings::parse(&platform).expect("a platform");
    assert!(
        entries
            .iter()
            .all(|entry| entry.platform == platform.listen)
    );
    let mut total = 0;
    for (zone, file) in zones {
        let text = read(deployment, file);
        let workers = daisymast_worker::settings::Settings::parse(&text).expect("workers");
        let size = Resources::new(32_000, memory_mib, 0);
        assert_eq!(workers.worker.capacity, size);
        assert_eq!((workers.worker.slots, workers.worker.connections), (8, 60));
        let entry = entries.iter().find(|entry| entry.zone.as_str() == zone);
        let known = &entry.expect("an instance of the zone").workers;
        assert_eq!(known.len(), usize::from(workers.count));
        for (index, worker) in (0..workers.count).zip(known) {
            assert_eq!(worker.worker.as_str(), workers.worker_name(index));
            assert_eq!(Some(worker.address), workers.address(index));
            let who = MemberId::Worker(worker.worker.clone(), worker.rack.clone());
            let listed = platform.members.iter().find(|member| member.who == who);
            assert_eq!(
                listed.expect("a listed worker").address,
                worker.address.to_string()
            );
        }
        let racks: BTreeSet<_> = known.iter().map(|worker| &worker.rack).collect();
        assert_eq!(racks.len(), known.len().div_ceil(WORKERS_PER_RACK));
        total += known.len();
    }
    assert_eq!(total, WORKERS);
    assert_eq!(platform.members.len(), WORKERS + INSTANCES);
}

fn has_jobs(manifest: &Manifest, names: &[&str]) -> bool {
    names.iter().all(|name| manifest.declares(&(*name).into()))
}

/// Guards against inconsistent files or missing jobs in the `lone-star` example.
#[test]
fn lone_star_deployment_is_consistent() {
    let zones = [
        ("Austin", "workers-austin.json"),
        ("Waco", "workers-waco.json"),
        ("Temple", "workers-temple.json"),
    ];
    check_deployment("lone-star", zones, 128 * 1024);
    let manifest = manifest("lone-star");
    assert!(has_jobs(
        &manifest,
        &["quote-lookup", "invoices", "route-survey"]
    ));
}

/// Guards against inconsistent files or missing jobs in the `trust` example.
#[test]
fn trust_deployment_is_consistent() {
    let zones = [
        ("Klein Windhoek", "workers-klein-windhoek.json"),
        ("Olympia", "workers-olympia.json"),
        ("Eros", "workers-eros.json"),
    ];
    check_deployment("trust", zones, 64 * 1024);
    let manifest = manifest("trust");
    let jobs = [
        "service-charge-reconciliation",
        "visitor-log",
        "parcel-log",
        "booking-confirmation",
    ];
    assert!(has_jobs(&manifest, &jobs));
}

/// Guards against a task that can never run because it exceeds a worker or the quota of its team.
#[test]
fn every_task_fits_a_worker_and_its_quota() {
    for (deployment, memory_mib) in [("lone-star", 128 * 1024), ("trust", 64 * 1024)] {
        let manifest = manifest(deployment);
        let worker = Resources::new(32_000, memory_mib, 0);
        let services = manifest
            .services
            .iter()
            .map(|job| (&job.team, job.size, job.replicas));
        let batches = manifest.batches.iter().map(|job| (&job.team, job.size, 1));
        let gangs = manifest
            .gang_jobs
            .iter()
            .map(|job| (&job.team, job.size, job.tasks));
        for (team, size, at_once) in services.chain(batches).chain(gangs) {
            assert!(size.fits_in(worker), "{deployment}: {size:?}");
            let quota = manifest.teams.iter().find(|known| known.name == *team);
            let quota = quota.expect("a declared team").quota;
            assert!(
                size.millicores * at_once <= quota.millicores,
                "{deployment}: {size:?}"
            );
            assert!(
                size.memory_mib * at_once <= quota.memory_mib,
                "{deployment}: {size:?}"
            );
        }
    }
}
