//! Splits the quota of each team between its services and the tasks of its other jobs.
//!
//! The share of the services depends only on the manifest, so all zones compute the same split
//! without communication, also during a network partition.

use std::cmp::Reverse;

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{JobName, Team};
use daisymast_types::quantities::Resources;

use crate::manifest::{Manifest, Service};

/// Split of the team quotas of a manifest between services and tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaSplit {
    /// Number of replicas that the quota allows, for services of teams with a quota.
    services: FastMap<JobName, u32>,
    /// Quota that remains for the tasks of batch and gang jobs.
    rest: FastMap<Team, Resources>,
}

/// Allocates each team's quota to its services first, in the order of decreasing urgency and then
/// of their names. What remains is for the tasks of batch and gang jobs.
///
/// ```
/// use daisymast_manifest::{parse, quota};
/// use daisymast_types::{ids, quantities::Resources};
/// let manifest = parse::parse(
///     r#"{"release": "r1",
///         "teams": [{"name": "desk", "quota": {"millicores": 5000, "memory_mib": 9000}}],
///         "services": [{"name": "quotes", "team": "desk", "replicas": 9,
///             "size": {"millicores": 2000, "memory_mib": 1000}}]}"#,
/// )?;
/// let split = quota::split(&manifest);
/// assert_eq!(split.allowed_replicas(&manifest.services[0]), 2);
/// let rest = split.task_quota(&ids::Team::from("desk"));
/// assert_eq!(rest, Some(Resources::new(1_000, 7_000, 0)));
/// # Ok::<(), daisymast_manifest::fault::Faults>(())
/// ```
pub fn split(manifest: &Manifest) -> QuotaSplit {
    let mut split = QuotaSplit::default();
    for team in &manifest.teams {
        split.rest.insert(team.name.clone(), team.quota);
    }
    let mut services: Vec<&Service> = manifest.services.iter().collect();
    services.sort_by_key(|service| (Reverse(service.urgency), &service.name));
    for service in services {
        let Some(rest) = split.rest.get_mut(&service.team) else {
            continue;
        };
        let count = tasks_that_fit(*rest, service.size).min(service.replicas);
        *rest = rest.saturating_sub(size_of_tasks(service.size, count));
        split.services.insert(service.name.clone(), count);
    }
    split
}

impl QuotaSplit {
    /// Number of replicas, over all zones, that the quota of the service's team allows. All
    /// replicas are allowed if the team has no declared quota.
    pub fn allowed_replicas(&self, service: &Service) -> u32 {
        let allowed = self.services.get(&service.name).copied();
        allowed.unwrap_or(service.replicas)
    }

    /// Quota for the tasks of a team's batch and gang jobs; `None` if the team has no declared
    /// quota.
    pub fn task_quota(&self, team: &Team) -> Option<Resources> {
        self.rest.get(team).copied()
    }
}

/// Returns the number of tasks of `size` that fit into `quota`. A resource of which the tasks need
/// none is no limit.
pub fn tasks_that_fit(quota: Resources, size: Resources) -> u32 {
    let one = |quota: u32, size: u32| quota.checked_div(size).unwrap_or(u32::MAX);
    one(quota.millicores, size.millicores)
        .min(one(quota.memory_mib, size.memory_mib))
        .min(one(quota.accelerators.into(), size.accelerators.into()))
}

/// Returns the total size of `count` tasks, saturating at the maximum of each resource.
pub fn size_of_tasks(size: Resources, count: u32) -> Resources {
    let accelerators = u32::from(size.accelerators).saturating_mul(count);
    Resources::new(
        size.millicores.saturating_mul(count),
        size.memory_mib.saturating_mul(count),
        u16::try_from(accelerators).unwrap_or(u16::MAX),
    )
}
