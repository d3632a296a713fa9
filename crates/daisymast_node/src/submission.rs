//! Decides what to do with a caller's request until it is answered; sans-I/O.

use std::time::Duration;

use daisymast_types::time;

use crate::constants;
use crate::reach;

/// Factor for the pause after a refusal: the store is back, or another leader elected, only later.
const REFUSED_PAUSE_FACTOR: u32 = 4;

/// Time after a call was given up until the leader has read it, or never will: the kernel gives up
/// unacknowledged bytes after [`constants::DELIVERY_TIMEOUT`], and a leader that answers later calls has
/// read what it had received before.
const SETTLE_DELAY: Duration = constants::DELIVERY_TIMEOUT;

/// What a node knows of the paths of a request when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Paths {
    /// Term of the known leader, `None` if there is none or it has resigned.
    pub term: Option<u64>,
    /// Whether the leader answers this node.
    pub is_reached: bool,
    /// Whether another node reaches a leader that can commit.
    pub has_peer: bool,
    /// Whether the store answers this node.
    pub store: reach::StorePath,
    /// Whether this node is cut off from leader, store and other nodes.
    pub is_isolated: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No leader was reached in time.
    NoLeader,
    /// The leader cannot write to the store.
    StoreAway,
    /// This node, or its zone, is cut off.
    CutOff,
    /// The leader has too many requests waiting.
    Overload,
    /// The leader does not know the queue or the organisation yet.
    UnknownQueue,
}

impl Cause {
    /// Returns the label of the cause in metrics and log events.
    ///
    /// ```
    /// use daisymast_node::submission::Cause;
    /// assert_eq!(Cause::CutOff.name(), "cut_off");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::NoLeader => "no_scheduler",
            Self::StoreAway => "no_store",
            Self::CutOff => "cut_off",
            Self::Overload => "overload",
            Self::UnknownQueue => "unknown_queue",
        }
    }
}

/// Next step of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send it to the leader of this term, and wait for the answer at most until the given time.
    Send {
        /// Term of the leader.
        term: u64,
        /// Time at which the call is given up.
        until: time::Monotonic,
    },
    /// Send it through another node, which sends it to the leader once.
    SendVia {
        /// Time at which the call is given up.
        until: time::Monotonic,
    },
    /// Decide again after a pause.
    Wait(Duration),
    /// Answer that the request had no effect and never will.
    Refuse(Cause),
    /// Answer that the outcome is not known.
    Unknown,
}

/// Result of sending a request once, other than an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly had no effect.
    NoEffect,
    /// The leader has taken nothing, as it cannot write to the store.
    StoreAway,
    /// The leader has taken nothing, as it does not know the queue.
    UnknownQueue,
    /// The leader has taken nothing, as too many requests wait.
    Overload,
    /// The request may have taken effect.
    Unknown,
}

/// A caller's request that is not answered yet. Requests are idempotent, so one whose outcome is not
/// known may be sent again.
///
/// ```
/// use daisymast_node::reach::StorePath;
/// use daisymast_node::submission::{Cause, Failure, Paths, Step, Submission};
/// use daisymast_types::time::Monotonic;
/// let at = Monotonic::from_millis;
/// let paths = Paths {
///     term: Some(5),
///     is_reached: true,
///     has_peer: false,
///     store: StorePath::Away,
///     is_isolated: false,
/// };
/// let mut submission = Submission::new(at(0), Some(3_000), 0);
/// assert!(matches!(submission.next(&paths, at(0)), Step::Send { term: 5, .. }));
/// submission.on_failure(5, Failure::StoreAway, at(20));
/// assert_eq!(submission.next(&paths, at(20)), Step::Refuse(Cause::StoreAway));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Time until which the request waits for a leader while it certainly had no effect.
    wait_until: time::Monotonic,
    /// Time at which an answer is due in any case.
    answer_by: time::Monotonic,
    /// Latest term whose leader may have taken the request.
    open_term: Option<u64>,
    /// When the last call with an unknown outcome was given up.
    open_since: time::Monotonic,
    last_sent: time::Monotonic,
    /// Term of the leader that refused it last, and why.
    refusal: Option<(u64, Cause)>,
    /// Latest term to whose leader the request was sent.
    tried_term: Option<u64>,
    /// Number of calls without an answer.
    unanswered: u32,
    next_send: time::Monotonic,
}

impl Submission {
    /// Creates a request that arrived at `now`. `deadline_ms` is the time for which its caller waits, if
    /// known, and `leaderless_ms` the time for which no leader has been reached.
    pub fn new(now: time::Monotonic, deadline_ms: Option<u64>, leaderless_ms: u64) -> Self {
        let deadline = deadline_ms.map_or(constants::FORWARD_DEADLINE * 2, Duration::from_millis);
        let margin = constants::DEADLINE_MARGIN.min(deadline / 4);
        let leaderless = Duration::from_millis(leaderless_ms);
        let wait = constants::LEADER_WAIT.saturating_sub(leaderless);
        Self {
            wait_until: now + wait.min(deadline / 2),
            answer_by: now + constants::FORWARD_DEADLINE.min(deadline - margin),
            open_term: None,
            open_since: now,
            last_sent: now,
            refusal: None,
            tried_term: None,
            unanswered: 0,
            next_send: now,
        }
    }

