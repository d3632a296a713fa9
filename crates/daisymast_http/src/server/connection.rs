//! One connection of a server.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderValue, header, request};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service;
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::stream::Stream;
use super::{Counters, Limits, Request, Response};

/// What all connections of a server share.
pub(super) struct Shared<H> {
    pub(super) limits: Limits,
    pub(super) counters: Arc<Counters>,
    /// Closed when the server shuts down.
    pub(super) stopped: async_channel::Receiver<()>,
    pub(super) handler: Arc<H>,
}

impl<H> Clone for Shared<H> {
    fn clone(&self) -> Self {
        Self {
            limits: self.limits,
            counters: Arc::clone(&self.counters),
            stopped: self.stopped.clone(),
            handler: Arc::clone(&self.handler),
        }
    }
}

/// Serves one connection until it ends.
pub(super) async fn serve<H, F>(shared: &Shared<H>, stream: TcpStream, peer: SocketAddr)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Answers are small; waiting to fill a packet would delay them.
    drop(stream.set_nodelay(true));
    let answer =
        service::service_fn(|request| async move { exchange(shared, request, peer).await });
    let counters = Arc::clone(&shared.counters);
    let stream = Stream::new(stream, shared.limits.write_timeout, counters);
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(shared.limits.header_timeout)
        .max_header_size(shared.limits.header_bytes)
        .serve_connection(FuturesIo::new(stream), answer);
    let mut connection = pin!(connection);
    let stopped = async {
        let _ = shared.stopped.recv().await;
        Timer::after(shared.limits.linger).await;
        None
    };
    let ended = async { Some(connection.as_mut().await) };
    let result = match future::or(ended, stopped).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        count(&shared.counters, &error);
    }
}

fn count(counters: &Counters, error: &hyper::Error) {
    if error.is_timeout() {
        counters.header_timeouts.add();
    } else if error.is_parse_too_large() {
        counters.headers_too_large.add();
    } else if error.is_parse() || error.is_incomplete_message() {
        counters.malformed.add();
    }
}

async fn exchange<H, F>(
    shared: &Shared<H>,
    request: http::Request<Incoming>,
    peer: SocketAddr,
) -> io::Result<http::Response<Full<Bytes>>>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    match read_body(shared, body).await {
        Ok(body) => {
            shared.counters.requests.add();
            let response = (shared.handler)(whole(head, body, peer)).await;
            if response.aborted {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Ok(encode(response, shared.stopped.is_closed()))
        }
        Err(refusal) => Ok(encode(refusal, true)),
    }
}

fn whole(head: request::Parts, body: Bytes, peer: SocketAddr) -> Request {
    Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
        peer,
    }
}

/// Reads the body while it is within its bounds.
async fn read_body<H>(shared: &Shared<H>, body: Incoming) -> Result<Bytes, Response> {
    let limit = shared.limits.body_bytes;
    let too_large = || {
        shared.counters.bodies_too_large.add();
        Response::text(413, format!("body exceeds {limit} bytes"))
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collect = async { Some(Limited::new(body, limit).collect().await) };
    let timeout = async {
        Timer::after(shared.limits.body_timeout).await;
        None
    };
    match future::or(collect, timeout).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if is_length_error(error.as_ref()) => Err(too_large()),
        Some(Err(error)) => {
            shared.counters.malformed.add();
            Err(Response::text(400, format!("body is incomplete: {error}")))
        }
        None => {
            shared.counters.body_timeouts.add();
            let timeout = shared.limits.body_timeout.as_millis();
            Err(Response::text(408, format!("body took over {timeout} ms")))
        }
    }
}

fn is_length_error(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    error.is::<LengthLimitError>()
}

fn encode(response: Response, close: bool) -> http::Response<Full<Bytes>> {
    let mut encoded = http::Response::new(Full::new(response.body));
    *encoded.status_mut() = response.status;
    let headers = encoded.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(response.content_type),
    );
    if let Some(seconds) = response.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if close || response.closing {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    encoded
}
