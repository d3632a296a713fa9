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

/// Path of messages between instances.
pub const PATH: &str = "/v1/peer";
/// Name in metrics.
pub(crate) const NAME: &str = "peers";
/// Time for the answer. A forwarded request may take as long as a caller may wait.
const WAIT: Duration = limits::REQUEST_TIMEOUT_MAX;

/// A message between instances. The digest covers it, the sender's id included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: InstanceId,
    /// Its request.
    pub request: PeerRequest,
}

/// What each exchange needs.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) inbox: Inbox,
    pub(crate) metrics: Metrics,
    pub(crate) key: Key,
}

impl Peers {
    /// Answers one HTTP request.
    pub(crate) async fn handle(&self, request: Request) -> Response {
        if request.method != "POST" || request.path != PATH {
            return super::no_route(&request);
        }
        if let Err(refusal) = super::authenticate(&self.key, &request) {
            self.metrics.refused(NAME, "authentication");
            return refusal;
        }
        let Envelope { from, request } = match msgpack::request(&request.body) {
            Ok(envelope) => envelope,
            Err(refusal) => return refusal,
        };
        let outcome = self.inbox.submit(NAME, WAIT, |answer| {
            inbox::Request::Peer(from, request, answer)
        });
        match outcome.await {
            SubmitOutcome::Replied(reply) => {
                self.metrics.answer("peer", "done");
                msgpack::response(&reply)
            }
            SubmitOutcome::Overloaded => {
                self.metrics.answer("peer", "overloaded");
                Response::text(503, "the instance is overloaded")
            }
            SubmitOutcome::TimedOut => {
                self.metrics.answer("peer", "late");
                Response::text(504, format!("no answer within {} s", WAIT.as_secs()))
            }
        }
    }
}
