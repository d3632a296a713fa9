//! Learns of a newer manifest from the store and from peers.

use std::time::Duration;

use daisymast_manifest::record;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest, WATCH_WAIT};
use daisymast_types::ids::{Generation, InstanceId};
use daisymast_types::time::Monotonic;

use super::PendingCall;
use super::in_force::InForce;
use crate::outbox;
use crate::shared::Context;

/// Wait of a watch that finds out whether watches work again.
const PROBE_WAIT: Duration = Duration::from_secs(1);
/// Time for the reply of a watch beyond its wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// Mean time between two polls while no watch works.
const POLL_EVERY: Duration = Duration::from_secs(5);
/// Spread of the polls of many instances around the mean.
const POLL_SPREAD: Duration = Duration::from_secs(1);
/// Time for the reply of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the reply of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean time between two fetches, so that an unusable body is not fetched every tick.
const FETCH_EVERY: Duration = Duration::from_millis(500);

/// Open calls and due times. At most one watch, one poll and one fetch are open.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    watch_open: bool,
    /// Whether the last watch was answered. Polling goes on until then.
    watch_works: bool,
    /// Whether a poll succeeded since the last watch failed, so that a watch is worth a try.
    probe_due: bool,
    poll_open: bool,
    next_poll: Monotonic,
    fetch_open: bool,
    next_fetch: Monotonic,
    /// Fetches so far; rotates over the peers that are ahead, as one of them may be unreachable.
    fetches: usize,
}

impl Learning {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, in_force: &InForce) {
        let now = cx.now.mono;
        if !self.watch_open && (self.watch_works || self.probe_due) {
            self.watch(cx, in_force);
        }
        if !self.watch_works && !self.poll_open && now >= self.next_poll {
            self.poll(cx);
        }
        if !self.fetch_open && now >= self.next_fetch {
            self.fetch(cx);
        }
    }

    fn watch(&mut self, cx: &mut Context<'_>, in_force: &InForce) {
        self.watch_open = true;
        self.probe_due = false;
        let wait = if self.watch_works {
            WATCH_WAIT
        } else {
            PROBE_WAIT
        };
        let request = StoreRequest::Watch {
            key: record::KEY.to_owned(),
            seen: in_force.seen(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let step = outbox::PendingCall::Configuration(PendingCall::Watch);
        cx.outbox.call_store(step, request, wait + WATCH_MARGIN);
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        self.poll_open = true;
        self.next_poll =
            cx.now.mono + (POLL_EVERY - POLL_SPREAD / 2) + cx.outbox.jitter(POLL_SPREAD);
        let request = StoreRequest::Get {
            key: record::KEY.to_owned(),
        };
        let step = outbox::PendingCall::Configuration(PendingCall::Poll);
        cx.outbox.call_store(step, request, POLL_TIMEOUT);
    }

    fn fetch(&mut self, cx: &mut Context<'_>) {
        let above = cx.shared.generation;
        let mut ahead: Vec<(Generation, InstanceId)> = cx
            .shared
            .view
            .peers(cx.now.mono)
            .filter(|peer| peer.generation > above)
            .map(|peer| (peer.generation, peer.instance.clone()))
            .collect();
        if ahead.is_empty() {
            return;
        }
        ahead.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let (_, peer) = ahead.swap_remove(self.fetches % ahead.len());
        self.fetches = self.fetches.wrapping_add(1);
        self.fetch_open = true;
        self.next_fetch = cx.now.mono + FETCH_EVERY / 2 + cx.outbox.jitter(FETCH_EVERY);
        let step = outbox::PendingCall::Configuration(PendingCall::Fetch(peer.clone()));
        let request = PeerRequest::FetchManifest { above };
        cx.outbox
            .call_peer(cx.shared, step, &peer, request, FETCH_TIMEOUT);
    }

    pub(crate) fn on_watch(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut InForce,
        outcome: Outcome<StoreReply>,
    ) {
        self.watch_open = false;
        if let Outcome::Done(StoreReply::Value { entry }) = outcome {
            self.watch_works = true;
            in_force.observe(cx, entry.as_ref());
        } else if self.watch_works {
            self.watch_works = false;
            // All watches of a failing store end together; the spread keeps the polls apart.
            self.next_poll = cx.now.mono + cx.outbox.jitter(POLL_SPREAD);
        }
    }

    pub(crate) fn on_poll(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut InForce,
        outcome: Outcome<StoreReply>,
    ) {
        self.poll_open = false;
        if let Outcome::Done(StoreReply::Value { entry }) = outcome {
            self.probe_due = true;
            in_force.observe(cx, entry.as_ref());
        }
    }

    pub(crate) fn on_fetched(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut InForce,
        peer: &InstanceId,
        outcome: Outcome<PeerReply>,
    ) {
        self.fetch_open = false;
        if let Outcome::Done(PeerReply::Manifest {
            generation,
            body: Some(body),
        }) = outcome
            && !in_force.take_from_peer(cx, peer, generation, body)
        {
            // The same large body would come again.
            self.next_fetch = cx.now.mono + POLL_EVERY;
        }
    }
}
