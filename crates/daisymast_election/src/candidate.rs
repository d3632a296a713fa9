//! Failure detection of the scheduler, and the decision to become a candidate for its role.

use std::time::Duration;

use daisymast_types::time;
use serde::Serialize;

use crate::former_leases;
use crate::record;

/// Time without an answer of the scheduler after which a node suspects it.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a confirmed commit after which a scheduler is suspected.
pub const MAX_COMMIT_AGE: Duration = Duration::from_millis(700);
/// Time without any growth of the journal after which a node takes over even without the agreement
/// of a majority.
pub const JOURNAL_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that the store has to be reachable again before a scheduler without a confirmed commit is
/// replaced.
pub const STORE_RECOVERY_GRACE: Duration = Duration::from_millis(600);
/// Time without an answer of the scheduler after which a node counts as disconnected and should
/// receive no caller requests. It exceeds [`SUSPECT_TIMEOUT`], so that the node searches for
/// another scheduler first.
pub const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of consecutive pings with a refused connection after which the scheduler's process counts
/// as gone.
pub const REFUSED_PINGS_THRESHOLD: u32 = 2;
/// Delay of a campaign for each node that ranks higher.
pub const RANK_DELAY: Duration = Duration::from_millis(70);

/// Delay of the smallest machine while the other nodes are not known.
pub const MAX_SIZE_DELAY: Duration = Duration::from_millis(120);
/// Share of a core, in thousandths, below which a machine lets others start first, because it would
/// take long to read the journal.
pub const LOW_CPU_MILLICORES: u32 = 200;
/// Additional delay of a machine that should let larger ones start first.
pub const LOW_CPU_DELAY: Duration = Duration::from_millis(1_000);
/// Additional delay of a machine for each of its terms in a row that ended because it could not
/// decode the journal. A machine of another release may be able to.
pub const UNREADABLE_JOURNAL_DELAY: Duration = Duration::from_millis(1_500);
/// Number of such terms from which on the delay no longer grows.
const MAX_UNREADABLE_TERMS: u32 = 8;
const MILLICORES_PER_CORE: u32 = 1_000;

/// Why a node tries to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No scheduler was elected yet.
    None,
    /// The scheduler has resigned.
    Resigned,
    /// The scheduler's process was restarted and no longer schedules in its term.
    Disowned,
    /// The journal has stopped growing.
    Stalled,
    /// The scheduler reports that it cannot reach the store.
    Stale,
    /// A majority of the nodes cannot reach the scheduler.
    Unreached,
}

/// What a node should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Keep pinging the scheduler.
    Follow,
    /// Read the leader key and the heartbeat key from the store.
    Inspect,
    /// Ask the other nodes whether they can reach the scheduler, then read the store again.
    Probe,
    /// Try to take over after a delay.
    Campaign {
        /// Term to replace: the revision of the leader key, or 0 if there is no leader.
        term: u64,
        /// Why the node tries to take over.
        reason: Reason,
        /// Time to wait first, so that larger machines are elected before smaller ones.
        delay: Duration,
    },
}

/// Whether a scheduler should hand over to a much larger machine. After a restart of all machines,
/// the first to start is elected, whatever its size.
///
/// ```
/// use daisymast_election::{candidate, record};
/// let member = |millicores| record::Member {
///     id: "n".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     millicores,
///     zone: "z".into(),
/// };
/// assert!(candidate::should_step_down(&member(90), &[member(500)]));
/// assert!(!candidate::should_step_down(&member(250), &[member(250), member(90)]));
/// ```
pub fn should_step_down(me: &record::Member, others: &[record::Member]) -> bool {
    others.iter().any(|other| is_much_larger(other, me))
}

/// Whether a machine has at least one and a half times the processors of another.
fn is_much_larger(one: &record::Member, other: &record::Member) -> bool {
    one.millicores * 2 >= other.millicores * 3
}

/// Answers of the other nodes to the question whether they can reach the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Number of nodes that were asked, including this one.
    pub asked: usize,
    /// Number of nodes, including this one, that cannot reach the scheduler or know that its last
    /// commit is too old.
    pub agreed: usize,
}

/// A node's view of the scheduler.
#[derive(Clone, Debug)]
pub struct Candidate {
    me: record::Member,
    elected: Option<record::Elected>,
    /// When this node learned of `elected`.
    elected_since: time::Monotonic,
    /// Whether the leader key was read since the last campaign for a vacant role.
    inspected: bool,
    last_contact: time::Monotonic,
    /// Time since the scheduler's last confirmed commit, as it last reported.
    commit_age: Duration,
    heartbeat: u64,
    heartbeat_changed: time::Monotonic,
    heartbeat_read: bool,
    members: Vec<record::Member>,
    probe_result: Option<ProbeResult>,
    inspected_since_contact: bool,
    /// Whether the scheduler's process answered that it does not schedule.
    not_leader: bool,
    refused_pings: u32,
    /// When a call of this node to the store last failed.
    store_failed_at: Option<time::Monotonic>,
    /// Number of terms in a row in which this node could not decode the journal.
    unreadable_terms: u32,
}

impl Candidate {
    /// Creates a node that knows of no scheduler.
    pub fn new(me: record::Member, now: time::Monotonic) -> Self {
        Self {
            me,
            elected: None,
            elected_since: now,
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
            unreadable_terms: 0,
        }
    }

    /// Returns the scheduler that this node knows, if any.
    pub fn elected(&self) -> Option<&record::Elected> {
        self.elected.as_ref()
    }

