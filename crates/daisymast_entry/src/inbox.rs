//! Passes requests from the listeners to the driver and waits for the replies.

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

/// Maximum number of requests queued for the driver. The driver needs a few microseconds for each,
/// so a longer queue would only delay the rejection.
pub(crate) const REQUEST_QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of open exchanges at the instance, including those of disconnected clients.
const MAX_OPEN_EXCHANGES: i64 = 8_192;

/// Request that the driver converts into an event, with the one-shot channel for its reply.
#[derive(Debug)]
pub(crate) enum Request {
    Caller(CallerRequest, Sender<CallerReply>),
    CallerStatus(RequestId, Sender<CallerReply>),
    Operator(OperatorRequest, Sender<OperatorReply>),
    Peer(InstanceId, PeerRequest, Sender<PeerReply>),
}

/// Request in the driver's queue, with the time for which its listener waits for the reply.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) request: Request,
    pub(crate) wait: Duration,
}

/// Outcome of submitting a request to the driver.
#[must_use]
pub(crate) enum SubmitOutcome<T> {
    /// The instance answered.
    Replied(T),
    /// A limit was reached or the queue is closed; the instance never received the request.
    Overloaded,
    /// No reply arrived in time; the instance may have processed the request.
    TimedOut,
}

/// Sending side of the bounded request queue of the driver.
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

    /// Submits a request and waits up to `wait` for its reply. Rejections are counted in the
    /// metrics under `listener`.
    pub(crate) async fn submit<T>(
        &self,
        listener: &'static str,
        wait: Duration,
        request: impl FnOnce(Sender<T>) -> Request,
    ) -> SubmitOutcome<T> {
        if self.metrics.open_exchanges.get() >= MAX_OPEN_EXCHANGES {
            self.metrics.count_refusal(listener, "exchanges");
            return SubmitOutcome::Overloaded;
        }
        let (sender, answer) = async_channel::bounded(1);
        let request = request(sender);
        match self.queue.try_send(QueuedRequest { request, wait }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.metrics.count_refusal(listener, "queue");
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
