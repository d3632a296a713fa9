//! Requests whose call has ended must not reach the peer later.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{call, run, wait_until, with_timeout};
use daisymast_http::client;
use daisymast_http::executor::Executor;
use daisymast_http::server::Limits;
use daisymast_protocol::outcome::Outcome;
use daisymast_types::time;
use rustix::io::Errno;
use rustix::net;
use smol::io::AsyncReadExt;
use smol::net::{TcpListener, TcpStream};

const SHORT: Duration = Duration::from_millis(200);
/// Receive buffer of a peer that stands for one behind a cut: what it does not take in stays in the
/// client's kernel.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Size of a request that fits into the send buffer but not into the receive buffer.
const REQUEST_BYTES: usize = 128 * 1024;

/// Returns a listener whose connections take in only a part of a request until it is read.
fn slow_listener() -> TcpListener {
    let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).unwrap();
    // The window of a connection is limited only if the size is set before listening.
    net::sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).unwrap();
    net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    net::listen(&socket, 8).unwrap();
    std::net::TcpListener::from(socket).try_into().unwrap()
}

/// Waits until the client resets the connection, then reads what has arrived of the request.
async fn read_after_reset(mut stream: TcpStream) -> usize {
    let reset = Ok(Err(Errno::CONNRESET));
    wait_until("reset", || net::sockopt::socket_error(&stream) == reset).await;
    let mut bytes = Vec::new();
    with_timeout(stream.read_to_end(&mut bytes)).await.unwrap();
    bytes.len()
}

/// Guards against a request that the kernel goes on delivering after its call has timed out: when a
/// cut heals, it would reach a worker that was given up seconds ago (issue 35).
#[test]
fn a_request_that_timed_out_is_not_delivered_later() {
    run(async |executor| {
        let listener = slow_listener();
        let mut call = call(listener.local_addr().unwrap());
        call.timeout = SHORT;
        let client = common::client(&executor);
        let outcome = client
            .post(&call, "", Bytes::from(vec![b'x'; REQUEST_BYTES]))
            .await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        let (stream, _) = listener.accept().await.unwrap();
        let bytes = read_after_reset(stream).await;
        assert!(bytes < REQUEST_BYTES, "{bytes} bytes arrived");
    });
}

/// Guards against a request that is delivered after its caller has dropped the call.
#[test]
fn a_dropped_request_is_not_delivered_later() {
    run(async |executor| {
        let listener = slow_listener();
        let call = call(listener.local_addr().unwrap());
        let client = common::client(&executor);
        let exchange = async {
            let body = Bytes::from(vec![b'x'; REQUEST_BYTES]);
            let _ = client.post(&call, "", body).await;
        };
        let mut stream = None;
        let give_up = async {
            let (mut accepted, _) = listener.accept().await.unwrap();
            accepted.read_exact(&mut [0]).await.unwrap();
            stream = Some(accepted);
        };
        with_timeout(smol::future::or(exchange, give_up)).await;
        let bytes = read_after_reset(stream.unwrap()).await;
        assert!(bytes < REQUEST_BYTES, "{bytes} bytes arrived");
    });
}

/// Posts a request with a clock and returns its outcome with the number of requests that arrived.
async fn post_with_clock(
    executor: &Executor,
    clock: fn() -> time::Monotonic,
    send_by: Option<time::Monotonic>,
) -> (Outcome<client::Response>, u64) {
    let server = common::echo(executor, Limits::default()).await;
    let settings = client::Settings {
        clock,
        ..client::Settings::default()
    };
    let client = client::Client::new(executor.clone(), settings);
    let mut call = call(server.address());
    call.send_by = send_by;
    let outcome = client.post(&call, "", Bytes::from("a")).await;
    (outcome, server.counters().requests.get())
}

/// Returns a clock that a suspension sets forward after a number of readings.
macro_rules! clock_suspended_after {
    ($readings:expr) => {{
        static READINGS: AtomicU64 = AtomicU64::new(0);
        || {
            if READINGS.fetch_add(1, Ordering::Relaxed) < $readings {
                time::Monotonic::from_millis(1_000)
            } else {
                time::Monotonic::from_millis(60_000)
            }
        }
    }};
}

/// Guards against a request that waits for a connection while the machine is suspended, and is sent
/// afterwards: the timer of the call does not count the suspension.
#[test]
fn a_request_is_not_sent_after_a_suspension() {
    run(async |executor| {
        // The first two readings are taken before the client waits for a connection.
        let clock = clock_suspended_after!(2);
        let (outcome, requests) = post_with_clock(&executor, clock, None).await;
        assert!(matches!(outcome, Outcome::NoEffect(_)), "{outcome:?}");
        assert_eq!(requests, 0);
    });
}

/// Guards against a request that is written after a suspension which begins when the client has
/// passed it to its connection.
#[test]
fn a_request_is_not_written_after_a_suspension() {
    run(async |executor| {
        let clock = clock_suspended_after!(3);
        let (outcome, requests) = post_with_clock(&executor, clock, None).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        assert_eq!(requests, 0);
    });
}

/// Guards against an order that is sent later than its decision allows, although the timeout of the
/// call has not passed.
#[test]
fn a_request_is_sent_before_its_limit_only() {
    run(async |executor| {
        let clock = || time::Monotonic::from_millis(1_000);
        for (limit, sent) in [(1_000, 0), (1_001, 1)] {
            let limit = Some(time::Monotonic::from_millis(limit));
            let (outcome, requests) = post_with_clock(&executor, clock, limit).await;
            assert_eq!(
                matches!(outcome, Outcome::Done(_)),
                sent == 1,
                "{outcome:?}"
            );
            assert_eq!(requests, sent);
        }
    });
}

/// Guards against a request that the kernel goes on delivering while the process is paused: no timer
/// of the process ends its call then. The call of the test has a timeout that does not pass.
#[test]
fn the_kernel_gives_up_a_request_that_is_not_delivered() {
    run(async |executor| {
        let listener = slow_listener();
        let call = call(listener.local_addr().unwrap());
        let settings = client::Settings {
            delivery_timeout: Some(SHORT),
            ..client::Settings::default()
        };
        let client = client::Client::new(executor.clone(), settings);
        let body = Bytes::from(vec![b'x'; REQUEST_BYTES]);
        let outcome = client.post(&call, "", body).await;
        let Outcome::Unknown(error) = outcome else {
            panic!("{outcome:?}");
        };
        let text = error.to_string();
        assert!(text.contains("connection lost"), "{text}");
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        let _ = with_timeout(stream.read_to_end(&mut bytes)).await;
        assert!(bytes.len() < REQUEST_BYTES, "{} bytes arrived", bytes.len());
    });
}
