//! Member list of instances and workers that shows changes after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisymast_protocol::store::{Member, MemberId};
use daisymast_types::ids::{InstanceId, WorkerId};
use daisymast_types::time::Monotonic;

/// Largest number of changes that wait for the lag. If there are more, the oldest becomes visible
/// early.
const PENDING_MAX: usize = 65_536;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum MemberKey {
    Instance(InstanceId),
    Worker(WorkerId),
}

impl From<&MemberId> for MemberKey {
    fn from(id: &MemberId) -> Self {
        match id {
            MemberId::Instance(id) => Self::Instance(id.clone()),
            MemberId::Worker(id, _) => Self::Worker(id.clone()),
        }
    }
}

#[derive(Clone, Debug)]
enum Change {
    Register(Member),
    Remove(MemberId),
}

#[derive(Clone, Debug, Default)]
pub(super) struct MemberList {
    lag: Duration,
    visible: BTreeMap<MemberKey, Member>,
    /// Changes that are not visible yet, ordered by the time at which they become visible.
    pending: VecDeque<(Monotonic, Change)>,
}

impl MemberList {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    pub(super) fn register(&mut self, now: Monotonic, member: Member) {
        self.schedule(now, Change::Register(member));
    }

    pub(super) fn remove(&mut self, now: Monotonic, who: MemberId) {
        self.schedule(now, Change::Remove(who));
    }

    pub(super) fn visible(&mut self, now: Monotonic) -> Vec<Member> {
        while self
            .pending
            .front()
            .is_some_and(|(visible_at, _)| *visible_at <= now)
        {
            self.apply_oldest();
        }
        self.visible.values().cloned().collect()
    }

    fn schedule(&mut self, now: Monotonic, change: Change) {
        if self.pending.len() >= PENDING_MAX {
            self.apply_oldest();
        }
        self.pending.push_back((now + self.lag, change));
    }

    fn apply_oldest(&mut self) {
        match self.pending.pop_front() {
            Some((_, Change::Register(member))) => {
                self.visible.insert(MemberKey::from(&member.who), member);
            }
            Some((_, Change::Remove(who))) => {
                self.visible.remove(&MemberKey::from(&who));
            }
            None => {}
        }
    }
}
