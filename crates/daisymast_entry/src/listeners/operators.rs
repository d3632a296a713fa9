//! Listener for operators: `POST /v1/operator`, authenticated.

use std::sync::Arc;
use std::time::Duration;

use daisymast_http::auth::Key;
use daisymast_http::json;
use daisymast_http::server::{Request, Response};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_telemetry::metrics::Metrics;

use crate::driver::SharedState;
use crate::inbox::{self, Inbox, SubmitOutcome};
use crate::labels;

/// HTTP path of operator requests.
pub const PATH: &str = "/v1/operator";
/// Value of the `listener` label in metrics.
pub(crate) const NAME: &str = "operators";
/// Maximum time to wait for the reply; exceeds the longest time that a submission can take.
const WAIT: Duration = Duration::from_secs(15);

/// State of the listener for operators.
#[derive(Debug)]
pub(crate) struct Operators {
    pub(crate) inbox: Inbox,
    pub(crate) metrics: Metrics,
    pub(crate) shared_state: Arc<SharedState>,
    pub(crate) key: Key,
}

impl Operators {
    /// Handles one HTTP request.
    pub(crate) async fn handle(&self, request: Request) -> Response {
        if request.method != "POST" || request.path != PATH {
            return super::no_route(&request);
        }
        if let Err(refusal) = super::authenticate(&self.key, &request) {
            self.metrics.count_refusal(NAME, "authentication");
            return refusal;
        }
        match json::decode_request(&request.body) {
            Ok(request) => {
                let reply = self.answer(request).await;
                self.metrics
                    .count_answer("operator", labels::operator(&reply));
                json::encode_response(&reply)
            }
            Err(refusal) => refusal,
        }
    }

    async fn answer(&self, request: OperatorRequest) -> OperatorReply {
        if let OperatorRequest::Timeline { after } = request {
            let events = self.shared_state.events_after(after);
            return OperatorReply::Timeline { events };
        }
        let outcome = self.inbox.submit(NAME, WAIT, |answer| {
            inbox::Request::Operator(request, answer)
        });
        match outcome.await {
            SubmitOutcome::Replied(reply) => reply,
            SubmitOutcome::Overloaded => OperatorReply::Unavailable {
                reason: "the instance is overloaded".to_owned(),
            },
            SubmitOutcome::TimedOut => OperatorReply::Unknown {
                reason: format!("no answer within {} s", WAIT.as_secs()),
            },
        }
    }
}
