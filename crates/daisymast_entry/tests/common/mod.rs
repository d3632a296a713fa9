//! Settings and bounded waits shared by the integration tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisymast_http::auth::Key;
use daisymast_http::client::{Call, Client};
use daisymast_http::json;
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};

/// Maximum duration of each wait in the tests; equal to the drain limit.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const PEER_KEY: &str = "peer-key-peer-key-peer-key-peer-key";
pub(crate) const OPERATOR_KEY: &str = "operator-key-operator-key-operator-key";

/// Settings of an instance that listens on ports chosen by the kernel.
pub(crate) fn settings(platform: SocketAddr) -> String {
    let any = "127.0.0.1:0";
    serde_json::json!({
        "instance": "entry-1",
        "zone": "Austin",
        "listen": {"callers": any, "operators": any, "peers": any, "metrics": any},
        "platform": platform,
        "peer_key": PEER_KEY,
        "operator_key": OPERATOR_KEY,
    })
    .to_string()
}

pub(crate) fn key(text: &str) -> Key {
    text.parse().expect("a key")
}

pub(crate) async fn operator(
    client: &Client,
    address: SocketAddr,
    request: &OperatorRequest,
) -> OperatorReply {
    let key = key(OPERATOR_KEY);
    let call = Call::new(address, "/v1/operator", TEST_TIMEOUT).signed(Some(&key));
    json::post(client, &call, request)
        .await
        .done()
        .expect("an answer")
}

/// Polls `done` until it returns a value; panics after [`TEST_TIMEOUT`].
pub(crate) async fn wait<T>(what: &str, mut done: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = done().await {
            return value;
        }
        assert!(
            Instant::now() < end,
            "{what} did not happen within {TEST_TIMEOUT:?}"
        );
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}
