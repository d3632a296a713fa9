//! Validation rules that the types of a manifest cannot express.

use std::fmt;

use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{JobName, Team, Zone};
use daisymast_types::quantities::Resources;

use crate::fault::Faults;
use crate::manifest::{Batch, GangJob, Service, TeamQuota};
use crate::parse::{UncheckedManifest, WellTyped};

const MAX_TEAMS: usize = 200;
const MAX_SERVICES: usize = 1_000;
const MAX_BATCHES: usize = 2_000;
const MAX_GANG_JOBS: usize = 500;
const MAX_REPLICAS: u32 = 1_000;
const MAX_TASKS: u32 = 10_000;
const MAX_NAME_BYTES: usize = 64;
/// Maximum interval, run time and deadline: 366 days, so that sums of them cannot overflow.
const MAX_SECONDS: u64 = 366 * 24 * 3_600;

/// Checks all rules and adds a fault for each violation.
pub(crate) fn check(unchecked: &UncheckedManifest, faults: &mut Faults) {
    if let Some(release) = &unchecked.release {
        check_release(release.as_str(), faults);
    }
    check_count("teams", &unchecked.teams, MAX_TEAMS, faults);
    check_count("services", &unchecked.services, MAX_SERVICES, faults);
    check_count("batches", &unchecked.batches, MAX_BATCHES, faults);
    check_count("gang_jobs", &unchecked.gang_jobs, MAX_GANG_JOBS, faults);
    for (index, team) in &unchecked.teams.items {
        check_team(&format!("teams[{index}]"), team, faults);
    }
    for (index, service) in &unchecked.services.items {
        check_service(&format!("services[{index}]"), service, faults);
    }
    for (index, batch) in &unchecked.batches.items {
        check_batch(&format!("batches[{index}]"), batch, faults);
    }
    for (index, job) in &unchecked.gang_jobs.items {
        check_gang_job(&format!("gang_jobs[{index}]"), job, faults);
    }
    check_unique_teams(unchecked, faults);
    check_unique_jobs(unchecked, faults);
    check_known_teams(unchecked, faults);
}

fn check_team(path: &str, team: &TeamQuota, faults: &mut Faults) {
    check_name(&format!("{path}.name"), team.name.as_str(), faults);
    check_size(&format!("{path}.quota"), team.quota, faults);
}

fn check_service(path: &str, job: &Service, faults: &mut Faults) {
    check_name(&format!("{path}.name"), job.name.as_str(), faults);
    check_size(&format!("{path}.size"), job.size, faults);
    let replicas = u64::from(job.replicas);
    check_range(
        &format!("{path}.replicas"),
        replicas,
        1,
        u64::from(MAX_REPLICAS),
        faults,
    );
    check_zones(&format!("{path}.zones"), &job.zones, faults);
}

fn check_batch(path: &str, job: &Batch, faults: &mut Faults) {
    check_name(&format!("{path}.name"), job.name.as_str(), faults);
    check_size(&format!("{path}.size"), job.size, faults);
    check_range(
        &format!("{path}.tasks"),
        u64::from(job.tasks),
        1,
        u64::from(MAX_TASKS),
        faults,
    );
    check_range(
        &format!("{path}.every_s"),
        job.every_s,
        1,
        MAX_SECONDS,
        faults,
    );
    check_range(&format!("{path}.run_s"), job.run_s, 1, MAX_SECONDS, faults);
    if job.offset_s >= job.every_s.max(1) {
        let allowed = format!("must be below every_s, which is {}", job.every_s);
        faults.add(&format!("{path}.offset_s"), &job.offset_s, allowed);
    }
    // A run takes at least as long as one of its tasks.
    let shortest = job.run_s.clamp(1, MAX_SECONDS);
    check_range(
        &format!("{path}.deadline_s"),
        job.deadline_s,
        shortest,
        MAX_SECONDS,
        faults,
    );
}

fn check_gang_job(path: &str, job: &GangJob, faults: &mut Faults) {
    check_name(&format!("{path}.name"), job.name.as_str(), faults);
    check_size(&format!("{path}.size"), job.size, faults);
    check_range(
        &format!("{path}.tasks"),
        u64::from(job.tasks),
        1,
        u64::from(MAX_TASKS),
        faults,
    );
    check_range(&format!("{path}.run_s"), job.run_s, 1, MAX_SECONDS, faults);
}