    /// Returns what is known of the leader that a campaign for the role of `term` replaces.
    pub fn former(&self, term: u64) -> former_leases::Former {
        if term == 0 {
            return former_leases::Former::None;
        }
        self.elected
            .as_ref()
            .filter(|elected| elected.term == term)
            .map_or(former_leases::Former::Unknown, |elected| {
                former_leases::Former::Known {
                    elected: elected.clone(),
                    since: self.elected_since,
                }
            })
    }

    /// Returns the nodes that the scheduler last reported as alive.
    pub fn members(&self) -> &[record::Member] {
        &self.members
    }

    /// Handles the scheduler's answer to a ping.
    pub fn on_pong(
        &mut self,
        commit_age: Duration,
        members: Vec<record::Member>,
        now: time::Monotonic,
    ) {
        self.last_contact = now;
        self.commit_age = commit_age;
        self.refused_pings = 0;
        self.not_leader = false;
        if !members.is_empty() {
            self.members = members;
        }
        self.probe_result = None;
        self.inspected_since_contact = false;
    }

    /// Handles a read of the leader key and the heartbeat key.
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

    /// Handles news of an elected scheduler. Terms only increase, so an earlier term is ignored.
    pub fn on_elected(&mut self, elected: record::Elected, now: time::Monotonic) {
        let known = self.elected.as_ref().map_or(0, |known| known.term);
        if elected.term > known {
            self.elected = Some(elected);
            self.elected_since = now;
            self.last_contact = now;
            self.commit_age = Duration::ZERO;
            self.heartbeat_changed = now;
            self.probe_result = None;
            self.not_leader = false;
            self.refused_pings = 0;
        }
    }

    /// Handles a ping for which no connection could be opened.
    pub fn on_connection_refused(&mut self) {
        self.refused_pings += 1;
    }

    /// Handles a failed call of this node to the store.
    pub fn on_store_failed(&mut self, now: time::Monotonic) {
        self.store_failed_at = Some(now);
    }

    /// Whether the store has answered this node for a while. After an outage this gives the
    /// scheduler time to confirm its term before it is replaced.
    fn is_store_reachable(&self, now: time::Monotonic) -> bool {
        self.store_failed_at
            .is_none_or(|failed| now - failed >= STORE_RECOVERY_GRACE)
    }

    /// Whether this node can forward caller requests to a scheduler.
    pub fn is_connected(&self, now: time::Monotonic) -> bool {
        self.elected.is_some() && self.time_since_contact(now) <= DISCONNECT_TIMEOUT
    }

    /// Returns the time since the scheduler last answered, or since it became known.
    pub fn time_since_contact(&self, now: time::Monotonic) -> Duration {
        now - self.last_contact
    }

    /// Returns the time since the scheduler's last confirmed commit, as it last reported.
    pub fn commit_age(&self) -> Duration {
        self.commit_age
    }

    /// Handles an answer of the scheduler's process that it does not schedule in this term and
    /// knows of no later one: it was restarted.
    pub fn on_not_leader(&mut self, term: u64) {
        self.not_leader = self
            .elected
            .as_ref()
            .is_some_and(|elected| elected.term == term);
    }

    /// Handles the answers of the other nodes about the scheduler.
    pub fn on_probe_result(&mut self, result: ProbeResult) {
        self.probe_result = Some(result);
    }

    /// Records whether this node, once elected, could decode the journal.
    pub fn on_journal_read(&mut self, is_readable: bool) {
        self.unreadable_terms = if is_readable {
            0
        } else {
            (self.unreadable_terms + 1).min(MAX_UNREADABLE_TERMS)
        };
    }

    /// Sets the live nodes, as this node saw them while it was the scheduler.
    pub fn set_members(&mut self, members: Vec<record::Member>) {
        self.members = members;
    }

    /// Whether the scheduler answers, has not resigned and can reach the store.
    pub fn is_leader_healthy(&self, now: time::Monotonic) -> bool {
        self.elected
            .as_ref()
            .is_some_and(|elected| !elected.leader.resigned)
            && !self.not_leader
            && self.refused_pings < REFUSED_PINGS_THRESHOLD
            && now - self.last_contact <= SUSPECT_TIMEOUT
            && self.commit_age <= MAX_COMMIT_AGE
    }

    /// Whether the scheduler answers and has not resigned, whether or not it can reach the store.
    pub fn is_leader_reached(&self, now: time::Monotonic) -> bool {
        self.elected
            .as_ref()
            .is_some_and(|elected| !elected.leader.resigned)
            && self.refused_pings < REFUSED_PINGS_THRESHOLD
            && now - self.last_contact <= SUSPECT_TIMEOUT
    }

    /// Returns what the node should do next.
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
        if self.is_leader_healthy(now) {
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
        // The scheduler reports that it cannot reach the store, although the store answers this
        // node.
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
            // A node that has just started knows no others, and is no majority on its own.
            Some(result) if result.asked > 1 && result.agreed * 2 > result.asked => {
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
        let mut delay = RANK_DELAY * rank.min(8) + UNREADABLE_JOURNAL_DELAY * self.unreadable_terms;
        if self.members.is_empty() {
            // The other nodes are not known yet, so only the machine size decides the order.
            delay += MAX_SIZE_DELAY
                * (MILLICORES_PER_CORE - self.me.millicores.min(MILLICORES_PER_CORE))
                / MILLICORES_PER_CORE;
            // If the former scheduler ran on a larger machine, other machines of that size are
            // likely.
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
