//! Relayed calls under faults: a leader, a relay and the worker behind it on a virtual clock, with
//! exchanges that are lost in either direction, and a relay that is restarted or paused.
//!
//! The checks read what the worker received and what the leader was told.

mod common;

use std::collections::BTreeMap;

use common::{accepted, address, at, key, start};
use daisymast_relay::link::{Failure, Link, Next, Sending};
use daisymast_relay::session::{AcceptedCall, Sessions};
use daisymast_relay::{constants, wire};
use daisymast_scheduler::lease;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{prop_assert, proptest};

/// Step of the virtual clock, in milliseconds.
const STEP_MS: u64 = 5;
/// Time that the worker takes to answer, in milliseconds.
const WORKER_MS: u64 = 10;
/// Time after the last fault in which all calls get an outcome, in milliseconds.
const SETTLING_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The next exchanges do not reach the relay.
    LoseRequests,
    /// The next exchanges reach the relay, and their replies are lost.
    LoseReplies,
    /// The relay's process ends and another one starts.
    Restart,
    /// The relay's process stops for this time, in milliseconds, and then goes on.
    Pause(u64),
    /// The relay refuses connections.
    Refuse,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::LoseRequests),
        Just(Fault::LoseReplies),
        Just(Fault::Restart),
        (50_u64..3_000).prop_map(Fault::Pause),
        Just(Fault::Refuse),
    ]
}

/// What the leader was told of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Done,
    NotSent,
    MaybeSent,
}

struct World {
    now: u64,
    link: Link,
    sessions: Sessions,
    process: u64,
    last_session: u64,
    paused_until: u64,
    /// Calls that the relay has accepted, with the time at which it sends them.
    accepted: Vec<(u64, AcceptedCall)>,
    /// Calls that the worker has received, with the times of their answers.
    at_worker: Vec<(u64, AcceptedCall)>,
    /// Exchanges on their way, with their arrival at the relay.
    requests: Vec<(u64, Sending)>,
    /// Replies on their way to the leader, `None` for one that never arrives.
    replies: Vec<(u64, Sending, Option<wire::ExchangeReply>, Failure)>,
    fault: Option<(u64, Fault)>,
    received: BTreeMap<u64, u64>,
    told: BTreeMap<u64, (u64, Told)>,
    pushed: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        Self {
            now: 0,
            link: Link::new(address(7), 1, 4, at(0)),
            sessions: Sessions::new(1),
            process: 1,
            last_session: 1,
            paused_until: 0,
            accepted: Vec::new(),
            at_worker: Vec::new(),
            requests: Vec::new(),
            replies: Vec::new(),
            fault: None,
            received: BTreeMap::new(),
            told: BTreeMap::new(),
            pushed: BTreeMap::new(),
        }
    }

    fn push(&mut self, job: u64) {
        self.pushed.insert(job, self.now);
        self.link.push(start(job, 1));
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Restart => {
                self.process += 1;
                self.sessions = Sessions::new(self.process);
                self.accepted.clear();
                self.at_worker.clear();
            }
            Fault::Pause(millis) => self.paused_until = self.now + millis,
            Fault::LoseRequests | Fault::LoseReplies | Fault::Refuse => {
                self.fault = Some((self.now + 60, fault));
            }
        }
    }

    fn active_fault(&self) -> Option<Fault> {
        let (until, fault) = self.fault?;
        (self.now < until).then_some(fault)
    }

    fn tell(&mut self, job: u64, told: Told) {
        let earlier = self.told.insert(job, (self.now, told));
        assert_eq!(earlier, None, "call {job} got two outcomes");
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.now >= self.paused_until {
            self.run_relay();
        }
        self.deliver_replies();
        for call in self.link.take_overdue(at(self.now)) {
            self.tell_undelivered(&call);
        }
        let interval = constants::MIN_EXCHANGE_INTERVAL;
        while let Next::Send(sending) = self.link.next(at(self.now), interval) {
            self.send(sending);
        }
    }

    fn send(&mut self, sending: Sending) {
        let timeout = self.now + lease::millis(sending.timeout);
        match self.active_fault() {
            Some(Fault::Refuse) => {
                self.replies
                    .push((self.now + 1, sending, None, Failure::NoEffect));
            }
            Some(Fault::LoseRequests) => {
                self.replies
                    .push((timeout, sending, None, Failure::Unknown));
            }
            _ => {
                self.requests.push((self.now + 1, sending.clone()));
                self.replies
                    .push((timeout, sending, None, Failure::Unknown));
            }
        }
    }

    fn run_relay(&mut self) {
        self.sessions.on_tick(at(self.now));
        let due: Vec<_> = self
            .requests
            .extract_if(.., |(at, _)| *at <= self.now)
            .collect();
        for (_, sending) in due {
            let calls = self
                .sessions
                .accept(sending.exchange.clone(), 0, at(self.now));
            let calls = calls.expect("the term never changes");
            self.accepted
                .extend(calls.into_iter().map(|call| (self.now + STEP_MS, call)));
            let reply = wire::ExchangeReply {
                process: self.process,
                draining: false,
                outcomes: self.sessions.take_outcomes(sending.exchange.session),
                clock_ms: Some(self.now),
            };
            if !matches!(self.active_fault(), Some(Fault::LoseReplies)) {
                self.replies
                    .push((self.now + STEP_MS, sending, Some(reply), Failure::Unknown));
            }
        }
        let now = self.now;
        let due: Vec<_> = self.accepted.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, call) in due {
            let wire::Operation::Start { task, .. } = call.call.3 else {
                continue;
            };
            if call.may_send(at(now)) {
                self.received.insert(task.0.0, now);
                self.at_worker.push((now + WORKER_MS, call));
            } else {
                self.sessions
                    .complete(call.session, call.call.0, wire::Outcome::NotSent);
            }
        }
        let due: Vec<_> = self
            .at_worker
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, call) in due {
            self.sessions
                .complete(call.session, call.call.0, accepted(now));
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.replies.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_by_key(|(at, ..)| *at);
        for (_, sending, reply, failure) in due {
            let (lane, number) = (sending.lane, sending.number);
            if let Some(reply) = reply {
                let outcomes = self.link.on_reply(lane, number, reply, at(now));
                for call in outcomes.delivered {
                    self.tell(key(&call.action), Told::Done);
                }
                for call in outcomes.undelivered {
                    self.tell_undelivered(&call);
                }
            } else {
                let session = self.last_session + 1;
                let undelivered = self.link.on_failure(lane, number, failure, session);
                if !undelivered.is_empty() {
                    self.last_session = session;
                }
                for call in undelivered {
                    self.tell_undelivered(&call);
                }
            }
        }
    }

    fn tell_undelivered(&mut self, call: &daisymast_relay::link::Undelivered) {
        let told = if call.may_have_been_sent {
            Told::MaybeSent
        } else {
            Told::NotSent
        };
        self.tell(key(&call.action), told);
    }
}

