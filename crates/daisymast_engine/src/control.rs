//! Holds control leases of workers and acts for other components and instances on those workers.

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::worker::WorkerReply;
use daisymast_types::ids::{InstanceId, JobName, Token, WorkerId};
use daisymast_types::time::Timestamp;

use crate::shared::Context;

/// What to do with a reply.
#[derive(Debug)]
pub(crate) enum Step {}

#[derive(Debug, Default)]
pub(crate) struct Control {}

impl Control {
    pub(crate) fn on_tick(&mut self, _cx: &mut Context<'_>) {}

    /// Answers `Endpoints`, `Serve`, `Resolve`, `Start`, `Capacity`, `PollRuns`, `Stop`,
    /// `ResolveTask`, `Reserve`, `Unreserve` and `HandOver`.
    pub(crate) fn on_peer(
        &mut self,
        _cx: &mut Context<'_>,
        _token: Token,
        _from: &InstanceId,
        _request: PeerRequest,
    ) {
    }

    pub(crate) fn on_worker(
        &mut self,
        _cx: &mut Context<'_>,
        step: Step,
        _outcome: Outcome<WorkerReply>,
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

    /// Workers whose control lease this instance may use now.
    pub(crate) fn held(&self, _now: Timestamp) -> Vec<WorkerId> {
        Vec::new()
    }

    /// Running tasks by job on the held workers, sorted by job.
    pub(crate) fn running(&self) -> Vec<(JobName, u32)> {
        Vec::new()
    }

    /// Whether no control lease is held any longer, nor a call to a worker open.
    pub(crate) fn is_released(&self) -> bool {
        true
    }
}
