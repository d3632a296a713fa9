//! What a manifest says of the tasks of a run.

use daisymast_ledger::entry::{Origin, RunOpened};
use daisymast_manifest::manifest::{self, Manifest};
use daisymast_protocol::task::{Kind, TaskSpec};
use daisymast_types::ids::{JobName, TaskKey, Team};
use daisymast_types::quantities::{Resources, Urgency};

/// The job of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Name of the job.
    pub name: JobName,
    /// Team that pays.
    pub team: Team,
    /// Whether it is a batch or a gang job.
    pub kind: Kind,
    /// Urgency of its tasks.
    pub urgency: Urgency,
    /// Size of a task.
    pub size: Resources,
    /// Whether a task may never run in two places at once.
    pub exclusive: bool,
    /// Expected run time of a task in milliseconds.
    pub run_ms: u64,
}

impl Job {
    /// The job of a run, if the manifest declares it. A gang job with another declaration is
    /// a run of its own, which replaces this one.
    pub fn of(manifest: &Manifest, opened: &RunOpened) -> Option<Self> {
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

    /// One attempt as it is sent to a worker.
    pub fn task(&self, key: TaskKey) -> TaskSpec {
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
