//! What a release declares.

use daisymast_types::ids::{JobName, Release, RunKey, Team, Zone};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::{hashing, time};
use serde::{Deserialize, Serialize};

/// All that should exist while a release is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Release that the manifest was generated from.
    pub release: Release,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamQuota>,
    /// Long-lived services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Recurring batches.
    #[serde(default)]
    pub batches: Vec<Batch>,
    /// Jobs that need all their tasks at once.
    #[serde(default)]
    pub gang_jobs: Vec<GangJob>,
}

/// A team and the most that its tasks may use together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// Team.
    pub name: Team,
    /// Most that its running tasks may use.
    pub quota: Resources,
}

/// A long-lived service whose replicas take requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique over all jobs of the manifest.
    pub name: JobName,
    /// Team that pays.
    pub team: Team,
    /// Urgency of its requests and replicas.
    #[serde(default)]
    pub urgency: Urgency,
    /// Replicas over all zones.
    pub replicas: u32,
    /// Size of a replica.
    pub size: Resources,
    /// Zones to run in; all zones if empty.
    #[serde(default)]
    pub zones: Vec<Zone>,
}

/// A batch that runs again and again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Name, unique over all jobs of the manifest.
    pub name: JobName,
    /// Team that pays.
    pub team: Team,
    /// Urgency of its tasks.
    #[serde(default)]
    pub urgency: Urgency,
    /// Seconds between two due times.
    pub every_s: u64,
    /// Seconds from the Unix epoch to a due time, below `every_s`.
    #[serde(default)]
    pub offset_s: u64,
    /// Tasks of a run.
    pub tasks: u32,
    /// Size of a task.
    pub size: Resources,
    /// Whether a task may never run in two places at once.
    #[serde(default)]
    pub exclusive: bool,
    /// Expected run time of a task in seconds.
    pub run_s: u64,
    /// Seconds from the due time to the time by which the run should be done.
    pub deadline_s: u64,
}

/// A job that needs all its tasks at once. It runs once for each distinct declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangJob {
    /// Name, unique over all jobs of the manifest.
    pub name: JobName,
    /// Team that pays.
    pub team: Team,
    /// Urgency of its tasks.
    #[serde(default)]
    pub urgency: Urgency,
    /// Tasks, all of which start together or not at all.
    pub tasks: u32,
    /// Size of a task.
    pub size: Resources,
    /// Whether a task may never run in two places at once.
    #[serde(default)]
    pub exclusive: bool,
    /// Expected run time of a task in seconds.
    pub run_s: u64,
    /// Raised by an operator to run the same job again.
    #[serde(default)]
    pub revision: u32,
}

impl Manifest {
    /// The service of that name.
    pub fn service(&self, name: &JobName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Whether the manifest declares a job of any kind with that name.
    pub fn declares(&self, name: &JobName) -> bool {
        self.services.iter().any(|job| job.name == *name)
            || self.batches.iter().any(|job| job.name == *name)
            || self.gang_jobs.iter().any(|job| job.name == *name)
    }
}

/// Key of the run of a batch that was due at `due`.
///
/// ```
/// use daisymast_manifest::manifest;
/// use daisymast_types::{ids, time};
/// let survey = ids::JobName::from("route-survey");
/// let first = manifest::batch_run(&survey, time::UnixMillis(0));
/// let second = manifest::batch_run(&survey, time::UnixMillis(60_000));
/// assert_ne!(first, second);
/// ```
pub fn batch_run(name: &JobName, due: time::UnixMillis) -> RunKey {
    RunKey(hashing::stable_hash(
        format!("batch/{name}/{}", due.0).as_bytes(),
    ))
}

/// Key of the run of a gang job: the same for as long as no field of its declaration changes, over
/// any number of releases. Fields that the text leaves out count with their defaults.
///
/// ```
/// use daisymast_manifest::manifest;
/// let mut plan: manifest::GangJob = serde_json::from_str(
///     r#"{"name": "route-plan", "team": "crews", "tasks": 4, "run_s": 60,
///         "size": {"millicores": 1000, "memory_mib": 512}}"#,
/// )?;
/// let first = manifest::gang_run(&plan);
/// plan.revision = 1;
/// assert_ne!(manifest::gang_run(&plan), first);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn gang_run(job: &GangJob) -> RunKey {
    // Plain fields with string keys always have a JSON form; its order is that of the struct.
    let declaration = serde_json::to_string(job).unwrap_or_default();
    let declaration = hashing::stable_hash(declaration.as_bytes());
    let name = &job.name;
    RunKey(hashing::stable_hash(
        format!("gang/{name}/{declaration:016x}").as_bytes(),
    ))
}

/// Key under which the replicas of a service run. It survives a change of release, so that an
/// unchanged service is not restarted.
pub fn service_run(name: &JobName) -> RunKey {
    RunKey(hashing::stable_hash(format!("service/{name}").as_bytes()))
}
