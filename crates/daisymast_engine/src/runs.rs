//! Opens due runs, starts their tasks and follows them to the end.

use daisymast_protocol::operator::RunStatus;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerReply;

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Runs {}

impl Runs {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    pub(crate) fn on_peer_reply(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<PeerReply>,
    ) {
        match step {}
    }

    /// Progress of the runs that this instance owns.
    pub(crate) fn status(&self) -> Vec<RunStatus> {
        Vec::new()
    }
}
