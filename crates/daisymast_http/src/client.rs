//! HTTP client with deadlines and a connection pool per address.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use daisymast_protocol::limits;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_types::time::{Monotonic, UnixMillis};
use futures_lite::future;
use http::{HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use nix::time::{ClockId, clock_gettime};
use smol::Timer;

use crate::auth;
use crate::executor;
use pool::{Connection, Pool};

mod pool;
mod stream;

/// Maximum number of additional headers of a call: the name of the host and a credential.
pub const MAX_HEADERS: usize = 2;

/// Destination and options of a request, and the operation and peer that its errors name.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Path with the query string.
    pub path: &'a str,
    /// Timeout for the whole exchange, from connecting to the end of the response.
    pub timeout: Duration,
    /// Time on the client's clock from which on nothing of the request is sent, if it is earlier than
    /// the end of the timeout.
    pub send_by: Option<Monotonic>,
    /// Operation that error messages name, such as `renew control lease`.
    pub step: &'a str,
    /// Peer that error messages name, such as `worker w-7`.
    pub peer: &'a str,
    /// Key that signs the request; `None` if the peer does not require authentication.
    pub key: Option<&'a auth::Key>,
    /// Names and values of additional headers. A `Host` header replaces the default, the address.
    pub headers: [Option<(&'a str, &'a str)>; MAX_HEADERS],
}

impl<'a> Call<'a> {
    /// Creates a call without authentication and with generic names in its errors.
    pub fn new(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Self {
            address,
            path,
            timeout,
            send_by: None,
            step: "call",
            peer: "peer",
            key: None,
            headers: [None; MAX_HEADERS],
        }
    }

    /// Adds a header. A call has at most [`MAX_HEADERS`]; further ones replace the last.
    #[must_use]
    pub fn with_header(mut self, name: &'a str, value: &'a str) -> Self {
        let free = self.headers.iter().position(Option::is_none);
        self.headers[free.unwrap_or(MAX_HEADERS - 1)] = Some((name, value));
        self
    }

    /// Sets the time from which on nothing of the request is sent.
    #[must_use]
    pub fn with_send_by(mut self, send_by: Monotonic) -> Self {
        self.send_by = Some(send_by);
        self
    }

    /// Sets the operation and the peer that error messages name.
    #[must_use]
    pub fn with_error_context(mut self, step: &'a str, peer: &'a str) -> Self {
        self.step = step;
        self.peer = peer;
        self
    }

    /// Sets the key that signs the request.
    #[must_use]
    pub fn signed(mut self, key: Option<&'a auth::Key>) -> Self {
        self.key = key;
        self
    }

    fn error(&self, reason: &str) -> CallError {
        CallError::new(self.step, self.peer, reason)
    }
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of idle connections kept per address.
    pub max_idle_connections: usize,
    /// Maximum idle time of a connection before it is no longer reused. Has to be shorter than the
    /// header timeout of servers, 5 s, after which they close idle connections: a request sent
    /// while the server closes the connection has an unknown outcome.
    pub max_idle_age: Duration,
    /// Maximum size of a response body, in bytes.
    pub body_bytes: usize,
    /// Time after which the kernel gives up a connection whose peer acknowledges nothing. It does so
    /// while the process is paused, too, when no call can time out. `None` leaves it to the system,
    /// which goes on for minutes.
    pub delivery_timeout: Option<Duration>,
    /// Clock that [`Call::send_by`] refers to. Has to advance while the machine is suspended, as the
    /// timers of the timeouts do not.
    pub clock: fn() -> Monotonic,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_idle_connections: 16,
            max_idle_age: Duration::from_secs(3),
            body_bytes: limits::PEER_BODY_BYTES,
            delivery_timeout: None,
            clock: boot_clock,
        }
    }
}

/// HTTP client that reuses connections.
///
/// A connection is reset if its exchange failed, timed out or was dropped, so that a late response
/// cannot be taken for the response to a later request, and so that what the peer has not received of
/// the request is lost.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    settings: Settings,
}

impl Client {
    /// Creates a client that drives its connections on `executor`.
    pub fn new(executor: executor::Executor, settings: Settings) -> Self {
        Self {
            pool: Pool::new(executor, settings),
            settings,
        }
    }

    /// Sends a POST request with `body` and returns the complete response.
    pub async fn post(
        &self,
        call: &Call<'_>,
        content_type: &str,
        body: Bytes,
    ) -> Outcome<Response> {
        self.exchange(call, Method::POST, content_type, body).await
    }

    /// Sends a GET request and returns the complete response.
    pub async fn get(&self, call: &Call<'_>) -> Outcome<Response> {
        self.exchange(call, Method::GET, "", Bytes::new()).await
    }

    /// Sends a DELETE request and returns the complete response.
    pub async fn delete(&self, call: &Call<'_>) -> Outcome<Response> {
        self.exchange(call, Method::DELETE, "", Bytes::new()).await
    }

    /// Number of idle connections in the pool for an address.
    pub fn idle_connections(&self, address: SocketAddr) -> usize {
        self.pool.idle_count(address)
    }

