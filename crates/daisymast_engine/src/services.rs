//! Keeps the declared number of service replicas running in the own zone.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;

use crate::control::Control;
use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Services {}

impl Services {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>, _control: &Control) {}

    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<PeerReply>,
    ) {
        match step {}
    }
}
