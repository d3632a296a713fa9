//! Discovers instances and workers and exchanges heartbeats.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Heartbeat, PeerReply};
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::Token;

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Heartbeats {}

impl Heartbeats {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    pub(crate) fn on_heartbeat(
        &mut self,
        _cx: &mut Context<'_>,
        _token: Token,
        _heartbeat: Heartbeat,
    ) {
    }

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
