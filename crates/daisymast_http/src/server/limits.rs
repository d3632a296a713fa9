//! Limits of a server.

use std::time::Duration;

use daisymast_protocol::limits;

/// Limits of a server. The defaults are those of a listener for callers.
///
/// ```
/// use daisymast_http::server;
/// let limits = server::Limits::default().with_body_bytes(1_024);
/// assert_eq!(limits.connections, 2_048);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections. Further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of request line and headers, in bytes.
    pub header_bytes: usize,
    /// Timeout for receiving the complete header. Also the time after which an idle connection is
    /// closed.
    pub header_timeout: Duration,
    /// Timeout for receiving the complete body.
    pub body_timeout: Duration,
    /// Maximum time without progress while a response is written.
    pub write_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time for which connections still accept requests after a shutdown has begun. Otherwise,
    /// requests that are in transit at that moment would be lost.
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
    /// Sets the maximum number of open connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the maximum size of request line and headers, in bytes.
    #[must_use]
    pub fn with_header_bytes(mut self, bytes: usize) -> Self {
        self.header_bytes = bytes;
        self
    }

    /// Sets the timeout for receiving the complete header.
    #[must_use]
    pub fn with_header_timeout(mut self, timeout: Duration) -> Self {
        self.header_timeout = timeout;
        self
    }

    /// Sets the timeout for receiving the complete body.
    #[must_use]
    pub fn with_body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the maximum time without progress while a response is written.
    #[must_use]
    pub fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = timeout;
        self
    }

    /// Sets the maximum size of a body, in bytes.
    #[must_use]
    pub fn with_body_bytes(mut self, bytes: usize) -> Self {
        self.body_bytes = bytes;
        self
    }

    /// Sets the time for which connections still accept requests after a shutdown has begun.
    #[must_use]
    pub fn with_shutdown_grace(mut self, grace: Duration) -> Self {
        self.shutdown_grace = grace;
        self
    }
}
