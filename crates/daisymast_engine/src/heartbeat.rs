//! Discovers instances and workers from the platform's member list and exchanges heartbeats.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Heartbeat, PeerReply, PeerRequest};
use daisymast_protocol::store::{Member, MemberId, StoreReply, StoreRequest};
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, Token, WorkerId, Zone};
use daisymast_types::time::Monotonic;

use crate::outbox;
use crate::shared::{Context, KnownWorker};

/// Interval between rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of instances in each remote zone that get a heartbeat per round.
const PEERS_PER_REMOTE_ZONE: usize = 2;
/// Interval between reads of the platform's member list, without jitter.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bound of the jitter added to [`POLL_INTERVAL`].
const POLL_JITTER: Duration = Duration::from_secs(1);
/// Timeout of a read of the member list.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a member must be missing from the list before it is removed. An instance must
/// also have sent no heartbeat for that long, and a worker must have no holder. The list lags and
/// may temporarily omit members.
const REMOVE_AFTER: Duration = Duration::from_secs(300);
/// Upper bound of the number of known instances.
const MAX_INSTANCES: usize = 1_024;
/// Upper bound of the number of known workers.
const MAX_WORKERS: usize = 4_096;

/// Context of an open call, which determines how its reply is handled.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    /// Heartbeat to an instance.
    Heartbeat { to: InstanceId, sent: Monotonic },
    /// Read of the platform's member list.
    ListMembers,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Heartbeats {
    next_heartbeat: Monotonic,
    next_poll: Monotonic,
    is_polling: bool,
    round: usize,
    /// Number of owned partitions in the last heartbeat that was sent to all instances while
    /// draining, and the time of sending. `None` before draining.
    drain_announcement: Option<(usize, Monotonic)>,
    /// Instances with an open heartbeat. They get no second one until it is answered or times out.
    awaiting_reply: FastSet<InstanceId>,
    /// Time since which each known instance or worker is missing from the member list.
    absent_instances: FastMap<InstanceId, Monotonic>,
    absent_workers: FastMap<WorkerId, Monotonic>,
}

impl Heartbeats {
    pub(crate) fn on_tick(&mut self, cx: &mut Context<'_>) {
        if cx.now.mono >= self.next_heartbeat {
            self.next_heartbeat = cx.now.mono + HEARTBEAT_INTERVAL;
            self.send_heartbeats(cx);
        }
        self.announce_drain(cx);
        if cx.now.mono >= self.next_poll && !self.is_polling {
            self.is_polling = true;
            let pending = outbox::PendingCall::Heartbeat(PendingCall::ListMembers);
            cx.outbox
                .call_store(pending, StoreRequest::Members, POLL_TIMEOUT);
        }
    }

    /// Whether every instance that answers within one interval knows that this one is draining and
    /// owns no partitions. Otherwise they would send it requests until they miss its heartbeats.
    pub(crate) fn is_drain_announced(&self, now: Monotonic) -> bool {
        self.drain_announcement.is_some_and(|(owned, sent)| {
            owned == 0 && (self.awaiting_reply.is_empty() || now - sent >= HEARTBEAT_INTERVAL)
        })
    }

    /// Sends a heartbeat to all instances when draining begins and whenever the number of owned
    /// partitions changes while draining.
    fn announce_drain(&mut self, cx: &mut Context<'_>) {
        let own = cx.shared.view.own();
        let owned = own.partitions.len();
        if !own.draining
            || self
                .drain_announcement
                .is_some_and(|(last, _)| last == owned)
        {
            return;
        }
        self.drain_announcement = Some((owned, cx.now.mono));
        let mut others: Vec<InstanceId> = cx
            .shared
            .instances
            .keys()
            .filter(|instance| **instance != cx.config.instance)
            .cloned()
            .collect();
        others.sort_unstable();
        for to in others {
            self.send_heartbeat(cx, to);
        }
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        heartbeat: Heartbeat,
    ) {
        let now = cx.now.mono;
        apply_heartbeat(cx, now, heartbeat);
        let own = cx.shared.view.own().clone();
        cx.outbox.answer_peer(token, PeerReply::Heartbeat(own));
    }

    pub(crate) fn on_store(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<StoreReply>,
    ) {
        let PendingCall::ListMembers = pending else {
            return;
        };
        self.is_polling = false;
        self.next_poll = cx.now.mono + POLL_INTERVAL + cx.outbox.jitter(POLL_JITTER);
        let Outcome::Done(StoreReply::Members { members }) = outcome else {
            return;
        };
        // An empty list is a fault of the platform. It does not mean that all members are gone.
        if !members.is_empty() {
            let listed = apply_member_list(cx, members);
            self.expire_instances(cx, &listed);
            self.expire_workers(cx, &listed);
        }
    }

    pub(crate) fn on_peer_reply(
        &mut self,
        cx: &mut Context<'_>,
        pending: PendingCall,
        outcome: Outcome<PeerReply>,
    ) {
        let PendingCall::Heartbeat { to, sent } = pending else {
            return;
        };
        self.awaiting_reply.remove(&to);
        if let Outcome::Done(PeerReply::Heartbeat(heartbeat)) = outcome {
            // The peer was alive at some time after `sent`, but possibly long before `cx.now`.
            apply_heartbeat(cx, sent, heartbeat);
        }
    }

