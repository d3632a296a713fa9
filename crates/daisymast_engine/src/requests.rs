//! Serves callers: admission, claim, endpoint, answer.

use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;
use daisymast_types::ids::{RequestId, Token};

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Requests {}

impl Requests {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    pub(crate) fn on_caller(
        &mut self,
        _cx: &mut Context<'_>,
        _token: Token,
        _request: CallerRequest,
    ) {
    }

    /// Answers a caller that asks what became of a request.
    pub(crate) fn on_status(&mut self, _cx: &mut Context<'_>, _token: Token, _id: RequestId) {}

    /// Serves a request that an instance of another zone could not serve; it is not forwarded again.
    pub(crate) fn on_forward(
        &mut self,
        _cx: &mut Context<'_>,
        _token: Token,
        _request: CallerRequest,
    ) {
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<PeerReply>,
    ) {
        match step {}
    }

    /// Whether no request is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        true
    }
}
