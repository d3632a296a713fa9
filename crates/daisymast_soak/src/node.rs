//! Node processes and the relays on their links.

use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

use daisymast_cluster::process;
use daisymast_http::executor;
use daisymast_stand_in::fixtures;

use crate::relay;

/// A node process and its links.
#[derive(Debug)]
pub struct Node {
    /// Node name in the settings, which also names its settings and log files.
    pub name: String,
    /// Availability zone.
    pub zone: &'static str,
    /// Listening address for requests of callers.
    pub callers: SocketAddr,
    /// Link from the node to the store.
    pub store: relay::Relay,
    /// Link from other nodes to this node.
    pub peers: relay::Relay,
    listen_peers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Returns an address whose port is free. Outgoing connections use a different loopback address, so
/// they cannot take the port before the node binds it.
fn free_address(host: [u8; 4]) -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind(SocketAddr::from((host, 0)))?.local_addr()
}

impl Node {
    /// Chooses the addresses and opens the links of a node without starting its process.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn new(
        executor: &executor::Executor,
        number: u8,
        zone: &'static str,
        store: SocketAddr,
        folder: &Path,
        program: &Path,
    ) -> std::io::Result<Self> {
        let host = [127, 81, fastrand::u8(1..255), number + 1];
        let listen_peers = free_address(host)?;
        Ok(Self {
            name: format!("node-{number}"),
            zone,
            callers: free_address(host)?,
            store: relay::Relay::open(executor, store).await?,
            peers: relay::Relay::open(executor, listen_peers).await?,
            listen_peers,
            readiness: free_address(host)?,
            folder: folder.to_owned(),
            program: program.to_owned(),
            child: Mutex::new(None),
        })
    }

    /// Ignores poisoning: the value is only replaced as a whole, so it stays valid after a panic.
    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the process unless it was started already. Output is appended to the log of earlier
    /// processes of this node.
    ///
    /// # Errors
    /// The program cannot be started, or the settings or log file cannot be written.
    pub fn start(&self, seeds: &[SocketAddr]) -> std::io::Result<()> {
        let mut child = self.child();
        if child.is_some() {
            return Ok(());
        }
        let addresses = fixtures::Addresses {
            callers: self.callers,
            readiness: self.readiness,
            peers: self.peers.address(),
            store: self.store.address(),
        };
        let settings = self.folder.join(format!("{}.toml", self.name));
        let text = fixtures::settings(&self.name, self.zone, addresses, seeds);
        std::fs::write(&settings, text)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let started = Command::new(&self.program)
            .arg("--settings")
            .arg(&settings)
            .arg("--listen-peers")
            .arg(self.listen_peers.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Sends a signal unless the process has exited.
    pub fn signal(&self, signal: process::Signal) {
        if let Some(child) = self.child().as_mut()
            && matches!(child.try_wait(), Ok(None))
        {
            process::send(child, signal);
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            // Killing fails only if the process has exited. It also works on a suspended process.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Whether the process has exited. If so, it is reaped and can be started again.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child();
        let ended = match child.as_mut() {
            Some(running) => !matches!(running.try_wait(), Ok(None)),
            None => true,
        };
        if ended {
            *child = None;
        }
        ended
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
