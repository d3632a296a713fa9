//! Random interleavings of two owners with crashes, lost replies and delayed writes.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use common::{Store, TestInstance, at, is_recorded, refused, unknown};
use daisymast_ledger::effect::{Effect, Reply, Ticket};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{StoreReply, StoreRequest};
use daisymast_types::ids::RequestId;
use daisymast_types::time::Timestamp;
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::{collection, proptest};

static FILLED_STORE: LazyLock<Store> = LazyLock::new(filled_store);
const OWNERS: usize = 2;
const IDS: u8 = 6;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// Advances the clock by this many milliseconds.
    Tick(u16),
    /// Advances the clock by 11 min, after which segments are sealed and claim files are written.
    LongPause,
    TakeOver(usize),
    Claim(usize, u8),
    /// Queries the status of an id.
    QueryStatus(usize, u8),
    /// Applies the open call and delivers its reply.
    Deliver(usize),
    LoseReply(usize),
    LoseCall(usize),
    Refuse(usize),
    /// Reports an unknown outcome to the sender; the call may still take effect.
    Delay(usize),
    /// Applies the oldest delayed call.
    ApplyDelayed,
    Crash(usize),
    Release(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let owner = || 0..OWNERS;
    prop_oneof![
        6 => (0_u16..400).prop_map(Op::Tick),
        3 => owner().prop_map(Op::TakeOver),
        6 => (owner(), 0..IDS).prop_map(|(owner, id)| Op::Claim(owner, id)),
        2 => (owner(), 0..IDS).prop_map(|(owner, id)| Op::QueryStatus(owner, id)),
        14 => owner().prop_map(Op::Deliver),
        2 => owner().prop_map(Op::LoseReply),
        2 => owner().prop_map(Op::LoseCall),
        1 => owner().prop_map(Op::Refuse),
        2 => owner().prop_map(Op::Delay),
        2 => Just(Op::ApplyDelayed),
        1 => owner().prop_map(Op::Crash),
        1 => owner().prop_map(Op::Release),
    ]
}

/// Operations with long pauses. At most five pauses take effect, because claims whose ids have no
/// issue time are found only for 75 min.
fn op_with_long_pauses() -> impl Strategy<Value = Op> {
    prop_oneof![9 => op(), 1 => Just(Op::LongPause)]
}

/// A store in which most slots are occupied and a claim file is due.
fn filled_store() -> Store {
    let mut store = Store::default();
    for boot in 0..60 {
        let mut instance = TestInstance::new("z", 1_000 + boot);
        instance.take_over(at(boot * 10), &mut store);
        instance.claim(at(boot * 10 + 500), &mut store, &format!("old-{boot}"));
    }
    store
}

/// Replies to the claims of an id.
#[derive(Default)]
struct ClaimReplies {
    acknowledged: u32,
    /// Claims that may be recorded: unanswered, or answered with an unknown outcome or an
    /// acknowledgement.
    unresolved: u32,
}

