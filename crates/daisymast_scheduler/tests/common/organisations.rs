//! Organisations of the rig, and the check of their caps from what the workers run.

use std::collections::BTreeMap;
use std::sync::Arc;

use daisymast_jobs::spec;
use daisymast_organisations::{directory, organisation};
use daisymast_scheduler::{config, scheduler};
use daisymast_types::quantities;

use super::{Rig, mono, timestamp};

/// Time for which starts under an earlier version of the configuration may still arrive, in
/// milliseconds.
const FORMER_CAP_MS: u64 = 500;

/// What the checks know of the organisations.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    /// Organisation of each job.
    jobs: BTreeMap<spec::JobId, &'static str>,
    /// Caps by organisation, each with the time until when it is in force.
    caps: Vec<(&'static str, organisation::Cap, u64)>,
}

pub(crate) fn cores(cores: u32) -> organisation::Cap {
    organisation::Cap {
        millicores: Some(cores * 1_000),
        ..organisation::Cap::default()
    }
}

/// Returns a configuration with organisations, each with its weight and cap in cores.
pub(crate) fn configuration(
    version: u64,
    organisations: &[(&'static str, f64, u32)],
) -> config::Configuration {
    let organisations =
        organisations
            .iter()
            .map(|&(name, weight, cap)| organisation::Organisation {
                name: name.into(),
                keys: Vec::new(),
                weight,
                cap: cores(cap),
            });
    config::Configuration {
        version,
        organisations: Some(directory::Directory::new(organisations.collect())),
        ..(*super::config()).clone()
    }
}

impl Rig {
    /// Creates a rig with organisations, each with its weight and cap in cores.
    pub(crate) fn with_organisations(
        count: usize,
        organisations: &[(&'static str, f64, u32)],
    ) -> Self {
        let mut rig = Self::new(count);
        rig.configure(2, organisations);
        rig
    }

    /// Puts a version of the configuration in force: the scheduler knows it from now on, and so do its
    /// successors.
    pub(crate) fn configure(&mut self, version: u64, organisations: &[(&'static str, f64, u32)]) {
        self.publish(version, organisations);
        let config = Arc::clone(&self.config);
        self.scheduler.configure(config, mono(self.now));
    }

    /// Puts a version of the configuration in force that only successors of the scheduler know.
    pub(crate) fn publish(&mut self, version: u64, organisations: &[(&'static str, f64, u32)]) {
        self.config = Arc::new(configuration(version, organisations));
        for &(name, _, cap) in organisations {
            for former in &mut self.owners.caps {
                if former.0 == name {
                    former.2 = former.2.min(self.now + FORMER_CAP_MS);
                }
            }
            self.owners.caps.push((name, cores(cap), u64::MAX));
        }
    }

    /// Submits a job of an organisation.
    pub(crate) fn submit_owned(
        &mut self,
        id: u64,
        organisation: &'static str,
        queue: &str,
        spec: spec::JobSpec,
    ) {
        let job = spec::JobId(id);
        self.owners.jobs.insert(job, organisation);
        for (number, step) in (0_u16..).zip(&spec.steps) {
            self.work_ms
                .insert((job, number), u64::from(step.estimate_ms));
        }
        let submission = scheduler::Submission::new(job, queue.into(), spec);
        self.scheduler.submit(
            id,
            submission.owned_by(Some(organisation.into())),
            timestamp(self.now),
        );
    }

    /// Returns what an organisation has running on all workers, as these see it.
    pub(crate) fn running_of(&self, organisation: &str) -> quantities::Resources {
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        runs.filter(|(task, _)| self.owners.jobs.get(&task.step.job) == Some(&organisation))
            .fold(quantities::Resources::ZERO, |sum, (_, run)| sum + run.size)
    }

    /// Checks a start from the workers' view: it does not bring an organisation above its cap.
    pub(super) fn check_cap(&self, task: spec::TaskId, size: quantities::Resources) {
        let Some(&owner) = self.owners.jobs.get(&task.step.job) else {
            return;
        };
        let used = self.running_of(owner) + size;
        let caps = self.owners.caps.iter();
        let mut in_force = caps.filter(|(name, _, until)| *name == owner && self.now <= *until);
        assert!(
            in_force.any(|(_, cap, _)| cap.allows(used)),
            "{} ms: {task:?} brings {owner} to {used:?}",
            self.now
        );
    }
}
