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
pub(crate) const QUEUE: usize = 1_024;
/// Exchanges that may be open at the instance, those of disconnected clients included.
const OPEN_EXCHANGES: i64 = 8_192;

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
pub(crate) struct Submitted {
    pub(crate) request: Request,
    pub(crate) wait: Duration,
}

/// What became of a request.
#[must_use]
pub(crate) enum Asked<T> {
    /// The instance answered.
    Answered(T),
    /// A bound was reached; the instance never saw the request.
    Full,
    /// No answer came in time.
    Late,
}

/// Sending side of the driver's bounded queue.
#[derive(Clone, Debug)]
pub(crate) struct Inbox {
    queue: Sender<Submitted>,
    metrics: Metrics,
}

impl Inbox {
    pub(crate) fn new(metrics: Metrics) -> (Self, Receiver<Submitted>) {
        let (queue, requests) = async_channel::bounded(QUEUE);
        (Self { queue, metrics }, requests)
    }

    /// Submits a request and waits for its answer. Refusals are counted under `listener`.
    pub(crate) async fn ask<T>(
        &self,
        listener: &'static str,
        wait: Duration,
        request: impl FnOnce(Sender<T>) -> Request,
    ) -> Asked<T> {
        if self.metrics.open_exchanges.get() >= OPEN_EXCHANGES {
            self.metrics.count_refusal(listener, "exchanges");
            return Asked::Full;
        }
        let (sender, answer) = async_channel::bounded(1);
        let request = request(sender);
        match self.queue.try_send(Submitted { request, wait }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                self.metrics.count_refusal(listener, "queue");
                return Asked::Full;
            }
        }
        let answered = async { answer.recv().await.ok() };
        let late = async {
            Timer::after(wait).await;
            None
        };
        match future::or(answered, late).await {
            Some(answer) => Asked::Answered(answer),
            None => Asked::Late,
        }
    }
}
