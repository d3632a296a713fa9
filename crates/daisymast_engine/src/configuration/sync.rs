//! Gets newer manifests from the store by watches or polls, and from peers that are ahead.

use std::time::Duration;

use daisymast_manifest::record;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::{StoreReply, StoreRequest, WATCH_WAIT_MAX};
use daisymast_types::ids::{Generation, InstanceId};
use daisymast_types::time::Monotonic;

use super::PendingCall;
use super::in_force::ManifestInForce;
use crate::outbox;
use crate::shared::Context;

/// Wait time of a watch that probes whether watches work again.
const PROBE_WAIT: Duration = Duration::from_secs(1);
/// Time added to the wait of a watch for its timeout.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// Mean interval between two polls while watches fail.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Width of the random variation of [`POLL_INTERVAL`], so that instances do not poll at the same
/// time.
const POLL_JITTER: Duration = Duration::from_secs(1);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean interval between two fetches, so that an unusable body is not fetched on every tick.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// State of the calls that look for a newer manifest. At most one watch, one poll and one fetch are
/// open at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManifestSync {
    watch_open: bool,
    /// Whether the last watch succeeded. Polling continues while it did not.
    watch_works: bool,
    /// Whether a poll has succeeded since the last watch, so that a watch may work again.
    probe_due: bool,
    poll_open: bool,
    next_poll: Monotonic,
    fetch_open: bool,
    next_fetch: Monotonic,
    /// Number of fetches. Selects the peers that are ahead in turn, as one of them may be
    /// unreachable.
    fetch_count: usize,
}

impl ManifestSync {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>, in_force: &ManifestInForce) {
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

    fn watch(&mut self, cx: &mut Context<'_>, in_force: &ManifestInForce) {
        self.watch_open = true;
        self.probe_due = false;
        let wait = if self.watch_works {
            WATCH_WAIT_MAX
        } else {
            PROBE_WAIT
        };
        let request = StoreRequest::Watch {
            key: record::KEY.to_owned(),
            seen: in_force.revision(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let pending = outbox::PendingCall::Configuration(PendingCall::Watch);
        cx.outbox.call_store(pending, request, wait + WATCH_MARGIN);
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        self.poll_open = true;
        self.next_poll =
            cx.now.mono + (POLL_INTERVAL - POLL_JITTER / 2) + cx.outbox.jitter(POLL_JITTER);
        let request = StoreRequest::Get {
            key: record::KEY.to_owned(),
        };
        let pending = outbox::PendingCall::Configuration(PendingCall::Poll);
        cx.outbox.call_store(pending, request, POLL_TIMEOUT);
    }

    /// Fetches the manifest from a peer with a higher generation, if there is one.
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
        let (_, peer) = ahead.swap_remove(self.fetch_count % ahead.len());
        self.fetch_count = self.fetch_count.wrapping_add(1);
        self.fetch_open = true;
        self.next_fetch = cx.now.mono + FETCH_INTERVAL / 2 + cx.outbox.jitter(FETCH_INTERVAL);
        let pending = outbox::PendingCall::Configuration(PendingCall::Fetch(peer.clone()));
        let request = PeerRequest::FetchManifest { above };
        cx.outbox
            .call_peer(cx.shared, pending, &peer, request, FETCH_TIMEOUT);
    }

    pub(crate) fn on_watch_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut ManifestInForce,
        outcome: Outcome<StoreReply>,
    ) {
        self.watch_open = false;
        if let Outcome::Done(StoreReply::Value { entry }) = outcome {
            self.watch_works = true;
            in_force.observe(cx, entry.as_ref());
        } else if self.watch_works {
            self.watch_works = false;
            // When the store fails, the watches of all instances fail at once. The jitter prevents
            // that they all poll at the same time.
            self.next_poll = cx.now.mono + cx.outbox.jitter(POLL_JITTER);
        }
    }

    pub(crate) fn on_poll_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut ManifestInForce,
        outcome: Outcome<StoreReply>,
    ) {
        self.poll_open = false;
        if let Outcome::Done(StoreReply::Value { entry }) = outcome {
            self.probe_due = true;
            in_force.observe(cx, entry.as_ref());
        }
    }

    pub(crate) fn on_fetch_reply(
        &mut self,
        cx: &mut Context<'_>,
        in_force: &mut ManifestInForce,
        peer: &InstanceId,
        outcome: Outcome<PeerReply>,
    ) {
        self.fetch_open = false;
        if let Outcome::Done(PeerReply::Manifest {
            generation,
            body: Some(body),
        }) = outcome
            && !in_force.apply_from_peer(cx, peer, generation, body)
        {
            // The next fetch would probably return the same large and unusable body.
            self.next_fetch = cx.now.mono + POLL_INTERVAL;
        }
    }
}
