//! Bounds of a server.

use std::time::Duration;

use daisymast_protocol::limits;

/// Bounds of a server. The defaults are those of a listener for callers.
///
/// ```
/// use daisymast_http::server;
/// let limits = server::Limits::default().with_body_bytes(1_024);
/// assert_eq!(limits.connections, 2_048);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Request line and headers, in bytes.
    pub header_bytes: usize,
    /// Time for the whole header, also the time after which an idle connection is closed.
    pub header_timeout: Duration,
    /// Time for the whole body.
    pub body_timeout: Duration,
    /// Time without progress while an answer is written.
    pub write_timeout: Duration,
    /// Body, in bytes.
    pub body_bytes: usize,
    /// Time for which a shutdown still answers on idle connections. A request that is on its way
    /// when the shutdown begins would otherwise be cut off.
    pub shutdown_grace: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 2_048,
            header_bytes: 16 * 1024,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            body_bytes: limits::CALLER_BODY_BYTES,
            shutdown_grace: Duration::from_millis(100),
        }
    }
}

impl Limits {
    /// Sets the number of open connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the size of request line and headers.
    #[must_use]
    pub fn with_header_bytes(mut self, bytes: usize) -> Self {
        self.header_bytes = bytes;
        self
    }

    /// Sets the time for the whole header.
    #[must_use]
    pub fn with_header_timeout(mut self, timeout: Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets the time for the whole body.
    #[must_use]
    pub fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the time without progress while an answer is written.
    #[must_use]
    pub fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = timeout;
        self
    }

    /// Sets the size of a body.
    #[must_use]
    pub fn with_body_bytes(mut self, bytes: usize) -> Self {
        self.body_bytes = bytes;
        self
    }

    /// Sets the time for which a shutdown still answers on idle connections.
    #[must_use]
    pub fn with_shutdown_grace(mut self, grace: Duration) -> Self {
        self.shutdown_grace = grace;
        self
    }
}
