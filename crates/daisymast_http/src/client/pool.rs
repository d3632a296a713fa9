//! Kept connections, bounded for each address.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use daisymast_types::collections::FastMap;
use http_body_util::Full;
use hyper::client::conn::http1;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::Settings;
use crate::executor;

/// An open connection. Dropping it closes the socket.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    /// Whether an exchange was completed on it.
    pub(super) used: bool,
    _driver: smol::Task<()>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    last_used: Instant,
}

#[derive(Debug)]
pub(super) struct Pool {
    executor: executor::Executor,
    settings: Settings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    idle: FastMap<SocketAddr, Vec<IdleConnection>>,
    /// When connections that had become too old were last dropped.
    last_evicted: Instant,
}

impl Pool {
    pub(super) fn new(executor: executor::Executor, settings: Settings) -> Self {
        Self {
            executor,
            settings,
            state: Mutex::new(State {
                idle: FastMap::default(),
                last_evicted: Instant::now(),
            }),
        }
    }

    /// The most recently used idle connection that is still open, or a new one.
    pub(super) async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        while let Some(mut connection) = self.pop_idle(address) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect(address).await
    }

    /// Keeps a connection whose exchange is complete.
    pub(super) fn release(&self, address: SocketAddr, mut connection: Connection) {
        connection.used = true;
        if connection.sender.is_closed() {
            return;
        }
        let mut state = self.lock();
        let now = Instant::now();
        // Addresses come and go with instances, so the entries of unused ones are dropped here.
        if now.duration_since(state.last_evicted) >= self.settings.idle_age {
            state.last_evicted = now;
            state.idle.retain(|_, connections| {
                connections.retain(|idle| self.is_usable(idle, now));
                !connections.is_empty()
            });
        }
        let connections = state.idle.entry(address).or_default();
        if connections.len() < self.settings.idle_connections {
            connections.push(IdleConnection {
                connection,
                last_used: now,
            });
        }
    }

    /// Drops connections to an address that have answered nothing since a time. One connection that
    /// went silent is often not the only one, and each would cost a call its whole time.
    pub(super) fn evict_last_used_before(&self, address: SocketAddr, time: Instant) {
        if let Some(connections) = self.lock().idle.get_mut(&address) {
            connections.retain(|idle| idle.last_used >= time);
        }
    }

    pub(super) fn idle_count(&self, address: SocketAddr) -> usize {
        self.lock().idle.get(&address).map_or(0, Vec::len)
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut state = self.lock();
        let connections = state.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = connections.pop() {
            if self.is_usable(&idle, now) {
                return Some(idle.connection);
            }
        }
        None
    }

    fn is_usable(&self, idle: &IdleConnection, now: Instant) -> bool {
        now.duration_since(idle.last_used) < self.settings.idle_age
            && !idle.connection.sender.is_closed()
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // A failure of the connection reaches the exchange through its sender.
        let driver = self.executor.spawn(async move { drop(driver.await) });
        Ok(Connection {
            sender,
            used: false,
            _driver: driver,
        })
    }

    /// The state is valid after each statement, so a panic elsewhere does not spoil it.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
