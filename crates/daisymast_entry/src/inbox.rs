//! Hands requests of the listeners to the driver and waits for their answers.

#[cfg(test)]
mod tests;

use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_telemetry::metrics::Metrics;
use daisymast_types::ids::{InstanceId, RequestId};
use futures_lite::future;
use smol::Timer;

/// Requests that wait for the driver. It takes some microseconds for each, so a longer queue would
/// only delay the refusal.
pub(crate) const REQUEST_QUEUE_CAPACITY: usize = 1_024;
/// Exchanges that may be open at the instance, those of disconnected clients included.
const MAX_OPEN_EXCHANGES: i64 = 8_192;

/// A request that the driver turns into an event, with the channel of its one answer.
#[derive(Debug)]
pub(crate) enum Request {
    Caller(CallerRequest, Sender<CallerReply>),
    CallerStatus(RequestId, Sender<CallerReply>),
    Operator(OperatorRequest, Sender<OperatorReply>),
    Peer(InstanceId, PeerRequest, Sender<PeerReply>),
}

/// A request with the time after which nobody waits for its answer.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: Request,
    pub(crate) wait: Duration,
}

/// What became of a request.
#[must_use]
pub(crate) enum SubmitOutcome<T> {
    /// The instance answered.
    Replied(T),
    /// A bound was reached; the instance never saw the request.
    Overloaded,
    /// No answer came in time.
    TimedOut,
}

/// Sending side of the driver's bounded queue.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    queue: Sender<QueuedRequest>,
    metrics: Metrics,
}

impl Inbox {
    pub(crate) fn new(metrics: Metrics) -> (Self, Receiver<QueuedRequest>) {
        let (queue, requests) = async_channel::bounded(REQUEST_QUEUE_CAPACITY);
        (Self { queue, metrics }, requests)
    }

    /// Submits a request and waits for its answer. Refusals are counted under `listener`.
    pub(crate) async fn submit<T>(
        &self,
        listener: &'static str,
        wait: Duration,
        request: impl FnOnce(Sender<T>) -> Request,
    ) -> SubmitOutcome<T> {
        if self.metrics.open_exchanges.get() >= MAX_OPEN_EXCHANGES {
            self.metrics.refused(listener, "exchanges");
            return SubmitOutcome::Overloaded;
        }
        let (sender, answer) = async_channel::bounded(1);
        let request = request(sender);
        match self.queue.try_send(QueuedRequest { request, wait }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.metrics.refused(listener, "queue");
                return SubmitOutcome::Overloaded;
            }
        }
        let answered = async { answer.recv().await.ok() };
        let expired = async {
            Timer::after(wait).await;
            None
        };
        match future::or(answered, expired).await {
            Some(answer) => SubmitOutcome::Replied(answer),
            None => SubmitOutcome::TimedOut,
        }
    }
}
