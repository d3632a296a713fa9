//! Splits the quota of each team between its services and its other tasks.
//!
//! The part of the services follows from the manifest alone, so all zones agree on it without a
//! message, also while they are partitioned from each other.

use std::cmp::Reverse;

use daisymast_types::collections::FastMap;
use daisymast_types::ids::{JobName, Team};
use daisymast_types::quantities::Resources;

use crate::manifest::{Manifest, Service};

/// How the quotas of a manifest are split.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    services: FastMap<JobName, u32>,
    rest: FastMap<Team, Resources>,
}

/// Gives each team's quota to its services first, the most urgent first, then by name. The rest is
/// for the tasks of batches and gang jobs.
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
/// assert_eq!(split.replicas(&manifest.services[0]), 2);
/// let rest = split.rest(&ids::Team::from("desk"));
/// assert_eq!(rest, Some(Resources::new(1_000, 7_000, 0)));
/// # Ok::<(), daisymast_manifest::fault::Faults>(())
/// ```
pub fn split(manifest: &Manifest) -> Split {
    let mut split = Split::default();
    for team in &manifest.teams {
        split.rest.insert(team.name.clone(), team.quota);
    }
    let mut services: Vec<&Service> = manifest.services.iter().collect();
    services.sort_by_key(|service| (Reverse(service.urgency), &service.name));
    for service in services {
        let Some(rest) = split.rest.get_mut(&service.team) else {
            continue;
        };
        let count = times(*rest, service.size).min(service.replicas);
        *rest = rest.saturating_sub(multiple(service.size, count));
        split.services.insert(service.name.clone(), count);
    }
    split
}

impl Split {
    /// Replicas that the quota of the service's team allows, over all zones. A team without a declared
    /// quota has no limit.
    pub fn replicas(&self, service: &Service) -> u32 {
        let allowed = self.services.get(&service.name).copied();
        allowed.unwrap_or(service.replicas)
    }

    /// Most that the tasks of a team's batches and gang jobs may use; nothing if it has no quota.
    pub fn rest(&self, team: &Team) -> Option<Resources> {
        self.rest.get(team).copied()
    }
}

/// How many tasks of a size a quota holds.
pub fn times(quota: Resources, size: Resources) -> u32 {
    let one = |quota: u32, size: u32| quota.checked_div(size).unwrap_or(u32::MAX);
    one(quota.millicores, size.millicores)
        .min(one(quota.memory_mib, size.memory_mib))
        .min(one(quota.accelerators.into(), size.accelerators.into()))
}

/// The size of `count` tasks.
pub fn multiple(size: Resources, count: u32) -> Resources {
    let accelerators = u32::from(size.accelerators).saturating_mul(count);
    Resources::new(
        size.millicores.saturating_mul(count),
        size.memory_mib.saturating_mul(count),
        u16::try_from(accelerators).unwrap_or(u16::MAX),
    )
}
