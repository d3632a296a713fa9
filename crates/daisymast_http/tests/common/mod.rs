//! Test helpers: a server on a free port, raw connections and waits with a timeout.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisymast_http::executor::{self, Executor};
use daisymast_http::{client, server};
use smol::Timer;
use smol::future;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

/// Timeout of every wait in the tests, long enough for a heavily loaded machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("bind")
}

/// Starts a server that returns the body of each request.
pub(crate) async fn echo(executor: &Executor, limits: server::Limits) -> server::Server {
    server::Server::start(executor, listener().await, limits, async |request| {
        server::Response::text(200, request.body)
    })
    .expect("start")
}

pub(crate) fn client(executor: &Executor) -> client::Client {
    client::Client::new(executor.clone(), client::Settings::default())
}

pub(crate) fn call(address: SocketAddr) -> client::Call<'static> {
    client::Call::new(address, "/v1/echo", TIMEOUT).with_error_context("test step", "test peer")
}

/// Sends raw bytes and reads until the server closes the connection.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The server may reject the request and close the connection before everything is written.
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

/// Reads until the peer closes the connection.
pub(crate) async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = async {
        let _ = stream.read_to_end(&mut response).await;
    };
    with_timeout(read).await;
    String::from_utf8_lossy(&response).into_owned()
}

pub(crate) async fn with_timeout<T>(step: impl Future<Output = T>) -> T {
    future::or(step, async {
        Timer::after(TIMEOUT).await;
        panic!("not done within {TIMEOUT:?}")
    })
    .await
}

/// Waits until `condition` holds, for at most [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TIMEOUT,
            "{what} not seen within {TIMEOUT:?}"
        );
        Timer::after(Duration::from_millis(2)).await;
    }
}

pub(crate) fn run<T>(test: impl AsyncFnOnce(Executor) -> T) -> T {
    executor::run(2, test)
}
