//! A cell of real processes: the platform stand-in, workers in three zones and entry instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use daisymast_http::executor::{self, Executor};
use daisymast_platform::daemon::{FAULTS_PATH, FaultRequest, MEMBERS_PATH, MemberRequest};
use daisymast_platform::model::Faults as PlatformFaults;
use daisymast_protocol::operator::{OperatorReply, OperatorRequest, Status};
use daisymast_protocol::store::{Member, MemberId};
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_types::ids::{Generation, WorkerId};
use daisymast_worker::daemon::Listening;
use daisymast_worker::settings::Faults;
use serde_json::{Value, json};

use crate::clients::Clients;
use crate::judge::{self, WorkerLog};
use crate::load::{Balancer, Load, Record, Running};
use crate::process::Process;
use crate::programs::{self, Turn};
use crate::relay::{Cuts, Relay};
use crate::{settings, wait};

pub use crate::settings::manifest;

/// Availability zones of a cell.
pub const ZONES: [&str; 3] = ["Austin", "Waco", "Temple"];
/// Time for a cell to get going. Free leases are taken and replicas started within seconds; the
/// largest part of the bound is for a busy machine.
pub const SETTLE: Duration = Duration::from_secs(30);
/// Requests of each kind in one row: enough for each of six instances to meet several partitions. The
/// row asks for less than half of the slots at 300 ms a request.
const ROW: usize = 48;
/// Time for one look at an instance; one that is paused does not answer.
const LOOK: Duration = Duration::from_secs(1);
/// Time for the answer to a submission, as long as the listener waits.
const SUBMIT: Duration = Duration::from_secs(16);

/// Size of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Entry instances in each zone.
    pub instances: usize,
    /// Workers in each zone.
    pub workers: usize,
    /// Time to serve a request, in milliseconds.
    pub service_ms: u64,
    /// Whether links between instances run through relays.
    pub relays: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            instances: 2,
            workers: 2,
            service_ms: 20,
            relays: false,
        }
    }
}

/// An entry instance.
#[derive(Debug)]
pub struct Instance {
    /// Its zone.
    pub zone: &'static str,
    /// Its process.
    pub process: Process,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for metrics and health checks.
    pub metrics: SocketAddr,
    /// Address that other instances connect to.
    peers: SocketAddr,
    _relay: Option<Relay>,
}

/// Workers of one zone, in one process.
#[derive(Debug)]
struct Rack {
    zone: &'static str,
    process: Process,
    workers: Vec<Listening>,
}

/// A running cell. The fields end in the order of their declaration.
#[derive(Debug)]
pub struct Cell {
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// The platform stand-in.
    pub platform: Process,
    /// Instances that callers are sent to.
    pub balancer: Balancer,
    /// Links that are cut; only with relays.
    pub cuts: Cuts,
    platform_address: SocketAddr,
    racks: Vec<Rack>,
    plan: Plan,
    folder: PathBuf,
    executor: Executor,
    clients: Clients,
    born: Instant,
    _turn: Turn,
}

/// Runs a test on a cell of its own, in which the manifest `manifest(1)` is in force and all
/// replicas run. Settings and logs of the processes stay in `target/<profile>/daisymast_cluster`.
pub fn run(name: &str, plan: Plan, test: impl AsyncFnOnce(&mut Cell)) {
    let turn = programs::turn();
    executor::run(4, async |executor| {
        let mut cell = Cell::start(executor, name, plan, turn).await;
        cell.settle().await;
        test(&mut cell).await;
    });
}

impl Cell {
    async fn start(executor: Executor, name: &str, plan: Plan, turn: Turn) -> Self {
        let born = Instant::now();
        let folder = programs::scratch(name);
        let mut racks = Vec::new();
        for zone in ZONES {
            racks.push(Rack::start(&folder, zone, plan).await);
        }
        let members: Vec<Member> = racks.iter().flat_map(Rack::members).collect();
        let settings = json!({ "members": members });
        let (platform, printed) =
            Process::start("daisymast-platform", &folder, "platform", &settings).await;
        let mut cell = Self {
            instances: BTreeMap::new(),
            platform,
            balancer: Balancer::default(),
            cuts: Cuts::default(),
            platform_address: address(&printed, "listening"),
            racks,
            plan,
            folder,
            clients: Clients::new(&executor),
            executor,
            born,
            _turn: turn,
        };
        for number in 0..plan.instances * ZONES.len() {
            let zone = ZONES[number % ZONES.len()];
            cell.start_instance(&format!("entry-{}", number + 1), zone)
                .await;
        }
        cell
    }

