//! Asks holders to make room for urgent and normal tasks that find none.

use std::time::Duration;

use daisymast_placement::reclaim;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{PeerReply, PeerRequest, WorkerCapacity};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{RunKey, WorkerId};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;

use crate::claims::Claims;
use crate::outbox;
use crate::runs::recording::Recording;
use crate::runs::{PEER_TIMEOUT, PendingCall, Runs};
use crate::shared::Context;

/// Time without room after which a run asks for some.
const STARVED_AFTER: Duration = Duration::from_secs(1);
/// Time without room after which a run of a class below its share comes before more urgent ones. A burst
/// of urgent work is over by then.
const SHARE_AFTER: Duration = Duration::from_secs(10);
/// Requests of this owner in a second, so that a flood of urgent work cannot stop everything at once.
const PER_SECOND: usize = 32;
/// Time until the worker has reported the stops to its holder.
const STOPPED_WITHIN: Duration = Duration::from_millis(300);
/// Time in which a worker is asked once.
const ONCE_PER: Duration = Duration::from_secs(3);

/// What the urgency classes use, and the requests that were sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reclaims {
    workers: FastMap<WorkerId, WorkerCapacity>,
    starved: FastMap<RunKey, Monotonic>,
    /// Time of the last request for each worker, and what it takes from each class at most.
    asked: FastMap<WorkerId, (Monotonic, Resources)>,
    /// Rooms that were made, with the time from which they can be used.
    rooms: Vec<(Monotonic, RunKey, WorkerId)>,
}

impl Reclaims {
    pub(crate) fn describe(&mut self, worker: &WorkerCapacity) {
        self.workers.insert(worker.worker.clone(), worker.clone());
    }

    pub(crate) fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Notes whether a run found no room.
    pub(crate) fn note(&mut self, now: Monotonic, run: RunKey, is_starved: bool) {
        if is_starved {
            self.starved.entry(run).or_insert(now);
        } else {
            self.starved.remove(&run);
        }
    }

    fn fleet(&self) -> Resources {
        let all = self.workers.values();
        all.fold(Resources::ZERO, |sum, one| sum + one.capacity)
    }

    fn used(&self, class: Urgency) -> Resources {
        let all = self.workers.values().flat_map(|one| &one.classes);
        all.filter(|(one, _)| *one == class)
            .fold(Resources::ZERO, |sum, (_, size)| sum + *size)
    }

    /// Whether a run has found no room for so long that it comes first if its class has not its share.
    pub(crate) fn is_starved(&self, now: Monotonic, run: RunKey) -> bool {
        let since = self.starved.get(&run);
        since.is_some_and(|since| now - *since >= SHARE_AFTER)
    }

    /// Classes that use less than their share of the fleet.
    pub(crate) fn below_share(&self) -> Vec<Urgency> {
        let fleet = self.fleet();
        let classes = [Urgency::Background, Urgency::Normal, Urgency::Urgent];
        classes
            .into_iter()
            .filter(|class| reclaim::is_below_share(fleet, self.used(*class)))
            .collect()
    }

    /// Classes below `urgency` that keep their share when they lose `size` and what was asked for.
    fn classes(&self, urgency: Urgency, size: Resources) -> Vec<Urgency> {
        let asked = self.asked.values();
        let taken = asked.fold(size, |sum, (_, size)| sum + *size);
        let fleet = self.fleet();
        [Urgency::Background, Urgency::Normal]
            .into_iter()
            .filter(|class| {
                *class < urgency && reclaim::keeps_share(fleet, self.used(*class), taken)
            })
            .collect()
    }

