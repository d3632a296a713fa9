//! Cell of node processes with stand-ins for the store and the workers.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daisymast_cluster::{process, programs};
use daisymast_http::{client, executor};
use daisymast_stand_in::{fixtures as platform, store, worker};
use smol::Timer;

use crate::{clients, node, plan, relay};

/// Availability zones, assigned to nodes and workers in rotation.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time after which the registration of a crashed worker is removed: three heartbeat intervals.
pub(crate) const DEREGISTRATION_DELAY: Duration = Duration::from_millis(1_500);
/// Time limit for the first job to be accepted. No requirement bounds this time.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a node to exit after SIGTERM, after which it is killed.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between checks for the exit of a node or the acceptance of the first job.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Zone of the node or worker at a position.
pub(crate) fn zone(position: usize) -> &'static str {
    ZONES[position % ZONES.len()]
}

/// Size and links of a cell, and the program of its nodes.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Number of workers; [`plan::WORKERS`] if zero.
    pub workers: usize,
    /// Upper bound of the delays of links to workers. Each link has a fixed delay between a quarter
    /// of it and all of it.
    pub worker_link_delay: Duration,
    /// Program of the nodes; the one that was built from this source if `None`.
    pub program: Option<PathBuf>,
}

/// Node processes, the stand-ins that they use, and the links between them.
#[derive(Debug)]
pub struct Cell {
    pub(crate) executor: executor::Executor,
    /// Stand-in for the store.
    pub store: store::Store,
    /// Nodes in the order of their numbers.
    pub nodes: Vec<node::Node>,
    pub(crate) workers: Vec<worker::Worker>,
    pub(crate) worker_links: Vec<relay::Relay>,
    /// Callers, which send requests to all nodes.
    pub clients: clients::Clients,
    pub(crate) shared: worker::Shared,
    /// Positions of the workers that a sequence of restarts and cuts disturbs.
    pub(crate) disturbed: Mutex<BTreeSet<usize>>,
    version: AtomicU64,
}

