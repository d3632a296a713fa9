//! Counters of what a server accepted and refused.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A number that only rises.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a server accepted and refused since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Whole requests that reached the handler.
    pub requests: Counter,
    /// Connections refused because too many were open.
    pub connections_refused: Counter,
    /// Requests refused for the size of their header.
    pub headers_too_large: Counter,
    /// Connections closed because no whole header came in time, idle ones included.
    pub header_timeouts: Counter,
    /// Requests refused for the size of their body.
    pub bodies_too_large: Counter,
    /// Requests refused because the body did not come in time.
    pub body_timeouts: Counter,
    /// Connections closed because the other side did not read its answer.
    pub write_timeouts: Counter,
    /// Requests that broke off or were malformed.
    pub malformed: Counter,
    /// Failed accepts.
    pub accept_failures: Counter,
    open_connections: AtomicU64,
}

impl Counters {
    /// Open connections.
    pub fn open_connections(&self) -> u64 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts one more open connection until the result is dropped, unless `limit` are open.
    pub(super) fn try_open(self: &Arc<Self>, limit: usize) -> Option<ConnectionGuard> {
        // Only the accept loop adds, so no other thread can pass the limit in between.
        if self.open_connections() >= limit as u64 {
            self.connections_refused.increment();
            return None;
        }
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard(Arc::clone(self)))
    }
}

/// An open connection, for as long as it lives.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Arc<Counters>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
