//! Keeps the newest accepted manifest in force and takes operators' submissions.

use daisymast_protocol::operator::{OperatorRequest, Status};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::{Generation, Token};

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Configuration {}

impl Configuration {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    /// Answers an operator. `status` is the instance's status at this moment. The shell answers
    /// `OperatorRequest::Timeline` itself, since it keeps the recorded events.
    pub(crate) fn on_operator(
        &mut self,
        _cx: &mut Context<'_>,
        _token: Token,
        _request: OperatorRequest,
        _status: Status,
    ) {
    }

    pub(crate) fn on_fetch(&mut self, _cx: &mut Context<'_>, _token: Token, _above: Generation) {}

    pub(crate) fn on_store(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<StoreReply>,
    ) {
        match step {}
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<PeerReply>,
    ) {
        match step {}
    }
}
