//! Client and connection pool: guards against responses delivered to the wrong request, and against
//! outcomes that are reported as certain when they are not.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{call, client, echo, listener, run, wait_until, with_timeout};
use daisymast_http::server::{Limits, Response, Server};
use daisymast_http::{json, msgpack};
use daisymast_protocol::outcome::Outcome;
use smol::io::{AsyncReadExt, AsyncWriteExt};

const SHORT: Duration = Duration::from_millis(100);

/// Guards against a late response that is delivered to the next request: a connection whose
/// exchange timed out must not return to the pool.
#[test]
fn late_response_is_not_delivered_to_the_next_exchange() {
    run(async |executor| {
        let (release, held) = async_channel::unbounded::<()>();
        let handler = move |request: daisymast_http::server::Request| {
            let held = held.clone();
            async move {
                if request.body == "slow" {
                    let _ = held.recv().await;
                }
                Response::text(200, request.body)
            }
        };
        let server =
            Server::start(&executor, listener().await, Limits::default(), handler).unwrap();
        let client = client(&executor);
        let call = call(server.address());
        // The first exchange leaves an idle connection, which the slow one reuses.
        assert!(matches!(
            client.post(&call, "", Bytes::from("a")).await,
            Outcome::Done(_)
        ));
        assert_eq!(client.idle_connections(call.address), 1);
        let mut short = call;
        short.timeout = SHORT;
        let late = client.post(&short, "", Bytes::from("slow")).await;
        let Outcome::Unknown(error) = late else {
            panic!("{late:?}")
        };
        assert_eq!(error.step, "test step");
        assert_eq!(error.peer, "test peer");
        assert_eq!(client.idle_connections(call.address), 0);
        release.send(()).await.unwrap();
        for body in ["b", "c"] {
            let response = client
                .post(&call, "", Bytes::from(body))
                .await
                .done()
                .unwrap();
            assert_eq!(response.body, body);
        }
    });
}

/// Guards against a connection that returns to the pool after its exchange was dropped before the
/// response.
#[test]
fn dropped_exchange_closes_its_connection() {
    run(async |executor| {
        let (started, start) = async_channel::unbounded::<()>();
        let handler = move |_request| {
            let started = started.clone();
            async move {
                started.send(()).await.unwrap();
                std::future::pending().await
            }
        };
        let server =
            Server::start(&executor, listener().await, Limits::default(), handler).unwrap();
        let client = client(&executor);
        let call = call(server.address());
        let exchange = async {
            let _ = client.post(&call, "", Bytes::new()).await;
        };
        let give_up = async { start.recv().await.unwrap() };
        with_timeout(smol::future::or(exchange, give_up)).await;
        wait_until("close", || server.counters().open_connections() == 0).await;
        assert_eq!(client.idle_connections(call.address), 0);
    });
}

/// Guards against an unknown outcome when the peer cannot have received the request.
#[test]
fn refused_connection_is_no_effect() {
    run(async |executor| {
        let address = listener().await.local_addr().unwrap();
        let outcome = client(&executor).get(&call(address)).await;
        assert!(matches!(outcome, Outcome::NoEffect(_)), "{outcome:?}");
    });
}

/// Guards against reporting no effect when the peer may have processed the request before it closed
/// the connection.
#[test]
fn connection_lost_after_sending_is_unknown() {
    run(async |executor| {
        let listener = listener().await;
        let call = call(listener.local_addr().unwrap());
        let peer = executor.spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut byte = [0; 1];
            stream.read_exact(&mut byte).await.unwrap();
        });
        let outcome = client(&executor).post(&call, "", Bytes::from("x")).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        with_timeout(peer).await;
    });
}

/// Guards against [`Response::abort`] sending a response: stand-ins use it to simulate a lost one.
#[test]
fn aborted_response_is_unknown() {
    run(async |executor| {
        let abort = async |_| Response::abort();
        let server = Server::start(&executor, listener().await, Limits::default(), abort).unwrap();
        let outcome = client(&executor).get(&call(server.address())).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        assert_eq!(server.counters().requests.get(), 1);
    });
}

/// Guards against accepting a response whose body is shorter than its content length.
#[test]
fn truncated_response_is_unknown() {
    run(async |executor| {
        let listener = listener().await;
        let call = call(listener.local_addr().unwrap());
        let peer = executor.spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 1024];
            let _ = stream.read(&mut bytes).await.unwrap();
            let half = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
            stream.write_all(half).await.unwrap();
        });
        let outcome = client(&executor).get(&call).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        with_timeout(peer).await;
    });
}

/// Guards against calls that fail only because the peer has closed an idle connection.
#[test]
fn closed_idle_connection_is_replaced() {
    run(async |executor| {
        let limits = Limits::default().with_header_timeout(Duration::from_millis(50));
        let server = echo(&executor, limits).await;
        let client = client(&executor);
        let call = call(server.address());
        for _ in 0..3 {
            let outcome = client.post(&call, "", Bytes::from("a")).await;
            assert!(matches!(outcome, Outcome::Done(_)), "{outcome:?}");
            wait_until("idle close", || server.counters().open_connections() == 0).await;
        }
    });
}

