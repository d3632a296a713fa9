//! Simulated system of a given size under a given load.

use daisymast_manifest::manifest::{Batch, Manifest, Service, TeamQuota};
use daisymast_matrix::world::{Layout, WALL_START_MS, World};
use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::operator::OperatorRequest;
use daisymast_types::ids::{Generation, InstanceId, JobName, Release, RequestId, Team};
use daisymast_types::quantities::{Resources, Urgency};
use serde::Serialize;

/// Running service replicas per worker: a fifth of 21,000 tasks on 800 workers.
const REPLICAS_PER_WORKER: f64 = 5.25;
/// Number of replicas of one service.
const REPLICAS_PER_SERVICE: u32 = 50;
/// Run time of a batch task in seconds: 16,800 running batch tasks at 540 starts per second.
const TASK_RUN_SECONDS: u64 = 31;
/// Number of batches, one of which is due in each second.
pub(crate) const BATCH_COUNT: u64 = 10;
/// Number of teams with quotas.
const TEAM_COUNT: usize = 58;
/// Time after which a new system has stabilised and the manifest is submitted.
const SETTLE_MS: u64 = 6_000;
/// Time from the submission of the manifest to the measurement, in which the number of running
/// batch tasks becomes stable.
const WARM_UP_MS: u64 = 50_000;
/// Timeout of each caller request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Maximum time to wait until a new manifest is in force at all instances.
const CHANGE_TIMEOUT_MS: u64 = 10_000;
/// Virtual time between two rounds of caller requests.
const ROUND_INTERVAL_MS: u64 = 10;

/// Size of a system and its load.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Scene {
    /// Availability zones, at most five.
    pub zones: usize,
    /// Entry instances per availability zone.
    pub instances: usize,
    /// Workers per availability zone.
    pub workers: usize,
    /// Batch task starts per second and worker.
    pub starts: f64,
    /// Caller requests per second and worker; every second request is not idempotent.
    pub requests: f64,
    /// Duration of the measurement in virtual seconds.
    pub seconds: u64,
}

impl Scene {
    /// Number of workers in all availability zones.
    pub fn all_workers(&self) -> usize {
        self.zones * self.workers
    }

    /// Number of entry instances in all availability zones.
    pub fn all_instances(&self) -> usize {
        self.zones * self.instances
    }

    /// Builds the system, submits its manifest, and runs it to its steady state.
    pub fn run_to_steady_state(&self) -> LoadGenerator {
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
        let mut generator = LoadGenerator {
            scene: *self,
            world,
            instances,
            requests_sent: 0,
            requests_due: 0.0,
        };
        generator.run(WARM_UP_MS);
        generator
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
        let team = |index: usize| Team::from(format!("team-{}", index % TEAM_COUNT));
        let services = (0..replicas.div_ceil(REPLICAS_PER_SERVICE)).map(|index| Service {
            name: service_name(index),
            team: team(index as usize),
            urgency: Urgency::default(),
            replicas: REPLICAS_PER_SERVICE.min(replicas - index * REPLICAS_PER_SERVICE),
            size: Resources::new(500, 512, 0),
            zones: Vec::new(),
        });
        let batches = (0..BATCH_COUNT).map(|index| Batch {
            name: JobName::from(format!("batch-{index}")),
            team: team(index as usize),
            urgency: Urgency::default(),
            every_s: BATCH_COUNT,
            offset_s: index,
            tasks,
            size: Resources::new(1_000, 1_024, 0),
            exclusive: true,
            run_s: TASK_RUN_SECONDS,
            deadline_s: 2 * TASK_RUN_SECONDS,
        });
        Manifest {
            release: Release::from("r1"),
            teams: (0..TEAM_COUNT)
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

/// Running simulated system with the load that is applied to it.
pub struct LoadGenerator {
    /// Size and load of the system.
    pub scene: Scene,
    /// Simulated cluster.
    pub world: World,
    instances: Vec<InstanceId>,
    requests_sent: u64,
    requests_due: f64,
}

impl LoadGenerator {
    /// Advances the virtual time by `millis` and sends the caller requests that become due.
    pub fn run(&mut self, millis: u64) {
        let workers = u32::try_from(self.scene.all_workers()).unwrap_or(u32::MAX);
        let requests_per_round = self.scene.requests * f64::from(workers) * 0.001 * 10.0;
        for _ in 0..millis / ROUND_INTERVAL_MS {
            self.requests_due += requests_per_round;
            while self.requests_due >= 1.0 {
                self.requests_due -= 1.0;
                self.send_request(workers);
            }
            self.world.run_for(ROUND_INTERVAL_MS);
        }
    }

    /// Submits the same manifest under another release name, and returns the milliseconds until it
    /// is in force at all instances, or `None` if that exceeds the time limit.
    pub fn measure_manifest_change(&mut self) -> Option<u64> {
        let mut manifest = self.scene.manifest();
        manifest.release = Release::from("r2");
        let request = OperatorRequest::Submit {
            expected: Generation(1),
            manifest: serde_json::to_string(&manifest).unwrap_or_default(),
        };
        let start = self.world.now();
        let first = self.instances[0].clone();
        self.world.operate(&first, request);
        while self.world.now() < start + CHANGE_TIMEOUT_MS {
            self.run(ROUND_INTERVAL_MS);
            let mut nodes = self.instances.iter().filter_map(|id| self.world.node(id));
            if nodes.all(|node| node.generation() == Generation(2)) {
                return Some(self.world.now() - start);
            }
        }
        None
    }

    /// Sends one request; the requests go to the instances in turn, as from a load balancer.
    fn send_request(&mut self, workers: u32) {
        self.requests_sent += 1;
        let count = self.instances.len() as u64;
        let index = usize::try_from(self.requests_sent % count).unwrap_or(0);
        let services = u64::from((workers * 21 / 4).div_ceil(REPLICAS_PER_SERVICE).max(1));
        let service = u32::try_from(self.requests_sent % services).unwrap_or(0);
        let idempotent = self.requests_sent.is_multiple_of(2);
        let id = if idempotent {
            format!("q-{}", self.requests_sent)
        } else {
            self.unique_id()
        };
        let request = CallerRequest {
            id: RequestId::from(id.as_str()),
            service: service_name(service),
            idempotent,
            timeout_ms: REQUEST_TIMEOUT_MS,
            body: "three plazas in Austin".repeat(4),
        };
        let instance = self.instances[index].clone();
        self.world.ask(&instance, request);
    }

    fn unique_id(&self) -> String {
        let mut random = [0; 10];
        random[2..].copy_from_slice(&self.requests_sent.to_be_bytes());
        uuid::Builder::from_unix_timestamp_millis(WALL_START_MS + self.world.now(), &random)
            .into_uuid()
            .to_string()
    }
}
