//! Typed client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::store::{StoreReply, StoreRequest};

/// Path of store requests.
pub const STORE_PATH: &str = "/v1/store";
/// Largest body in either direction, in bytes. Escaping makes a value of one megabyte in JSON up to
/// six times as long, and a list holds up to eight megabytes.
pub const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Client of the platform's store and list.
#[derive(Debug)]
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
    path: String,
    peer: String,
}

impl StoreClient {
    /// A client of the platform at `address` that names itself `caller`, for example with the id of
    /// the instance. The name has to consist of letters, digits, `-`, `_` and `.`.
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

    /// Sends one request and waits for the reply, at most for `timeout`. For a watch the timeout has
    /// to be longer than its wait.
    pub async fn call(&self, request: &StoreRequest, timeout: Duration) -> Outcome<StoreReply> {
        let call = Call::new(self.address, &self.path, timeout)
            .with_error_context(step(request), &self.peer);
        json::post(&self.client, &call, request).await
    }
}

fn step(request: &StoreRequest) -> &'static str {
    match request {
        StoreRequest::Get { .. } => "read key",
        StoreRequest::List { .. } => "list keys",
        StoreRequest::Put { .. } => "write key",
        StoreRequest::Delete { .. } => "delete key",
        StoreRequest::Watch { .. } => "watch key",
        StoreRequest::Members => "list members",
    }
}
