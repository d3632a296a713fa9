//! Typed HTTP client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};

/// Path to which a [`StoreRequest`] is posted.
pub const STORE_PATH: &str = "/v1/store";
/// Largest body of a request or reply, in bytes. JSON escaping makes a value of 1 MiB up to six
/// times as long, and a list holds values of up to 8 MiB.
pub const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Client of the store and member list of the platform.
#[derive(Debug)]
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
    path: String,
    peer: String,
}

impl StoreClient {
    /// Creates a client of the platform at `address`.
    ///
    /// The client identifies itself to the platform as `caller`, for example with the instance ID.
    /// The name may only contain letters, digits, `-`, `_` and `.`.
    pub fn new(executor: Executor, address: SocketAddr, caller: &str) -> Self {
        let settings = Settings {
            body_bytes: BODY_BYTES,
            ..Settings::default()
        };
        Self {
            client: Client::new(executor, settings),
            address,
            path: format!("{STORE_PATH}?caller={caller}"),
            peer: format!("store {address}"),
        }
    }

    /// Sends one request and waits up to `timeout` for the reply. The timeout of a watch must be
    /// longer than its `wait_ms`.
    pub async fn call(&self, request: &StoreRequest, timeout: Duration) -> Outcome<StoreReply> {
        let call = Call::new(self.address, &self.path, timeout)
            .with_error_context(step_name(request), &self.peer);
        json::post(&self.client, &call, request).await
    }
}

fn step_name(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Get { .. } => "read key",
        StoreRequest::List { .. } => "list keys",
        StoreRequest::Put { .. } => "write key",
        StoreRequest::Delete { .. } => "delete key",
        StoreRequest::Watch { .. } => "watch key",
        StoreRequest::Members => "list members",
    }
}
