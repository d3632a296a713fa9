//! Tracks up to which moment a node knows that it holds the newest configuration.
//!
//! A withdrawn key must be refused within a bound by every node, also by one that cannot hear of the
//! withdrawal. So a node honours a key only while its configuration was confirmed as the newest a
//! short time ago. All times are of the node's own clock, which has to count the time for which the
//! process or its machine was suspended.

use std::time::Duration;

use daisymast_types::time;
use serde::{Deserialize, Serialize};

/// Part of the revocation bound that is not used. It covers clocks that differ in speed by up to
/// four percent, and rounding.
pub const REVOCATION_MARGIN: Duration = Duration::from_millis(250);
/// Maximum age of a confirmation for a key to be called unknown: half of the time in which a new key
/// has to be valid.
pub const MAX_DENIAL_AGE: Duration = Duration::from_millis(1_500);
/// Time before keys expire from which a node reports that it is not ready, so that callers are sent
/// to other nodes: two missed readiness checks, one a second.
pub const READINESS_LEAD: Duration = Duration::from_millis(2_000);
/// Interval between the confirming reads of the leader.
pub const LEADER_READ_INTERVAL: Duration = Duration::from_millis(450);
/// Age of a confirmation from which a node that does not lead reads the configuration itself. The
/// leader's confirmation usually reaches it at an age of less than 700 ms.
pub const OWN_READ_AGE: Duration = Duration::from_millis(1_400);
/// Minimum time between two reads of a node that does not lead.
pub const OWN_READ_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two reads if a request waits for one.
pub const DEMANDED_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a failed read in which no request waits for another one.
pub const FAILURE_PERIOD: Duration = Duration::from_millis(1_000);
/// Number of confirmations that are kept. More than one is needed while a node has heard of a
/// version that it has not received.
const MAX_CONFIRMATIONS: usize = 4;

/// A confirmation that no later version than `version` was in force at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Confirmation {
    version: u64,
    at: time::Monotonic,
}

/// The confirmation of a node, as told to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The newest version at the time of the confirmation.
    pub version: u64,
    /// Age of the confirmation in milliseconds, rounded up.
    pub age_ms: u64,
}

/// A read of the configuration that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    sent: time::Monotonic,
    held: u64,
}

/// What a node knows of the age of its configuration.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// Maximum age of a confirmation for a key to be honoured; `None` if there is no bound.
    max_age: Option<Duration>,
    /// Confirmations in order of version and of time, none of which implies another.
    confirmations: Vec<Confirmation>,
    last_read: Option<time::Monotonic>,
    last_failure: Option<time::Monotonic>,
    demanded: bool,
}

