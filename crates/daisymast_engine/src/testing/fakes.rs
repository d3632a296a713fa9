//! A fake worker and builders of messages.

use std::collections::BTreeMap;

use daisymast_manifest::manifest::{self, Manifest, Service};
use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::Heartbeat;
use daisymast_protocol::task::{Kind, TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{
    Answer, Grant, LeaseStamp, Refusal, WorkerMillis, WorkerReply, WorkerRequest,
};
use daisymast_types::hashing;
use daisymast_types::ids::{
    BootId, Epoch, Generation, InstanceId, JobName, Release, RequestId, RunKey, TaskKey, Team,
    WorkerId, Zone,
};
use daisymast_types::quantities::{Resources, Urgency};

use super::{WORKER_BOOT, WORKER_CLOCK_OFFSET_MS};

/// A fake worker that answers lease calls, starts and stops.
pub(crate) struct FakeWorker {
    pub(crate) epoch: u64,
    pub(crate) holder: Option<InstanceId>,
    pub(crate) capacity: Resources,
    pub(crate) leaving: bool,
    /// All task reports. The sequence number of a report is its position, counted from 1.
    pub(crate) changes: Vec<TaskReport>,
    /// Whether the worker answers acquisitions, renewals and releases by itself.
    pub(crate) answers_lease_calls: bool,
    pub(crate) kept_runs: Vec<RunKey>,
    /// Whether the worker starts and stops tasks by itself.
    pub(crate) executes_tasks: bool,
}

impl Default for FakeWorker {
    fn default() -> Self {
        Self {
            epoch: 1,
            holder: None,
            capacity: Resources::new(8_000, 8_000, 0),
            leaving: false,
            changes: Vec::new(),
            answers_lease_calls: true,
            kept_runs: Vec::new(),
            executes_tasks: false,
        }
    }
}

impl FakeWorker {
    /// Appends a report of a task.
    pub(crate) fn report(&mut self, spec: &TaskSpec, state: TaskState) {
        self.changes.push(TaskReport {
            spec: spec.clone(),
            state,
            elapsed_ms: 10_000,
        });
    }

    /// Latest report of each task.
    pub(crate) fn tasks(&self) -> Vec<TaskReport> {
        let mut last: BTreeMap<TaskKey, TaskReport> = BTreeMap::new();
        for change in &self.changes {
            last.insert(change.spec.key, change.clone());
        }
        last.into_values().collect()
    }

    fn grant(&self, stamp: LeaseStamp, clock: WorkerMillis) -> Grant {
        Grant {
            stamp,
            clock,
            ttl_ms: 3_000,
            capacity: self.capacity,
            slots: 8,
            seq: self.seq(),
            tasks: self.tasks(),
            leaving: self.leaving,
        }
    }

    fn seq(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Specs of the running tasks.
    pub(crate) fn running(&self) -> Vec<TaskSpec> {
        let tasks = self.tasks().into_iter();
        let running = tasks.filter(|task| task.state == TaskState::Running);
        running.map(|task| task.spec).collect()
    }

    /// Answers a request, or returns `None` if the test has to answer it.
    pub(super) fn respond(&mut self, now: u64, request: &WorkerRequest) -> Option<WorkerReply> {
        match request {
            WorkerRequest::Start { task, .. } if self.executes_tasks => {
                self.report(task, TaskState::Running);
                Some(WorkerReply::Ok)
            }
            WorkerRequest::Stop { task, .. } if self.executes_tasks => {
                let mut running = self.running().into_iter();
                if let Some(spec) = running.find(|spec| spec.key == *task) {
                    self.report(&spec, TaskState::Stopped);
                }
                Some(WorkerReply::Ok)
            }
            request if self.answers_lease_calls => self.lease_reply(now, request),
            _ => None,
        }
    }

    fn lease_reply(&mut self, now: u64, request: &WorkerRequest) -> Option<WorkerReply> {
        let stamp = LeaseStamp {
            boot: WORKER_BOOT,
            epoch: Epoch(self.epoch),
        };
        let clock = WorkerMillis(WORKER_CLOCK_OFFSET_MS + now);
        match request {
            WorkerRequest::Acquire { holder, .. } => {
                if let Some(other) = self.holder.clone().filter(|other| other != holder) {
                    return Some(WorkerReply::Held {
                        holder: other,
                        remaining_ms: 2_000,
                    });
                }
                self.holder = Some(holder.clone());
                Some(WorkerReply::Granted(self.grant(stamp, clock)))
            }
            WorkerRequest::Renew {
                since, keep_runs, ..
            } => {
                self.kept_runs.clone_from(keep_runs);
                let since = usize::try_from(*since).unwrap_or(0);
                Some(WorkerReply::Renewed {
                    clock,
                    seq: self.seq(),
                    changes: self.changes.iter().skip(since).cloned().collect(),
                    usage: Resources::ZERO,
                    leaving: self.leaving,
                })
            }
            WorkerRequest::Release { .. } => {
                self.holder = None;
                self.epoch += 1;
                Some(WorkerReply::Ok)
            }
            _ => None,
        }
    }
}

pub(crate) fn heartbeat(instance: &str, zone: &str, workers: &[&str]) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::from(instance),
        boot: BootId(9),
        zone: Zone::from(zone),
        address: format!("{instance}:1"),
        generation: Generation(0),
        draining: false,
        weight: 1,
        partitions: Vec::new(),
        workers: workers.iter().map(|name| WorkerId::from(*name)).collect(),
    }
}