/// Guards against successive timeouts when a peer stops responding on all pooled connections at
/// once: after the first timeout, the next call has to open a new connection.
#[test]
fn timeout_on_a_reused_connection_evicts_older_ones() {
    run(async |executor| {
        let silent = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let listener = listener().await;
        let call = call(listener.local_addr().unwrap());
        let (flag, own) = (silent.clone(), executor.clone());
        let peer = executor.spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let flag = flag.clone();
                let accepted_while_silent = flag.load(std::sync::atomic::Ordering::Relaxed);
                own.spawn(async move {
                    let mut part = [0; 1024];
                    while stream.read(&mut part).await.is_ok_and(|bytes| bytes > 0) {
                        if !accepted_while_silent && flag.load(std::sync::atomic::Ordering::Relaxed)
                        {
                            continue;
                        }
                        // Overlapping exchanges leave several idle connections.
                        smol::Timer::after(Duration::from_millis(20)).await;
                        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                        if stream.write_all(response).await.is_err() {
                            return;
                        }
                    }
                })
                .detach();
            }
        });
        let client = std::sync::Arc::new(client(&executor));
        let mut exchanges = Vec::new();
        for _ in 0..4 {
            let client = client.clone();
            exchanges.push(executor.spawn(async move { client.get(&call).await.done().is_some() }));
        }
        for exchange in exchanges {
            assert!(with_timeout(exchange).await);
        }
        assert_eq!(client.idle_connections(call.address), 4);
        silent.store(true, std::sync::atomic::Ordering::Relaxed);
        let mut short = call;
        short.timeout = SHORT;
        let late = client.get(&short).await;
        assert!(matches!(late, Outcome::Unknown(_)), "{late:?}");
        let next = client.get(&short).await;
        assert!(matches!(next, Outcome::Done(_)), "{next:?}");
        drop(peer);
    });
}

/// Guards against a pool that grows with the number of concurrent calls.
#[test]
fn idle_connections_are_bounded() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let settings = daisymast_http::client::Settings {
            max_idle_connections: 2,
            ..Default::default()
        };
        let client = std::sync::Arc::new(daisymast_http::client::Client::new(
            executor.clone(),
            settings,
        ));
        let call = call(server.address());
        let mut exchanges = Vec::new();
        for _ in 0..8 {
            let client = client.clone();
            exchanges.push(executor.spawn(async move { client.get(&call).await.done().is_some() }));
        }
        for exchange in exchanges {
            assert!(with_timeout(exchange).await);
        }
        assert!(client.idle_connections(call.address) <= 2);
    });
}

/// Guards against retrying until the deadline with a peer that closes each new connection
/// immediately.
#[test]
fn new_connection_closed_by_the_peer_is_not_retried() {
    run(async |executor| {
        let listener = listener().await;
        let call = call(listener.local_addr().unwrap());
        let peer = executor.spawn(async move {
            for _ in 0..2 {
                drop(listener.accept().await);
            }
        });
        // The connection may be closed before or after the request is written.
        let outcome = client(&executor).get(&call).await;
        assert!(!matches!(outcome, Outcome::Done(_)), "{outcome:?}");
        let text = format!("{outcome:?}");
        assert!(!text.contains("within"), "{text}");
        assert!(!peer.is_finished());
    });
}

/// Guards against a response that exhausts the memory.
#[test]
fn oversized_response_is_rejected_while_reading() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let settings = daisymast_http::client::Settings {
            body_bytes: 8,
            ..Default::default()
        };
        let client = daisymast_http::client::Client::new(executor.clone(), settings);
        let call = call(server.address());
        let outcome = client.post(&call, "", Bytes::from("more than eight")).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
        assert_eq!(client.idle_connections(call.address), 0);
    });
}

/// Guards against decoding errors that do not name the operation and the peer.
#[test]
fn decode_error_names_step_and_peer() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let client = client(&executor);
        let call = call(server.address());
        let sum: Outcome<(u32, String)> = json::post(&client, &call, &(1, "a")).await;
        assert_eq!(sum, Outcome::Done((1, "a".to_owned())));
        let sum: Outcome<(u32, String)> = msgpack::post(&client, &call, &(1, "a")).await;
        assert_eq!(sum, Outcome::Done((1, "a".to_owned())));
        let wrong: Outcome<Vec<u32>> = json::post(&client, &call, &"text").await;
        let Outcome::Unknown(error) = wrong else {
            panic!("{wrong:?}")
        };
        let text = error.to_string();
        assert!(
            text.starts_with("test step at test peer: cannot decode response"),
            "{text}"
        );
    });
}
