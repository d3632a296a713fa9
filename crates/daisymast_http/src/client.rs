//! Client with deadlines and a pool of kept connections for each address.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use daisymast_protocol::limits;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_types::time::UnixMillis;
use futures_lite::future;
use http::{HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use smol::Timer;

use crate::auth;
use crate::executor;
use pool::{Connection, Pool};

mod pool;

/// Where and how a request is sent, and how its errors name it.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Path with the query string.
    pub path: &'a str,
    /// Time for the whole exchange.
    pub timeout: Duration,
    /// Step that errors name, such as `renew control lease`.
    pub step: &'a str,
    /// Peer that errors name, such as `worker w-7`.
    pub peer: &'a str,
    /// Key that authenticates the message, if the peer asks for one.
    pub key: Option<&'a auth::Key>,
    /// One more header, as name and value. A host replaces the address.
    pub header: Option<(&'a str, &'a str)>,
}

impl<'a> Call<'a> {
    /// A call without authentication.
    pub fn new(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Self {
            address,
            path,
            timeout,
            step: "call",
            peer: "peer",
            key: None,
            header: None,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'a str, value: &'a str) -> Self {
        self.header = Some((name, value));
        self
    }

    /// Sets the step and the peer that errors name.
    #[must_use]
    pub fn named(mut self, step: &'a str, peer: &'a str) -> Self {
        self.step = step;
        self.peer = peer;
        self
    }

    /// Sets the key that authenticates the message.
    #[must_use]
    pub fn signed(mut self, key: Option<&'a auth::Key>) -> Self {
        self.key = key;
        self
    }

    fn error(&self, reason: &str) -> CallError {
        CallError::new(self.step, self.peer, reason)
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

/// Bounds of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Kept idle connections for each address.
    pub idle_connections: usize,
    /// Age from which an idle connection is not used again. Servers close idle connections after
    /// their header timeout of 5 s; a request that meets such a close has an unknown outcome.
    pub idle_age: Duration,
    /// Largest body of an answer, in bytes.
    pub body_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idle_connections: 16,
            idle_age: Duration::from_secs(3),
            body_bytes: limits::PEER_BODY_BYTES,
        }
    }
}

/// HTTP client that keeps connections.
///
/// A connection whose exchange failed, timed out or was dropped is closed, so that a late answer
/// cannot reach another exchange.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    settings: Settings,
}

impl Client {
    /// A client that runs its connections on `executor`.
    pub fn new(executor: executor::Executor, settings: Settings) -> Self {
        Self {
            pool: Pool::new(executor, settings),
            settings,
        }
    }

    /// Posts `body` and waits for the whole answer.
    pub async fn post(
        &self,
        call: &Call<'_>,
        content_type: &str,
        body: Bytes,
    ) -> Outcome<Response> {
        self.exchange(call, Method::POST, content_type, body).await
    }

    /// Gets a path and waits for the whole answer.
    pub async fn get(&self, call: &Call<'_>) -> Outcome<Response> {
        self.exchange(call, Method::GET, "", Bytes::new()).await
    }

    /// Deletes what a path names and waits for the whole answer.
    pub async fn delete(&self, call: &Call<'_>) -> Outcome<Response> {
        self.exchange(call, Method::DELETE, "", Bytes::new()).await
    }

    /// Idle connections that are kept for an address.
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
        let mut request = match build_request(call, method, content_type, body) {
            Ok(request) => request,
            Err(reason) => return Outcome::NoEffect(call.error(&reason)),
        };
        loop {
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
            match with_deadline(deadline, self.send(&mut connection, request)).await {
                Ok(SendOutcome::Completed(response)) => {
                    self.pool.release(call.address, connection);
                    return Outcome::Done(response);
                }
                // Nothing was written, so the request may go over another connection. A new one that
                // closes at once is not tried again, so that a failing peer is not flooded.
                Ok(SendOutcome::Unsent(unsent)) if connection.used => request = *unsent,
                Ok(SendOutcome::Unsent(_)) => {
                    return Outcome::NoEffect(call.error("connection closed before sending"));
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
        let answer = match connection.sender.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut error) => {
                return Ok(match error.take_message() {
                    Some(unsent) => SendOutcome::Unsent(Box::new(unsent)),
                    None => SendOutcome::Interrupted(format!("connection lost: {}", error.error())),
                });
            }
        };
        let status = answer.status();
        let limited = Limited::new(answer.into_body(), self.settings.body_bytes);
        Ok(match limited.collect().await {
            Ok(body) => SendOutcome::Completed(Response {
                status,
                body: body.to_bytes(),
            }),
            Err(error) => SendOutcome::Interrupted(format!("answer is incomplete: {error}")),
        })
    }
}

/// What became of a request that was handed to a connection.
enum SendOutcome {
    Completed(Response),
    Unsent(Box<http::Request<Full<Bytes>>>),
    Interrupted(String),
}

/// The deadline of an exchange passed.
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
    if !call.header.is_some_and(sets_host) {
        builder = builder.header(header::HOST, call.address.to_string());
    }
    if let Some((name, value)) = call.header {
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

/// Wall-clock time, for the time of signed messages.
pub fn wall_clock() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Decodes an answer of status 200; everything else is an unknown outcome.
pub(crate) fn decode_response<R>(
    call: &Call<'_>,
    answer: Outcome<Response>,
    parse: impl FnOnce(&[u8]) -> Result<R, String>,
) -> Outcome<R> {
    let response = match answer {
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
        Err(error) => Outcome::Unknown(call.error(&format!("answer does not decode: {error}"))),
    }
}
