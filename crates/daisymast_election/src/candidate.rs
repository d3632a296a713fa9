//! When a node that is not the scheduler tries to become it.

use std::time::Duration;

use daisymast_types::time;
use serde::Serialize;

use crate::record;

/// Time without an answer of the scheduler after which a node looks for another.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a confirmed commit after which a scheduler is suspected.
pub const MAX_COMMIT_AGE: Duration = Duration::from_millis(700);
/// Time for which the journal has to stand still before a node takes over that cannot ask most
/// others.
pub const JOURNAL_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after a failed call to the store before a scheduler is replaced for want of a store.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_millis(600);
/// Time without an answer of the scheduler after which a node counts as cut off and wants no callers. It
/// exceeds [`SUSPECT`], after which the node looks for another scheduler.
pub const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Pings on end that were refused, which means that no process listens there.
pub const REFUSED_PINGS_THRESHOLD: u32 = 2;
/// Delay of a candidate for each node that goes before it.
pub const RANK_DELAY: Duration = Duration::from_millis(70);

/// Delay of the smallest machine while the other nodes are not known.
pub const MAX_SIZE_DELAY: Duration = Duration::from_millis(120);
/// Part of a core, in thousandths, below which a machine leaves the others time to start first: it
/// would take long to read the journal.
pub const LOW_CPU_MILLICORES: u32 = 200;
/// Further delay of such a machine.
pub const LOW_CPU_DELAY: Duration = Duration::from_millis(1_000);
/// Thousandths of a core.
const MILLICORES_PER_CORE: u32 = 1_000;

/// Why a node tries to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No scheduler was ever elected.
    None,
    /// The scheduler has given the role back.
    Resigned,
    /// The scheduler's process was started anew.
    Disowned,
    /// The journal stands still.
    Stalled,
    /// The scheduler says that it does not reach the store.
    Stale,
    /// Most nodes do not reach the scheduler.
    Unreached,
}

/// What a node should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on pinging the scheduler.
    Follow,
    /// Read the leader key and the beat.
    Inspect,
    /// Ask the other nodes whether they reach the scheduler, then inspect again.
    Probe,
    /// Try to take over from the term, 0 if there is none, after a delay.
    Campaign {
        /// Revision of the leader key that is to be replaced.
        term: u64,
        /// Why.
        reason: Reason,
        /// Time to wait first, so that larger nodes go before.
        delay: Duration,
    },
}

/// Whether a scheduler should give its role to a much larger machine. After all machines were off,
/// the first to start is elected, whatever its size.
///
/// ```
/// use daisymast_election::{candidate, record};
/// let member = |millicores| record::Member {
///     id: "n".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     millicores,
/// };
/// assert!(candidate::should_yield(&member(90), &[member(500)]));
/// assert!(!candidate::should_yield(&member(250), &[member(250), member(90)]));
/// ```
pub fn should_yield(me: &record::Member, others: &[record::Member]) -> bool {
    others.iter().any(|other| is_much_larger(other, me))
}

/// Whether a machine has one and a half times the processors of another.
fn is_much_larger(one: &record::Member, other: &record::Member) -> bool {
    one.millicores * 2 >= other.millicores * 3
}

/// What other nodes said when asked about the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Nodes that were asked.
    pub asked: usize,
    /// Nodes that answered and do not reach the scheduler either, or know a stale one.
    pub agreed: usize,
}

/// A node's view of the scheduler.
#[derive(Clone, Debug)]
pub struct Candidate {
    me: record::Member,
    elected: Option<record::Elected>,
    /// Whether the leader key was read at all.
    inspected: bool,
    last_contact: time::Monotonic,
    /// Time without a confirmed commit, as the scheduler last told it.
    commit_age: Duration,
    heartbeat: u64,
    heartbeat_changed: time::Monotonic,
    heartbeat_read: bool,
    members: Vec<record::Member>,
    probe_result: Option<Poll>,
    inspected_since_contact: bool,
    /// The scheduler's process said that it does not schedule.
    not_leader: bool,
    refused_pings: u32,
    /// When a call of this node to the store last failed.
    store_failed_at: Option<time::Monotonic>,
}

impl Candidate {
    /// A node that knows of no scheduler.
    pub fn new(me: record::Member, now: time::Monotonic) -> Self {
        Self {
            me,
            elected: None,
            inspected: false,
            last_contact: now,
            commit_age: Duration::ZERO,
            heartbeat: 0,
            heartbeat_changed: now,
            heartbeat_read: false,
            members: Vec::new(),
            probe_result: None,
            inspected_since_contact: false,
            not_leader: false,
            refused_pings: 0,
            store_failed_at: None,
        }
    }

    /// The scheduler that is known.
    pub fn elected(&self) -> Option<&record::Elected> {
        self.elected.as_ref()
    }

    /// The nodes that the scheduler last named.
    pub fn members(&self) -> &[record::Member] {
        &self.members
    }

    /// The scheduler answered a ping.
    pub fn on_pong(
        &mut self,
        commit_age: Duration,
        members: Vec<record::Member>,
        now: time::Monotonic,
    ) {
        self.last_contact = now;
        self.commit_age = commit_age;
        self.refused_pings = 0;
        if !members.is_empty() {
            self.members = members;
        }
        self.probe_result = None;
        self.inspected_since_contact = false;
    }

    /// The leader key and the beat were read, or a node told of a scheduler. Terms only rise.
    pub fn on_inspect(
        &mut self,
        elected: Option<record::Elected>,
        heartbeat: u64,
        now: time::Monotonic,
    ) {
        self.inspected = true;
        self.inspected_since_contact = true;
        if heartbeat != self.heartbeat || !self.heartbeat_read {
            self.heartbeat = heartbeat;
            self.heartbeat_changed = now;
            self.heartbeat_read = true;
        }
        match elected {
            Some(elected) => self.on_elected(elected, now),
            None => self.elected = None,
        }
    }

