//! Keeps the newest accepted manifest in force and handles operators' submissions of new ones.

mod in_force;
mod submission;
mod sync;
#[cfg(test)]
mod tests;

use daisymast_protocol::operator::{OperatorReply, OperatorRequest, Status};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::{Generation, InstanceId, Token};

use crate::event::Action;
use crate::shared::Context;
use in_force::ManifestInForce;
use submission::Submissions;
use sync::ManifestSync;

/// A call to the store or to a peer whose reply is pending.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// A long-poll watch of the manifest key in the store.
    Watch,
    /// A read of the manifest key, used while watches fail.
    Poll,
    /// A fetch of the manifest from that peer.
    Fetch(InstanceId),
    /// A store call for the submission with that token.
    Submission(Token, submission::Call),
}

/// The manifest in force, its updates and the open submissions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    in_force: ManifestInForce,
    sync: ManifestSync,
    submissions: Submissions,
}

impl Configuration {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        self.sync.on_tick(cx, &self.in_force);
        self.submissions.on_tick(cx);
    }

    /// Answers an operator's request. `status` is the current status of the instance. The reply to
    /// `OperatorRequest::Timeline` is empty here: the process around the engine keeps the recorded
    /// events and answers that request itself.
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

    /// Answers a peer that fetches the manifest. The reply has a body only if the generation in
    /// force here is higher than `above`, the generation of the peer.
    pub(crate) fn on_fetch_manifest(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        above: Generation,
    ) {
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
            PendingCall::Watch => self.sync.on_watch_reply(cx, &mut self.in_force, outcome),
            PendingCall::Poll => self.sync.on_poll_reply(cx, &mut self.in_force, outcome),
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
            self.sync
                .on_fetch_reply(cx, &mut self.in_force, &peer, outcome);
        }
    }

    /// Whether no submission is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.submissions.is_empty()
    }
}
