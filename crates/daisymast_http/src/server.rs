//! Server with bounds on connections, headers, bodies and times, and with graceful shutdown.

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

/// Pause after a failed accept. Such a failure is usually a lack of file descriptors, which passes
/// when connections end; without a pause the loop would use a whole core until then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark.
    pub query: Option<String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Address of the other side.
    pub peer: SocketAddr,
}

impl Request {
    /// Path with the query string, as keyed digests cover it.
    pub fn target(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        }
    }

    /// Value of a name in the query string, empty if it is not there. Escapes are not resolved.
    pub fn query_value(&self, name: &str) -> &str {
        let query = self.query.as_deref().unwrap_or_default();
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(key, _)| *key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Value of a header, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Whole body.
    pub body: Bytes,
    /// Time after which the caller may come back, in whole seconds.
    pub retry_after: Option<u32>,
    /// Whether the connection is closed after it.
    close_connection: bool,
    abort: bool,
}

impl Response {
    /// A response; a status outside of 100 to 999 becomes 500.
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

    /// Tells the caller when to come back, in whole seconds.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after = Some(seconds);
        self
    }

    /// Closes the connection after this answer, so that the caller's next request may reach another
    /// server.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.close_connection = true;
        self
    }

    /// Closes the connection without an answer, for stand-ins that simulate a lost answer.
    pub fn abort() -> Self {
        Self {
            abort: true,
            ..Self::text(500, Bytes::new())
        }
    }

    /// A response in plain text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }
}

/// A server that accepts connections until it is shut down or dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    counters: Arc<Counters>,
    /// Closed to stop the accept loop and the connections.
    stop: async_channel::Sender<()>,
    /// Closes when the accept loop and all connections have ended.
    ended: async_channel::Receiver<()>,
}

impl Server {
    /// Starts serving `listener` on `executor`, with `handler` called once for each whole request.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
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

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of what was accepted and refused.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Stops accepting, ends idle connections, and returns when all requests in flight are
    /// answered. The caller bounds the wait if it has to.
    pub async fn shutdown(self) {
        self.stop.close();
        // Nothing is sent on this channel: the error says that the last sender is gone.
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
                log::warn!("accept on listener failed: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            None => break,
        }
    }
    // Closing the listener resets what the kernel has accepted already, so these are served too.
    while let Some(Ok((stream, peer))) = future::poll_once(listener.accept()).await {
        start(stream, peer);
    }
}
