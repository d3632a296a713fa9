//! The leader's side of the exchanges with one relay: calls that wait, calls whose outcome is open,
//! and when the next exchange starts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisymast_scheduler::{action, constants as limits, lease};
use daisymast_types::collections;
use daisymast_types::time;

use crate::constants;
use crate::direct;
use crate::encoding;
use crate::wire;

/// Kind of an exchange. One of each kind may be open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Brings calls to the relay, which answers within [`constants::ORDER_HOLD`].
    Orders,
    /// Brings no calls and waits for outcomes, up to [`constants::COLLECT_HOLD`].
    Collect,
}

/// What to do next with a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send an exchange.
    Send(Sending),
    /// Ask again at this time, or after the next call or reply.
    WaitUntil(time::Monotonic),
    /// Ask again after the next call or reply.
    Idle,
}

/// An exchange to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sending {
    /// Kind of the exchange, to be passed back with its outcome.
    pub lane: Lane,
    /// Number of the exchange, to be passed back with its outcome.
    pub number: u64,
    /// Address of the relay.
    pub address: SocketAddr,
    /// The exchange.
    pub exchange: wire::Exchange,
    /// Timeout of the exchange.
    pub timeout: Duration,
}

/// How an exchange ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The relay certainly did not receive the exchange.
    NoEffect,
    /// The relay may have received the exchange.
    Unknown,
}

/// A call with its outcome.
#[derive(Clone, Debug)]
pub struct Delivered {
    /// The call, as the scheduler requested it.
    pub action: action::Action,
    /// Its outcome.
    pub outcome: wire::Outcome,
}

/// A call without an outcome, which the leader has to make itself.
#[derive(Clone, Debug)]
pub struct Undelivered {
    /// The call, as the scheduler requested it.
    pub action: action::Action,
    /// Whether the relay may have made the call, or may still make it.
    pub may_have_been_sent: bool,
}

/// Outcomes that became known with an event.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Calls with their outcomes.
    pub delivered: Vec<Delivered>,
    /// Calls that the leader has to make itself.
    pub undelivered: Vec<Undelivered>,
}

/// A call whose outcome is open.
#[derive(Clone, Debug)]
struct OpenCall {
    action: action::Action,
    /// Number of the exchange that brought it to the relay.
    exchange: u64,
    /// When the outcome is no longer expected.
    due: time::Monotonic,
}

/// State of the exchanges with one relay.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    session: u64,
    /// Fencing token of the last exchange. An exchange has one token for all its calls, and the relay
    /// accepts none with a lower one afterwards.
    fence: u64,
    /// Process of the relay, as its last reply named it.
    process: Option<u64>,
    queue: Vec<action::Action>,
    open: collections::FastMap<u64, OpenCall>,
    last_call: u64,
    last_exchange: u64,
    /// When the last exchange with calls started, `None` before the first.
    orders_sent: Option<time::Monotonic>,
    /// When the last reply arrived.
    last_reply: time::Monotonic,
    open_orders: Option<u64>,
    open_collect: Option<u64>,
    draining: bool,
    /// Reading of the relay's clock, and when it arrived.
    clock: Option<(wire::Expiry, time::Monotonic)>,
}

impl Link {
    /// Creates a link without calls. `session` must differ from that of any other link.
    pub fn new(address: SocketAddr, session: u64, fence: u64, now: time::Monotonic) -> Self {
        Self {
            address,
            session,
            fence,
            process: None,
            queue: Vec::new(),
            open: collections::FastMap::default(),
            last_call: 0,
            last_exchange: 0,
            orders_sent: None,
            last_reply: now,
            open_orders: None,
            open_collect: None,
            draining: false,
            clock: None,
        }
    }

    /// Whether the relay has said that it is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Address of the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fencing token of the last exchange.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Adds a call to the next exchange.
    pub fn push(&mut self, action: action::Action) {
        self.queue.push(action);
    }

    /// Takes the waiting calls that are too old to be sent. As they wait for the end of one exchange, the
    /// process was probably paused.
    pub fn take_expired(&mut self, now: time::Monotonic) -> Vec<direct::DirectCall> {
        let is_expired = |action: &mut action::Action| {
            action
                .target()
                .is_some_and(|target| now - target.sent_at > limits::MAX_DELIVERY_TIME)
        };
        let expired = self.queue.extract_if(.., is_expired);
        expired.map(direct::DirectCall::requested).collect()
    }

