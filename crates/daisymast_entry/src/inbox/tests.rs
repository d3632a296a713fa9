//! Tests of the bounded request queue.

use std::time::Duration;

use daisymast_http::server::Request as HttpRequest;
use daisymast_protocol::caller::{CallerReply, NotRunReason};
use daisymast_telemetry::metrics::Metrics;
use smol::future;

use super::{Inbox, REQUEST_QUEUE_CAPACITY};
use crate::listeners::callers;

const BODY: &str = r#"{"id": "a", "service": "quotes", "idempotent": true, "timeout_ms": 60000,
                       "body": "3 plazas"}"#;

fn request() -> HttpRequest {
    HttpRequest {
        method: "POST".parse().expect("a method"),
        path: callers::PATH.to_owned(),
        query: None,
        headers: http::HeaderMap::new(),
        body: BODY.into(),
        peer: ([127, 0, 0, 1], 1).into(),
    }
}

/// Guards against unbounded queue growth and against rejections that are not counted. A request
/// that is answered as overloaded must never reach the instance.
#[test]
fn full_queue_rejects_requests_as_not_run() {
    let metrics = Metrics::default();
    let (inbox, requests) = Inbox::new(metrics.clone());
    smol::block_on(async {
        let mut waiting = Vec::new();
        for _ in 0..REQUEST_QUEUE_CAPACITY {
            let exchange = callers::handle(inbox.clone(), metrics.clone(), request());
            let mut exchange = Box::pin(exchange);
            assert!(future::poll_once(&mut exchange).await.is_none());
            waiting.push(exchange);
        }
        let response = callers::handle(inbox.clone(), metrics.clone(), request()).await;
        assert_eq!(response.status.as_u16(), 503);
        let reply: CallerReply = serde_json::from_slice(&response.body).expect("a reply");
        assert!(matches!(
            reply,
            CallerReply::NotRun {
                reason: NotRunReason::Overloaded,
                retry_after_ms: Some(_),
                ..
            }
        ));
        assert_eq!(requests.len(), REQUEST_QUEUE_CAPACITY);
    });
    assert_eq!(metrics.refusal_count("callers", "queue"), 1);
}

/// Guards against reporting a request as not run when no reply has arrived: it may have taken
/// effect.
#[test]
fn unanswered_request_has_unknown_outcome() {
    let metrics = Metrics::default();
    let (inbox, _requests) = Inbox::new(metrics.clone());
    let mut request = request();
    request.body = BODY.replace("60000", "0").into();
    let start = std::time::Instant::now();
    let response = smol::block_on(callers::handle(inbox, metrics, request));
    assert_eq!(response.status.as_u16(), 504);
    let reply: CallerReply = serde_json::from_slice(&response.body).expect("a reply");
    assert!(matches!(reply, CallerReply::Unknown { status, .. } if status == "/v1/requests/a"));
    assert!(start.elapsed() >= Duration::from_secs(1));
}