struct Simulation {
    store: Store,
    instances: Vec<TestInstance>,
    open_calls: Vec<Vec<(u64, StoreRequest)>>,
    claim_tickets: Vec<BTreeMap<Ticket, u8>>,
    /// Open status queries, each with whether the id had been acknowledged before the query.
    status_tickets: Vec<BTreeMap<Ticket, bool>>,
    delayed: Vec<StoreRequest>,
    claim_replies: BTreeMap<u8, ClaimReplies>,
    clock: u64,
    long_pauses: u32,
    boots: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            store: Store::default(),
            instances: vec![TestInstance::new("a", 1), TestInstance::new("b", 2)],
            open_calls: vec![Vec::new(); OWNERS],
            claim_tickets: vec![BTreeMap::new(); OWNERS],
            status_tickets: vec![BTreeMap::new(); OWNERS],
            delayed: Vec::new(),
            claim_replies: BTreeMap::new(),
            clock: 0,
            long_pauses: 0,
            boots: 2,
        }
    }

    fn now(&self) -> Timestamp {
        at(self.clock)
    }

    fn apply_effects(&mut self, owner: usize, effects: Vec<Effect>) {
        let calls = self.instances[owner].apply_effects(effects);
        // A released partition ignores the reply to its open call, which may still take effect.
        if !calls.is_empty() {
            let dropped = std::mem::replace(&mut self.open_calls[owner], calls);
            self.delayed
                .extend(dropped.into_iter().map(|(_, request)| request));
        }
        for (ticket, reply) in std::mem::take(&mut self.instances[owner].answers) {
            if let Some(acknowledged) = self.status_tickets[owner].remove(&ticket) {
                let absent = reply == Reply::ClaimState(ClaimState::Absent);
                assert!(
                    !(absent && acknowledged),
                    "an acknowledged id was reported as absent"
                );
                continue;
            }
            let id = self.claim_tickets[owner]
                .remove(&ticket)
                .expect("ticket was issued");
            let replies = self.claim_replies.entry(id).or_default();
            match reply {
                Reply::Committed => replies.acknowledged += 1,
                Reply::ClaimState(_) | Reply::NotOwner | Reply::Unavailable => {
                    replies.unresolved -= 1;
                }
                Reply::Unknown => {}
            }
            assert!(replies.acknowledged <= 1, "id {id} was acknowledged twice");
        }
    }

    fn reply(&mut self, owner: usize, fault: fn(&mut Self, &StoreRequest) -> Outcome<StoreReply>) {
        let Some((call, request)) = self.open_calls[owner].pop() else {
            return;
        };
        let outcome = fault(self, &request);
        let now = self.now();
        let effects = self.instances[owner].partition.on_store(now, call, outcome);
        self.apply_effects(owner, effects);
    }

    fn step(&mut self, op: Op) {
        let now = self.now();
        match op {
            Op::Tick(millis) => {
                self.clock += u64::from(millis);
                for owner in 0..OWNERS {
                    let effects = self.instances[owner].partition.on_tick(at(self.clock));
                    self.apply_effects(owner, effects);
                }
            }
            Op::LongPause if self.long_pauses == 5 => {}
            Op::LongPause => {
                self.long_pauses += 1;
                self.clock += 11 * 60_000;
                self.step(Op::Tick(0));
            }
            Op::TakeOver(owner) => {
                let effects = self.instances[owner].partition.take_over(now);
                self.apply_effects(owner, effects);
            }
            Op::Claim(owner, id) => {
                let (ticket, effects) =
                    self.instances[owner].claim_effects(now, &format!("r-{id}"));
                self.claim_tickets[owner].insert(ticket, id);
                self.claim_replies.entry(id).or_default().unresolved += 1;
                self.apply_effects(owner, effects);
            }
            Op::QueryStatus(owner, id) => {
                let acknowledged = self
                    .claim_replies
                    .get(&id)
                    .is_some_and(|replies| replies.acknowledged > 0);
                let ticket = self.instances[owner].ticket();
                self.status_tickets[owner].insert(ticket, acknowledged);
                let request = RequestId::from(format!("r-{id}"));
                let effects = self.instances[owner].partition.status(now, ticket, request);
                self.apply_effects(owner, effects);
            }
            Op::Deliver(owner) => self.reply(owner, |simulation, request| {
                Outcome::Done(simulation.store.apply(request))
            }),
            Op::LoseReply(owner) => self.reply(owner, |simulation, request| {
                let _ = simulation.store.apply(request);
                unknown()
            }),
            Op::LoseCall(owner) => self.reply(owner, |_, _| unknown()),
            Op::Refuse(owner) => self.reply(owner, |_, _| refused()),
            Op::Delay(owner) => self.reply(owner, |simulation, request| {
                simulation.delayed.push(request.clone());
                unknown()
            }),
            Op::ApplyDelayed => self.apply_delayed(),
            Op::Crash(owner) => self.crash(owner),
            Op::Release(owner) => {
                let effects = self.instances[owner].partition.release(now);
                self.apply_effects(owner, effects);
            }
        }
    }

    fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let request = self.delayed.remove(0);
            let _ = self.store.apply(&request);
        }
    }

    fn crash(&mut self, owner: usize) {
        self.boots += 1;
        let name = self.instances[owner].name.clone();
        self.instances[owner] = TestInstance::new(name.as_str(), self.boots);
        let dropped = std::mem::take(&mut self.open_calls[owner]);
        self.delayed
            .extend(dropped.into_iter().map(|(_, request)| request));
        // The callers never receive a reply, so their claims remain unresolved.
        self.claim_tickets[owner].clear();
        self.status_tickets[owner].clear();
    }

    fn check_claims(&mut self) {
        while !self.delayed.is_empty() {
            self.apply_delayed();
        }
        self.clock += 100;
        let now = self.now();
        let claim_replies = std::mem::take(&mut self.claim_replies);
        let mut reader = TestInstance::new("reader", 99);
        reader.take_over(now, &mut self.store);
        assert!(reader.partition.epoch().is_some(), "{:?}", reader.changes);
        let found: BTreeSet<u8> = (0..IDS)
            .filter(|id| reader.claim_state(&format!("r-{id}")) != Some(ClaimState::Absent))
            .collect();
        for (id, replies) in claim_replies {
            assert!(
                replies.acknowledged == 0 || found.contains(&id),
                "acknowledged id {id} is lost"
            );
            assert!(
                replies.unresolved > 0 || !found.contains(&id),
                "id {id} is recorded although every claim was answered as not recorded"
            );
        }
        self.clock += 100;
        let now = self.now();
        assert!(!is_recorded(&mut self.store, now, "never"));
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
    /// and against a reply that a claim is not recorded although it is.
    #[test]
    fn claims_are_acknowledged_once_and_never_lost(
        ops in collection::vec(op(), 1..160),
    ) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.step(op);
        }
        simulation.check_claims();
    }

    /// Guards against the same failures, and against the loss of older claims, while segments are
    /// merged into claim files and their slots are reused.
    #[test]
    fn merging_into_files_loses_no_claim(ops in collection::vec(op_with_long_pauses(), 1..240)) {
        let mut simulation = Simulation::new();
        simulation.store = FILLED_STORE.clone();
        simulation.clock = 2_000;
        for op in ops {
            simulation.step(op);
        }
        simulation.check_claims();
        simulation.clock += 100;
        let mut reader = TestInstance::new("reader", 98);
        reader.take_over(simulation.now(), &mut simulation.store);
        for number in 0..60 {
            let state = reader.claim_state(&format!("old-{number}"));
            assert!(matches!(state, Some(ClaimState::Claimed { .. })), "old-{number}: {state:?}");
        }
    }
}