impl Cell {
    /// Starts the stand-ins and opens the links of a cell without starting its nodes.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(executor: &executor::Executor, folder: &Path) -> std::io::Result<Self> {
        Self::open_with(executor, &Options::default(), folder).await
    }

    /// As [`Cell::open`], with other options than the default ones.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open_with(
        executor: &executor::Executor,
        options: &Options,
        folder: &Path,
    ) -> std::io::Result<Self> {
        let store = store::Store::start(executor).await?;
        let shared = worker::Shared::default();
        let mut workers = Vec::new();
        let mut worker_links = Vec::new();
        let worker_count = match options.workers {
            0 => plan::WORKERS,
            count => count,
        };
        for position in 0..worker_count {
            let worker = worker::Worker::start(executor, position, shared.clone()).await?;
            let link = relay::Relay::open(executor, worker.address()).await?;
            let link = match options.worker_link_delay {
                Duration::ZERO => link,
                delay => link.with_normal_mode(relay::Mode::Delayed(
                    delay.mul_f64(fastrand::f64() * 0.75 + 0.25),
                )),
            };
            let zone = zone(position);
            platform::register_worker(&store, &worker, link.address(), zone, false);
            workers.push(worker);
            worker_links.push(link);
        }
        platform::write_configuration(&store, 1, &plan::QUEUES);
        let program = match &options.program {
            Some(program) => program.clone(),
            None => programs::folder().join("daisymast-node"),
        };
        let mut nodes = Vec::new();
        for number in 0..plan::NODES {
            let zone = zone(number);
            let number = u8::try_from(number).unwrap_or(u8::MAX);
            let node = node::Node::new(executor, number, zone, store.address(), folder, &program);
            nodes.push(node.await?);
        }
        let client = client::Client::new(Arc::clone(executor), client::Settings::default());
        let addresses = nodes.iter().map(|node| node.callers).collect();
        Ok(Self {
            executor: Arc::clone(executor),
            store,
            nodes,
            workers,
            worker_links,
            clients: clients::Clients::new(client, addresses),
            shared,
            disturbed: Mutex::default(),
            version: AtomicU64::new(1),
        })
    }

    fn seeds(&self) -> Vec<std::net::SocketAddr> {
        let nodes = self.nodes.iter().take(ZONES.len());
        nodes.map(|node| node.peers.address()).collect()
    }

    /// Starts all nodes that are not running.
    ///
    /// # Errors
    /// The node program cannot be started, or a settings or log file cannot be written.
    pub fn start_all(&self) -> std::io::Result<()> {
        let seeds = self.seeds();
        self.nodes.iter().try_for_each(|node| node.start(&seeds))
    }

    /// Waits until a probe job is accepted, so that faults are injected into a working cell.
    /// Returns after a time limit in any case.
    pub async fn wait_until_ready(&self) {
        let started = Instant::now();
        let probe = plan::Job::probe();
        while started.elapsed() < READY_TIMEOUT {
            self.clients.run(probe.clone()).await;
            if !self.clients.unfinished_jobs().is_empty() {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Position of the node that the store names as the scheduler, if any.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.value(store::LEADER)?;
        let value: serde_json::Value = serde_json::from_slice(&value).ok()?;
        let name = value.get("node")?.get("id")?.as_str()?;
        self.nodes.iter().position(|node| node.name == name)
    }

    /// Returns the scheduler if `leader` is set and one is known, otherwise the given node.
    fn target_node(&self, node: usize, leader: bool) -> &node::Node {
        let position = if leader { self.leader() } else { None };
        &self.nodes[position.unwrap_or(node)]
    }

    /// Injects a fault and clears it after its duration.
    pub async fn inject(&self, scheduled: plan::ScheduledFault) {
        let duration = scheduled.duration;
        match scheduled.fault {
            plan::Fault::Kill { node, leader } => {
                let node = self.target_node(node, leader);
                node.kill();
                Timer::after(duration).await;
                self.restart(node);
            }
            plan::Fault::Pause { node, leader } => {
                let node = self.target_node(node, leader);
                node.signal(process::Signal::Stop);
                Timer::after(duration).await;
                node.signal(process::Signal::Continue);
            }
            plan::Fault::Terminate { node, leader } => {
                let node = self.target_node(node, leader);
                node.signal(process::Signal::Terminate);
                let started = Instant::now();
                while !node.has_exited() && started.elapsed() < TERMINATION_TIMEOUT {
                    Timer::after(POLL_INTERVAL).await;
                }
                node.kill();
                self.restart(node);
            }
            plan::Fault::KillAll => {
                self.nodes.iter().for_each(node::Node::kill);
                Timer::after(duration).await;
                self.nodes.iter().for_each(|node| self.restart(node));
            }
            plan::Fault::StoreOutage(outage) => {
                let faults = store::Faults {
                    outage,
                    ..store::Faults::default()
                };
                self.inject_store_faults(faults, duration).await;
            }
            plan::Fault::StoreDelay(delay) => {
                let faults = store::Faults {
                    delay,
                    ..store::Faults::default()
                };
                self.inject_store_faults(faults, duration).await;
            }
            plan::Fault::LostStoreResponses => {
                let faults = store::Faults {
                    lost_response_percent: 35,
                    ..store::Faults::default()
                };
                self.inject_store_faults(faults, duration).await;
            }
            plan::Fault::CompactStoreHistory => self.store.compact_history(),
            plan::Fault::StoreLink(node, mode) => {
                inject_link_mode(&self.nodes[node].store, mode, duration).await;
            }
            plan::Fault::PeerLink(node, mode) => {
                inject_link_mode(&self.nodes[node].peers, mode, duration).await;
            }
            plan::Fault::WorkerLink(worker, mode) => {
                inject_link_mode(&self.worker_links[worker], mode, duration).await;
            }
            plan::Fault::WorkerCrash(worker) => self.crash(worker, duration).await,
            plan::Fault::DelayedOrders(worker) => {
                let order_delay = Some(duration);
                let faults = worker::Faults {
                    order_delay,
                    ..worker::Faults::default()
                };
                self.inject_worker_faults(worker, faults, duration).await;
            }
            plan::Fault::Recut(disturbance) => self.recut(disturbance, duration).await,
            plan::Fault::FailingRuns(worker) => {
                let faults = worker::Faults {
                    fail_runs: true,
                    ..worker::Faults::default()
                };
                self.inject_worker_faults(worker, faults, duration).await;
            }
            plan::Fault::ConfigurationChange => {
                let version = self.version.fetch_add(1, Ordering::Relaxed);
                platform::write_configuration(&self.store, version + 1, &plan::QUEUES);
            }
        }
    }

    /// Restarts a node. A failure is ignored: other nodes take over its jobs, and the next restart
    /// tries again.
    fn restart(&self, node: &node::Node) {
        drop(node.start(&self.seeds()));
    }

    async fn inject_store_faults(&self, faults: store::Faults, duration: Duration) {
        self.store.set_faults(faults);
        Timer::after(duration).await;
        self.store.set_faults(store::Faults::default());
    }

    async fn inject_worker_faults(
        &self,
        worker: usize,
        faults: worker::Faults,
        duration: Duration,
    ) {
        self.workers[worker].set_faults(faults);
        Timer::after(duration).await;
        self.workers[worker].set_faults(worker::Faults::default());
    }

    async fn crash(&self, position: usize, duration: Duration) {
        let worker = &self.workers[position];
        worker.crash();
        Timer::after(duration.min(DEREGISTRATION_DELAY)).await;
        if duration > DEREGISTRATION_DELAY {
            platform::deregister_worker(&self.store, worker);
            Timer::after(duration - DEREGISTRATION_DELAY).await;
        }
        worker.reboot();
        let zone = zone(position);
        let address = self.worker_links[position].address();
        platform::register_worker(&self.store, worker, address, zone, false);
    }

    /// Clears all faults and starts the nodes that are not running.
    pub(crate) fn clear_faults(&self) -> std::io::Result<()> {
        self.store.set_faults(store::Faults::default());
        for link in &self.worker_links {
            link.restore();
        }
        for node in &self.nodes {
            node.store.restore();
            node.peers.restore();
            node.signal(process::Signal::Continue);
            node.has_exited();
        }
        self.start_all()
    }
}

pub(crate) async fn inject_link_mode(link: &relay::Relay, mode: relay::Mode, duration: Duration) {
    link.set_mode(mode);
    Timer::after(duration).await;
    link.restore();
}
