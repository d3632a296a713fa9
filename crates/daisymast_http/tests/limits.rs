//! Server limits: guards against clients that exhaust the memory or the connections of an instance.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::time::Duration;

use common::{echo, listener, read_to_close, run, send_raw, wait_until, with_timeout};
use daisymast_http::server::{Limits, Response, Server};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

/// Guards against passing an incomplete request to the handler.
#[test]
fn truncated_request_does_not_reach_the_handler() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf";
        stream.write_all(head).await.unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        read_to_close(&mut stream).await;
        let counters = server.counters();
        wait_until("broken body", || counters.malformed.get() >= 1).await;
        wait_until("close", || counters.open_connections() == 0).await;
        assert_eq!(counters.requests.get(), 0);
    });
}

/// Guards against a body that exhausts the memory, with a content length and with chunked encoding.
#[test]
fn oversized_body_is_rejected() {
    run(async |executor| {
        let server = echo(&executor, Limits::default().with_body_bytes(64)).await;
        let with_length = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 65\r\n\r\n";
        let response = send_raw(server.address(), with_length).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");

        let mut chunked =
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for _ in 0..3 {
            chunked.extend_from_slice(b"20\r\n");
            chunked.extend_from_slice(&[b'x'; 32]);
            chunked.extend_from_slice(b"\r\n");
        }
        let response = send_raw(server.address(), &chunked).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert_eq!(server.counters().bodies_too_large.get(), 2);
        assert_eq!(server.counters().requests.get(), 0);
    });
}

/// Guards against rejecting a body of exactly the maximum size.
#[test]
fn body_at_the_limit_is_accepted() {
    run(async |executor| {
        let server = echo(&executor, Limits::default().with_body_bytes(4)).await;
        let request =
            b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\n\r\nfull";
        let response = send_raw(server.address(), request).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.ends_with("full"), "{response}");
    });
}

/// Guards against a header that exhausts the memory.
#[test]
fn oversized_header_is_rejected() {
    run(async |executor| {
        let server = echo(&executor, Limits::default()).await;
        let mut flood = b"GET / HTTP/1.1\r\nhost: a\r\n".to_vec();
        for number in 0..40 {
            flood.extend_from_slice(format!("x-{number}: {}\r\n", "y".repeat(1_000)).as_bytes());
        }
        flood.extend_from_slice(b"\r\n");
        let response = send_raw(server.address(), &flood).await;
        // The response is lost if the kernel resets the connection because of unread data.
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 431"),
            "{response}"
        );
        let counters = server.counters();
        wait_until("refusal", || counters.headers_too_large.get() == 1).await;
        assert_eq!(counters.requests.get(), 0);
    });
}

/// Guards against clients that occupy connections by sending a header or a body slowly.
#[test]
fn slow_sender_is_disconnected() {
    run(async |executor| {
        let short = Duration::from_millis(50);
        let limits = Limits::default()
            .with_header_timeout(short)
            .with_body_timeout(short);
        let server = echo(&executor, limits).await;
        let mut head = TcpStream::connect(server.address()).await.unwrap();
        head.write_all(b"POST / HTTP/1.1\r\nho").await.unwrap();
        read_to_close(&mut head).await;
        let counters = server.counters();
        wait_until("header timeout", || counters.header_timeouts.get() == 1).await;

        let mut body = TcpStream::connect(server.address()).await.unwrap();
        let start = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nslow";
        body.write_all(start).await.unwrap();
        let response = read_to_close(&mut body).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert_eq!(counters.body_timeouts.get(), 1);
        assert_eq!(counters.requests.get(), 0);
    });
}

/// Guards against a client that does not read its response and so blocks a shutdown.
#[test]
fn client_that_does_not_read_is_disconnected() {
    run(async |executor| {
        let limits = Limits::default().with_write_timeout(Duration::from_millis(50));
        // Larger than the kernel's socket buffers, so that the write blocks.
        let handler = async |_| Response::text(200, vec![b'x'; 64 * 1024 * 1024]);
        let server = Server::start(&executor, listener().await, limits, handler).unwrap();
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let counters = server.counters().clone();
        wait_until("request", || counters.requests.get() == 1).await;
        with_timeout(server.shutdown()).await;
        assert_eq!(counters.write_timeouts.get(), 1);
        assert_eq!(counters.open_connections(), 0);
    });
}

/// Guards against more open connections than the limit allows.
#[test]
fn connections_above_the_limit_are_closed() {
    run(async |executor| {
        let server = echo(&executor, Limits::default().with_connections(1)).await;
        let counters = server.counters();
        let first = TcpStream::connect(server.address()).await.unwrap();
        wait_until("first", || counters.open_connections() == 1).await;
        let mut second = TcpStream::connect(server.address()).await.unwrap();
        assert_eq!(read_to_close(&mut second).await, "");
        assert_eq!(counters.connections_refused.get(), 1);
        drop(first);
        with_timeout(wait_until("close", || counters.open_connections() == 0)).await;
    });
}
