//! Integration tests of an in-process instance with the platform stand-in.

mod common;

use std::sync::Arc;

use common::{OPERATOR_KEY, PEER_KEY, TEST_TIMEOUT, key, operator, settings, wait};
use daisymast_entry::listeners::peers::Envelope;
use daisymast_entry::process::Process;
use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::{self, Executor};
use daisymast_http::{json, msgpack};
use daisymast_platform::daemon::Daemon;
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_settings::entry;
use daisymast_types::ids::{Generation, InstanceId};

/// Starts the platform stand-in and one instance, runs `test`, and shuts both down.
fn with_running_instance(test: impl AsyncFnOnce(&Client, &Process)) {
    executor::run(2, async |executor: Executor| {
        let platform = daisymast_platform::settings::Settings::default();
        let platform = Daemon::start(&executor, &platform)
            .await
            .expect("a platform");
        let settings = entry::parse(&settings(platform.address())).expect("settings");
        let process = Process::start(&executor, &settings)
            .await
            .expect("an instance");
        let client = Client::new(Arc::clone(&executor), Settings::default());
        test(&client, &process).await;
        process.drain().await.expect("a drain in time");
        platform.shutdown().await;
    });
}

async fn get(client: &Client, address: std::net::SocketAddr, path: &str) -> (u16, String) {
    let response = client
        .get(&Call::new(address, path, TEST_TIMEOUT))
        .await
        .done()
        .expect("an answer");
    (
        response.status.as_u16(),
        String::from_utf8_lossy(&response.body).into_owned(),
    )
}

fn submit(expected: u64, release: &str) -> OperatorRequest {
    OperatorRequest::Submit {
        expected: Generation(expected),
        manifest: format!("{{\"release\": \"{release}\"}}"),
    }
}

/// Guards against an accepted manifest that does not take effect: it must pass through the operator
/// listener into the store and return through the watch. A submission with an outdated expected
/// generation must be reported as a conflict.
#[test]
fn instance_becomes_ready_after_a_manifest_is_accepted() {
    with_running_instance(async |client, process| {
        let at = process.addresses().clone();
        assert_eq!(get(client, at.metrics, "/ready").await.0, 503);
        assert_eq!(get(client, at.metrics, "/health").await.0, 200);
        let reply = operator(client, at.operators, &submit(0, "r1")).await;
        assert_eq!(
            reply,
            OperatorReply::Accepted {
                generation: Generation(1)
            }
        );
        let reply = operator(client, at.operators, &submit(0, "r2")).await;
        assert!(matches!(
            reply,
            OperatorReply::Conflict {
                actual: Generation(1),
                ..
            }
        ));
        let ready = async || (get(client, at.metrics, "/ready").await.0 == 200).then_some(());
        wait("readiness", ready).await;
        let reply = operator(
            client,
            at.operators,
            &OperatorRequest::Timeline { after: 0 },
        )
        .await;
        let OperatorReply::Timeline { events } = reply else {
            panic!("{reply:?}");
        };
        let steps: Vec<&str> = events
            .iter()
            .map(|(_, event)| event.step.as_str())
            .collect();
        assert!(steps.contains(&"configuration.accepted"), "{steps:?}");
        wait("the generation in the metrics", async || {
            let (_, text) = get(client, at.metrics, "/metrics").await;
            let parts = ["daisymast_generation 1\n", "events_total{kind=\"tick\"}"];
            parts.iter().all(|part| text.contains(part)).then_some(())
        })
        .await;
    });
}

/// Guards against accepting requests without a digest or with the key of the other listener, which
/// would let anyone who reaches a listener make changes or send under the id of another instance.
#[test]
fn request_without_valid_digest_is_rejected() {
    with_running_instance(async |client, process| {
        let at = process.addresses().clone();
        let (operator_key, peer_key) = (key(OPERATOR_KEY), key(PEER_KEY));
        let request = OperatorRequest::Status;
        for key in [None, Some(&peer_key)] {
            let call = Call::new(at.operators, "/v1/operator", TEST_TIMEOUT).signed(key);
            let outcome: Outcome<OperatorReply> = json::post(client, &call, &request).await;
            let Outcome::Unknown(error) = outcome else {
                panic!("{outcome:?}");
            };
            assert!(error.reason.contains("401"), "{error}");
        }
        let envelope = Envelope {
            from: InstanceId::from("entry-2"),
            request: PeerRequest::FetchManifest {
                above: Generation(0),
            },
        };
        for (key, is_accepted) in [(&operator_key, false), (&peer_key, true)] {
            let call = Call::new(at.peers, "/v1/peer", TEST_TIMEOUT).signed(Some(key));
            let reply: Outcome<PeerReply> = msgpack::post(client, &call, &envelope).await;
            assert_eq!(
                matches!(reply, Outcome::Done(PeerReply::Manifest { .. })),
                is_accepted
            );
        }
        let (_, text) = get(client, at.metrics, "/metrics").await;
        assert!(
            text.contains("listener=\"operators\",bound=\"authentication\"} 2"),
            "{text}"
        );
        assert!(
            text.contains("listener=\"peers\",bound=\"authentication\"} 1"),
            "{text}"
        );
    });
}

/// Guards against a malformed request that is accepted or whose error does not name the fault, and
/// against unknown paths that are not answered with 404.
#[test]
fn malformed_caller_request_returns_not_run() {
    with_running_instance(async |client, process| {
        let at = process.addresses().callers;
        let call = Call::new(at, "/v1/requests", TEST_TIMEOUT);
        let body = r#"{"id": "a", "service": "quotes", "idempotent": "yes"}"#;
        let response = client.post(&call, json::CONTENT_TYPE, body.into()).await;
        let response = response.done().expect("an answer");
        assert_eq!(response.status.as_u16(), 400);
        let text = String::from_utf8_lossy(&response.body);
        assert!(
            text.contains("not_run") && text.contains("expected a boolean"),
            "{text}"
        );
        assert_eq!(get(client, at, "/v1/requests/").await.0, 404);
        assert_eq!(get(client, at, "/other").await.0, 404);
    });
}
