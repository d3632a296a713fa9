//! Random interleavings of two owners with crashes, lost replies and late writes.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use common::{Node, Store, at, recorded, refused, unknown};
use daisymast_ledger::effect::{Effect, Reply, Ticket};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::RequestId;
use daisymast_types::time::Timestamp;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::{collection, proptest};

static WORN: LazyLock<Store> = LazyLock::new(worn_store);
const OWNERS: usize = 2;
const IDS: u8 = 6;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Lets time pass.
    Tick(u16),
    /// Lets 11 minutes pass, after which segments are sealed and claim files written.
    Wait,
    TakeOver(usize),
    Claim(usize, u8),
    /// Asks what is recorded.
    Ask(usize, u8),
    /// Delivers the open call and its reply.
    Deliver(usize),
    LoseReply(usize),
    LoseCall(usize),
    Refuse(usize),
    /// Ends the call for its sender; it may still take effect.
    Delay(usize),
    /// Lets the oldest delayed call take effect.
    LandLate,
    Crash(usize),
    Release(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let who = || 0..OWNERS;
    prop_oneof![
        6 => (0_u16..400).prop_map(Op::Tick),
        3 => who().prop_map(Op::TakeOver),
        6 => (who(), 0..IDS).prop_map(|(who, id)| Op::Claim(who, id)),
        2 => (who(), 0..IDS).prop_map(|(who, id)| Op::Ask(who, id)),
        14 => who().prop_map(Op::Deliver),
        2 => who().prop_map(Op::LoseReply),
        2 => who().prop_map(Op::LoseCall),
        1 => who().prop_map(Op::Refuse),
        2 => who().prop_map(Op::Delay),
        2 => Just(Op::LandLate),
        1 => who().prop_map(Op::Crash),
        1 => who().prop_map(Op::Release),
    ]
}

/// Operations with long pauses. At most five of them take effect, because ids without an issue time
/// are remembered for 75 minutes only.
fn long_op() -> impl Strategy<Value = Op> {
    prop_oneof![9 => op(), 1 => Just(Op::Wait)]
}

/// A store in which so many segments were opened that most slots are taken and a file is due.
fn worn_store() -> Store {
    let mut store = Store::default();
    for boot in 0..60 {
        let mut node = Node::new("z", 1_000 + boot);
        node.take_over(at(boot * 10), &mut store);
        node.claim(at(boot * 10 + 500), &mut store, &format!("old-{boot}"));
    }
    store
}

/// What callers were told of an id.
#[derive(Default)]
struct Told {
    acknowledged: u32,
    /// Submissions whose outcome is not surely "not recorded".
    open: u32,
}

struct World {
    store: Store,
    nodes: Vec<Node>,
    open: Vec<Vec<(u64, StoreRequest)>>,
    asked: Vec<BTreeMap<Ticket, u8>>,
    /// Questions, each with whether the id was acknowledged before.
    questions: Vec<BTreeMap<Ticket, bool>>,
    late: Vec<StoreRequest>,
    told: BTreeMap<u8, Told>,
    clock: u64,
    waits: u32,
    boots: u64,
}

impl World {
    fn new() -> Self {
        Self {
            store: Store::default(),
            nodes: vec![Node::new("a", 1), Node::new("b", 2)],
            open: vec![Vec::new(); OWNERS],
            asked: vec![BTreeMap::new(); OWNERS],
            questions: vec![BTreeMap::new(); OWNERS],
            late: Vec::new(),
            told: BTreeMap::new(),
            clock: 0,
            waits: 0,
            boots: 2,
        }
    }

    fn now(&self) -> Timestamp {
        at(self.clock)
    }

    fn absorb(&mut self, who: usize, effects: Vec<Effect>) {
        let calls = self.nodes[who].absorb(effects);
        // A released partition no longer waits for its call, which may still take effect.
        if !calls.is_empty() {
            let dropped = std::mem::replace(&mut self.open[who], calls);
            self.late
                .extend(dropped.into_iter().map(|(_, request)| request));
        }
        for (ticket, reply) in std::mem::take(&mut self.nodes[who].answers) {
            if let Some(acknowledged) = self.questions[who].remove(&ticket) {
                let absent = reply == Reply::Known(ClaimState::Absent);
                assert!(
                    !(absent && acknowledged),
                    "an acknowledged id was told to be absent"
                );
                continue;
            }
            let id = self.asked[who]
                .remove(&ticket)
                .expect("ticket was given out");
            let told = self.told.entry(id).or_default();
            match reply {
                Reply::Committed => told.acknowledged += 1,
                Reply::Known(_) | Reply::NotOwner | Reply::Unavailable => told.open -= 1,
                Reply::Unknown => {}
            }
            assert!(told.acknowledged <= 1, "id {id} was acknowledged twice");
        }
    }

