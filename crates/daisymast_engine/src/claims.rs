//! Owns ledger partitions: takes them over, commits claims in groups and answers who owns what.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::StoreReply;
use daisymast_types::ids::{Epoch, Partition, Token};

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Claims {}

impl Claims {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    /// Answers `Claim`, `Settle` and `ClaimStatus`.
    pub(crate) fn on_peer(&mut self, _cx: &mut Context<'_>, _token: Token, _request: PeerRequest) {}

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

    /// Partitions that this instance owns as far as it knows, for its heartbeat.
    pub(crate) fn owned(&self) -> Vec<(Partition, Epoch)> {
        Vec::new()
    }
}