    /// Starts an instance and adds it to the platform's list and to the balancer. It knows the
    /// instances that run by its settings, and they learn of it by its heartbeats.
    pub async fn start_instance(&mut self, name: &str, zone: &'static str) {
        let relay = if self.plan.relays {
            Some(Relay::open(&self.executor, name, self.cuts.clone()).await)
        } else {
            None
        };
        let seeds = self
            .instances
            .iter()
            .map(|(name, one)| json!({"instance": name, "zone": one.zone, "address": one.peers}));
        let seeds: Vec<Value> = seeds.collect();
        let workers: Vec<Value> = self.racks.iter().flat_map(Rack::seeds).collect();
        let advertise = relay.as_ref().map(|relay| relay.address);
        let known = (self.platform_address, &seeds[..], &workers[..]);
        let settings = settings::instance((name, zone), known, advertise);
        let (process, printed) =
            Process::start("daisymast-entry", &self.folder, name, &settings).await;
        let own = address(&printed, "peers");
        if let Some(relay) = &relay {
            relay.set_target(own);
        }
        let instance = Instance {
            zone,
            process,
            callers: address(&printed, "callers"),
            operators: address(&printed, "operators"),
            metrics: address(&printed, "metrics"),
            peers: advertise.unwrap_or(own),
            _relay: relay,
        };
        self.register(MemberId::Instance(name.into()), zone, instance.peers)
            .await;
        self.instances.insert(name.to_owned(), instance);
        self.balance(|_| true);
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

    /// Sends callers to the instances that `takes` accepts by name.
    pub fn balance(&self, takes: impl Fn(&str) -> bool) {
        let taken = self.instances.iter().filter(|(name, _)| takes(name));
        let taken = taken.map(|(name, one)| (name.clone(), one.callers));
        self.balancer.set(taken.collect());
    }

    /// Takes the ready instances into the balancer. A look takes at most 1 s.
    pub async fn balance_ready(&self) {
        let mut ready = Vec::new();
        for (name, one) in &self.instances {
            if self.clients.is_ready(one.metrics, LOOK).await {
                ready.push((name.clone(), one.callers));
            }
        }
        self.balancer.set(ready);
    }

    /// Waits until the first manifest is in force and its services have all replicas.
    async fn settle(&mut self) {
        wait::until(SETTLE, "all instances see each other", async || {
            let statuses = self.statuses().await;
            let count = self.instances.len();
            let all = statuses.values().all(|one| one.peers.len() + 1 >= count);
            (all && statuses.len() == count).then_some(())
        })
        .await;
        let first = self.instances.keys().next().expect("an instance").clone();
        let accepted = self.submit(&first, Generation(0), manifest(1)).await;
        assert_eq!(
            accepted,
            OperatorReply::Accepted {
                generation: Generation(1)
            }
        );
        wait::until(
            SETTLE,
            "all replicas run and all partitions are owned",
            async || {
                let statuses = self.statuses().await;
                let running = |job: &str| running(&statuses, job);
                let owned: usize = statuses.values().map(|one| one.partitions.len()).sum();
                let replicas = running("quotes") == 9 && running("invoices") == 9;
                (replicas && owned == 16 && self.all_ready().await).then_some(())
            },
        )
        .await;
        // Instances learn by heartbeats which endpoints and partition owners the others have.
        wait::until(
            SETTLE,
            "a row of quotes and invoices is served",
            async || {
                let row = self.row().await;
                row.iter().all(|one| one.last().end.is_done()).then_some(())
            },
        )
        .await;
    }

    /// Sends a row of quotes and invoices to the instances of the balancer and waits for the ends.
    pub async fn row(&self) -> Vec<Record> {
        let pace = Duration::from_millis(25);
        let quotes = self.send(Load::quotes(ROW, pace));
        let invoices = self.send(Load::invoices(ROW, pace));
        [quotes.finish().await, invoices.finish().await].concat()
    }

    async fn all_ready(&self) -> bool {
        for one in self.instances.values() {
            if !self.clients.is_ready(one.metrics, LOOK).await {
                return false;
            }
        }
        true
    }

    /// Statuses of the instances that answer within 1 s.
    pub async fn statuses(&self) -> BTreeMap<String, Status> {
        let mut statuses = BTreeMap::new();
        for (name, one) in &self.instances {
            let request = OperatorRequest::Status;
            let reply = self.clients.operator(one.operators, &request, LOOK).await;
            if let Some(OperatorReply::Status(status)) = reply.done() {
                statuses.insert(name.clone(), status);
            }
        }
        statuses
    }

    /// Submits a manifest through an instance.
    ///
    /// # Panics
    /// The instance does not answer.
    pub async fn submit(
        &self,
        through: &str,
        expected: Generation,
        manifest: String,
    ) -> OperatorReply {
        let request = OperatorRequest::Submit { expected, manifest };
        let address = self.instances[through].operators;
        let reply = self.clients.operator(address, &request, SUBMIT).await;
        reply.done().expect("an answer to a submission")
    }

    /// Events that the instances recorded, in the order of their wall time. Instances that do not
    /// answer within 1 s are left out.
    pub async fn timeline(&self) -> Vec<TimelineEvent> {
        let mut all = Vec::new();
        for one in self.instances.values() {
            let request = OperatorRequest::Timeline { after: 0 };
            let reply = self.clients.operator(one.operators, &request, LOOK).await;
            if let Some(OperatorReply::Timeline { events }) = reply.done() {
                all.extend(events.into_iter().map(|(_, event)| event));
            }
        }
        all.sort_by_key(|event| event.at);
        all
    }

    /// Starts to send requests to the instances of the balancer.
    pub fn send(&self, load: Load) -> Running {
        load.start(&self.executor, &self.clients, &self.balancer)
    }

    /// Logs of all workers.
    pub async fn logs(&self) -> Vec<WorkerLog> {
        let mut logs = Vec::new();
        for rack in &self.racks {
            for worker in &rack.workers {
                logs.push(WorkerLog {
                    worker: worker.worker.clone(),
                    started: rack.process.started,
                    log: self.clients.log(worker.address).await,
                });
            }
        }
        logs
    }

    /// Sets the fault switches of the workers that `which` accepts by zone and name.
    pub async fn set_workers(&self, faults: &Faults, which: impl Fn(&str, &WorkerId) -> bool) {
        for rack in &self.racks {
            for worker in rack
                .workers
                .iter()
                .filter(|one| which(rack.zone, &one.worker))
            {
                let path = daisymast_worker::daemon::FAULTS_PATH;
                self.clients.post(worker.address, path, faults).await;
            }
        }
    }

    /// Sets the fault switches of the platform.
    pub async fn set_platform(&self, faults: PlatformFaults) {
        let request = FaultRequest::Set(faults);
        self.clients
            .post(self.platform_address, FAULTS_PATH, &request)
            .await;
    }

    /// Checks the rules of the fault matrix over all worker logs and these requests.
    ///
    /// # Panics
    /// A rule is broken. The message has the breaches and the end of the timeline.
    pub async fn judge(&self, records: &[Record]) {
        let found = judge::violations(self.born, &self.logs().await, records);
        if found.is_empty() {
            return;
        }
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        let timeline = self.timeline().await;
        let last = &timeline[timeline.len().saturating_sub(60)..];
        let last: Vec<String> = last.iter().map(|event| format!("{event:?}")).collect();
        panic!("{}\ntimeline:\n{}", found.join("\n"), last.join("\n"));
    }
}

/// Prints a measurement, which `cargo test -- --nocapture` shows.
#[expect(clippy::print_stdout, reason = "the output of a test")]
pub fn report(text: &str) {
    println!("{text}");
}

/// Running tasks of a job over all instances.
pub fn running(statuses: &BTreeMap<String, Status>, job: &str) -> u32 {
    let all = statuses.values().flat_map(|status| &status.running);
    let own = all.filter(|(name, _)| name.as_str() == job);
    own.map(|(_, tasks)| tasks).sum()
}

impl Rack {
    async fn start(folder: &std::path::Path, zone: &'static str, plan: Plan) -> Self {
        let name = zone.to_lowercase();
        let settings = json!({
            "name": name, "count": plan.workers, "worker": {"service_ms": plan.service_ms},
        });
        let file = format!("workers-{name}");
        let (process, printed) = Process::start("daisymast-worker", folder, &file, &settings).await;
        let workers = serde_json::from_value(printed["listening"].clone());
        Self {
            zone,
            process,
            workers: workers.expect("addresses of workers"),
        }
    }

    fn rack(&self) -> String {
        format!("{}-rack-1", self.zone.to_lowercase())
    }

    fn members(&self) -> Vec<Member> {
        let members = self.workers.iter().map(|one| Member {
            who: MemberId::Worker(one.worker.clone(), self.rack().as_str().into()),
            zone: self.zone.into(),
            address: one.address.to_string(),
            leaving: false,
        });
        members.collect()
    }

    fn seeds(&self) -> Vec<Value> {
        let seeds = self.workers.iter().map(|one| {
            json!({
                "worker": one.worker, "zone": self.zone, "rack": self.rack(),
                "address": one.address,
            })
        });
        seeds.collect()
    }
}

fn address(printed: &Value, field: &str) -> SocketAddr {
    let text = printed[field].as_str().expect("an address");
    text.parse().expect("an address")
}
