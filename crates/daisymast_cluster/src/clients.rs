//! Calls of the harness to the processes of a cell.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_http::auth::Key;
use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_worker::daemon::{self, LogReply};
use serde::Serialize;

use crate::load::ExchangeEnd;
use crate::settings;

/// Time for calls that set up or observe a cell, such as reading a log.
const HARNESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time beyond a request's timeout after which a caller counts it as not answered: the listener
/// waits 1 s beyond the timeout before it answers by itself.
const REPLY_GRACE: Duration = Duration::from_secs(3);

/// Clients with kept connections.
#[derive(Clone, Debug)]
pub(crate) struct Clients {
    client: Arc<Client>,
    key: Key,
}

impl Clients {
    pub(crate) fn new(executor: &Executor) -> Self {
        Self {
            client: Arc::new(Client::new(Arc::clone(executor), Settings::default())),
            key: settings::OPERATOR_KEY.parse().expect("a key"),
        }
    }

    pub(crate) async fn operator(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
        timeout: Duration,
    ) -> Outcome<OperatorReply> {
        let call = Call::new(address, "/v1/operator", timeout).signed(Some(&self.key));
        json::post(&self.client, &call, request).await
    }

    pub(crate) async fn log(&self, address: SocketAddr) -> LogReply {
        let call = Call::new(address, daemon::LOG_PATH, HARNESS_TIMEOUT);
        let answer = self.client.get(&call).await.done();
        let answer = answer.expect("the log of a worker");
        serde_json::from_slice(&answer.body).expect("a log")
    }

    pub(crate) async fn post(&self, address: SocketAddr, path: &str, body: &impl Serialize) {
        let call = Call::new(address, path, HARNESS_TIMEOUT);
        let reply: Outcome<serde_json::Value> = json::post(&self.client, &call, body).await;
        assert!(matches!(reply, Outcome::Done(_)), "{path}: {reply:?}");
    }

    pub(crate) async fn is_ready(&self, address: SocketAddr, timeout: Duration) -> bool {
        let answer = self
            .client
            .get(&Call::new(address, "/ready", timeout))
            .await;
        matches!(answer, Outcome::Done(answer) if answer.status.is_success())
    }

    /// Sends a caller's request. The outcome is in the body, whatever the status is.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> ExchangeEnd {
        let timeout = Duration::from_millis(request.timeout_ms) + REPLY_GRACE;
        let call = Call::new(address, "/v1/requests", timeout);
        let body = serde_json::to_vec(request).expect("a request");
        match self
            .client
            .post(&call, json::CONTENT_TYPE, body.into())
            .await
        {
            Outcome::Done(answer) => match serde_json::from_slice::<CallerReply>(&answer.body) {
                Ok(reply) => ExchangeEnd::Answered(reply),
                Err(error) => {
                    ExchangeEnd::NoValidReply(format!("status {}: {error}", answer.status))
                }
            },
            Outcome::NoEffect(error) => ExchangeEnd::ConnectFailed(error.to_string()),
            Outcome::Unknown(error) if error.reason.starts_with("not answered") => {
                ExchangeEnd::TimedOut
            }
            Outcome::Unknown(error) => ExchangeEnd::NoValidReply(error.to_string()),
        }
    }
}
