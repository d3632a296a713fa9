//! Graceful shutdown: guards against lost requests and against a shutdown that never completes.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use bytes::Bytes;
use common::{call, client, echo, listener, run, wait_until, with_timeout};
use daisymast_http::server::{Limits, Request, Response, Server};
use daisymast_protocol::outcome::Outcome;

/// Guards against a shutdown that closes the connection of a request in flight.
#[test]
fn shutdown_waits_for_requests_in_flight() {
    run(async |executor| {
        let (started, start) = async_channel::unbounded::<()>();
        let (release, held) = async_channel::unbounded::<()>();
        let handler = move |request: Request| {
            let (started, held) = (started.clone(), held.clone());
            async move {
                started.send(()).await.unwrap();
                held.recv().await.unwrap();
                Response::text(200, request.body)
            }
        };
        let server =
            Server::start(&executor, listener().await, Limits::default(), handler).unwrap();
        let call = call(server.address());
        let client = client(&executor);
        let exchange =
            executor.spawn(async move { client.post(&call, "", Bytes::from("a")).await });
        with_timeout(start.recv()).await.unwrap();
        let counters = server.counters().clone();
        let shutdown = executor.spawn(server.shutdown());
        // The listener is closed while the request is still in flight.
        with_timeout(async {
            while smol::net::TcpStream::connect(call.address).await.is_ok() {
                smol::future::yield_now().await;
            }
        })
        .await;
        wait_until("backlog closed", || counters.open_connections() == 1).await;
        assert!(!shutdown.is_finished());
        release.send(()).await.unwrap();
        let response = with_timeout(exchange).await.done().unwrap();
        assert_eq!(response.body, "a");
        with_timeout(shutdown).await;
    });
}

/// Guards against a shutdown that waits for idle connections to time out.
#[test]
fn shutdown_closes_idle_connections() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let call = call(server.address());
        let client = client(&executor);
        assert!(client.get(&call).await.done().is_some());
        let counters = server.counters().clone();
        assert_eq!(counters.open_connections(), 1);
        with_timeout(server.shutdown()).await;
        assert_eq!(counters.open_connections(), 0);
        let refused = client.get(&call).await;
        assert!(matches!(refused, Outcome::NoEffect(_)), "{refused:?}");
    });
}

/// Guards against the loss of requests that are sent on idle connections while the shutdown begins.
#[test]
fn requests_racing_with_shutdown_are_answered() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let call = call(server.address());
        let mut loops = Vec::new();
        for _ in 0..8 {
            let client = client(&executor);
            loops.push(executor.spawn(async move {
                loop {
                    match client.post(&call, "", Bytes::from("a")).await {
                        Outcome::Done(_) => {}
                        Outcome::NoEffect(_) => return,
                        Outcome::Unknown(error) => panic!("request was lost: {error}"),
                    }
                }
            }));
        }
        let counters = server.counters().clone();
        wait_until("load", || counters.requests.get() > 100).await;
        with_timeout(server.shutdown()).await;
        for one in loops {
            with_timeout(one).await;
        }
    });
}
