//! HTTP calls from the harness to the processes of a cell.

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

/// Timeout of calls that configure or inspect a cell, such as reading a worker log.
const HARNESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller waits beyond the request's own timeout before it counts the request as
/// unanswered. The listener itself waits 1 s beyond that timeout before it replies.
const REPLY_GRACE: Duration = Duration::from_secs(3);

/// HTTP client with persistent connections, and the key that signs operator calls.
#[derive(Clone, Debug)]
pub(crate) struct Clients {
    client: Arc<Client>,
    key: Key,
}

impl Clients {
    pub(crate) fn new(executor: &Executor) -> Self {
        Self {
            client: Arc::new(Client::new(Arc::clone(executor), Settings::default())),
            key: settings::OPERATOR_KEY.parse().expect("valid operator key"),
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
        let answer = answer.expect("reply with the worker log");
        serde_json::from_slice(&answer.body).expect("valid worker log")
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

    /// Sends a caller's request. The body is decoded whatever the HTTP status is, because the body
    /// holds the outcome.
    pub(crate) async fn send_request(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
    ) -> ExchangeEnd {
        let timeout = Duration::from_millis(request.timeout_ms) + REPLY_GRACE;
        let call = Call::new(address, "/v1/requests", timeout);
        let body = serde_json::to_vec(request).expect("serializable request");
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
