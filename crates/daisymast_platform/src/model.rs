//! State machine of the platform, without I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::store::{
    Entry, Member, MemberId, StoreReply, StoreRequest, WATCH_WAIT_MAX,
};
use daisymast_types::ids::Revision;
use daisymast_types::time::Monotonic;
use serde::{Deserialize, Serialize};

use members::MemberList;
use state::State;

mod members;
mod state;

pub use state::Snapshot;

/// Largest number of watches that wait at the same time.
pub const WAITING_WATCHES_MAX: usize = 65_536;

/// ID of a waiting watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

/// Immediate result of one call.
#[must_use = "the caller waits for the reply"]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelReply {
    /// The call was handled. The reply must be delivered after the delay.
    Answer {
        /// The reply.
        reply: StoreReply,
        /// Time by which the reply is delayed; zero unless a fault slows the platform down.
        delay: Duration,
    },
    /// The reply comes from a later [`PlatformModel::on_tick`].
    Deferred(WatchId),
    /// The write took effect, but its reply is lost.
    ReplyLost,
    /// The platform is unreachable for the caller. The call takes no effect and gets no reply.
    Unreachable,
}

/// Faults to inject into the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The platform is unreachable for all callers.
    pub down: bool,
    /// Delay of each reply, in milliseconds.
    pub slow_ms: u64,
    /// Number of coming writes that take effect and whose replies are lost.
    pub lose_writes: u32,
    /// Names of the callers for which the platform is unreachable.
    pub refuse: Vec<String>,
}

impl Faults {
    /// Returns whether the platform is unreachable for this caller.
    fn is_unreachable_for(&self, caller: &str) -> bool {
        self.down || self.refuse.iter().any(|name| name == caller)
    }
}

/// Counts of calls since the start. A watch counts once, when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All calls that reached the platform.
    pub calls: u64,
    /// Reads among them, including watches, lists and reads of the member list.
    pub reads: u64,
    /// Writes and deletions among them, including those that failed.
    pub writes: u64,
    /// Writes and deletions that failed because of the expected revision.
    pub conflicts: u64,
    /// Calls that were refused because they exceed a limit.
    pub refused: u64,
    /// Calls of callers for which the platform was unreachable. They are not part of `calls`.
    pub unreachable: u64,
}

#[derive(Clone, Debug)]
struct Watch {
    caller: String,
    key: String,
    seen: Revision,
    deadline: Monotonic,
}

/// State of the platform: a key-value store, and a member list that shows changes after a lag.
///
/// ```
/// use daisymast_platform::model;
/// use daisymast_protocol::store::{StoreReply, StoreRequest};
/// use daisymast_types::ids::Revision;
/// use daisymast_types::time::Monotonic;
///
/// let mut platform = model::PlatformModel::default();
/// let put = StoreRequest::Put {
///     key: "manifest".to_owned(),
///     value: "{}".to_owned(),
///     expect: Revision(0),
/// };
/// let model::ModelReply::Answer { reply, .. } = platform.on_request(Monotonic::ZERO, put) else {
///     panic!("the platform is reachable");
/// };
/// assert_eq!(reply, StoreReply::Written { revision: Revision(1) });
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlatformModel {
    state: State,
    members: MemberList,
    watches: BTreeMap<WatchId, Watch>,
    next_watch_id: u64,
    /// Whether a shutdown has begun; watches then do not wait.
    stopping: bool,
    faults: Faults,
    counts: Counts,
}

impl PlatformModel {
    /// Creates a platform without keys. Its member list shows changes after `member_lag`.
    pub fn new(member_lag: Duration) -> Self {
        Self {
            members: MemberList::new(member_lag),
            ..Self::default()
        }
    }

    /// Handles a call from an unnamed caller.
    pub fn on_request(&mut self, now: Monotonic, request: StoreRequest) -> ModelReply {
        self.on_request_from(now, "", request)
    }

