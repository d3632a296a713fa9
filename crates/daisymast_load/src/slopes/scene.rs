//! A system of a given size under a given load.

use daisymast_manifest::manifest::{Batch, Manifest, Service, TeamQuota};
use daisymast_matrix::world::{Layout, WALL_START_MS, World};
use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::operator::OperatorRequest;
use daisymast_types::ids::{Generation, InstanceId, JobName, Release, RequestId, Team};
use daisymast_types::quantities::{Resources, Urgency};
use serde::Serialize;

/// Running service replicas of a worker: a fifth of 21,000 tasks on 800 workers.
const REPLICAS_PER_WORKER: f64 = 5.25;
/// Replicas of one service.
const REPLICAS: u32 = 50;
/// Seconds that a batch task runs: 16,800 running batch tasks at 540 starts a second.
const TASK_SECONDS: u64 = 31;
/// Batches, one of which is due in each second.
pub(crate) const BATCHES: u64 = 10;
/// Teams with quotas.
const TEAMS: usize = 58;
/// Time for a fresh system to settle before the manifest is submitted.
const SETTLE_MS: u64 = 6_000;
/// Time from the manifest to the measurement, in which batch tasks reach their steady number.
const WARM_UP_MS: u64 = 50_000;
/// Time within which a caller wants its answer.
const TIMEOUT_MS: u64 = 5_000;
/// Longest wait for a change to be in force.
const CHANGE_MS: u64 = 10_000;
/// Virtual time between two rounds of requests.
const ROUND_MS: u64 = 10;

/// Size of a system and its load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scene {
    /// Availability zones, at most five.
    pub zones: usize,
    /// Entry instances of each zone.
    pub instances: usize,
    /// Workers of each zone.
    pub workers: usize,
    /// Starts of batch tasks a second and worker.
    pub starts: f64,
    /// Requests of callers a second and worker; every second one is non-idempotent.
    pub requests: f64,
    /// Virtual seconds that are measured.
    pub seconds: u64,
}

impl Scene {
    /// All workers.
    pub fn all_workers(&self) -> usize {
        self.zones * self.workers
    }

    /// All entry instances.
    pub fn all_instances(&self) -> usize {
        self.zones * self.instances
    }

    /// Runs the system up to its steady state.
    pub fn settle(&self) -> Driver {
        let layout = Layout {
            zones: self.zones,
            instances: self.instances,
            workers: self.workers,
            capacity: Resources::new(32_000, 128 * 1024, 0),
        };
        let mut world = World::new(layout);
        world.list_members(layout);
        world.run_for(SETTLE_MS);
        let first = world.instances()[0].clone();
        let manifest = serde_json::to_string(&self.manifest()).unwrap_or_default();
        let expected = Generation(0);
        world.operate(&first, OperatorRequest::Submit { expected, manifest });
        let instances = world.instances();
        let mut driver = Driver {
            scene: *self,
            world,
            instances,
            asked: 0,
            due: 0.0,
        };
        driver.run(WARM_UP_MS);
        driver
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of a few thousand"
    )]
    fn manifest(&self) -> Manifest {
        let workers = self.all_workers() as f64;
        let replicas = (workers * REPLICAS_PER_WORKER).round() as u32;
        let tasks = (workers * self.starts).round() as u32;
        let quota = Resources::new(u32::MAX / 2, u32::MAX / 2, 0);
        let team = |index: usize| Team::from(format!("team-{}", index % TEAMS));
        let services = (0..replicas.div_ceil(REPLICAS)).map(|index| Service {
            name: service_name(index),
            team: team(index as usize),
            urgency: Urgency::default(),
            replicas: REPLICAS.min(replicas - index * REPLICAS),
            size: Resources::new(500, 512, 0),
            zones: Vec::new(),
        });
        let batches = (0..BATCHES).map(|index| Batch {
            name: JobName::from(format!("batch-{index}")),
            team: team(index as usize),
            urgency: Urgency::default(),
            every_s: BATCHES,
            offset_s: index,
            tasks,
            size: Resources::new(1_000, 1_024, 0),
            exclusive: true,
            run_s: TASK_SECONDS,
            deadline_s: 2 * TASK_SECONDS,
        });
        Manifest {
            release: Release::from("r1"),
            teams: (0..TEAMS)
                .map(|index| TeamQuota {
                    name: team(index),
                    quota,
                })
                .collect(),
            services: services.collect(),
            batches: batches.filter(|batch| batch.tasks > 0).collect(),
            gang_jobs: Vec::new(),
        }
    }
}

fn service_name(index: u32) -> JobName {
    JobName::from(format!("service-{index}"))
}

/// A running system with its load.
pub struct Driver {
    /// Size and load.
    pub scene: Scene,
    /// The system.
    pub world: World,
    instances: Vec<InstanceId>,
    asked: u64,
    due: f64,
}

impl Driver {
    /// Lets `millis` of virtual time pass under the load of the scene.
    pub fn run(&mut self, millis: u64) {
        let workers = u32::try_from(self.scene.all_workers()).unwrap_or(u32::MAX);
        let a_round = self.scene.requests * f64::from(workers) * 0.001 * 10.0;
        for _ in 0..millis / ROUND_MS {
            self.due += a_round;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.ask(workers);
            }
            self.world.run_for(ROUND_MS);
        }
    }

    /// Submits a release that only has another name, and returns the milliseconds until it is in
    /// force at all instances.
    pub fn change(&mut self) -> Option<u64> {
        let mut manifest = self.scene.manifest();
        manifest.release = Release::from("r2");
        let request = OperatorRequest::Submit {
            expected: Generation(1),
            manifest: serde_json::to_string(&manifest).unwrap_or_default(),
        };
        let start = self.world.now();
        let first = self.instances[0].clone();
        self.world.operate(&first, request);
        while self.world.now() < start + CHANGE_MS {
            self.run(ROUND_MS);
            let mut nodes = self.instances.iter().filter_map(|id| self.world.node(id));
            if nodes.all(|node| node.generation() == Generation(2)) {
                return Some(self.world.now() - start);
            }
        }
        None
    }

    /// Asks the instances in turn, as a balancer does.
    fn ask(&mut self, workers: u32) {
        self.asked += 1;
        let count = self.instances.len() as u64;
        let index = usize::try_from(self.asked % count).unwrap_or(0);
        let services = u64::from((workers * 21 / 4).div_ceil(REPLICAS).max(1));
        let service = u32::try_from(self.asked % services).unwrap_or(0);
        let idempotent = self.asked.is_multiple_of(2);
        let id = if idempotent {
            format!("q-{}", self.asked)
        } else {
            self.unique()
        };
        let request = CallerRequest {
            id: RequestId::from(id.as_str()),
            service: service_name(service),
            idempotent,
            timeout_ms: TIMEOUT_MS,
            body: "three plazas in Austin".repeat(4),
        };
        let instance = self.instances[index].clone();
        self.world.ask(&instance, request);
    }

    fn unique(&self) -> String {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&self.asked.to_be_bytes());
        uuid::Builder::from_unix_timestamp_millis(WALL_START_MS + self.world.now(), &random)
            .into_uuid()
            .to_string()
    }
}