    async fn exchange(
        &self,
        call: &Call<'_>,
        method: Method,
        content_type: &str,
        body: Bytes,
    ) -> Outcome<Response> {
        let started = Instant::now();
        let deadline = started + call.timeout;
        let timeout_end = (self.settings.clock)() + call.timeout;
        let send_by = call.send_by.map_or(timeout_end, |at| at.min(timeout_end));
        let mut request = match build_request(call, method, content_type, body) {
            Ok(request) => request,
            Err(reason) => return Outcome::NoEffect(call.error(&reason)),
        };
        loop {
            if (self.settings.clock)() >= send_by {
                return Outcome::NoEffect(call.error("request is too old to be sent"));
            }
            let connecting = async { Ok(self.pool.acquire(call.address).await) };
            let mut connection = match with_deadline(deadline, connecting).await {
                Ok(Ok(connection)) => connection,
                Ok(Err(error)) => {
                    return Outcome::NoEffect(call.error(&format!("cannot connect: {error}")));
                }
                Err(exceeded) => {
                    return Outcome::NoEffect(call.error(&exceeded.message(call, "connected")));
                }
            };
            if (self.settings.clock)() >= send_by {
                return Outcome::NoEffect(call.error("request is too old to be sent"));
            }
            connection.limit.set(send_by);
            match with_deadline(deadline, self.send(&mut connection, request)).await {
                Ok(SendOutcome::Completed(response)) => {
                    self.pool.release(call.address, connection);
                    return Outcome::Done(response);
                }
                // Nothing was written, so the request can be retried on another connection. A new
                // connection that is closed immediately is not retried, so that a failing peer is
                // not flooded with connections.
                Ok(SendOutcome::Unsent(unsent)) if connection.used => request = *unsent,
                Ok(SendOutcome::Unsent(_)) => {
                    return Outcome::NoEffect(
                        call.error("connection closed before the request was sent"),
                    );
                }
                Ok(SendOutcome::Interrupted(reason)) => {
                    return Outcome::Unknown(call.error(&reason));
                }
                Err(exceeded) => {
                    if connection.used {
                        self.pool.evict_last_used_before(call.address, started);
                    }
                    return Outcome::Unknown(call.error(&exceeded.message(call, "answered")));
                }
            }
        }
    }

    async fn send(
        &self,
        connection: &mut Connection,
        request: http::Request<Full<Bytes>>,
    ) -> Result<SendOutcome, DeadlineExceeded> {
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                return Ok(match error.take_message() {
                    Some(unsent) => SendOutcome::Unsent(Box::new(unsent)),
                    None => SendOutcome::Interrupted(format!(
                        "connection lost before the response: {}",
                        error.error()
                    )),
                });
            }
        };
        let status = response.status();
        let limited = Limited::new(response.into_body(), self.settings.body_bytes);
        Ok(match limited.collect().await {
            Ok(body) => SendOutcome::Completed(Response {
                status,
                body: body.to_bytes(),
            }),
            Err(error) => SendOutcome::Interrupted(format!("response is incomplete: {error}")),
        })
    }
}

/// Result of sending a request on a connection.
enum SendOutcome {
    /// The complete response was received.
    Completed(Response),
    /// The connection was closed before any byte of the request was written.
    Unsent(Box<http::Request<Full<Bytes>>>),
    /// The connection failed after the request may have been sent. Contains the reason.
    Interrupted(String),
}

/// The deadline of an exchange passed before it was complete.
struct DeadlineExceeded;

impl DeadlineExceeded {
    fn message(&self, call: &Call<'_>, achieved: &str) -> String {
        format!("not {achieved} within {} ms", call.timeout.as_millis())
    }
}

async fn with_deadline<T>(
    deadline: Instant,
    operation: impl Future<Output = Result<T, DeadlineExceeded>>,
) -> Result<T, DeadlineExceeded> {
    future::or(operation, async {
        Timer::at(deadline).await;
        Err(DeadlineExceeded)
    })
    .await
}

fn build_request(
    call: &Call<'_>,
    method: Method,
    content_type: &str,
    body: Bytes,
) -> Result<http::Request<Full<Bytes>>, String> {
    let mut builder = http::Request::builder().uri(call.path);
    let sets_host = |(name, _): (&str, &str)| name.eq_ignore_ascii_case(header::HOST.as_str());
    if !call.headers.into_iter().flatten().any(sets_host) {
        builder = builder.header(header::HOST, call.address.to_string());
    }
    for (name, value) in call.headers.into_iter().flatten() {
        builder = builder.header(name, value);
    }
    if !content_type.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = call.key {
        let message = auth::Message {
            method: method.as_str(),
            path: call.path,
            body: &body,
        };
        let value = HeaderValue::try_from(auth::sign(key, wall_clock(), message));
        builder = builder.header(auth::HEADER, value.map_err(|error| error.to_string())?);
    }
    builder
        .method(method)
        .body(Full::new(body))
        .map_err(|error| format!("request is malformed: {error}"))
}

/// Returns the time since the machine booted. The clock advances while the machine is suspended.
pub fn boot_clock() -> Monotonic {
    let reading = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    let millis = reading.map_or(0, |since| since.as_millis());
    Monotonic::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Current wall-clock time, as used for the timestamps of signed messages.
pub fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Decodes the body of a response with status 200. Any other status and a body that cannot be
/// decoded are unknown outcomes.
pub(crate) fn decode_response<R>(
    call: &Call<'_>,
    outcome: Outcome<Response>,
    parse: impl FnOnce(&[u8]) -> Result<R, String>,
) -> Outcome<R> {
    let response = match outcome {
        Outcome::Done(response) => response,
        Outcome::NoEffect(error) => return Outcome::NoEffect(error),
        Outcome::Unknown(error) => return Outcome::Unknown(error),
    };
    if response.status != StatusCode::OK {
        let text = String::from_utf8_lossy(&response.body);
        let text: String = text.chars().take(200).collect();
        return Outcome::Unknown(call.error(&format!("status {}: {text}", response.status)));
    }
    match parse(&response.body) {
        Ok(reply) => Outcome::Done(reply),
        Err(error) => Outcome::Unknown(call.error(&format!("cannot decode response: {error}"))),
    }
}