    /// Handles a call from a named caller, to whom [`Faults::refuse`] can apply.
    pub fn on_request_from(
        &mut self,
        now: Monotonic,
        caller: &str,
        request: StoreRequest,
    ) -> ModelReply {
        if self.faults.is_unreachable_for(caller) {
            self.counts.unreachable += 1;
            return ModelReply::Unreachable;
        }
        self.counts.calls += 1;
        if request.is_write() {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        match request {
            StoreRequest::Get { key } => self.answer(StoreReply::Value {
                entry: self.state.get(&key).cloned(),
            }),
            StoreRequest::List { prefix } => {
                let reply = self.state.list(&prefix);
                self.answer_counted(reply)
            }
            StoreRequest::Put { key, value, expect } => {
                let reply = self.state.put(key, value, expect);
                self.answer_write(reply)
            }
            StoreRequest::Delete { key, expect } => {
                let reply = self.state.delete(&key, expect);
                self.answer_write(reply)
            }
            StoreRequest::Watch { key, seen, wait_ms } => {
                self.watch(now, caller, (key, seen), wait_ms)
            }
            StoreRequest::Members => {
                let members = self.members.visible(now);
                self.answer(StoreReply::Members { members })
            }
        }
    }

    /// Returns the replies to watches whose key has changed, whose wait is over, or that a fault
    /// cuts off. The caller must call this after each request and at least every few milliseconds.
    pub fn on_tick(&mut self, now: Monotonic) -> Vec<(WatchId, ModelReply)> {
        if self.watches.is_empty() {
            return Vec::new();
        }
        let mut resolved = Vec::new();
        for (id, watch) in &self.watches {
            if self.faults.is_unreachable_for(&watch.caller) {
                resolved.push((*id, ModelReply::Unreachable));
                continue;
            }
            let entry = self.state.get(&watch.key);
            let expired = now >= watch.deadline || self.stopping;
            if revision(entry) != watch.seen || expired {
                let entry = entry.cloned();
                resolved.push((*id, self.answer(StoreReply::Value { entry })));
            }
        }
        for (id, _) in &resolved {
            self.watches.remove(id);
        }
        resolved
    }

    /// Discards a watch whose caller has disconnected.
    pub fn cancel(&mut self, watch: WatchId) {
        self.watches.remove(&watch);
    }

    /// Starts a shutdown: waiting watches are answered at the next tick, and later ones at once.
    pub fn stop_watches(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of waiting watches.
    pub fn waiting(&self) -> usize {
        self.watches.len()
    }

    /// Adds a member to the member list or replaces its entry. The change is visible after the lag.
    pub fn register(&mut self, now: Monotonic, member: Member) {
        self.members.register(now, member);
    }

    /// Removes a member from the member list. The change is visible after the lag.
    pub fn remove(&mut self, now: Monotonic, who: MemberId) {
        self.members.remove(now, who);
    }

    /// Replaces all injected faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the injected faults in force.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns a copy of all keys, for [`Self::restore`].
    pub fn snapshot(&self) -> Snapshot {
        self.state.snapshot()
    }

    /// Resets all keys and their revisions to a snapshot, like a restore from a backup.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        self.state = State::from_snapshot(snapshot);
    }

    /// Returns the entry of a key, without counting as a call.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.state.get(key)
    }

    /// Returns all entries ordered by key, without counting as a call.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.state.entries()
    }

    /// Returns the counts of calls since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    fn watch(
        &mut self,
        now: Monotonic,
        caller: &str,
        (key, seen): (String, Revision),
        wait_ms: u64,
    ) -> ModelReply {
        let entry = self.state.get(&key);
        if revision(entry) != seen || wait_ms == 0 || self.stopping {
            let entry = entry.cloned();
            return self.answer(StoreReply::Value { entry });
        }
        if self.watches.len() >= WAITING_WATCHES_MAX {
            return self.answer_counted(refused(&format!(
                "{WAITING_WATCHES_MAX} watches wait already"
            )));
        }
        let id = WatchId(self.next_watch_id);
        self.next_watch_id += 1;
        let deadline = now + Duration::from_millis(wait_ms).min(WATCH_WAIT_MAX);
        let watch = Watch {
            caller: caller.to_owned(),
            key,
            seen,
            deadline,
        };
        self.watches.insert(id, watch);
        ModelReply::Deferred(id)
    }

    fn answer_write(&mut self, reply: StoreReply) -> ModelReply {
        let committed = matches!(reply, StoreReply::Written { .. });
        if committed && self.faults.lose_writes > 0 {
            self.faults.lose_writes -= 1;
            return ModelReply::ReplyLost;
        }
        self.answer_counted(reply)
    }

    fn answer_counted(&mut self, reply: StoreReply) -> ModelReply {
        match reply {
            StoreReply::Conflict { .. } => self.counts.conflicts += 1,
            StoreReply::Refused { .. } => self.counts.refused += 1,
            _ => {}
        }
        self.answer(reply)
    }

    fn answer(&self, reply: StoreReply) -> ModelReply {
        ModelReply::Answer {
            reply,
            delay: Duration::from_millis(self.faults.slow_ms),
        }
    }
}

fn revision(entry: Option<&Entry>) -> Revision {
    entry.map_or(Revision(0), |entry| entry.revision)
}

fn refused(reason: &str) -> StoreReply {
    StoreReply::Refused {
        reason: reason.to_owned(),
    }
}
