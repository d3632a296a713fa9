//! What goes into and comes out of an [`crate::instance::Instance`].

use std::time::Duration;

use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::ids::{CallId, InstanceId, RequestId, Token, WorkerId};

/// Something that happened to the instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Comes every [`crate::config::TICK_INTERVAL`].
    Tick,
    /// A caller's request; answered by [`Action::AnswerCaller`].
    Caller {
        /// Number of the exchange.
        token: Token,
        /// The request.
        request: CallerRequest,
    },
    /// A caller's question after a request; answered by [`Action::AnswerCaller`].
    CallerStatus {
        /// Number of the exchange.
        token: Token,
        /// Request in question.
        id: RequestId,
    },
    /// An operator's request; answered by [`Action::AnswerOperator`].
    Operator {
        /// Number of the exchange.
        token: Token,
        /// The request.
        request: OperatorRequest,
    },
    /// Another instance's request; answered by [`Action::AnswerPeer`].
    Peer {
        /// Number of the exchange.
        token: Token,
        /// The sender.
        from: InstanceId,
        /// The request.
        request: PeerRequest,
    },
    /// Reply or failure of a [`Action::CallStore`].
    StoreReply {
        /// Number of the call.
        call: CallId,
        /// What is known of the call.
        outcome: Outcome<StoreReply>,
    },
    /// Reply or failure of a [`Action::CallWorker`].
    WorkerReply {
        /// Number of the call.
        call: CallId,
        /// What is known of the call.
        outcome: Outcome<WorkerReply>,
    },
    /// Reply or failure of a [`Action::CallPeer`].
    PeerReply {
        /// Number of the call.
        call: CallId,
        /// What is known of the call.
        outcome: Outcome<PeerReply>,
    },
    /// The process was asked to stop.
    Drain,
}

/// Something that the shell has to do. Each call is followed by exactly one reply event, at the
/// latest when `timeout` has passed.
#[must_use = "an action that is dropped loses an answer"]
#[derive(Clone, Debug)]
pub enum Action {
    /// Calls the store.
    CallStore {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: StoreRequest,
        /// Time for the reply.
        timeout: Duration,
    },
    /// Calls a worker.
    CallWorker {
        /// Number of the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// Address of the worker.
        address: String,
        /// The request.
        request: WorkerRequest,
        /// Time for the reply.
        timeout: Duration,
    },
    /// Calls another instance.
    CallPeer {
        /// Number of the call.
        call: CallId,
        /// The instance.
        instance: InstanceId,
        /// Address of its listener for instances.
        address: String,
        /// The request.
        request: PeerRequest,
        /// Time for the reply.
        timeout: Duration,
    },
    /// Answers a caller.
    AnswerCaller {
        /// Number of the exchange.
        token: Token,
        /// The answer.
        reply: CallerReply,
    },
    /// Answers an operator.
    AnswerOperator {
        /// Number of the exchange.
        token: Token,
        /// The answer.
        reply: OperatorReply,
    },
    /// Answers another instance.
    AnswerPeer {
        /// Number of the exchange.
        token: Token,
        /// The answer.
        reply: PeerReply,
    },
    /// Records an event of the timeline.
    Record(TimelineEvent),
    /// The instance has drained; the process may end.
    Stopped,
}
