//! Teams and jobs declared by a release.

use daisymast_types::ids::{JobName, Release, RunKey, Team, Zone};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::{hashing, time};
use serde::{Deserialize, Serialize};

/// Desired state while a release is in force: teams with their quotas, and jobs.
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
    /// Periodic batch jobs.
    #[serde(default)]
    pub batches: Vec<Batch>,
    /// Jobs whose tasks have to run at the same time.
    #[serde(default)]
    pub gang_jobs: Vec<GangJob>,
}

/// A team and the total resources that its tasks may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// Name of the team.
    pub name: Team,
    /// Maximum total size of its running tasks.
    pub quota: Resources,
}

/// A long-lived service whose replicas handle requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among all jobs of the manifest.
    pub name: JobName,
    /// Team whose quota the job counts against.
    pub team: Team,
    /// Urgency of its requests and replicas.
    #[serde(default)]
    pub urgency: Urgency,
    /// Number of replicas over all zones.
    pub replicas: u32,
    /// Resources of one replica.
    pub size: Resources,
    /// Zones in which replicas may run; all zones if empty.
    #[serde(default)]
    pub zones: Vec<Zone>,
}

/// A periodic batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Name, unique among all jobs of the manifest.
    pub name: JobName,
    /// Team whose quota the job counts against.
    pub team: Team,
    /// Urgency of its tasks.
    #[serde(default)]
    pub urgency: Urgency,
    /// Interval between two due times, in seconds.
    pub every_s: u64,
    /// Offset of the due times from multiples of `every_s` since the Unix epoch, in seconds. Less
    /// than `every_s`.
    #[serde(default)]
    pub offset_s: u64,
    /// Number of tasks of a run.
    pub tasks: u32,
    /// Resources of one task.
    pub size: Resources,
    /// Whether at most one attempt of a task may run at any time.
    #[serde(default)]
    pub exclusive: bool,
    /// Expected run time of a task, in seconds.
    pub run_s: u64,
    /// Deadline of a run, in seconds after its due time.
    pub deadline_s: u64,
}

/// A job whose tasks have to run at the same time. It runs once for each distinct declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GangJob {
    /// Name, unique among all jobs of the manifest.
    pub name: JobName,
    /// Team whose quota the job counts against.
    pub team: Team,
    /// Urgency of its tasks.
    #[serde(default)]
    pub urgency: Urgency,
    /// Number of tasks, which are started all together or not at all.
    pub tasks: u32,
    /// Resources of one task.
    pub size: Resources,
    /// Whether at most one attempt of a task may run at any time.
    #[serde(default)]
    pub exclusive: bool,
    /// Expected run time of a task, in seconds.
    pub run_s: u64,
    /// Incremented by an operator to run an otherwise unchanged job again.
    #[serde(default)]
    pub revision: u32,
}

impl Manifest {
    /// Returns the service with that name, if it is declared.
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

/// Returns the key of the run of a batch job that is due at `due`.
///
/// ```
/// use daisymast_manifest::manifest;
/// use daisymast_types::{ids, time};
/// let survey = ids::JobName::from("route-survey");
/// let first = manifest::batch_run_key(&survey, time::UnixMillis(0));
/// let second = manifest::batch_run_key(&survey, time::UnixMillis(60_000));
/// assert_ne!(first, second);
/// ```
pub fn batch_run_key(name: &JobName, due: time::UnixMillis) -> RunKey {
    RunKey(hashing::stable_hash(
        format!("batch/{name}/{}", due.0).as_bytes(),
    ))
}

/// Returns the key of the run of a gang job. It stays the same over any number of releases as long
/// as no field of the declaration changes. Omitted fields count with their default values.
///
/// ```
/// use daisymast_manifest::manifest;
/// let mut plan: manifest::GangJob = serde_json::from_str(
///     r#"{"name": "route-plan", "team": "crews", "tasks": 4, "run_s": 60,
///         "size": {"millicores": 1000, "memory_mib": 512}}"#,
/// )?;
/// let first = manifest::gang_run_key(&plan);
/// plan.revision = 1;
/// assert_ne!(manifest::gang_run_key(&plan), first);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn gang_run_key(job: &GangJob) -> RunKey {
    // A struct of plain fields can always be encoded as JSON. Fields are in the order of the
    // struct, so a change of that order would change the key.
    let declaration = serde_json::to_string(job).unwrap_or_default();
    let declaration = hashing::stable_hash(declaration.as_bytes());
    let name = &job.name;
    RunKey(hashing::stable_hash(
        format!("gang/{name}/{declaration:016x}").as_bytes(),
    ))
}

/// Returns the run key of the replicas of a service. It does not depend on the release, so that an
/// unchanged service is not restarted by a new release.
pub fn service_run_key(name: &JobName) -> RunKey {
    RunKey(hashing::stable_hash(format!("service/{name}").as_bytes()))
}