    /// Handles a call that brought no answer of the leader of `term`. Pass [`u64::MAX`] as the term of an
    /// unknown outcome through another node, since that may know a later leader.
    pub fn on_failure(&mut self, term: u64, failure: Failure, now: time::Monotonic) {
        let mut pause = constants::FORWARD_RETRY_DELAY;
        self.tried_term = self.tried_term.max(Some(term));
        match failure {
            Failure::NoEffect => {}
            Failure::UnknownQueue => self.on_refused(term, Cause::UnknownQueue),
            Failure::StoreAway => {
                self.on_refused(term, Cause::StoreAway);
                pause *= REFUSED_PAUSE_FACTOR;
            }
            Failure::Overload => self.on_refused(term, Cause::Overload),
            Failure::Unknown => {
                self.open_term = self.open_term.max(Some(term));
                self.open_since = now;
                // Requests that are sent again as fast as an overloaded leader fails to answer them
                // would keep it overloaded.
                pause *= 2_u32.saturating_pow(self.unanswered.min(4));
                self.unanswered += 1;
            }
        }
        self.next_send = now + pause;
    }

    /// Handles the answer of the leader of `term` that it has not taken the request.
    fn on_refused(&mut self, term: u64, cause: Cause) {
        self.refusal = Some((term, cause));
        let is_settled = self.open_term.is_some_and(|open| {
            // The commits of an earlier leader no longer take effect once the next one has read the
            // journal, which does not have the job. The same leader has read by now what was sent to
            // it long enough before the call that it refused.
            term > open || (term == open && self.last_sent >= self.open_since + SETTLE_DELAY)
        });
        if is_settled {
            self.open_term = None;
        }
    }

    /// Whether the request may have taken effect.
    pub fn is_open(&self) -> bool {
        self.open_term.is_some()
    }

    /// Returns what to do next.
    pub fn next(&mut self, paths: &Paths, now: time::Monotonic) -> Step {
        if let Some(answer) = self.answer(paths, now) {
            return answer;
        }
        let is_new_leader = self.tried_term.is_some() && paths.term > self.tried_term;
        let may_send = now >= self.next_send || is_new_leader;
        let until = self.answer_by.min(now + constants::FORWARD_TIMEOUT);
        match paths.term {
            Some(term) if may_send && paths.is_reached => {
                self.last_sent = now;
                Step::Send { term, until }
            }
            _ if may_send && paths.has_peer => {
                self.last_sent = now;
                Step::SendVia { until }
            }
            // A leader that does not answer is replaced shortly; a call to it would only be in the way
            // of one to its successor.
            _ => self.pause(now),
        }
    }

    /// Returns the answer to the caller if there is nothing more to try.
    fn answer(&self, paths: &Paths, now: time::Monotonic) -> Option<Step> {
        if paths.is_isolated {
            // Another node can find out at once what this one cannot.
            return Some(self.conclude(Cause::CutOff));
        }
        if now + constants::MIN_CALL_TIME > self.answer_by {
            return Some(self.conclude(Cause::NoLeader));
        }
        match self.refusal {
            Some((_, Cause::Overload)) if self.open_term.is_none() => {
                Some(Step::Refuse(Cause::Overload))
            }
            // While the store answers this node, only the leader is cut off from it, and another is
            // elected soon.
            Some((term, cause)) if self.open_term.is_none() && paths.term <= Some(term) => {
                (paths.store == reach::StorePath::Away).then_some(Step::Refuse(cause))
            }
            Some(_) | None => None,
        }
    }

    /// Returns the last answer to the caller.
    fn conclude(&self, cause: Cause) -> Step {
        if self.open_term.is_some() {
            return Step::Unknown;
        }
        Step::Refuse(match self.refusal {
            Some((_, refusal)) if cause == Cause::NoLeader => refusal,
            _ => cause,
        })
    }

    fn pause(&self, now: time::Monotonic) -> Step {
        let limit = match self.open_term {
            Some(_) => self.answer_by,
            None => self.wait_until.min(self.answer_by),
        };
        if now + constants::MIN_CALL_TIME > limit {
            return self.conclude(Cause::NoLeader);
        }
        Step::Wait((constants::FORWARD_RETRY_DELAY / 2).min(limit - now))
    }
}

/// Returns the `Retry-After` value of a refusal, in seconds. `random` spreads the callers, so that they
/// do not all come back at once; after a longer outage they come back later, over more seconds.
///
/// ```
/// use std::time::Duration;
/// use daisymast_node::submission::{Cause, retry_after};
/// assert_eq!(retry_after(Cause::CutOff, Duration::ZERO, 7), 1);
/// assert!(retry_after(Cause::StoreAway, Duration::from_secs(20), 9) <= 6);
/// ```
pub fn retry_after(cause: Cause, outage: Duration, random: u32) -> u32 {
    let seconds = u32::try_from(outage.as_secs()).unwrap_or(u32::MAX);
    let spread = match cause {
        // The caller reaches another node.
        Cause::CutOff => 1,
        Cause::NoLeader | Cause::Overload | Cause::UnknownQueue => 2,
        Cause::StoreAway => 2 + seconds.min(constants::MAX_RETRY_SPREAD_S),
    };
    constants::RETRY_AFTER_S + random % spread
}