impl Freshness {
    /// Creates the state of a process that has just started, which has no confirmation. A key that
    /// was withdrawn may be honoured for `bound` at most; `None` if there is no such bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_organisations::freshness::Freshness;
    /// use daisymast_types::time::Monotonic;
    /// let at = |s| Monotonic::ZERO + Duration::from_secs(s);
    /// let mut freshness = Freshness::new(Some(Duration::from_secs(5)));
    /// assert!(!freshness.may_honour(7, at(10)));
    /// freshness.confirm(7, at(10));
    /// assert!(freshness.may_honour(7, at(14)));
    /// assert!(!freshness.may_honour(7, at(15)));
    /// assert!(!freshness.may_honour(6, at(14)));
    /// ```
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            max_age: bound.map(|bound| bound.saturating_sub(REVOCATION_MARGIN)),
            ..Self::default()
        }
    }

    /// Whether there is a bound on the use of withdrawn keys.
    pub fn is_bounded(&self) -> bool {
        self.max_age.is_some()
    }

    /// Records that no later version than `version` was in force at the time `at`. A linearizable
    /// read shows this for the time at which it was sent.
    pub fn confirm(&mut self, version: u64, at: time::Monotonic) {
        let implied = |known: &Confirmation| known.version <= version && known.at >= at;
        if self.confirmations.iter().any(implied) {
            return;
        }
        self.confirmations
            .retain(|known| known.version < version || known.at > at);
        let position = self
            .confirmations
            .partition_point(|known| known.version < version);
        self.confirmations
            .insert(position, Confirmation { version, at });
        if self.confirmations.len() > MAX_CONFIRMATIONS {
            self.confirmations.remove(0);
        }
    }

    /// Records what another node reported in answer to a message that this node sent at `sent`.
    pub fn on_report(&mut self, report: Report, sent: time::Monotonic) {
        if let Some(at) = sent.as_millis().checked_sub(report.age_ms) {
            self.confirm(report.version, time::Monotonic::from_millis(at));
        }
    }

    /// Returns what to tell other nodes, if this node holds `version`.
    pub fn report(&self, version: u64, now: time::Monotonic) -> Option<Report> {
        let latest = self.latest(version)?;
        Some(Report {
            version: latest.version,
            age_ms: u64::try_from((now - latest.at).as_millis()).ok()? + 1,
        })
    }

    /// Returns the time since `version` was last known to be the newest.
    pub fn age(&self, version: u64, now: time::Monotonic) -> Option<Duration> {
        Some(now - self.latest(version)?.at)
    }

    /// Whether a valid key of `version` may be honoured for a request received at `received`. The
    /// request was sent before, so the rest of its handling may take any time.
    pub fn may_honour(&self, version: u64, received: time::Monotonic) -> bool {
        self.max_age
            .is_none_or(|max_age| self.age(version, received).is_some_and(|age| age < max_age))
    }

    /// Whether a key that `version` does not hold may be called unknown: it could otherwise be a new
    /// one.
    pub fn may_deny(&self, version: u64, received: time::Monotonic) -> bool {
        self.age(version, received)
            .is_some_and(|age| age < MAX_DENIAL_AGE)
    }

    /// Whether keys of `version` stay valid long enough for callers to be sent elsewhere before
    /// they expire.
    pub fn is_ready(&self, version: u64, now: time::Monotonic) -> bool {
        self.may_honour(version, now + READINESS_LEAD)
    }

    /// Asks for a read, on behalf of a request. Returns whether the request may wait for it.
    pub fn demand(&mut self, now: time::Monotonic) -> bool {
        if self.has_failed_since(now, FAILURE_PERIOD) {
            return false;
        }
        self.demanded = true;
        true
    }

    /// Whether the last read failed at most `period` ago.
    pub fn has_failed_since(&self, now: time::Monotonic, period: Duration) -> bool {
        self.last_failure
            .is_some_and(|failure| now - failure <= period)
    }

    /// Whether a node that holds `version` should read the configuration now. `jitter` spreads the
    /// reads of nodes that lost their leader at the same time.
    pub fn is_read_due(
        &self,
        version: u64,
        leads: bool,
        jitter: Duration,
        now: time::Monotonic,
    ) -> bool {
        let pause = self.last_read.map(|read| now - read);
        let after = |interval| pause.is_none_or(|pause| pause >= interval);
        if leads {
            return after(LEADER_READ_INTERVAL);
        }
        if self.demanded {
            return after(DEMANDED_READ_INTERVAL);
        }
        let is_old = self
            .age(version, now)
            .is_none_or(|age| age >= OWN_READ_AGE + jitter);
        is_old && after(OWN_READ_INTERVAL + jitter)
    }

    /// Records that a linearizable read is sent by a node that holds the version `held`.
    pub fn begin_read(&mut self, held: u64, now: time::Monotonic) -> Read {
        self.last_read = Some(now);
        self.demanded = false;
        Read { sent: now, held }
    }

    /// Records the version that a read returned, `None` if it failed. A version older than the one
    /// held when the read was sent is outdated, and confirms nothing.
    pub fn end_read(&mut self, read: Read, version: Option<u64>, now: time::Monotonic) {
        let version = version.filter(|&version| version >= read.held);
        if let Some(version) = version {
            self.confirm(version, read.sent);
        }
        self.last_failure = version.is_none().then_some(now);
    }

    fn latest(&self, version: u64) -> Option<Confirmation> {
        let mut usable = self.confirmations.iter().rev();
        usable.find(|known| known.version <= version).copied()
    }
}
