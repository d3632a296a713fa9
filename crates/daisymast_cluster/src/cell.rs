//! A cell of real processes: the platform stand-in, entry instances, and workers in three
//! availability zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use daisymast_http::executor::{self, Executor};
use daisymast_platform::daemon::{FAULTS_PATH, FaultRequest, MEMBERS_PATH, MemberRequest};
use daisymast_platform::model::Faults as PlatformFaults;
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::store::{Member, MemberId};
use daisymast_types::ids::{Generation, WorkerId};
use daisymast_worker::settings::Faults;
use serde_json::{Value, json};

use crate::clients::Clients;
use crate::load::{Balancer, Load, RequestRecord, RunningLoad};
use crate::process::Process;
use crate::programs::{self, TestLock};
use crate::relay::{BlockedLinks, Relay};
use crate::{settings, wait};

pub use crate::settings::manifest;
pub use observation::running_tasks;
use worker_group::WorkerGroup;

mod observation;
mod worker_group;

/// Availability zones that every cell has.
pub const ZONES: [&str; 3] = ["Austin", "Waco", "Temple"];
/// Timeout for a cell or an instance to become ready. Leases are acquired and replicas started
/// within seconds; most of the timeout is slack for a busy machine.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Requests of each kind in one probe: enough for each of six instances to use several partitions.
/// At 300 ms a request, a probe occupies less than half of the request slots.
const PROBE_REQUESTS: usize = 48;
/// Timeout of a status, timeline or readiness call; a paused instance does not answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a manifest submission, as long as the operator listener waits.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(16);

/// Size of a cell and behaviour of its workers.
#[derive(Clone, Copy, Debug)]
pub struct CellConfig {
    /// Entry instances in each zone.
    pub instances: usize,
    /// Workers in each zone.
    pub workers: usize,
    /// Service time of a request, in milliseconds.
    pub service_ms: u64,
    /// Whether connections between instances go through relays, so that a test can block them.
    pub relays: bool,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            instances: 2,
            workers: 2,
            service_ms: 20,
            relays: false,
        }
    }
}

/// A running entry instance and its addresses.
#[derive(Debug)]
pub struct Instance {
    /// Availability zone, one of [`ZONES`].
    pub zone: &'static str,
    /// The `daisymast-entry` process, killed on drop.
    pub process: Process,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for metrics and health checks.
    pub metrics: SocketAddr,
    /// Address that other instances connect to: the relay's, if there is one.
    peers: SocketAddr,
    _relay: Option<Relay>,
}

/// A running cell. Fields are dropped in declaration order, so processes end before the test lock
/// is released.
#[derive(Debug)]
pub struct Cell {
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// The platform stand-in.
    pub platform: Process,
    /// Instances that callers are routed to.
    pub balancer: Balancer,
    /// Blocked links between instances; effective only with [`CellConfig::relays`].
    pub blocked_links: BlockedLinks,
    platform_address: SocketAddr,
    worker_groups: Vec<WorkerGroup>,
    config: CellConfig,
    folder: PathBuf,
    executor: Executor,
    clients: Clients,
    started_at: Instant,
    _lock: TestLock,
}

/// Runs a test on a new cell, in which `manifest(1)` is in force and all replicas run. Settings and
/// logs of the processes are kept in `target/<profile>/daisymast_cluster`.
pub fn run(name: &str, config: CellConfig, test: impl AsyncFnOnce(&mut Cell)) {
    let lock = programs::turn();
    executor::run(4, async |executor| {
        let mut cell = Cell::start(executor, name, config, lock).await;
        cell.wait_until_ready().await;
        test(&mut cell).await;
    });
}

