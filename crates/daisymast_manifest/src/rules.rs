//! Rules that the types of a manifest cannot express, one function each.

use std::fmt;

use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{JobName, Team, Zone};
use daisymast_types::quantities::Resources;

use crate::fault::Faults;
use crate::manifest::{Batch, GangJob, Service, TeamQuota};
use crate::parse::{Draft, Listed};

const MAX_TEAMS: usize = 200;
const MAX_SERVICES: usize = 1_000;
const MAX_BATCHES: usize = 2_000;
const MAX_GANG_JOBS: usize = 500;
const MAX_REPLICAS: u32 = 1_000;
const MAX_TASKS: u32 = 10_000;
const MAX_NAME: usize = 64;
/// Longest period, run time and deadline: 366 days, so that sums of them cannot overflow.
const MAX_SECONDS: u64 = 366 * 24 * 3_600;

/// Checks all rules.
pub(crate) fn check(draft: &Draft, faults: &mut Faults) {
    if let Some(release) = &draft.release {
        release_name(release.as_str(), faults);
    }
    count("teams", &draft.teams, MAX_TEAMS, faults);
    count("services", &draft.services, MAX_SERVICES, faults);
    count("batches", &draft.batches, MAX_BATCHES, faults);
    count("gang_jobs", &draft.gang_jobs, MAX_GANG_JOBS, faults);
    for (index, team) in &draft.teams.items {
        check_team(&format!("teams[{index}]"), team, faults);
    }
    for (index, service) in &draft.services.items {
        check_service(&format!("services[{index}]"), service, faults);
    }
    for (index, batch) in &draft.batches.items {
        check_batch(&format!("batches[{index}]"), batch, faults);
    }
    for (index, job) in &draft.gang_jobs.items {
        check_gang_job(&format!("gang_jobs[{index}]"), job, faults);
    }
    unique_teams(draft, faults);
    unique_jobs(draft, faults);
    known_teams(draft, faults);
}

fn check_team(path: &str, team: &TeamQuota, faults: &mut Faults) {
    name(&format!("{path}.name"), team.name.as_str(), faults);
    size(&format!("{path}.quota"), team.quota, faults);
}

fn check_service(path: &str, job: &Service, faults: &mut Faults) {
    name(&format!("{path}.name"), job.name.as_str(), faults);
    size(&format!("{path}.size"), job.size, faults);
    let replicas = u64::from(job.replicas);
    range(
        &format!("{path}.replicas"),
        replicas,
        1,
        u64::from(MAX_REPLICAS),
        faults,
    );
    zones(&format!("{path}.zones"), &job.zones, faults);
}

fn check_batch(path: &str, job: &Batch, faults: &mut Faults) {
    name(&format!("{path}.name"), job.name.as_str(), faults);
    size(&format!("{path}.size"), job.size, faults);
    range(
        &format!("{path}.tasks"),
        u64::from(job.tasks),
        1,
        u64::from(MAX_TASKS),
        faults,
    );
    range(
        &format!("{path}.every_s"),
        job.every_s,
        1,
        MAX_SECONDS,
        faults,
    );
    range(&format!("{path}.run_s"), job.run_s, 1, MAX_SECONDS, faults);
    if job.offset_s >= job.every_s.max(1) {
        let allowed = format!("must be below every_s, which is {}", job.every_s);
        faults.add(&format!("{path}.offset_s"), &job.offset_s, allowed);
    }
    // A run lasts at least as long as one of its tasks.
    let shortest = job.run_s.clamp(1, MAX_SECONDS);
    range(
        &format!("{path}.deadline_s"),
        job.deadline_s,
        shortest,
        MAX_SECONDS,
        faults,
    );
}

fn check_gang_job(path: &str, job: &GangJob, faults: &mut Faults) {
    name(&format!("{path}.name"), job.name.as_str(), faults);
    size(&format!("{path}.size"), job.size, faults);
    range(
        &format!("{path}.tasks"),
        u64::from(job.tasks),
        1,
        u64::from(MAX_TASKS),
        faults,
    );
    range(&format!("{path}.run_s"), job.run_s, 1, MAX_SECONDS, faults);
}

