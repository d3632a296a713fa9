//! Metric label values for events, actions and outcomes.

use daisymast_engine::event::{Action, Event};
use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::operator::OperatorReply;
use daisymast_protocol::outcome::Outcome;

pub(crate) fn event(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Caller { .. } => "caller",
        Event::CallerStatus { .. } => "caller_status",
        Event::Operator { .. } => "operator",
        Event::Peer { .. } => "peer",
        Event::StoreReply { .. } => "store_reply",
        Event::WorkerReply { .. } => "worker_reply",
        Event::PeerReply { .. } => "peer_reply",
        Event::Drain => "drain",
    }
}

pub(crate) fn action(action: &Action) -> &'static str {
    match action {
        Action::CallStore { .. } => "call_store",
        Action::CallWorker { .. } => "call_worker",
        Action::CallPeer { .. } => "call_peer",
        Action::AnswerCaller { .. } => "answer_caller",
        Action::AnswerOperator { .. } => "answer_operator",
        Action::AnswerPeer { .. } => "answer_peer",
        Action::Record(_) => "record",
        Action::Stopped => "stopped",
    }
}

pub(crate) fn outcome<T>(outcome: &Outcome<T>) -> &'static str {
    match outcome {
        Outcome::Done(_) => "done",
        Outcome::NoEffect(_) => "no_effect",
        Outcome::Unknown(_) => "unknown",
    }
}

pub(crate) fn caller(reply: &CallerReply) -> &'static str {
    match reply {
        CallerReply::Done { .. } => "done",
        CallerReply::NotRun { .. } => "not_run",
        CallerReply::Unknown { .. } => "unknown",
    }
}

pub(crate) fn operator(reply: &OperatorReply) -> &'static str {
    match reply {
        OperatorReply::Accepted { .. } => "accepted",
        OperatorReply::Conflict { .. } => "conflict",
        OperatorReply::Invalid { .. } => "invalid",
        OperatorReply::Unknown { .. } => "unknown",
        OperatorReply::Unavailable { .. } => "unavailable",
        OperatorReply::Manifest { .. } => "manifest",
        OperatorReply::Status(_) => "status",
        OperatorReply::Timeline { .. } => "timeline",
    }
}
