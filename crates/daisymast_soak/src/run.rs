//! One run of a seed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_cluster::process;
use daisymast_http::{client, executor};
use daisymast_stand_in::{cell, store, worker};
use smol::Timer;

use crate::{check, clients, node, plan, relay};

/// Zones of the nodes and workers, in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time between two steps of the workers.
const STEP: Duration = Duration::from_millis(5);
/// Time after which the entry of a crashed worker is removed: three of its heartbeats.
const UNLIST: Duration = Duration::from_millis(1_500);
/// Time for the first node to take requests. No requirement bounds it.
const SETTLE: Duration = Duration::from_secs(20);
/// Time after the last fault within which all accepted jobs come to an end: 14 s from the platform's
/// bounds, and 6 s within which leases of silent workers expire.
const FINISH: Duration = Duration::from_secs(20);
/// Time for a node to end after SIGTERM.
const GRACE: Duration = Duration::from_secs(6);
/// Pause between two questions after a job.
const ASK: Duration = Duration::from_millis(400);
/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(50);

/// A seed and how long its traffic lasts.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The seed.
    pub seed: u64,
    /// Length of the traffic.
    pub traffic: Duration,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were seen as completed.
    pub completed: usize,
    /// Starts on workers.
    pub starts: usize,
    /// Calls to the store.
    pub calls: u64,
    /// Bytes in the store at the end.
    pub bytes: usize,
    /// Broken promises.
    pub broken: Vec<String>,
}

struct Cell {
    executor: executor::Executor,
    store: store::Store,
    nodes: Vec<node::Node>,
    workers: Vec<worker::Worker>,
    links: Vec<relay::Relay>,
    clients: clients::Clients,
    shared: worker::Shared,
    version: std::sync::atomic::AtomicU64,
}

/// Runs a seed. Logs of the nodes go to `folder`.
///
/// # Errors
/// A port cannot be bound, or a file or program cannot be used.
pub fn run(order: Order, folder: &Path) -> std::io::Result<Report> {
    match std::fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => std::fs::create_dir_all(folder)?,
    }
    let folder = folder.to_owned();
    executor::run(2, async |executor| play(executor, order, folder).await)
}

async fn play(
    executor: executor::Executor,
    order: Order,
    folder: PathBuf,
) -> std::io::Result<Report> {
    let cell = Arc::new(Cell::open(&executor, &folder).await?);
    let plan = plan::Plan::new(order.seed, order.traffic);
    for job in &plan.jobs {
        for (number, step) in (0_u16..).zip(&job.steps) {
            let need = worker::Need {
                work_ms: step.work_ms,
                gang: if step.gang { step.tasks } else { 1 },
            };
            worker::lock(&cell.shared.needs).insert((job.id, number), need);
        }
    }
    let stepping = executor.spawn(step_workers(Arc::clone(&cell)));
    cell.start_all()?;
    cell.settle().await;
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for job in plan.jobs.clone() {
        let clients = cell.clients.clone();
        tasks.push(executor.spawn(async move {
            Timer::at(begun + job.at).await;
            clients.run(job).await;
        }));
    }
    for timed in plan.faults.clone() {
        let cell = Arc::clone(&cell);
        tasks.push(executor.spawn(async move {
            Timer::at(begun + timed.at).await;
            cell.inject(timed).await;
        }));
    }
    let mut asked = plan.jobs.clone();
    asked.push(plan::Job::first());
    let asking = executor.spawn(ask_states(Arc::clone(&cell), asked));
    for task in tasks {
        task.await;
    }
    cell.heal()?;
    let calm = Instant::now();
    while !cell.clients.open().is_empty() && calm.elapsed() < FINISH {
        Timer::after(ASK).await;
    }
    asking.cancel().await;
    stepping.cancel().await;
    Ok(cell.report(&plan, calm))
}

async fn step_workers(cell: Arc<Cell>) {
    loop {
        cell.workers.iter().for_each(worker::Worker::advance);
        Timer::after(STEP).await;
    }
}