fn count<T>(path: &str, list: &Listed<T>, limit: usize, faults: &mut Faults) {
    if list.declared > limit {
        let allowed = format!("at most {limit} are allowed");
        faults.add(path, &format_args!("{} items", list.declared), allowed);
    }
}

/// Names become parts of log lines and paths of operators' tools, so their characters are few.
fn name(path: &str, text: &str, faults: &mut Faults) {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || text.len() > MAX_NAME || !text.chars().all(is_allowed) {
        let allowed = format!("a name has 1 to {MAX_NAME} characters of a-z, 0-9 and -");
        faults.add(path, &format_args!("{text:?}"), allowed);
    }
}

/// Pipelines name releases after versions and commits, which need more characters than job names.
fn release_name(text: &str, faults: &mut Faults) {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.+".contains(c);
    if text.is_empty() || text.len() > MAX_NAME || !text.chars().all(is_allowed) {
        let allowed = format!("a release has 1 to {MAX_NAME} characters of a-z, A-Z, 0-9 and -_.+");
        faults.add("release", &format_args!("{text:?}"), allowed);
    }
}

fn size(path: &str, size: Resources, faults: &mut Faults) {
    let least_one = "must be at least 1";
    if size.millicores == 0 {
        faults.add(&format!("{path}.millicores"), &0, least_one.to_owned());
    }
    if size.memory_mib == 0 {
        faults.add(&format!("{path}.memory_mib"), &0, least_one.to_owned());
    }
}

fn range(path: &str, value: u64, least: u64, most: u64, faults: &mut Faults) {
    if !(least..=most).contains(&value) {
        faults.add(path, &value, format!("must be from {least} to {most}"));
    }
}

fn zones(path: &str, zones: &[Zone], faults: &mut Faults) {
    let mut seen = FastSet::default();
    for (index, zone) in zones.iter().enumerate() {
        let text = zone.as_str();
        let path = format!("{path}[{index}]");
        if text.is_empty() || text.len() > MAX_NAME || text.chars().any(char::is_control) {
            let allowed = format!("a zone has 1 to {MAX_NAME} bytes without control characters");
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

fn unique_teams(draft: &Draft, faults: &mut Faults) {
    let mut seen: FastMap<&Team, usize> = FastMap::default();
    for (index, team) in &draft.teams.items {
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

/// Names are unique over jobs of all kinds, because operators retire a job by its name alone.
fn unique_jobs(draft: &Draft, faults: &mut Faults) {
    let mut seen: FastMap<&JobName, String> = FastMap::default();
    for (path, name, _) in jobs(draft) {
        if let Some(first) = seen.get(name) {
            let allowed = format!("must be unique, {first} has the same name");
            faults.add(&format!("{path}.name"), &quoted(name), allowed);
        } else {
            seen.insert(name, path);
        }
    }
}

/// Skipped where a team has a type fault, since its name may be the one that is missing.
fn known_teams(draft: &Draft, faults: &mut Faults) {
    if !draft.teams.is_complete() {
        return;
    }
    let known: FastSet<&Team> = draft
        .teams
        .items
        .iter()
        .map(|(_, team)| &team.name)
        .collect();
    for (path, _, team) in jobs(draft) {
        if !known.contains(team) {
            let allowed = "must be one of the declared teams".to_owned();
            faults.add(&format!("{path}.team"), &quoted(team), allowed);
        }
    }
}

/// Path, name and team of every well-typed job.
fn jobs(draft: &Draft) -> impl Iterator<Item = (String, &JobName, &Team)> {
    let services = draft.services.items.iter();
    let batches = draft.batches.items.iter();
    let gang_jobs = draft.gang_jobs.items.iter();
    services
        .map(|(index, job)| (format!("services[{index}]"), &job.name, &job.team))
        .chain(batches.map(|(index, job)| (format!("batches[{index}]"), &job.name, &job.team)))
        .chain(gang_jobs.map(|(index, job)| (format!("gang_jobs[{index}]"), &job.name, &job.team)))
}

fn quoted(name: &dyn fmt::Display) -> String {
    format!("\"{name}\"")
}
