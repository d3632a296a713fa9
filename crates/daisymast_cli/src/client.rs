//! HTTP client for the operator and caller listeners of the instances.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use daisymast_http::auth::Key;
use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_settings::operator::OperatorSettings;
use daisymast_types::ids::RequestId;

const OPERATOR_PATH: &str = "/v1/operator";
const REQUEST_PATH: &str = "/v1/requests";
/// Timeout of an operator request; exceeds the longest time that an instance takes to reply.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(20);
/// Additional time to wait for the reply to a caller request after the request's own timeout.
const CALLER_REPLY_GRACE: Duration = Duration::from_secs(3);
/// Timeout of a query for the result of a request.
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Client for the instances given by the settings or by `--instance`.
#[derive(Debug)]
pub(crate) struct Instances {
    client: Client,
    key: Key,
    pub(crate) operators: Vec<SocketAddr>,
    pub(crate) callers: Vec<SocketAddr>,
}

impl Instances {
    pub(crate) fn new(
        executor: Executor,
        settings: &OperatorSettings,
        instances: &[SocketAddr],
    ) -> anyhow::Result<Self> {
        let select = |from_settings: &[SocketAddr]| {
            let addresses = if instances.is_empty() {
                from_settings
            } else {
                instances
            };
            addresses.to_vec()
        };
        Ok(Self {
            client: Client::new(executor, Settings::default()),
            key: settings
                .operator_key
                .expose()
                .parse()
                .context("operator_key")?,
            operators: select(&settings.operators),
            callers: select(&settings.callers),
        })
    }

    /// Sends an operator request to one instance.
    pub(crate) async fn operator(
        &self,
        address: SocketAddr,
        request: &OperatorRequest,
    ) -> Outcome<OperatorReply> {
        let peer = format!("instance {address}");
        let call = Call::new(address, OPERATOR_PATH, OPERATOR_TIMEOUT)
            .with_error_context("ask as operator", &peer)
            .signed(Some(&self.key));
        json::post(&self.client, &call, request).await
    }

    /// Sends an operator request to the first reachable instance. A request whose outcome is
    /// unknown is not retried on another instance.
    pub(crate) async fn first_operator(&self, request: &OperatorRequest) -> Outcome<OperatorReply> {
        let mut last = no_instance("operators");
        for address in &self.operators {
            match self.operator(*address, request).await {
                Outcome::NoEffect(error) => last = error,
                other => return other,
            }
        }
        Outcome::NoEffect(last)
    }

    /// Sends a caller request to the first reachable instance. A request whose outcome is unknown
    /// is not retried on another instance.
    pub(crate) async fn request(&self, request: &CallerRequest) -> Outcome<CallerReply> {
        let timeout = Duration::from_millis(request.timeout_ms) + CALLER_REPLY_GRACE;
        let body = match serde_json::to_vec(request) {
            Ok(body) => body,
            Err(error) => {
                return Outcome::NoEffect(CallError::new(
                    "encode request",
                    "self",
                    &error.to_string(),
                ));
            }
        };
        let mut last = no_instance("callers");
        for address in &self.callers {
            let peer = format!("instance {address}");
            let call = Call::new(*address, REQUEST_PATH, timeout)
                .with_error_context("send request", &peer);
            let answer = self
                .client
                .post(&call, json::CONTENT_TYPE, body.clone().into())
                .await;
            match answer {
                Outcome::NoEffect(error) => last = error,
                other => return decode(&peer, other.map(|response| response.body.to_vec())),
            }
        }
        Outcome::NoEffect(last)
    }

    /// Queries the first reachable instance for the result of a request.
    pub(crate) async fn result(&self, id: &RequestId) -> Outcome<CallerReply> {
        let path = format!("{REQUEST_PATH}/{id}");
        let mut last = no_instance("callers");
        for address in &self.callers {
            let peer = format!("instance {address}");
            let call = Call::new(*address, &path, RESULT_TIMEOUT)
                .with_error_context("ask for result", &peer);
            match self.client.get(&call).await {
                Outcome::NoEffect(error) => last = error,
                other => return decode(&peer, other.map(|response| response.body.to_vec())),
            }
        }
        Outcome::NoEffect(last)
    }
}

/// Decodes the outcome from the response body, whatever the HTTP status is.
fn decode(peer: &str, answer: Outcome<Vec<u8>>) -> Outcome<CallerReply> {
    match answer {
        Outcome::Done(body) => match serde_json::from_slice(&body) {
            Ok(reply) => Outcome::Done(reply),
            Err(_) => {
                let text = String::from_utf8_lossy(&body);
                Outcome::Unknown(CallError::new("decode answer", peer, &text))
            }
        },
        Outcome::NoEffect(error) => Outcome::NoEffect(error),
        Outcome::Unknown(error) => Outcome::Unknown(error),
    }
}

fn no_instance(field: &str) -> CallError {
    let reason = format!("the settings name no {field}, and --instance is absent");
    CallError::new("find an instance", field, &reason)
}