/// An exclusive batch task of one core, attempt 1.
pub(crate) fn task(job: &str, run: u64, index: u32) -> TaskSpec {
    TaskSpec {
        key: TaskKey {
            run: RunKey(run),
            index,
            attempt: 1,
        },
        job: JobName::from(job),
        team: Team::from("crews"),
        kind: Kind::Batch,
        urgency: Urgency::Normal,
        size: Resources::new(1_000, 1_000, 0),
        exclusive: true,
        run_ms: 60_000,
    }
}

/// Replica `index` of a service.
pub(crate) fn replica(service: &str, index: u32) -> TaskSpec {
    let mut spec = task(service, 0, index);
    spec.key.run = manifest::service_run_key(&JobName::from(service));
    spec.kind = Kind::Service;
    spec.exclusive = false;
    spec.run_ms = 0;
    spec
}

pub(crate) fn request(service: &str, id: &str) -> CallerRequest {
    CallerRequest {
        id: RequestId::from(id),
        service: JobName::from(service),
        idempotent: true,
        timeout_ms: 1_000,
        body: "which plaza?".to_owned(),
    }
}

pub(crate) fn answer(id: &str, body: &str) -> Answer {
    Answer {
        id: RequestId::from(id),
        body: body.to_owned(),
        length: body.len() as u64,
        digest: format!("{:032x}", hashing::digest(body.as_bytes())),
    }
}

/// A manifest with services, given by name and number of replicas.
pub(crate) fn manifest(services: &[(&str, u32)]) -> Manifest {
    let services = services.iter().map(|(name, replicas)| Service {
        name: JobName::from(*name),
        team: Team::from("crews"),
        urgency: Urgency::Normal,
        replicas: *replicas,
        size: Resources::new(1_000, 1_000, 0),
        zones: Vec::new(),
    });
    Manifest {
        release: Release::from("r1"),
        teams: Vec::new(),
        services: services.collect(),
        batches: Vec::new(),
        gang_jobs: Vec::new(),
    }
}

pub(crate) fn call_error() -> CallError {
    CallError::new("test", "peer", "lost")
}

pub(crate) fn refused(reason: Refusal) -> Outcome<WorkerReply> {
    Outcome::Done(WorkerReply::Refused { reason })
}
