//! Input events and output actions of an [`crate::instance::Instance`].

use std::time::Duration;

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::ids::{CallId, InstanceId, RequestId, Token, WorkerId};

/// Input of an instance. Requests carry a token that identifies the exchange and is repeated in the
/// answer. Replies carry the id of the call that they end.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer, which fires every [`crate::config::TICK_INTERVAL`].
    Tick,
    /// A request from a caller, answered by [`Action::AnswerCaller`].
    Caller {
        /// Token to repeat in the answer.
        token: Token,
        /// Request as received.
        request: CallerRequest,
    },
    /// A caller's query for the state of an earlier request, answered by [`Action::AnswerCaller`].
    CallerStatus {
        /// Token to repeat in the answer.
        token: Token,
        /// Id of the earlier request.
        id: RequestId,
    },
    /// A request from an operator, answered by [`Action::AnswerOperator`].
    Operator {
        /// Token to repeat in the answer.
        token: Token,
        /// Request as received.
        request: OperatorRequest,
    },
    /// A request from another instance, answered by [`Action::AnswerPeer`].
    Peer {
        /// Token to repeat in the answer.
        token: Token,
        /// Instance that sent the request.
        from: InstanceId,
        /// Request as received.
        request: PeerRequest,
    },
    /// Reply to, or failure of, an [`Action::CallStore`].
    StoreReply {
        /// Id of the call.
        call: CallId,
        /// Reply, or what is known of the failure.
        outcome: Outcome<StoreReply>,
    },
    /// Reply to, or failure of, an [`Action::CallWorker`].
    WorkerReply {
        /// Id of the call.
        call: CallId,
        /// Reply, or what is known of the failure.
        outcome: Outcome<WorkerReply>,
    },
    /// Reply to, or failure of, an [`Action::CallPeer`].
    PeerReply {
        /// Id of the call.
        call: CallId,
        /// Reply, or what is known of the failure.
        outcome: Outcome<PeerReply>,
    },
    /// The process was asked to shut down. The instance drains and then emits [`Action::Stopped`].
    Drain,
}

/// Output of an instance, which its driver has to carry out. The driver must deliver exactly one
/// reply event for each call, at the latest when `timeout` has passed.
#[must_use = "a dropped action leaves a call or an exchange without its answer"]
#[derive(Clone, Debug)]
pub enum Action {
    /// Calls the store.
    CallStore {
        /// Id to repeat in the reply event.
        call: CallId,
        /// Request to send.
        request: StoreRequest,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Calls a worker.
    CallWorker {
        /// Id to repeat in the reply event.
        call: CallId,
        /// Worker to call.
        worker: WorkerId,
        /// Address of the worker.
        address: String,
        /// Request to send.
        request: WorkerRequest,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Calls another instance.
    CallPeer {
        /// Id to repeat in the reply event.
        call: CallId,
        /// Instance to call.
        instance: InstanceId,
        /// Address of its listener for instances.
        address: String,
        /// Request to send.
        request: PeerRequest,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Answers a caller.
    AnswerCaller {
        /// Token of the exchange.
        token: Token,
        /// Answer to send.
        reply: CallerReply,
    },
    /// Answers an operator.
    AnswerOperator {
        /// Token of the exchange.
        token: Token,
        /// Answer to send.
        reply: OperatorReply,
    },
    /// Answers another instance.
    AnswerPeer {
        /// Token of the exchange.
        token: Token,
        /// Answer to send.
        reply: PeerReply,
    },
    /// Appends an event to the timeline.
    Record(TimelineEvent),
    /// The instance has drained and the process may exit.
    Stopped,
}
