//! Counters of accepted and rejected requests and connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A monotonic counter.
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

/// Numbers of accepted and rejected requests and connections since the start of the server.
#[derive(Debug, Default)]
pub struct Counters {
    /// Complete requests passed to the handler.
    pub requests: Counter,
    /// Connections closed on accept because [`Limits::connections`](super::Limits::connections)
    /// were open.
    pub connections_refused: Counter,
    /// Requests rejected because of the size of the header.
    pub headers_too_large: Counter,
    /// Connections closed because no complete header was received in time, including idle ones.
    pub header_timeouts: Counter,
    /// Requests rejected because of the size of the body.
    pub bodies_too_large: Counter,
    /// Requests rejected because the body was not received in time.
    pub body_timeouts: Counter,
    /// Connections closed because the client did not read its response.
    pub write_timeouts: Counter,
    /// Requests that were malformed or incomplete.
    pub malformed: Counter,
    /// Failed attempts to accept a connection.
    pub accept_failures: Counter,
    open_connections: AtomicU64,
}

impl Counters {
    /// Number of open connections.
    pub fn open_connections(&self) -> u64 {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a connection as open until the returned guard is dropped. Returns `None` if `limit`
    /// connections are open.
    pub(super) fn try_open(self: &Arc<Self>, limit: usize) -> Option<ConnectionGuard> {
        // Only the accept loop increments the number, so it cannot exceed the limit between the
        // check and the increment.
        if self.open_connections() >= limit as u64 {
            self.connections_refused.increment();
            return None;
        }
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionGuard(Arc::clone(self)))
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Arc<Counters>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