    /// Sends a heartbeat to all other instances of the local zone and, in rotation, to some of each
    /// remote zone.
    fn send_heartbeats(&mut self, cx: &mut Context<'_>) {
        let mut zones: BTreeMap<&Zone, Vec<&InstanceId>> = BTreeMap::new();
        for (instance, (zone, _)) in &cx.shared.instances {
            if *instance != cx.config.instance {
                zones.entry(zone).or_default().push(instance);
            }
        }
        let mut targets: Vec<InstanceId> = Vec::new();
        for (zone, mut instances) in zones {
            instances.sort_unstable();
            if *zone == cx.config.zone {
                targets.extend(instances.into_iter().cloned());
            } else {
                let first = self.round.wrapping_mul(PEERS_PER_REMOTE_ZONE);
                let count = instances.len().min(PEERS_PER_REMOTE_ZONE);
                let chosen = (0..count).map(|n| instances[(first + n) % instances.len()].clone());
                targets.extend(chosen);
            }
        }
        self.round = self.round.wrapping_add(1);
        for to in targets {
            self.send_heartbeat(cx, to);
        }
    }

    fn send_heartbeat(&mut self, cx: &mut Context<'_>, to: InstanceId) {
        if !self.awaiting_reply.insert(to.clone()) {
            return;
        }
        let pending = outbox::PendingCall::Heartbeat(PendingCall::Heartbeat {
            to: to.clone(),
            sent: cx.now.mono,
        });
        let request = PeerRequest::Heartbeat(cx.shared.view.own().clone());
        cx.outbox
            .call_peer(cx.shared, pending, &to, request, HEARTBEAT_TIMEOUT);
    }

    fn expire_instances(&mut self, cx: &mut Context<'_>, listed: &ListedMembers) {
        let now = cx.now.mono;
        let known: Vec<InstanceId> = cx.shared.instances.keys().cloned().collect();
        for instance in known {
            let heard = cx.shared.view.last_heartbeat_at(&instance);
            let is_silent = heard.is_none_or(|heard| now - heard >= REMOVE_AFTER);
            if listed.instances.contains(&instance) || !is_silent {
                self.absent_instances.remove(&instance);
                continue;
            }
            let since = *self.absent_instances.entry(instance.clone()).or_insert(now);
            if now - since >= REMOVE_AFTER {
                self.absent_instances.remove(&instance);
                cx.shared.instances.remove(&instance);
                cx.shared.view.remove(&instance);
            }
        }
    }

    fn expire_workers(&mut self, cx: &mut Context<'_>, listed: &ListedMembers) {
        let now = cx.now.mono;
        let known: Vec<WorkerId> = cx.shared.workers.keys().cloned().collect();
        for worker in known {
            if listed.workers.contains(&worker) {
                self.absent_workers.remove(&worker);
                continue;
            }
            if cx.shared.view.holder(now, &worker).is_some() {
                self.absent_workers.remove(&worker);
                continue;
            }
            let since = *self.absent_workers.entry(worker.clone()).or_insert(now);
            if now - since >= REMOVE_AFTER {
                self.absent_workers.remove(&worker);
                cx.shared.workers.remove(&worker);
            }
        }
    }
}

/// Members in one read of the platform's list.
#[derive(Clone, Default)]
struct ListedMembers {
    instances: FastSet<InstanceId>,
    workers: FastSet<WorkerId>,
}

/// Records the heartbeat of an instance that was alive at `alive_at`.
fn apply_heartbeat(cx: &mut Context<'_>, alive_at: Monotonic, heartbeat: Heartbeat) {
    if heartbeat.instance == cx.config.instance {
        return;
    }
    let known = &mut cx.shared.instances;
    if known.len() >= MAX_INSTANCES && !known.contains_key(&heartbeat.instance) {
        return;
    }
    // A delayed heartbeat must not restore an old address.
    let is_newest = cx.shared.view.last_heartbeat_at(&heartbeat.instance) <= Some(alive_at);
    if is_newest && !heartbeat.address.is_empty() {
        let location = (heartbeat.zone.clone(), heartbeat.address.clone());
        known.insert(heartbeat.instance.clone(), location);
    }
    cx.shared.view.record(alive_at, heartbeat);
}

/// Adds or updates the listed instances and workers. Returns their ids.
fn apply_member_list(cx: &mut Context<'_>, members: Vec<Member>) -> ListedMembers {
    let mut listed = ListedMembers::default();
    for member in members {
        match member.who {
            MemberId::Instance(instance) => {
                listed.instances.insert(instance.clone());
                // The list lags, so the address from an instance's own recent heartbeat takes
                // precedence.
                let is_live = cx.shared.view.is_live(cx.now.mono, &instance);
                let has_room = cx.shared.instances.len() < MAX_INSTANCES;
                if !is_live && (has_room || cx.shared.instances.contains_key(&instance)) {
                    let location = (member.zone, member.address);
                    cx.shared.instances.insert(instance, location);
                }
            }
            MemberId::Worker(worker, rack) => {
                listed.workers.insert(worker.clone());
                let has_room = cx.shared.workers.len() < MAX_WORKERS;
                if has_room || cx.shared.workers.contains_key(&worker) {
                    let known = KnownWorker {
                        zone: member.zone,
                        rack,
                        address: member.address,
                        leaving: member.leaving,
                    };
                    cx.shared.workers.insert(worker, known);
                }
            }
        }
    }
    listed
}