    /// The worker on which the least has to be stopped, of those that can make room.
    fn choose(&self, size: Resources, classes: &[Urgency]) -> Option<WorkerId> {
        let fitting = self.workers.values().filter(|one| {
            let lent = one.classes.iter().filter(|(c, _)| classes.contains(c));
            let room = lent.fold(one.free, |sum, (_, size)| sum + *size);
            one.open && size.fits_in(room) && !self.asked.contains_key(&one.worker)
        });
        let missing = |one: &&WorkerCapacity| {
            let missing = size.saturating_sub(one.free);
            (missing.millicores, missing.memory_mib, one.worker.clone())
        };
        fitting.min_by_key(missing).map(|one| one.worker.clone())
    }
}

impl Runs {
    /// Sends requests for runs that found no room for a second, the most urgent first.
    pub(crate) fn reclaim(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        self.reclaims
            .asked
            .retain(|_, (at, _)| now - *at < ONCE_PER);
        let runs = &self.runs;
        self.reclaims
            .starved
            .retain(|run, _| runs.contains_key(run));
        if self.reclaims.starved.is_empty() {
            return;
        }
        for (_, _, _, key) in self.waiting_runs(now) {
            let since = self.reclaims.starved.get(&key).copied();
            if since.is_some_and(|since| now - since >= STARVED_AFTER) {
                self.reclaim_for(cx, key);
            }
        }
    }

    fn reclaim_for(&mut self, cx: &mut Context<'_>, key: RunKey) {
        let now = cx.now.mono;
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let Some(job) = &run.job else { return };
        let rooms = self.reclaims.rooms.iter().filter(|room| room.1 == key);
        let waiting = run.waiting(now).len().saturating_sub(rooms.count());
        let allowed = usize::try_from(self.workers.usage.room(run)).unwrap_or(usize::MAX);
        let (urgency, size) = (job.urgency, job.size);
        for _ in 0..waiting.min(allowed) {
            let recent = self.reclaims.asked.values();
            let second = Duration::from_secs(1);
            if recent.filter(|(at, _)| now - *at < second).count() >= PER_SECOND {
                return;
            }
            let classes = self.reclaims.classes(urgency, size);
            if classes.is_empty() {
                return;
            }
            let Some(worker) = self.reclaims.choose(size, &classes) else {
                return;
            };
            self.reclaims.asked.insert(worker.clone(), (now, size));
            let Some(holder) = cx.shared.view.holder(now, &worker) else {
                continue;
            };
            let step = PendingCall::Reclaim {
                run: key,
                worker: worker.clone(),
            };
            let request = PeerRequest::Reclaim {
                worker,
                run: key,
                size,
                classes,
            };
            let step = outbox::PendingCall::Runs(step);
            cx.outbox
                .call_peer(cx.shared, step, &holder, request, PEER_TIMEOUT);
        }
    }

    pub(crate) fn reclaim_reply(
        &mut self,
        cx: &Context<'_>,
        (run, worker): (RunKey, WorkerId),
        outcome: &Outcome<PeerReply>,
    ) {
        if *outcome == Outcome::Done(PeerReply::Ok) {
            let ready = cx.now.mono + STOPPED_WITHIN;
            self.reclaims.rooms.push((ready, run, worker));
        }
    }

    /// Claims the rooms that were made. They are reserved, so placement does not see them as free.
    pub(crate) fn use_rooms(&mut self, cx: &mut Context<'_>, claims: &mut Claims) {
        let now = cx.now.mono;
        let rooms = std::mem::take(&mut self.reclaims.rooms);
        let (ready, later): (Vec<_>, Vec<_>) = rooms.into_iter().partition(|room| room.0 <= now);
        self.reclaims.rooms = later;
        for (_, key, worker) in ready {
            let Some(run) = self.runs.get_mut(&key) else {
                continue;
            };
            let Some(index) = run.waiting(now).first().copied() else {
                continue;
            };
            let Some(entry) = run.claim(index, worker.clone()) else {
                continue;
            };
            self.workers.usage.place(now, run, index, &worker);
            let ticket = claims.record(cx, key, vec![entry]);
            let recording = Recording::Claim(key, vec![index]);
            self.recordings.insert(ticket, recording);
        }
    }
}