    /// Returns the next exchange if it is due. `interval` is the time between two exchanges.
    pub fn next(&mut self, now: time::Monotonic, interval: Duration) -> Next {
        let mut next_at: Option<time::Monotonic> = None;
        if !self.queue.is_empty() && self.open_orders.is_none() {
            let due = self.orders_sent.map_or(now, |sent| sent + interval);
            if now >= due {
                return Next::Send(self.send_orders(now));
            }
            next_at = Some(due);
        }
        if !self.open.is_empty() && self.open_orders.is_none() && self.open_collect.is_none() {
            // Exchanges with calls bring outcomes back, too. While they follow each other, none is
            // needed for the outcomes alone.
            let last = self
                .orders_sent
                .map_or(self.last_reply, |sent| sent.max(self.last_reply));
            let due = last + interval * 2;
            if now >= due {
                return Next::Send(self.send_collect());
            }
            next_at = Some(next_at.map_or(due, |at| at.min(due)));
        }
        next_at.map_or(Next::Idle, Next::WaitUntil)
    }

    fn send_orders(&mut self, now: time::Monotonic) -> Sending {
        self.orders_sent = Some(now);
        self.last_exchange += 1;
        self.open_orders = Some(self.last_exchange);
        let mut payloads = encoding::Payloads::default();
        let batch = self.take_batch();
        let mut calls = Vec::with_capacity(batch.len());
        for action in batch {
            let Some(call) = encoding::encode(&action, self.last_call + 1, &mut payloads) else {
                continue;
            };
            self.last_call += 1;
            calls.push(call);
            let open = OpenCall {
                due: now + encoding::timeout(&action) + constants::OUTCOME_MARGIN,
                action,
                exchange: self.last_exchange,
            };
            self.open.insert(self.last_call, open);
        }
        let mut sending = self.sending(Lane::Orders, payloads.texts, calls);
        sending.exchange.expiry = self.expiry(now);
        sending
    }

    /// Returns when calls that are sent now become too old, on the relay's clock. The relay read its
    /// clock before the reading arrived, so this is early rather than late.
    fn expiry(&self, now: time::Monotonic) -> Option<wire::Expiry> {
        let (reading, arrived) = self.clock?;
        let since = (now - arrived) + constants::MAX_CALL_AGE;
        Some(wire::Expiry {
            clock_ms: reading.clock_ms.saturating_add(lease::millis(since)),
            ..reading
        })
    }

    /// Records a reading of the relay's clock. One that was long on its way makes calls expire too early,
    /// so the best one of the last [`constants::CLOCK_READING_PERIOD`] is used.
    fn on_clock_reading(&mut self, reading: wire::Expiry, now: time::Monotonic) {
        let is_better = |(best, arrived): (wire::Expiry, time::Monotonic)| {
            let expected = best.clock_ms.saturating_add(lease::millis(now - arrived));
            reading.process != best.process
                || reading.clock_ms >= expected
                || now - arrived > constants::CLOCK_READING_PERIOD
        };
        if self.clock.is_none_or(is_better) {
            self.clock = Some((reading, now));
        }
    }

    /// Takes the first calls of the queue that have the same fencing token. A call that reached its
    /// worker with a higher one would not be refused there when the scheduler relies on it.
    fn take_batch(&mut self) -> Vec<action::Action> {
        let fence_of = |action: &action::Action| action.target().map_or(0, |target| target.fence);
        if let Some(first) = self.queue.first() {
            self.fence = self.fence.max(fence_of(first));
        }
        let fence = self.fence;
        let higher = self.queue.iter().position(|call| fence_of(call) > fence);
        self.queue
            .drain(..higher.unwrap_or(self.queue.len()))
            .collect()
    }

    fn send_collect(&mut self) -> Sending {
        self.last_exchange += 1;
        self.open_collect = Some(self.last_exchange);
        self.sending(Lane::Collect, Vec::new(), Vec::new())
    }