    fn reply(&mut self, who: usize, fault: fn(&mut Self, &StoreRequest) -> Outcome<StoreReply>) {
        let Some((call, request)) = self.open[who].pop() else {
            return;
        };
        let outcome = fault(self, &request);
        let now = self.now();
        let effects = self.nodes[who].partition.on_store(now, call, outcome);
        self.absorb(who, effects);
    }

    fn step(&mut self, op: Op) {
        let now = self.now();
        match op {
            Op::Tick(millis) => {
                self.clock += u64::from(millis);
                for who in 0..OWNERS {
                    let effects = self.nodes[who].partition.on_tick(at(self.clock));
                    self.absorb(who, effects);
                }
            }
            Op::Wait if self.waits == 5 => {}
            Op::Wait => {
                self.waits += 1;
                self.clock += 11 * 60_000;
                self.step(Op::Tick(0));
            }
            Op::TakeOver(who) => {
                let effects = self.nodes[who].partition.take_over(now);
                self.absorb(who, effects);
            }
            Op::Claim(who, id) => {
                let (ticket, effects) = self.nodes[who].claim_effects(now, &format!("r-{id}"));
                self.asked[who].insert(ticket, id);
                self.told.entry(id).or_default().open += 1;
                self.absorb(who, effects);
            }
            Op::Ask(who, id) => {
                let acknowledged = self.told.get(&id).is_some_and(|told| told.acknowledged > 0);
                let ticket = self.nodes[who].ticket();
                self.questions[who].insert(ticket, acknowledged);
                let request = RequestId::from(format!("r-{id}"));
                let effects = self.nodes[who].partition.status(now, ticket, request);
                self.absorb(who, effects);
            }
            Op::Deliver(who) => self.reply(who, |world, request| {
                Outcome::Done(world.store.apply(request))
            }),
            Op::LoseReply(who) => self.reply(who, |world, request| {
                let _ = world.store.apply(request);
                unknown()
            }),
            Op::LoseCall(who) => self.reply(who, |_, _| unknown()),
            Op::Refuse(who) => self.reply(who, |_, _| refused()),
            Op::Delay(who) => self.reply(who, |world, request| {
                world.late.push(request.clone());
                unknown()
            }),
            Op::LandLate => self.land_late(),
            Op::Crash(who) => self.crash(who),
            Op::Release(who) => {
                let effects = self.nodes[who].partition.release(now);
                self.absorb(who, effects);
            }
        }
    }

    fn land_late(&mut self) {
        if !self.late.is_empty() {
            let request = self.late.remove(0);
            let _ = self.store.apply(&request);
        }
    }

    fn crash(&mut self, who: usize) {
        self.boots += 1;
        let name = self.nodes[who].name.clone();
        self.nodes[who] = Node::new(name.as_str(), self.boots);
        let dropped = std::mem::take(&mut self.open[who]);
        self.late
            .extend(dropped.into_iter().map(|(_, request)| request));
        // Their callers never get an answer, so their claims stay open.
        self.asked[who].clear();
        self.questions[who].clear();
    }

    fn check(&mut self) {
        while !self.late.is_empty() {
            self.land_late();
        }
        self.clock += 100;
        let now = self.now();
        let told = std::mem::take(&mut self.told);
        let mut reader = Node::new("reader", 99);
        reader.take_over(now, &mut self.store);
        assert!(reader.partition.epoch().is_some(), "{:?}", reader.changes);
        let found: BTreeSet<u8> = (0..IDS)
            .filter(|id| reader.state(&format!("r-{id}")) != Some(ClaimState::Absent))
            .collect();
        for (id, told) in told {
            assert!(
                told.acknowledged == 0 || found.contains(&id),
                "acknowledged id {id} is lost"
            );
            assert!(
                told.open > 0 || !found.contains(&id),
                "id {id} is recorded though every submission was told that it is not"
            );
        }
        self.clock += 100;
        let now = self.now();
        assert!(!recorded(&mut self.store, now, "never"));
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        ..proptest::test_runner::Config::default()
    })]

    /// Guards against a second acknowledgement of an id, against the loss of an acknowledged claim,
    /// and against "surely not claimed" for a claim that is recorded.
    #[test]
    fn no_second_acknowledgement_and_no_lost_claim(
        ops in collection::vec(op(), 1..160),
    ) {
        let mut world = World::new();
        for op in ops {
            world.step(op);
        }
        world.check();
    }

    /// Guards against the same faults, and the loss of older claims, while segments are merged into
    /// claim files and their slots are used again.
    #[test]
    fn files_lose_no_claim(ops in collection::vec(long_op(), 1..240)) {
        let mut world = World::new();
        world.store = WORN.clone();
        world.clock = 2_000;
        for op in ops {
            world.step(op);
        }
        world.check();
        world.clock += 100;
        let mut reader = Node::new("reader", 98);
        reader.take_over(world.now(), &mut world.store);
        for number in 0..60 {
            let state = reader.state(&format!("old-{number}"));
            assert!(matches!(state, Some(ClaimState::Claimed { .. })), "old-{number}: {state:?}");
        }
    }
}
