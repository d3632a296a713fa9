//! Serves one connection.

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

use super::stream::WriteTimeoutStream;
use super::{Counters, Limits, Request, Response};

/// Data shared by all connections of a server.
pub(super) struct ServerContext<H> {
    pub(super) limits: Limits,
    pub(super) counters: Arc<Counters>,
    /// Closed when the server shuts down.
    pub(super) stopped: async_channel::Receiver<()>,
    pub(super) handler: Arc<H>,
}

impl<H> Clone for ServerContext<H> {
    fn clone(&self) -> Self {
        Self {
            limits: self.limits,
            counters: Arc::clone(&self.counters),
            stopped: self.stopped.clone(),
            handler: Arc::clone(&self.handler),
        }
    }
}

/// Serves a connection until it is closed.
pub(super) async fn serve<H, F>(context: &ServerContext<H>, stream: TcpStream, peer: SocketAddr)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Responses are small, so Nagle's algorithm would only delay them.
    drop(stream.set_nodelay(true));
    let service =
        service::service_fn(|request| async move { handle_request(context, request, peer).await });
    let counters = Arc::clone(&context.counters);
    let stream = WriteTimeoutStream::new(stream, context.limits.write_timeout, counters);
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(context.limits.header_timeout)
        .max_header_size(context.limits.header_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        let _ = context.stopped.recv().await;
        Timer::after(context.limits.shutdown_grace).await;
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
        count_error(&context.counters, &error);
    }
}

fn count_error(counters: &Counters, error: &hyper::Error) {
    if error.is_timeout() {
        counters.header_timeouts.increment();
    } else if error.is_parse_too_large() {
        counters.headers_too_large.increment();
    } else if error.is_parse() || error.is_incomplete_message() {
        counters.malformed.increment();
    }
}

async fn handle_request<H, F>(
    context: &ServerContext<H>,
    request: http::Request<Incoming>,
    peer: SocketAddr,
) -> io::Result<http::Response<Full<Bytes>>>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    match read_body(context, body).await {
        Ok(body) => {
            context.counters.requests.increment();
            let response = (context.handler)(assemble_request(head, body, peer)).await;
            if response.abort {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            Ok(to_http_response(response, context.stopped.is_closed()))
        }
        Err(rejection) => Ok(to_http_response(rejection, true)),
    }
}

fn assemble_request(head: request::Parts, body: Bytes, peer: SocketAddr) -> Request {
    Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
        peer,
    }
}

/// Reads the body within the limits on its size and time. Returns the response that rejects the
/// request if a limit is exceeded or the body is incomplete.
async fn read_body<H>(context: &ServerContext<H>, body: Incoming) -> Result<Bytes, Response> {
    let limit = context.limits.body_bytes;
    let too_large = || {
        context.counters.bodies_too_large.increment();
        Response::text(413, format!("body exceeds {limit} bytes"))
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let collect = async { Some(Limited::new(body, limit).collect().await) };
    let timeout = async {
        Timer::after(context.limits.body_timeout).await;
        None
    };
    match future::or(collect, timeout).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(error)) if is_length_error(error.as_ref()) => Err(too_large()),
        Some(Err(error)) => {
            context.counters.malformed.increment();
            Err(Response::text(400, format!("body is incomplete: {error}")))
        }
        None => {
            context.counters.body_timeouts.increment();
            let timeout = context.limits.body_timeout.as_millis();
            Err(Response::text(408, format!("body took over {timeout} ms")))
        }
    }
}

fn is_length_error(error: &(dyn Error + Send + Sync + 'static)) -> bool {
    error.is::<LengthLimitError>()
}

fn to_http_response(response: Response, close: bool) -> http::Response<Full<Bytes>> {
    let mut http_response = http::Response::new(Full::new(response.body));
    *http_response.status_mut() = response.status;
    let headers = http_response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(response.content_type),
    );
    if let Some(seconds) = response.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if close || response.close_connection {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    http_response
}
