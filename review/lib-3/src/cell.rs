//! Node processes, the store, and callers.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_http::{client, executor};
use daisymast_protocol::outcome::Outcome;
use daisymast_stand_in::store;
use serde_json::{Value, json};

use crate::world::{self, lock};

/// Host of all routes.
const HOST: &str = "jobs.example";
/// Availability zones, assigned to nodes and workers in rotation.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time that the store takes for an answer.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Time for which callers wait for an answer, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// A node process and its addresses.
#[derive(Debug)]
pub struct Node {
    name: String,
    zone: &'static str,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    child: Mutex<Option<Child>>,
    /// Process that reads the node's output, if there is one.
    log_reader: Mutex<Option<Child>>,
}

/// Node processes with the stand-ins that they use.
pub struct Cell {
    /// Stand-in for the store.
    pub store: store::Store,
    /// Nodes in the order of their numbers.
    pub nodes: Vec<Node>,
    /// Stand-ins for the workers.
    pub world: world::Shared,
    folder: PathBuf,
    has_log_readers: bool,
    client: client::Client,
}

/// A queue of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Name, which is also the path prefix.
    pub name: &'static str,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Service whose workers run the tasks.
    pub service: &'static str,
}

/// Returns an address whose port is free. Outgoing connections use another loopback address, so they
/// cannot take the port before the node binds it.
fn free_address(host: [u8; 4]) -> std::io::Result<SocketAddr> {
    TcpListener::bind(SocketAddr::from((host, 0)))?.local_addr()
}

impl Cell {
    /// Starts the store and chooses the addresses of the nodes, which are not started yet. With
    /// `has_log_readers`, the output of each node goes through a pipe to a process of its own.
    pub async fn open(
        executor: &executor::Executor,
        world: world::Shared,
        folder: &Path,
        node_count: usize,
        has_log_readers: bool,
    ) -> std::io::Result<Self> {
        let store = store::Store::start(executor).await?;
        store.set_faults(store::Faults {
            delay: STORE_DELAY,
            ..store::Faults::default()
        });
        let network = fastrand::u8(1..255);
        let mut nodes = Vec::new();
        for number in 0..node_count {
            let host = [127, 83, network, u8::try_from(number + 1).unwrap_or(1)];
            nodes.push(Node {
                name: format!("edge-{number}"),
                zone: ZONES[number % ZONES.len()],
                front: free_address(host)?,
                ready: free_address(host)?,
                control: free_address(host)?,
                child: Mutex::new(None),
                log_reader: Mutex::new(None),
            });
        }
        Ok(Self {
            store,
            nodes,
            world,
            folder: folder.to_owned(),
            has_log_readers,
            client: client::Client::new(Arc::clone(executor), client::Settings::default()),
        })
    }

    /// Writes the registration of a worker to the store.
    pub fn register(&self, at: usize) {
        let (id, entry) = {
            let world = lock(&self.world);
            (world.workers[at].id.clone(), world.registration(at))
        };
        let key = format!("servers/{id}");
        self.store.put(&key, entry.to_string().into_bytes());
    }

    /// Removes the registration of a worker from the store.
    pub fn deregister(&self, at: usize) {
        let id = lock(&self.world).workers[at].id.clone();
        self.store.remove(&format!("servers/{id}"));
    }

    /// Writes a configuration with these queues.
    pub fn configure(&self, version: u64, queues: &[Queue]) {
        let route = |queue: &Queue| {
            json!({
                "name": queue.name,
                "host": HOST,
                "prefix": format!("/{}/", queue.name),
                "service": queue.service,
                "priority": queue.priority,
                "max_attempts": 4,
                "stretch": 2.0,
                "target_latency_ms": 500,
            })
        };
        let mut services: Vec<&str> = queues.iter().map(|queue| queue.service).collect();
        services.sort_unstable();
        services.dedup();
        let service =
            |name: &&str| json!({"name": name, "standby": false, "admission_check": false});
        let config = json!({
            "version": version,
            "routes": queues.iter().map(route).collect::<Vec<_>>(),
            "services": services.iter().map(service).collect::<Vec<_>>(),
            "limits": {},
        });
        self.store.put("op/config", config.to_string().into_bytes());
    }