impl Cell {
    async fn start(executor: Executor, name: &str, config: CellConfig, lock: TestLock) -> Self {
        let started_at = Instant::now();
        let folder = programs::create_scratch_folder(name);
        let mut worker_groups = Vec::new();
        for zone in ZONES {
            worker_groups.push(WorkerGroup::start(&folder, zone, config).await);
        }
        let members: Vec<Member> = worker_groups
            .iter()
            .flat_map(WorkerGroup::members)
            .collect();
        let settings = json!({ "members": members });
        let (platform, printed) =
            Process::start("daisymast-platform", &folder, "platform", &settings).await;
        let mut cell = Self {
            instances: BTreeMap::new(),
            platform,
            balancer: Balancer::default(),
            blocked_links: BlockedLinks::default(),
            platform_address: parse_address(&printed, "listening"),
            worker_groups,
            config,
            folder,
            clients: Clients::new(&executor),
            executor,
            started_at,
            _lock: lock,
        };
        for number in 0..config.instances * ZONES.len() {
            let zone = ZONES[number % ZONES.len()];
            cell.start_instance(&format!("entry-{}", number + 1), zone)
                .await;
        }
        cell.route_to(|_| true);
        cell
    }

    /// Starts an instance and registers it with the platform. The new instance gets the addresses of
    /// the others from its settings; they discover it by its heartbeats. Callers are not routed to
    /// it until a test does so: it has no manifest yet and would refuse their requests.
    pub async fn start_instance(&mut self, name: &str, zone: &'static str) {
        let relay = if self.config.relays {
            Some(Relay::open(&self.executor, name, self.blocked_links.clone()).await)
        } else {
            None
        };
        let seeds = self
            .instances
            .iter()
            .map(|(name, instance)| {
                json!({"instance": name, "zone": instance.zone, "address": instance.peers})
            });
        let seeds: Vec<Value> = seeds.collect();
        let workers: Vec<Value> = self
            .worker_groups
            .iter()
            .flat_map(WorkerGroup::seeds)
            .collect();
        let advertise = relay.as_ref().map(|relay| relay.address);
        let known = (self.platform_address, &seeds[..], &workers[..]);
        let settings = settings::instance((name, zone), known, advertise);
        let (process, printed) =
            Process::start("daisymast-entry", &self.folder, name, &settings).await;
        let peer_address = parse_address(&printed, "peers");
        if let Some(relay) = &relay {
            relay.set_target(peer_address);
        }
        let instance = Instance {
            zone,
            process,
            callers: parse_address(&printed, "callers"),
            operators: parse_address(&printed, "operators"),
            metrics: parse_address(&printed, "metrics"),
            peers: advertise.unwrap_or(peer_address),
            _relay: relay,
        };
        self.register(MemberId::Instance(name.into()), zone, instance.peers)
            .await;
        self.instances.insert(name.to_owned(), instance);
    }

    async fn register(&self, who: MemberId, zone: &str, address: SocketAddr) {
        let member = Member {
            who,
            zone: zone.into(),
            address: address.to_string(),
            leaving: false,
        };
        let request = MemberRequest::Register { member };
        self.clients
            .post(self.platform_address, MEMBERS_PATH, &request)
            .await;
    }

    /// Routes callers to the instances whose names `accepts` selects.
    pub fn route_to(&self, accepts: impl Fn(&str) -> bool) {
        let accepted = self.instances.iter().filter(|(name, _)| accepts(name));
        let accepted = accepted.map(|(name, instance)| (name.clone(), instance.callers));
        self.balancer.set(accepted.collect());
    }

    /// Routes callers to the instances that are ready. Each readiness check takes at most 1 s.
    pub async fn route_to_ready(&self) {
        let mut ready = Vec::new();
        for (name, instance) in &self.instances {
            if self
                .clients
                .is_ready(instance.metrics, STATUS_TIMEOUT)
                .await
            {
                ready.push((name.clone(), instance.callers));
            }
        }
        self.balancer.set(ready);
    }

