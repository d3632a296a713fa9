//! Keeps the newest accepted manifest in force and takes operators' submissions.

mod in_force;
mod learning;
mod submission;
#[cfg(test)]
mod tests;

use daisymast_protocol::operator::{OperatorReply, OperatorRequest, Status};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::{Generation, InstanceId, Token};

use crate::event::Action;
use crate::shared::Context;
use in_force::InForce;
use learning::Learning;
use submission::Submissions;

/// What to do with a reply.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// A watch of the store key.
    Watch,
    /// A read of the store key, made while no watch works.
    Poll,
    /// A fetch from that peer.
    Fetch(InstanceId),
    /// A call of an operator's submission.
    Submission(Token, submission::Call),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    in_force: InForce,
    learning: Learning,
    submissions: Submissions,
}

impl Configuration {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.learning.on_tick(cx, &self.in_force);
        self.submissions.on_tick(cx);
    }

    /// Answers an operator. `status` is the instance's status at this moment. The shell answers
    /// `OperatorRequest::Timeline` itself, since it keeps the recorded events.
    pub(crate) fn on_operator(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        request: OperatorRequest,
        status: Status,
    ) {
        let reply = match request {
            OperatorRequest::Submit { expected, manifest } => {
                self.submissions.open(cx, token, expected, manifest);
                return;
            }
            OperatorRequest::Manifest => OperatorReply::Manifest {
                generation: cx.shared.generation,
                manifest: self.in_force.body().to_owned(),
            },
            OperatorRequest::Status => OperatorReply::Status(status),
            OperatorRequest::Timeline { .. } => OperatorReply::Timeline { events: Vec::new() },
        };
        cx.outbox.emit(Action::AnswerOperator { token, reply });
    }

    pub(crate) fn on_fetch(&mut self, cx: &mut Context<'_>, token: Token, above: Generation) {
        let generation = cx.shared.generation;
        let body = (generation > above).then(|| self.in_force.body().to_owned());
        let reply = PeerReply::Manifest { generation, body };
        cx.outbox.answer_peer(token, reply);
    }

    pub(crate) fn on_store(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<StoreReply>,
    ) {
        match step {
            PendingCall::Watch => self.learning.on_watch(cx, &mut self.in_force, outcome),
            PendingCall::Poll => self.learning.on_poll(cx, &mut self.in_force, outcome),
            PendingCall::Submission(token, call) => {
                let in_force = &mut self.in_force;
                self.submissions
                    .on_reply(cx, in_force, token, call, outcome);
            }
            PendingCall::Fetch(_) => {}
        }
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        step: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        if let PendingCall::Fetch(peer) = step {
            self.learning
                .on_fetched(cx, &mut self.in_force, &peer, outcome);
        }
    }

    /// Whether no operator waits for an answer.
    pub(crate) fn is_idle(&self) -> bool {
        self.submissions.is_empty()
    }
}