/// Asks for the states of all open jobs in turn.
async fn ask_states(cell: Arc<Cell>, jobs: Vec<plan::Job>) {
    loop {
        for id in cell.clients.open() {
            let Some(job) = jobs.iter().find(|job| job.id == id) else {
                continue;
            };
            let (clients, queue) = (cell.clients.clone(), job.queue);
            let ask = async move { clients.ask(id, queue).await };
            cell.executor.spawn(ask).detach();
        }
        Timer::after(ASK).await;
    }
}

impl Cell {
    async fn open(executor: &executor::Executor, folder: &Path) -> std::io::Result<Self> {
        let store = store::Store::start(executor).await?;
        let shared = worker::Shared::default();
        let mut workers = Vec::new();
        let mut links = Vec::new();
        for position in 0..plan::WORKERS {
            let worker = worker::Worker::start(executor, position, shared.clone()).await?;
            let link = relay::Relay::open(executor, worker.address()).await?;
            let zone = ZONES[position % ZONES.len()];
            cell::list_worker(&store, &worker, link.address(), zone, false);
            workers.push(worker);
            links.push(link);
        }
        cell::configure(&store, 1, &plan::QUEUES);
        let mut nodes = Vec::new();
        for number in 0..plan::NODES {
            let zone = ZONES[number % ZONES.len()];
            let number = u8::try_from(number).unwrap_or(u8::MAX);
            let node = node::Node::new(executor, number, zone, store.address(), folder);
            nodes.push(node.await?);
        }
        let client = client::Client::new(Arc::clone(executor), client::Settings::default());
        let addresses = nodes.iter().map(|node| node.callers).collect();
        Ok(Self {
            executor: Arc::clone(executor),
            store,
            nodes,
            workers,
            links,
            clients: clients::Clients::new(client, addresses),
            shared,
            version: std::sync::atomic::AtomicU64::new(1),
        })
    }

    fn seeds(&self) -> Vec<std::net::SocketAddr> {
        let nodes = self.nodes.iter().take(ZONES.len());
        nodes.map(|node| node.peers.address()).collect()
    }

    fn start_all(&self) -> std::io::Result<()> {
        let seeds = self.seeds();
        self.nodes.iter().try_for_each(|node| node.start(&seeds))
    }

    /// Waits until a job is accepted, so that the faults meet a cell at work.
    async fn settle(&self) {
        let begun = Instant::now();
        let first = plan::Job::first();
        while begun.elapsed() < SETTLE {
            self.clients.run(first.clone()).await;
            if !self.clients.open().is_empty() {
                return;
            }
            Timer::after(LOOK).await;
        }
    }

    /// The node that the store names as the scheduler.
    fn leader(&self) -> Option<usize> {
        let value = self.store.value(daisymast_stand_in::store::LEADER)?;
        let value: serde_json::Value = serde_json::from_slice(&value).ok()?;
        let name = value.get("node")?.get("id")?.as_str()?;
        self.nodes.iter().position(|node| node.name == name)
    }

    fn hit(&self, node: usize, leader: bool) -> &node::Node {
        let position = if leader { self.leader() } else { None };
        &self.nodes[position.unwrap_or(node)]
    }

