//! HTTP server with limits on connections, sizes and times, and with graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method, StatusCode};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::executor::Executor;
pub use counters::Counters;
pub use limits::Limits;

mod connection;
mod counters;
mod limits;
mod stream;

/// Delay before the next accept after a failed one. Accepting usually fails because the process has
/// run out of file descriptors, until connections are closed; without a delay, the accept loop
/// would use a whole core meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark.
    pub query: Option<String>,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Address of the client.
    pub peer: SocketAddr,
}

impl Request {
    /// Path with the query string. Message digests cover it in this form.
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }

    /// Value of a query parameter, empty if it is absent. Percent-encoding is not decoded.
    pub fn query_value(&self, name: &str) -> &str {
        let query = self.query.as_deref().unwrap_or_default();
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Value of a header; `None` if it is absent or contains other than visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Complete body.
    pub body: Bytes,
    /// Value of the `Retry-After` header, in seconds; `None` to omit the header.
    pub retry_after: Option<u32>,
    /// Whether the connection is closed after the response.
    close_connection: bool,
    /// Whether the connection is closed without a response.
    abort: bool,
}

impl Response {
    /// Creates a response. A `status` outside of 100 to 999 is replaced by 500.
    ///
    /// ```
    /// use daisymast_http::server;
    /// let response = server::Response::new(200, "text/plain", "ready");
    /// assert_eq!(response.status.as_u16(), 200);
    /// ```
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            content_type,
            body: body.into(),
            retry_after: None,
            close_connection: false,
            abort: false,
        }
    }

    /// Sets the `Retry-After` header, in seconds.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Closes the connection after this response, so that the client's next request can reach
    /// another server.
    #[must_use]
    pub fn with_connection_close(mut self) -> Self {
        self.close_connection = true;
        self
    }

    /// Closes the connection without a response. Used by stand-ins to simulate a lost response.
    pub fn abort() -> Self {
        Self {
            abort: true,
            ..Self::text(500, Bytes::new())
        }
    }

    /// Creates a plain-text response.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }
}

/// A running server. Accepts connections until it is shut down or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    counters: Arc<Counters>,
    /// Closed to shut down the accept loop and the connections.
    stop: async_channel::Sender<()>,
    /// Closed when the accept loop and all connections have ended.
    ended: async_channel::Receiver<()>,
}

impl Server {
    /// Starts serving `listener` on `executor`. `handler` is called once for each complete request.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address of the listener cannot be determined.
    pub fn start<H, F>(
        executor: &Executor,
        listener: TcpListener,
        limits: Limits,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(Request) -> F + Send + Sync + 'static,
        F: Future<Output = Response> + Send + 'static,
    {
        let (stop, stopped) = async_channel::bounded(1);
        let (running, ended) = async_channel::bounded(1);
        let server = Self {
            address: listener.local_addr()?,
            counters: Arc::default(),
            stop,
            ended,
        };
        let context = connection::ServerContext {
            limits,
            counters: Arc::clone(&server.counters),
            stopped,
            handler: Arc::new(handler),
        };
        let accept = accept_loop(Arc::clone(executor), listener, context, running);
        executor.spawn(accept).detach();
        Ok(server)
    }

    /// Local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of accepted and rejected requests and connections.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Stops accepting connections, closes idle ones, and returns when all requests in flight have
    /// been answered. Has no timeout of its own.
    pub async fn shutdown(self) {
        self.stop.close();
        // Nothing is ever sent: `recv` returns an error when the last sender is dropped.
        let _ = self.ended.recv().await;
    }
}

async fn accept_loop<H, F>(
    executor: Executor,
    listener: TcpListener,
    context: connection::ServerContext<H>,
    running: async_channel::Sender<()>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let start = |stream: TcpStream, peer: SocketAddr| {
        let Some(guard) = context.counters.try_open(context.limits.connections) else {
            return;
        };
        let context = context.clone();
        let running = running.clone();
        let serve = async move {
            connection::serve(&context, stream, peer).await;
            drop((guard, running));
        };
        executor.spawn(serve).detach();
    };
    let stopped = async {
        let _ = context.stopped.recv().await;
        None
    };
    let mut stopped = std::pin::pin!(stopped);
    loop {
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped.as_mut(), accepted).await {
            Some(Ok((stream, peer))) => start(stream, peer),
            Some(Err(error)) => {
                context.counters.accept_failures.increment();
                log::warn!("cannot accept a connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    // Closing the listener resets the connections in the kernel's accept queue, so they are
    // accepted and served first.
    while let Some(Ok((stream, peer))) = future::poll_once(listener.accept()).await {
        start(stream, peer);
    }
}
