//! Properties of a run's tasks as declared in the manifest.

use daisymast_ledger::entry::{Origin, RunOpened};
use daisymast_manifest::manifest::{self, Manifest};
use daisymast_protocol::task::{Kind, TaskSpec};
use daisymast_types::ids::{JobName, TaskKey, Team};
use daisymast_types::quantities::{Resources, Urgency};

/// Declaration of the job of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Name of the job.
    pub name: JobName,
    /// Team whose quota the tasks count against.
    pub team: Team,
    /// Whether it is a batch or a gang job.
    pub kind: Kind,
    /// Urgency of its tasks.
    pub urgency: Urgency,
    /// Declared size of each task.
    pub size: Resources,
    /// Whether two attempts of a task must never run at the same time.
    pub exclusive: bool,
    /// Expected run time of a task in milliseconds.
    pub run_ms: u64,
}

impl Job {
    /// Job of a run, `None` if the manifest no longer declares it. A gang job whose declaration has
    /// changed is no longer declared for this run: the change gives it a new run.
    pub fn for_run(manifest: &Manifest, opened: &RunOpened) -> Option<Self> {
        match &opened.origin {
            Origin::Due(_) => {
                let job = manifest.batches.iter().find(|job| job.name == opened.job)?;
                Some(Self {
                    name: job.name.clone(),
                    team: job.team.clone(),
                    kind: Kind::Batch,
                    urgency: job.urgency,
                    size: job.size,
                    exclusive: job.exclusive,
                    run_ms: job.run_s.saturating_mul(1_000),
                })
            }
            Origin::Declared(_) => {
                let mut jobs = manifest.gang_jobs.iter();
                let job = jobs.find(|job| job.name == opened.job)?;
                (manifest::gang_run_key(job) == opened.run).then(|| Self {
                    name: job.name.clone(),
                    team: job.team.clone(),
                    kind: Kind::Gang,
                    urgency: job.urgency,
                    size: job.size,
                    exclusive: job.exclusive,
                    run_ms: job.run_s.saturating_mul(1_000),
                })
            }
        }
    }

    /// Specification of one attempt, as sent to a worker.
    pub fn task_spec(&self, key: TaskKey) -> TaskSpec {
        TaskSpec {
            key,
            job: self.name.clone(),
            team: self.team.clone(),
            kind: self.kind,
            urgency: self.urgency,
            size: self.size,
            exclusive: self.exclusive,
            run_ms: self.run_ms,
        }
    }
}