    /// A scheduler is known; an earlier term is ignored.
    pub fn on_elected(&mut self, elected: record::Elected, now: time::Monotonic) {
        let known = self.elected.as_ref().map_or(0, |known| known.term);
        if elected.term > known {
            self.elected = Some(elected);
            self.last_contact = now;
            self.commit_age = Duration::ZERO;
            self.heartbeat_changed = now;
            self.probe_result = None;
            self.not_leader = false;
            self.refused_pings = 0;
        }
    }

    /// A ping surely did not reach the scheduler: no connection could be opened.
    pub fn on_refused(&mut self) {
        self.refused_pings += 1;
    }

    /// A call of this node to the store failed.
    pub fn on_store_failed(&mut self, now: time::Monotonic) {
        self.store_failed_at = Some(now);
    }

    /// Whether the store has served this node for a while. After an outage the scheduler gets time to
    /// confirm its term before it is replaced.
    fn is_store_reachable(&self, now: time::Monotonic) -> bool {
        self.store_failed_at
            .is_none_or(|failed| now - failed >= STORE_RECOVERY_GRACE)
    }

    /// Whether requests of callers can reach a scheduler from this node.
    pub fn is_connected(&self, now: time::Monotonic) -> bool {
        self.elected.is_some() && self.silence(now) <= DISCONNECT_TIMEOUT
    }

    /// Time since the scheduler last answered.
    pub fn silence(&self, now: time::Monotonic) -> Duration {
        now - self.last_contact
    }

    /// Time without a confirmed commit, as the scheduler last told it.
    pub fn stale(&self) -> Duration {
        self.commit_age
    }

    /// The scheduler's process answered that it does not schedule in this term, nor knows a later
    /// one: it was started anew.
    pub fn on_disowned(&mut self, term: u64) {
        self.not_leader = self
            .elected
            .as_ref()
            .is_some_and(|elected| elected.term == term);
    }

    /// The other nodes were asked.
    pub fn on_poll(&mut self, poll: Poll) {
        self.probe_result = Some(poll);
    }

    /// The nodes that are alive, as this node saw them while it scheduled.
    pub fn set_members(&mut self, members: Vec<record::Member>) {
        self.members = members;
    }

    /// Whether the scheduler is reached and has the store.
    pub fn is_content(&self, now: time::Monotonic) -> bool {
        self.elected
            .as_ref()
            .is_some_and(|elected| !elected.leader.resigned)
            && !self.not_leader
            && self.refused_pings < REFUSED_PINGS_THRESHOLD
            && now - self.last_contact <= SUSPECT_TIMEOUT
            && self.commit_age <= MAX_COMMIT_AGE
    }

    /// What to do next.
    pub fn next(&mut self, now: time::Monotonic) -> Step {
        let Some(elected) = self.elected.clone() else {
            if !self.inspected {
                return Step::Inspect;
            }
            self.inspected = false;
            return self.campaign(0, Reason::None);
        };
        if elected.leader.resigned {
            if !self.inspected {
                return Step::Inspect;
            }
            self.inspected = false;
            return self.campaign(elected.term, Reason::Resigned);
        }
        if self.is_content(now) {
            return Step::Follow;
        }
        if !self.inspected_since_contact {
            return Step::Inspect;
        }
        self.inspected_since_contact = false;
        let stalled = self.heartbeat_read && now - self.heartbeat_changed >= JOURNAL_STALL_TIMEOUT;
        if self.not_leader {
            return self.campaign(elected.term, Reason::Disowned);
        }
        if stalled && self.is_store_reachable(now) {
            return self.campaign(elected.term, Reason::Stalled);
        }
        // The scheduler itself tells that it does not reach the store, which answered this node.
        if self.commit_age > MAX_COMMIT_AGE
            && now - self.last_contact <= SUSPECT_TIMEOUT
            && !self.is_store_reachable(now)
        {
            return Step::Inspect;
        }
        if self.commit_age > MAX_COMMIT_AGE && now - self.last_contact <= SUSPECT_TIMEOUT {
            return self.campaign(elected.term, Reason::Stale);
        }
        match self.probe_result.take() {
            None => {
                self.inspected_since_contact = true;
                Step::Probe
            }
            // A node that was just started knows no others: its own word is no majority.
            Some(poll) if poll.asked > 1 && poll.agreed * 2 > poll.asked => {
                self.campaign(elected.term, Reason::Unreached)
            }
            Some(_) => Step::Inspect,
        }
    }

    fn campaign(&self, term: u64, reason: Reason) -> Step {
        let ahead = self.members.iter().filter(|other| {
            other.id != self.me.id
                && (other.millicores, &other.id) > (self.me.millicores, &self.me.id)
                && self
                    .elected
                    .as_ref()
                    .is_none_or(|elected| elected.leader.node.id != other.id)
        });
        let rank = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        let mut delay = RANK_DELAY * rank.min(8);
        if self.members.is_empty() {
            // The others are not known yet, so the size alone decides who goes first.
            delay += MAX_SIZE_DELAY
                * (MILLICORES_PER_CORE - self.me.millicores.min(MILLICORES_PER_CORE))
                / MILLICORES_PER_CORE;
            // Where the former scheduler ran on a larger machine, others of its size are likely.
            let former = self.elected.as_ref().map(|elected| &elected.leader.node);
            let former_is_larger = former.is_some_and(|former| is_much_larger(former, &self.me));
            if former_is_larger || self.me.millicores < LOW_CPU_MILLICORES {
                delay += LOW_CPU_DELAY;
            }
        }
        Step::Campaign {
            term,
            reason,
            delay,
        }
    }
}
