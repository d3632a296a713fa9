//! The relay's side: calls accepted from a leader, and their outcomes.

use std::collections::VecDeque;
use std::sync::Arc;

use daisymast_types::collections;
use daisymast_types::ids;
use daisymast_types::time;

use crate::constants;
use crate::wire;

/// A call that the relay has accepted.
#[derive(Clone, Debug)]
pub struct AcceptedCall {
    /// Session that the outcome belongs to.
    pub session: u64,
    /// Term of the leader, which is the fencing token.
    pub term: u64,
    /// The call.
    pub call: wire::Call,
    /// Payload of the job, for a start.
    pub payload: Option<Arc<str>>,
    /// When the relay accepted the call.
    pub accepted_at: time::Monotonic,
    /// When the call becomes too old, as the leader has set it.
    pub expires: Option<time::Monotonic>,
}

impl AcceptedCall {
    /// Whether the call may still be sent. To be asked right before it is sent, with a clock that
    /// advances while the process is suspended.
    pub fn may_send(&self, now: time::Monotonic) -> bool {
        now <= self.send_by()
    }

    /// Returns the last time at which the call may be sent.
    pub fn send_by(&self) -> time::Monotonic {
        let latest = self.accepted_at + constants::MAX_CALL_AGE;
        self.expires.map_or(latest, |expires| expires.min(latest))
    }
}

/// A relay knows of a later term than that of an exchange, whose leader was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Superseded {
    /// The later term.
    pub by: u64,
}

/// State of the exchanges with one leader.
#[derive(Debug, Default)]
struct Session {
    id: u64,
    outcomes: Vec<(u64, wire::Outcome)>,
    /// When the running runs of a worker were last reported.
    full_reports: collections::FastMap<ids::WorkerId, time::Monotonic>,
}

/// Sessions of a relay with the leaders that it has served, the latest last.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Identifies the process of the relay.
    process: u64,
    sessions: VecDeque<Session>,
    /// Highest term of an accepted exchange.
    term: u64,
    last_exchange: Option<time::Monotonic>,
    last_tick: Option<time::Monotonic>,
    /// When the process last resumed after a pause.
    resumed_at: Option<time::Monotonic>,
}

impl Sessions {
    /// Creates the state of a relay's process, which exchanges name in their expiry.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            ..Self::default()
        }
    }

    /// Records that the process is running. To be called every [`constants::TICK_INTERVAL`] while
    /// exchanges arrive. Returns whether further ticks are needed.
    pub fn on_tick(&mut self, now: time::Monotonic) -> bool {
        self.detect_pause(now);
        let is_active = self
            .last_exchange
            .is_some_and(|last| now - last < constants::IDLE_TIMEOUT);
        self.last_tick = is_active.then_some(now);
        is_active
    }

    fn detect_pause(&mut self, now: time::Monotonic) {
        let last = self.last_tick;
        if last.is_some_and(|last| now - last > constants::MAX_CALL_AGE) {
            self.resumed_at = Some(now);
            self.last_tick = Some(now);
        }
    }

    /// Accepts the calls of an exchange. `known_term` is the latest term that this node has heard
    /// of. Calls that have expired are not made. Right after a pause none are, as the exchange may be
    /// as old as the pause.
    ///
    /// # Errors
    /// A later term is known, so the calls must not be made.
    pub fn accept(
        &mut self,
        exchange: wire::Exchange,
        known_term: u64,
        now: time::Monotonic,
    ) -> Result<Vec<AcceptedCall>, Superseded> {
        let by = self.term.max(known_term);
        if exchange.term < by {
            return Err(Superseded { by });
        }
        self.term = exchange.term;
        self.open(exchange.session);
        self.last_exchange = Some(now);
        self.detect_pause(now);
        let was_paused = |resumed: time::Monotonic| now - resumed < constants::RESUME_PERIOD;
        let expiry = exchange.expiry;
        let is_expired = |expiry: wire::Expiry| {
            expiry.process != self.process || expiry.clock_ms < now.as_millis()
        };
        if self.resumed_at.is_some_and(was_paused) || expiry.is_some_and(is_expired) {
            for call in exchange.calls {
                self.complete(exchange.session, call.0, wire::Outcome::NotSent);
            }
            return Ok(Vec::new());
        }
        let payloads = exchange.payloads;
        let calls = exchange.calls.into_iter().map(|call| {
            let payload = match &call.3 {
                wire::Operation::Start { payload, .. } => payloads.get(*payload).cloned(),
                wire::Operation::Poll { .. } | wire::Operation::Stop { .. } => None,
            };
            AcceptedCall {
                session: exchange.session,
                term: exchange.term,
                call,
                payload,
                accepted_at: now,
                expires: expiry.map(|expiry| time::Monotonic::from_millis(expiry.clock_ms)),
            }
        });
        Ok(calls.collect())
    }

    fn open(&mut self, id: u64) {
        if self.session_mut(id).is_some() {
            return;
        }
        if self.sessions.len() >= constants::MAX_SESSIONS {
            self.sessions.pop_front();
        }
        self.sessions.push_back(Session {
            id,
            ..Session::default()
        });
    }

    fn session_mut(&mut self, id: u64) -> Option<&mut Session> {
        self.sessions.iter_mut().find(|session| session.id == id)
    }

    /// Whether a report of a worker should list its running runs. Polls that ask for an immediate
    /// answer need them, as the scheduler does not know the worker's state.
    pub fn needs_full_report(
        &mut self,
        session: u64,
        worker: &ids::WorkerId,
        wait_ms: u64,
        now: time::Monotonic,
    ) -> bool {
        let Some(session) = self.session_mut(session) else {
            return true;
        };
        let last = session.full_reports.get(worker);
        let is_due = last.is_none_or(|&last| now - last >= constants::FULL_REPORT_INTERVAL);
        if !is_due && wait_ms > 0 {
            return false;
        }
        session.full_reports.insert(worker.clone(), now);
        true
    }

    /// Adds the outcome of a call. Outcomes of sessions that are no longer kept are dropped.
    pub fn complete(&mut self, session: u64, call: u64, outcome: wire::Outcome) {
        if let Some(session) = self.session_mut(session) {
            session.outcomes.push((call, outcome));
        }
    }

    /// Whether outcomes wait to be returned.
    pub fn has_outcomes(&self, session: u64) -> bool {
        self.sessions
            .iter()
            .any(|one| one.id == session && !one.outcomes.is_empty())
    }

    /// Takes the outcomes that wait to be returned.
    pub fn take_outcomes(&mut self, session: u64) -> Vec<(u64, wire::Outcome)> {
        self.session_mut(session)
            .map(|session| std::mem::take(&mut session.outcomes))
            .unwrap_or_default()
    }
}
