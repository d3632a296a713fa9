//! Connection pool with a limit per address.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisymast_types::collections::FastMap;
use http_body_util::Full;
use hyper::client::conn::http1;
use rustix::net::sockopt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::Settings;
use super::stream::{LimitedStream, SendLimit};
use crate::executor;

/// An open connection. Dropping it cancels its driver, which resets the connection: bytes that the
/// kernel has not delivered are lost.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    /// Whether an exchange was completed on this connection.
    pub(super) used: bool,
    pub(super) limit: SendLimit,
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
    /// When expired connections to all addresses were last evicted.
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

    /// Returns the most recently used idle connection that is still open, or opens a new one.
    pub(super) async fn acquire(&self, address: SocketAddr) -> io::Result<Connection> {
        while let Some(mut connection) = self.pop_idle(address) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.connect(address).await
    }

    /// Returns a connection to the pool after its exchange is complete.
    pub(super) fn release(&self, address: SocketAddr, mut connection: Connection) {
        connection.used = true;
        if connection.sender.is_closed() {
            return;
        }
        let mut state = self.lock();
        let now = Instant::now();
        // Addresses change as instances are replaced, so expired connections and empty entries of
        // all addresses are evicted here.
        if now.duration_since(state.last_evicted) >= self.settings.max_idle_age {
            state.last_evicted = now;
            state.idle.retain(|_, connections| {
                connections.retain(|idle| self.is_usable(idle, now));
                !connections.is_empty()
            });
        }
        let connections = state.idle.entry(address).or_default();
        if connections.len() < self.settings.max_idle_connections {
            connections.push(IdleConnection {
                connection,
                last_used: now,
            });
        }
    }

    /// Evicts the connections to an address that were last used before `time`. If one connection
    /// stops responding, the others to the same peer often have as well, and each would cost a call
    /// its whole timeout.
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
        now.duration_since(idle.last_used) < self.settings.max_idle_age
            && !idle.connection.sender.is_closed()
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        // Closing resets the connection. After a graceful close, the kernel would go on delivering the
        // rest of a request whose call has ended. A system without one of the options is no reason to
        // make no calls.
        let _ = sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
        if let Some(timeout) = self.settings.delivery_timeout {
            let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
            let _ = sockopt::set_tcp_user_timeout(&stream, millis);
        }
        let limit = SendLimit::new(self.settings.clock);
        let stream = LimitedStream {
            stream,
            limit: limit.clone(),
        };
        let (sender, driver) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The exchange sees a connection error through its sender.
        let driver = self.executor.spawn(async move { drop(driver.await) });
        Ok(Connection {
            sender,
            used: false,
            limit,
            _driver: driver,
        })
    }

    /// Ignores lock poisoning: the state is consistent after each statement.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
