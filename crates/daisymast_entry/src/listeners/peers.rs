//! Listener for other instances: `POST /v1/peer` in MessagePack, authenticated.

use std::time::Duration;

use daisymast_http::auth::Key;
use daisymast_http::msgpack;
use daisymast_http::server::{Request, Response};
use daisymast_protocol::limits;
use daisymast_protocol::peer::PeerRequest;
use daisymast_telemetry::metrics::Metrics;
use daisymast_types::ids::InstanceId;
use serde::{Deserialize, Serialize};

use crate::inbox::{self, Inbox, SubmitOutcome};

/// HTTP path of requests between instances.
pub const PATH: &str = "/v1/peer";
/// Value of the `listener` label in metrics.
pub(crate) const NAME: &str = "peers";
/// Maximum time to wait for the reply. A forwarded request may take as long as the longest timeout
/// that a caller can set.
const WAIT: Duration = limits::REQUEST_TIMEOUT_MAX;

/// Request between instances with its sender. The keyed digest covers both, so the sender's id
/// cannot be altered without the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id of the sending instance.
    pub from: InstanceId,
    /// Request for the receiving instance.
    pub request: PeerRequest,
}

/// State of the listener for other instances.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) inbox: Inbox,
    pub(crate) metrics: Metrics,
    pub(crate) key: Key,
}

impl Peers {
    /// Handles one HTTP request.
    pub(crate) async fn handle(&self, request: Request) -> Response {
        if request.method != "POST" || request.path != PATH {
            return super::no_route(&request);
        }
        if let Err(refusal) = super::authenticate(&self.key, &request) {
            self.metrics.count_refusal(NAME, "authentication");
            return refusal;
        }
        let Envelope { from, request } = match msgpack::decode_request(&request.body) {
            Ok(envelope) => envelope,
            Err(refusal) => return refusal,
        };
        let outcome = self.inbox.submit(NAME, WAIT, |answer| {
            inbox::Request::Peer(from, request, answer)
        });
        match outcome.await {
            SubmitOutcome::Replied(reply) => {
                self.metrics.count_answer("peer", "done");
                msgpack::encode_response(&reply)
            }
            SubmitOutcome::Overloaded => {
                self.metrics.count_answer("peer", "overloaded");
                Response::text(503, "the instance is overloaded")
            }
            SubmitOutcome::TimedOut => {
                self.metrics.count_answer("peer", "late");
                Response::text(504, format!("no answer within {} s", WAIT.as_secs()))
            }
        }
    }
}