    /// Submits the first manifest and waits until it is in force, all replicas run and requests of
    /// both kinds are served.
    async fn wait_until_ready(&mut self) {
        wait::until(
            STARTUP_TIMEOUT,
            "all instances are connected to each other",
            async || {
                let statuses = self.statuses().await;
                let count = self.instances.len();
                let connected = statuses
                    .values()
                    .all(|status| status.peers.len() + 1 >= count);
                (connected && statuses.len() == count).then_some(())
            },
        )
        .await;
        let first = self
            .instances
            .keys()
            .next()
            .expect("at least one instance")
            .clone();
        let accepted = self.submit(&first, Generation(0), manifest(1)).await;
        assert_eq!(
            accepted,
            OperatorReply::Accepted {
                generation: Generation(1)
            }
        );
        wait::until(
            STARTUP_TIMEOUT,
            "all replicas run and all partitions are owned",
            async || {
                let statuses = self.statuses().await;
                let running = |job: &str| running_tasks(&statuses, job);
                let owned: usize = statuses
                    .values()
                    .map(|status| status.partitions.len())
                    .sum();
                let replicas = running("quotes") == 9 && running("invoices") == 9;
                (replicas && owned == 16 && self.all_ready().await).then_some(())
            },
        )
        .await;
        // Instances learn the others' endpoints and partitions from heartbeats, so requests can
        // still fail for a short time.
        wait::until(
            STARTUP_TIMEOUT,
            "a probe of quotes and invoices is served",
            async || {
                let records = self.send_probe_requests().await;
                records
                    .iter()
                    .all(|record| record.last().end.is_done())
                    .then_some(())
            },
        )
        .await;
    }

    /// Sends a probe of quotes and invoices through the balancer and waits until all have ended.
    pub async fn send_probe_requests(&self) -> Vec<RequestRecord> {
        let pace = Duration::from_millis(25);
        let quotes = self.send(Load::quotes(PROBE_REQUESTS, pace));
        let invoices = self.send(Load::invoices(PROBE_REQUESTS, pace));
        [quotes.finish().await, invoices.finish().await].concat()
    }

    async fn all_ready(&self) -> bool {
        for instance in self.instances.values() {
            if !self
                .clients
                .is_ready(instance.metrics, STATUS_TIMEOUT)
                .await
            {
                return false;
            }
        }
        true
    }

    /// Submits a manifest to the instance `through`, to replace the generation `expected`.
    ///
    /// # Panics
    /// The instance does not answer within 16 s.
    pub async fn submit(
        &self,
        through: &str,
        expected: Generation,
        manifest: String,
    ) -> OperatorReply {
        let request = OperatorRequest::Submit { expected, manifest };
        let address = self.instances[through].operators;
        let reply = self
            .clients
            .operator(address, &request, SUBMIT_TIMEOUT)
            .await;
        reply.done().expect("reply to the submission")
    }

    /// Starts to send requests through the balancer, without waiting for them.
    pub fn send(&self, load: Load) -> RunningLoad {
        load.start(&self.executor, &self.clients, &self.balancer)
    }

    /// Injects faults into the workers that `selects` accepts by zone and worker ID.
    pub async fn set_worker_faults(
        &self,
        faults: &Faults,
        selects: impl Fn(&str, &WorkerId) -> bool,
    ) {
        for group in &self.worker_groups {
            for worker in group
                .workers
                .iter()
                .filter(|worker| selects(group.zone, &worker.worker))
            {
                let path = daisymast_worker::daemon::FAULTS_PATH;
                self.clients.post(worker.address, path, faults).await;
            }
        }
    }

    /// Injects faults into the platform stand-in.
    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        let request = FaultRequest::Set(faults);
        self.clients
            .post(self.platform_address, FAULTS_PATH, &request)
            .await;
    }
}

/// Prints a measurement; visible with `cargo test -- --nocapture`.
#[expect(clippy::print_stdout, reason = "the output of a test")]
pub fn print_measurement(text: &str) {
    println!("{text}");
}

fn parse_address(printed: &Value, field: &str) -> SocketAddr {
    let text = printed[field].as_str().expect("address in the start line");
    text.parse().expect("valid socket address")
}