    async fn inject(&self, timed: plan::Timed) {
        let lasts = timed.lasts;
        match timed.fault {
            plan::Fault::Kill { node, leader } => {
                let node = self.hit(node, leader);
                node.kill();
                Timer::after(lasts).await;
                self.restart(node);
            }
            plan::Fault::Pause { node, leader } => {
                let node = self.hit(node, leader);
                node.signal(process::Signal::Stop);
                Timer::after(lasts).await;
                node.signal(process::Signal::Continue);
            }
            plan::Fault::Terminate { node, leader } => {
                let node = self.hit(node, leader);
                node.signal(process::Signal::Terminate);
                let begun = Instant::now();
                while !node.has_ended() && begun.elapsed() < GRACE {
                    Timer::after(LOOK).await;
                }
                node.kill();
                self.restart(node);
            }
            plan::Fault::KillAll => {
                self.nodes.iter().for_each(node::Node::kill);
                Timer::after(lasts).await;
                self.nodes.iter().for_each(|node| self.restart(node));
            }
            plan::Fault::Outage(outage) => {
                let faults = store::Faults {
                    outage,
                    ..store::Faults::default()
                };
                self.trouble_store(faults, lasts).await;
            }
            plan::Fault::Slow(delay) => {
                let faults = store::Faults {
                    delay,
                    ..store::Faults::default()
                };
                self.trouble_store(faults, lasts).await;
            }
            plan::Fault::Lost => {
                let faults = store::Faults {
                    lost_percent: 35,
                    ..store::Faults::default()
                };
                self.trouble_store(faults, lasts).await;
            }
            plan::Fault::Forget => self.store.forget_history(),
            plan::Fault::StoreLink(node, mode) => {
                trouble_link(&self.nodes[node].store, mode, lasts).await;
            }
            plan::Fault::PeerLink(node, mode) => {
                trouble_link(&self.nodes[node].peers, mode, lasts).await;
            }
            plan::Fault::WorkerLink(worker, mode) => {
                trouble_link(&self.links[worker], mode, lasts).await;
            }
            plan::Fault::Crash(worker) => self.crash(worker, lasts).await,
            plan::Fault::Late(worker) => {
                let late = Some(lasts);
                let faults = worker::Faults {
                    late,
                    ..worker::Faults::default()
                };
                self.trouble_worker(worker, faults, lasts).await;
            }
            plan::Fault::Failing(worker) => {
                let faults = worker::Faults {
                    failing: true,
                    ..worker::Faults::default()
                };
                self.trouble_worker(worker, faults, lasts).await;
            }
            plan::Fault::Configure => {
                let version = self
                    .version
                    .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                cell::configure(&self.store, version + 1, &plan::QUEUES);
            }
        }
    }

    /// A node that cannot be started leaves its jobs to the others, and the next restart tries again.
    fn restart(&self, node: &node::Node) {
        drop(node.start(&self.seeds()));
    }

    async fn trouble_store(&self, faults: store::Faults, lasts: Duration) {
        self.store.set_faults(faults);
        Timer::after(lasts).await;
        self.store.set_faults(store::Faults::default());
    }

    async fn trouble_worker(&self, worker: usize, faults: worker::Faults, lasts: Duration) {
        self.workers[worker].set_faults(faults);
        Timer::after(lasts).await;
        self.workers[worker].set_faults(worker::Faults::default());
    }

    async fn crash(&self, position: usize, lasts: Duration) {
        let worker = &self.workers[position];
        worker.crash();
        Timer::after(lasts.min(UNLIST)).await;
        if lasts > UNLIST {
            cell::unlist_worker(&self.store, worker);
            Timer::after(lasts - UNLIST).await;
        }
        worker.reboot();
        let zone = ZONES[position % ZONES.len()];
        let address = self.links[position].address();
        cell::list_worker(&self.store, worker, address, zone, false);
    }

    /// Ends all faults.
    fn heal(&self) -> std::io::Result<()> {
        self.store.set_faults(store::Faults::default());
        for link in &self.links {
            link.set(relay::Mode::Open);
        }
        for node in &self.nodes {
            node.store.set(relay::Mode::Open);
            node.peers.set(relay::Mode::Open);
            node.signal(process::Signal::Continue);
            node.has_ended();
        }
        self.start_all()
    }

    fn report(&self, plan: &plan::Plan, calm: Instant) -> Report {
        let events = worker::lock(&self.shared.log).clone();
        let book = worker::lock(&self.clients.book).clone();
        let is_late = |timed: &plan::Timed| matches!(timed.fault, plan::Fault::Late(_));
        let history = check::History {
            events: &events,
            book: &book,
            calm,
            late_orders: plan.faults.iter().any(is_late),
        };
        let is_start = |event: &&worker::Event| event.what == worker::What::Started;
        Report {
            accepted: book.values().filter(|seen| seen.accepted.is_some()).count(),
            completed: book
                .values()
                .filter(|seen| seen.completed.is_some())
                .count(),
            starts: events.iter().filter(is_start).count(),
            calls: self.store.calls(),
            bytes: self.store.bytes(),
            broken: check::broken(&history),
        }
    }
}

async fn trouble_link(link: &relay::Relay, mode: relay::Mode, lasts: Duration) {
    link.set(mode);
    Timer::after(lasts).await;
    link.set(relay::Mode::Open);
}