    fn sending(&self, lane: Lane, payloads: Vec<Arc<str>>, calls: Vec<wire::Call>) -> Sending {
        let hold = match lane {
            Lane::Orders => constants::ORDER_HOLD,
            Lane::Collect => constants::COLLECT_HOLD,
        };
        Sending {
            lane,
            number: self.last_exchange,
            address: self.address,
            exchange: wire::Exchange {
                session: self.session,
                term: self.fence,
                wait_ms: lease::millis(hold),
                payloads,
                calls,
                expiry: None,
            },
            timeout: hold + constants::EXCHANGE_TIMEOUT_MARGIN,
        }
    }

    /// Handles the reply to an exchange.
    pub fn on_reply(
        &mut self,
        lane: Lane,
        number: u64,
        reply: wire::ExchangeReply,
        now: time::Monotonic,
    ) -> Outcomes {
        if !self.close(lane, number) {
            return Outcomes::default();
        }
        let mut outcomes = Outcomes::default();
        let restarted = self.process.is_some_and(|process| process != reply.process);
        self.process = Some(reply.process);
        self.last_reply = now;
        self.draining = reply.draining;
        if let Some(clock_ms) = reply.clock_ms {
            let process = reply.process;
            self.on_clock_reading(wire::Expiry { process, clock_ms }, now);
        }
        if restarted {
            // The new process knows only the calls of this exchange.
            outcomes.undelivered = self.take_open(|open| open.exchange != number);
        }
        for (call, outcome) in reply.outcomes {
            let Some(open) = self.open.remove(&call) else {
                continue;
            };
            let action = open.action;
            if outcome == wire::Outcome::NotSent {
                let may_have_been_sent = false;
                outcomes.undelivered.push(Undelivered {
                    action,
                    may_have_been_sent,
                });
            } else {
                outcomes.delivered.push(Delivered { action, outcome });
            }
        }
        outcomes
    }

    /// Handles an exchange without a reply: all calls have to be made by the leader, and a new
    /// session begins.
    pub fn on_failure(
        &mut self,
        lane: Lane,
        number: u64,
        failure: Failure,
        session: u64,
    ) -> Vec<Undelivered> {
        if !self.close(lane, number) {
            return Vec::new();
        }
        let mut undelivered = Vec::new();
        if failure == Failure::NoEffect {
            undelivered = self.take_open(|open| open.exchange == number);
            for call in &mut undelivered {
                call.may_have_been_sent = false;
            }
        }
        undelivered.append(&mut self.reset(session));
        undelivered
    }

    /// Ends the session and returns all calls without an outcome. Replies to exchanges that are
    /// still open are ignored.
    pub fn reset(&mut self, session: u64) -> Vec<Undelivered> {
        self.session = session;
        self.process = None;
        self.draining = false;
        self.open_orders = None;
        self.open_collect = None;
        let mut undelivered = self.take_open(|_| true);
        let queued = std::mem::take(&mut self.queue).into_iter();
        undelivered.extend(queued.map(|action| Undelivered {
            action,
            may_have_been_sent: false,
        }));
        undelivered
    }

    /// Returns the calls whose outcome is overdue.
    pub fn take_overdue(&mut self, now: time::Monotonic) -> Vec<Undelivered> {
        self.take_open(|open| now > open.due)
    }

    /// Marks an exchange as ended. Returns whether it was open.
    fn close(&mut self, lane: Lane, number: u64) -> bool {
        let open = match lane {
            Lane::Orders => &mut self.open_orders,
            Lane::Collect => &mut self.open_collect,
        };
        if *open != Some(number) {
            return false;
        }
        *open = None;
        true
    }

    fn take_open(&mut self, selects: impl Fn(&OpenCall) -> bool) -> Vec<Undelivered> {
        let selected = self.open.iter().filter(|(_, open)| selects(open));
        let mut calls: Vec<u64> = selected.map(|(&call, _)| call).collect();
        calls.sort_unstable();
        calls
            .into_iter()
            .filter_map(|call| self.open.remove(&call))
            .map(|open| Undelivered {
                action: open.action,
                may_have_been_sent: true,
            })
            .collect()
    }
}
