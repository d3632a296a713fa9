//! Typed HTTP client of a worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_http::client::{Call, Client};
use daisymast_http::json;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::ids::WorkerId;

/// Path to which a [`WorkerRequest`] is posted.
pub const WORKER_PATH: &str = "/v1/worker";

/// Client of one worker. Its connection pool is shared with the clients of other workers.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Arc<Client>,
    address: SocketAddr,
    path: String,
    peer: String,
}

impl WorkerClient {
    /// Creates a client of the worker at `address`.
    ///
    /// The client identifies itself to the worker as `caller`, for example with the instance ID.
    /// The name may only contain letters, digits, `-`, `_` and `.`.
    pub fn new(client: Arc<Client>, worker: &WorkerId, address: SocketAddr, caller: &str) -> Self {
        Self {
            client,
            address,
            path: format!("{WORKER_PATH}?caller={caller}"),
            peer: format!("worker {worker}"),
        }
    }

    /// Sends one request and waits up to `timeout` for the reply. The timeout of a renewal must be
    /// longer than its `wait_ms`.
    pub async fn call(&self, request: &WorkerRequest, timeout: Duration) -> Outcome<WorkerReply> {
        let call = Call::new(self.address, &self.path, timeout)
            .with_error_context(step_name(request), &self.peer);
        json::post(&self.client, &call, request).await
    }
}

fn step_name(request: &WorkerRequest) -> &'static str {
    match request {
        WorkerRequest::Acquire { .. } => "acquire control lease",
        WorkerRequest::Renew { .. } => "renew control lease",
        WorkerRequest::Release { .. } => "release control lease",
        WorkerRequest::Start { .. } => "start task",
        WorkerRequest::Stop { .. } => "stop task",
        WorkerRequest::Throttle { .. } => "throttle task",
        WorkerRequest::Serve { .. } => "serve request",
        WorkerRequest::Resolve { .. } => "resolve request",
        WorkerRequest::ResolveTask { .. } => "resolve task",
        WorkerRequest::Forget { .. } => "forget tasks",
    }
}