fn check_count<T>(path: &str, list: &WellTyped<T>, limit: usize, faults: &mut Faults) {
    if list.declared > limit {
        let allowed = format!("at most {limit} are allowed");
        faults.add(path, &format_args!("{} items", list.declared), allowed);
    }
}

/// Names appear in log lines and in paths of operators' tools, so their character set is
/// restricted.
fn check_name(path: &str, text: &str, faults: &mut Faults) {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        let allowed = format!("a name has 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and -");
        faults.add(path, &format_args!("{text:?}"), allowed);
    }
}

/// Release names contain versions and commit ids, so they allow more characters than job names.
fn check_release(text: &str, faults: &mut Faults) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.+".contains(c);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(is_allowed) {
        let allowed =
            format!("a release has 1 to {MAX_NAME_BYTES} characters of a-z, A-Z, 0-9 and -_.+");
        faults.add("release", &format_args!("{text:?}"), allowed);
    }
}

fn check_size(path: &str, size: Resources, faults: &mut Faults) {
    let at_least_one = "must be at least 1";
    if size.millicores == 0 {
        faults.add(&format!("{path}.millicores"), &0, at_least_one.to_owned());
    }
    if size.memory_mib == 0 {
        faults.add(&format!("{path}.memory_mib"), &0, at_least_one.to_owned());
    }
}

fn check_range(path: &str, value: u64, min: u64, max: u64, faults: &mut Faults) {
    if !(min..=max).contains(&value) {
        faults.add(path, &value, format!("must be from {min} to {max}"));
    }
}

fn check_zones(path: &str, zones: &[Zone], faults: &mut Faults) {
    let mut seen = FastSet::default();
    for (index, zone) in zones.iter().enumerate() {
        let text = zone.as_str();
        let path = format!("{path}[{index}]");
        if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
            let allowed =
                format!("a zone has 1 to {MAX_NAME_BYTES} bytes without control characters");
            faults.add(&path, &format_args!("{text:?}"), allowed);
        }
        if !seen.insert(text) {
            faults.add(
                &path,
                &format_args!("{text:?}"),
                "is listed twice".to_owned(),
            );
        }
    }
}

fn check_unique_teams(unchecked: &UncheckedManifest, faults: &mut Faults) {
    let mut seen: FastMap<&Team, usize> = FastMap::default();
    for (index, team) in &unchecked.teams.items {
        if let Some(first) = seen.insert(&team.name, *index) {
            let allowed = format!("must be unique, teams[{first}] has the same name");
            faults.add(
                &format!("teams[{index}].name"),
                &quoted(&team.name),
                allowed,
            );
        }
    }
}

/// Names are unique over all kinds of jobs, because operators retire a job by its name alone.
fn check_unique_jobs(unchecked: &UncheckedManifest, faults: &mut Faults) {
    let mut seen: FastMap<&JobName, String> = FastMap::default();
    for (path, name, _) in jobs(unchecked) {
        if let Some(first) = seen.get(name) {
            let allowed = format!("must be unique, {first} has the same name");
            faults.add(&format!("{path}.name"), &quoted(name), allowed);
        } else {
            seen.insert(name, path);
        }
    }
}

/// Skipped if a team has a type fault, since the missing team may be the one that a job names.
fn check_known_teams(unchecked: &UncheckedManifest, faults: &mut Faults) {
    if !unchecked.teams.is_complete() {
        return;
    }
    let known: FastSet<&Team> = unchecked
        .teams
        .items
        .iter()
        .map(|(_, team)| &team.name)
        .collect();
    for (path, _, team) in jobs(unchecked) {
        if !known.contains(team) {
            let allowed = "must be one of the declared teams".to_owned();
            faults.add(&format!("{path}.team"), &quoted(team), allowed);
        }
    }
}

/// Iterates over path, name and team of every job without a type fault.
fn jobs(unchecked: &UncheckedManifest) -> impl Iterator<Item = (String, &JobName, &Team)> {
    let services = unchecked.services.items.iter();
    let batches = unchecked.batches.items.iter();
    let gang_jobs = unchecked.gang_jobs.items.iter();
    services
        .map(|(index, job)| (format!("services[{index}]"), &job.name, &job.team))
        .chain(batches.map(|(index, job)| (format!("batches[{index}]"), &job.name, &job.team)))
        .chain(gang_jobs.map(|(index, job)| (format!("gang_jobs[{index}]"), &job.name, &job.team)))
}

fn quoted(name: &dyn fmt::Display) -> String {
    format!("\"{name}\"")
}