    /// Starts a node with the command of the deploy file, in the root of the repository.
    pub fn start(&self, at: usize) -> std::io::Result<()> {
        let node = &self.nodes[at];
        let settings = self.folder.join(format!("{}.toml", node.name));
        std::fs::write(&settings, self.settings(node))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))?;
        let output = if self.has_log_readers {
            self.start_log_reader(node, &log)?
        } else {
            Stdio::from(log.try_clone()?)
        };
        let child = Command::new("target/release/daisymast-node")
            .env("DAISYMAST_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()?;
        self.note_process(&child)?;
        *lock(&node.child) = Some(child);
        Ok(())
    }

    fn start_log_reader(&self, node: &Node, log: &std::fs::File) -> std::io::Result<Stdio> {
        let mut reader = Command::new(std::env::current_exe()?)
            .arg("read-log")
            .stdin(Stdio::piped())
            .stdout(log.try_clone()?)
            .spawn()?;
        self.note_process(&reader)?;
        let input = reader.stdin.take();
        *lock(&node.log_reader) = Some(reader);
        Ok(input.map_or_else(Stdio::null, Stdio::from))
    }

    /// Notes the ID of a process, so that the script ends it even if this program is killed.
    fn note_process(&self, child: &Child) -> std::io::Result<()> {
        let mut ids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("processes"))?;
        writeln!(ids, "{}", child.id())
    }

    fn settings(&self, node: &Node) -> String {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .take(ZONES.len())
            .map(|seed| format!("\"{}\"", seed.control))
            .collect();
        let zones: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"region\""))
            .collect();
        format!(
            "node_name = \"{name}\"\n\
             role = \"node\"\n\
             machine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\n\
             ip = \"{ip}\"\n\
             zone = \"{zone}\"\n\
             region = \"region\"\n\
             seeds = [{seeds}]\n\
             bootstrap = true\n\
             discovery = \"platform\"\n\
             entry = \"vip\"\n\
             heartbeat_ms = 1500\n\
             orders = \"call\"\n\
             advice = \"\"\n\
             [zones]\n\
             {zones}\n\
             [listen]\n\
             front = \"{front}\"\n\
             ready = \"{ready}\"\n\
             control = \"{control}\"\n\
             [limits]\n\
             cpu_share = 0.25\n\
             cores = 1\n\
             memory_mb = 260\n\
             max_fds = 4100\n\
             link_mbps = 1000.0\n\
             disk_mb = 0\n\
             [fault_tolerance]\n\
             machines = 2\n\
             zones = 1\n\
             regions = 0\n\
             [bounds]\n\
             seed_lag_s = 3\n\
             addr_reuse_s = 2\n\
             contact_ms = 3000\n\
             ack_ms = 4000\n\
             catch_up_s = 4\n\
             drain_ms = 2000\n\
             grace_s = 6\n\
             loss_slack_ms = 200\n\
             config_apply_ms = 2000\n\
             rollback_slack_ms = 250\n\
             max_stretch_ms = 5000\n\
             recovery_s = 12\n\
             max_hold_ms = {max_hold_ms}\n\
             stop_ms = 900\n\
             gang_timeout_ms = 3000\n\
             cancel_ms = 3000\n\
             visible_ms = 3000\n\
             early_ms = 250\n\
             finish_s = 14\n\
             status_s = 120\n\
             far_factor = 2\n\
             checkpoint_s = 0.5\n\
             restore_ms = 600\n\
             require_fencing = false\n\
             lease_ms = 3000\n\
             [platform]\n\
             address = \"{store}\"\n\
             form = \"kv\"\n\
             writes_per_s = 400\n\
             reads_per_s = 2000\n\
             history_s = 20\n\
             value_bytes = 1048576\n\
             min_ttl_ms = 1000\n",
            name = node.name,
            ip = node.front.ip(),
            zone = node.zone,
            seeds = seeds.join(","),
            zones = zones.join("\n"),
            front = node.front,
            ready = node.ready,
            control = node.control,
            max_hold_ms = world::MAX_HOLD_MS,
            store = self.store.address(),
        )
    }

    /// Sends a signal, such as `-TERM`, to a node that runs.
    pub fn signal(&self, at: usize, signal: &str) {
        send_signal(&self.nodes[at].child, signal);
    }

    /// Sends a signal to the process that reads the output of a node.
    pub fn signal_log_reader(&self, at: usize, signal: &str) {
        send_signal(&self.nodes[at].log_reader, signal);
    }

    /// Whether the process of a node runs.
    pub fn is_running(&self, at: usize) -> bool {
        let mut child = lock(&self.nodes[at].child);
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Position of the node that the store names as the leader, unless it has resigned.
    pub fn leader(&self) -> Option<usize> {
        let value: Value = serde_json::from_slice(&self.store.value(store::LEADER)?).ok()?;
        let name = value["node"]["id"].as_str()?;
        let has_resigned = value["resigned"].as_bool() == Some(true);
        let position = self.nodes.iter().position(|node| node.name == name);
        position.filter(|_| !has_resigned)
    }

    /// Sends a request of a caller to a node. Returns the status and the body, or `None` if there was no
    /// answer in time.
    pub async fn send(
        &self,
        at: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, Value)> {
        let deadline = DEADLINE_MS.to_string();
        let timeout = Duration::from_millis(DEADLINE_MS);
        let call = client::Call::new(self.nodes[at].front, path, timeout)
            .with_header("Host", HOST)
            .with_header("Deadline-Ms", &deadline);
        let outcome = if method == "POST" {
            let body = body.to_owned().into();
            self.client.post(&call, "application/json", body).await
        } else {
            self.client.get(&call).await
        };
        match outcome {
            Outcome::Done(response) => {
                let body = serde_json::from_slice(&response.body).unwrap_or_default();
                Some((response.status.as_u16(), body))
            }
            Outcome::NoEffect(_) | Outcome::Unknown(_) => None,
        }
    }

    /// Whether a node answers the platform's readiness check with 200.
    pub async fn is_ready(&self, at: usize) -> bool {
        let timeout = Duration::from_secs(1);
        let call = client::Call::new(self.nodes[at].ready, "/v1/ready", timeout);
        let outcome = self.client.get(&call).await;
        matches!(outcome, Outcome::Done(response) if response.status.as_u16() == 200)
    }

    /// Ends all processes that were started.
    pub fn end_processes(&self) {
        for node in &self.nodes {
            for process in [&node.child, &node.log_reader] {
                if let Some(mut child) = lock(process).take() {
                    // Fails only if the process has exited.
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
        }
    }
}

fn send_signal(process: &Mutex<Option<Child>>, signal: &str) {
    let mut process = lock(process);
    if let Some(child) = process.as_mut()
        && matches!(child.try_wait(), Ok(None))
    {
        let id = child.id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }
}