proptest! {
    /// Guards against a call without an outcome or with two, against a start that counts as not made
    /// and reaches the worker, and against one that a paused relay makes late.
    #[test]
    fn each_call_gets_one_true_outcome(
        faults in vec((0_u64..400, fault()), 0..12),
        pushes in vec(0_u64..400, 1..40),
        seed in any::<u64>(),
    ) {
        let mut world = World::new();
        let mut job = seed % 1_000;
        for tick in 0..400 + SETTLING_MS / STEP_MS {
            for _ in pushes.iter().filter(|at| **at == tick) {
                job += 1;
                world.push(job);
            }
            for (_, fault) in faults.iter().filter(|(at, _)| *at == tick) {
                world.inject(*fault);
            }
            world.step();
        }
        for (job, pushed_at) in &world.pushed {
            let Some((told_at, told)) = world.told.get(job) else {
                panic!("call {job} of {pushed_at} ms got no outcome");
            };
            let received = world.received.get(job);
            match told {
                Told::Done => prop_assert!(received.is_some()),
                Told::NotSent => prop_assert!(
                    received.is_none(),
                    "call {job} was not sent, as told at {told_at} ms, and received at {received:?}"
                ),
                Told::MaybeSent => {}
            }
        }
    }
}

/// Guards against a relay whose pause makes the leader wait for longer than its timeouts, and against
/// one that makes the calls when it resumes: they were made directly meanwhile.
#[test]
fn calls_of_a_paused_relay_are_given_back_within_its_timeout() {
    let mut world = World::new();
    world.push(1);
    while world.now < 200 {
        world.step();
    }
    assert_eq!(world.told[&1].1, Told::Done);
    world.inject(Fault::Pause(3_000));
    world.push(2);
    let pushed_at = world.now;
    let limit = constants::ORDER_HOLD + constants::EXCHANGE_TIMEOUT_MARGIN;
    while world.now < pushed_at + lease::millis(limit) + 4 * STEP_MS {
        world.step();
    }
    assert_eq!(world.told[&2].1, Told::MaybeSent);
    while world.now < pushed_at + 4_000 {
        world.step();
    }
    assert!(
        !world.received.contains_key(&2),
        "sent when the relay resumed"
    );
}
