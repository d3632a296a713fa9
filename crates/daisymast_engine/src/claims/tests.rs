//! Ownership of partitions and answers to claims, on a virtual clock.

use std::collections::BTreeMap;

use daisymast_ledger::keys;
use daisymast_membership::view::View;
use daisymast_protocol::caller::NotRunReason;
use daisymast_protocol::limits;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{ClaimState, Heartbeat, PeerReply, PeerRequest, Settlement};
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_protocol::worker::Answer;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{
    BootId, Epoch, Generation, InstanceId, Partition, RequestId, Revision, Token, Zone,
};
use daisymast_types::time::Timestamp;

use crate::claims::Claims;
use crate::config::InstanceConfig;
use crate::event::Action;
use crate::outbox::{Outbox, PendingCall};
use crate::shared::{Context, Shared};

const WALL: u64 = 1_780_000_000_000;

/// The platform's store, with outages.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) map: BTreeMap<String, Entry>,
    revision: u64,
    pub(crate) calls: u32,
    pub(crate) down: bool,
}

impl Store {
    pub(crate) fn call(&mut self, request: &StoreRequest) -> Outcome<StoreReply> {
        self.calls += 1;
        if self.down {
            return Outcome::NoEffect(CallError::new("call", "store", "connection refused"));
        }
        Outcome::Done(match request {
            StoreRequest::Get { key } => StoreReply::Value {
                entry: self.map.get(key).cloned(),
            },
            StoreRequest::List { prefix } => {
                let found = self.map.values().filter(|one| one.key.starts_with(prefix));
                StoreReply::Entries {
                    entries: found.cloned().collect(),
                }
            }
            StoreRequest::Put { key, value, expect } => self.put(key, value, *expect),
            StoreRequest::Delete { .. } | StoreRequest::Watch { .. } | StoreRequest::Members => {
                StoreReply::Refused {
                    reason: "not used in these tests".to_owned(),
                }
            }
        })
    }

    fn put(&mut self, key: &str, value: &str, expect: Revision) -> StoreReply {
        let entry = self.map.get(key).cloned();
        if entry.as_ref().map_or(Revision(0), |one| one.revision) != expect {
            return StoreReply::Conflict { entry };
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        let entry = Entry {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
        };
        self.map.insert(key.to_owned(), entry);
        StoreReply::Written { revision }
    }
}

/// The claims component of one instance.
struct Node {
    config: InstanceConfig,
    shared: Shared,
    outbox: Outbox,
    claims: Claims,
    now: Timestamp,
    answers: BTreeMap<Token, PeerReply>,
    recorded: Vec<(String, String)>,
    tokens: u64,
}

fn heartbeat(name: &str, partitions: Vec<(Partition, Epoch)>) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::from(name),
        boot: BootId(1),
        zone: Zone::from("Waco"),
        address: "127.0.0.1:1".to_owned(),
        generation: Generation(0),
        draining: false,
        weight: 1,
        partitions,
        workers: Vec::new(),
    }
}

impl Node {
    fn new(name: &str, boot: u64) -> Self {
        let id = InstanceId::from(name);
        let config = InstanceConfig::builder(id.clone(), Zone::from("Waco"), BootId(boot)).build();
        Self {
            shared: Shared {
                view: View::new(heartbeat(name, Vec::new())),
                instances: FastMap::default(),
                workers: FastMap::default(),
                generation: Generation(0),
                manifest: None,
                draining: false,
            },
            outbox: Outbox::new(id, BootId(boot)),
            claims: Claims::new(&config),
            config,
            now: Timestamp::new(0, WALL),
            answers: BTreeMap::new(),
            recorded: Vec::new(),
            tokens: 0,
        }
    }

    fn with(&mut self, store: &mut Store, act: impl FnOnce(&mut Claims, &mut Context<'_>)) {
        self.outbox.begin_event(self.now);
        let mut cx = Context {
            now: self.now,
            config: &self.config,
            shared: &mut self.shared,
            outbox: &mut self.outbox,
        };
        act(&mut self.claims, &mut cx);
        loop {
            let actions = self.outbox.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.act(store, action);
            }
        }
    }

    fn act(&mut self, store: &mut Store, action: Action) {
        match action {
            Action::CallStore { call, request, .. } => {
                let outcome = store.call(&request);
                let Some(PendingCall::Claims(step)) = self.outbox.take_pending_call(call) else {
                    panic!("step of the call is missing");
                };
                let mut cx = Context {
                    now: self.now,
                    config: &self.config,
                    shared: &mut self.shared,
                    outbox: &mut self.outbox,
                };
                self.claims.on_store(&mut cx, step, outcome);
            }
            Action::AnswerPeer { token, reply } => {
                let twice = self.answers.insert(token, reply);
                assert!(twice.is_none(), "{token:?} was answered twice");
            }
            Action::Record(event) => self.recorded.push((event.step, event.subject)),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn run(&mut self, store: &mut Store, until_ms: u64) {
        while self.now.mono.as_millis() < until_ms {
            let next = self.now.mono.as_millis() + 50;
            self.now = Timestamp::new(next, WALL + next);
            self.with(store, Claims::on_tick);
        }
    }

    fn ask(&mut self, store: &mut Store, request: PeerRequest) -> Token {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.with(store, |claims, cx| claims.on_peer(cx, token, request));
        token
    }

    fn hear(&mut self, name: &str, partitions: Vec<(Partition, Epoch)>) {
        let heard = heartbeat(name, partitions);
        self.shared.view.record(self.now.mono, heard);
    }

    fn steps(&self, step: &str) -> usize {
        self.recorded.iter().filter(|(one, _)| one == step).count()
    }
}

fn claim(id: &str, by: &str) -> PeerRequest {
    PeerRequest::Claim {
        id: RequestId::from(id),
        digest: "d".to_owned(),
        by: InstanceId::from(by),
    }
}

/// Guards against a takeover by an instance whose view is still filling up, and against a cost in
/// store calls that grows with time.
#[test]
fn takes_over_all_partitions_after_two_steady_seconds() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.run(&mut store, 2_000);
    assert!(node.claims.owned().is_empty());
    assert_eq!(store.calls, 0);
    node.run(&mut store, 2_400);
    assert_eq!(node.claims.owned().len(), usize::from(limits::PARTITIONS));
    let calls = store.calls;
    // Head read and written, segments, claim files of three hours, next segment.
    assert_eq!(calls, 7 * u32::from(limits::PARTITIONS));
    node.run(&mut store, 60_000);
    assert_eq!(
        store.calls, calls,
        "an idle owner calls the store only to confirm"
    );
}

/// Guards against two acknowledgements of one id, and against an answer without its body.
#[test]
fn claim_settle_and_status() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.run(&mut store, 3_000);
    let first = node.ask(&mut store, claim("r", "a"));
    let second = node.ask(&mut store, claim("r", "b"));
    node.run(&mut store, 3_500);
    assert_eq!(node.answers[&first], PeerReply::Claimed);
    assert!(matches!(
        &node.answers[&second],
        PeerReply::ClaimState(ClaimState::Claimed { by, .. }) if by.as_str() == "a"
    ));
    let answer = Answer {
        id: RequestId::from("r"),
        body: "booked".to_owned(),
        length: 6,
        digest: "x".to_owned(),
    };
    let id = RequestId::from("r");
    let result = Settlement::Answered(answer.clone());
    let settle = node.ask(&mut store, PeerRequest::Settle { id, result });
    node.run(&mut store, 4_000);
    assert_eq!(node.answers[&settle], PeerReply::Ok);
    let id = RequestId::from("r");
    let late = Settlement::NotRun(NotRunReason::NoEndpoint);
    let again = node.ask(&mut store, PeerRequest::Settle { id, result: late });
    let id = RequestId::from("r");
    let status = node.ask(&mut store, PeerRequest::ClaimStatus { id });
    let third = node.ask(&mut store, claim("r", "b"));
    for token in [again, status, third] {
        assert_eq!(
            node.answers[&token],
            PeerReply::ClaimState(ClaimState::Answered {
                digest: "d".to_owned(),
                answer: Some(answer.clone()),
            })
        );
    }
}

/// Guards against a claim that is acknowledged by an instance that owns nothing.
#[test]
fn not_owner_names_the_owner() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    let partition = keys::of_request(&RequestId::from("r"));
    node.hear("b", vec![(partition, Epoch(4))]);
    for request in [
        claim("r", "a"),
        PeerRequest::ClaimStatus {
            id: RequestId::from("r"),
        },
    ] {
        let token = node.ask(&mut store, request);
        let owner = Some(InstanceId::from("b"));
        assert_eq!(node.answers[&token], PeerReply::NotOwner { owner });
    }
}

/// Guards against an owner that goes on after another instance took its partitions, and against
/// two instances that take them from each other without end.
#[test]
fn fenced_owner_gives_up_and_waits_longer_each_time() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.run(&mut store, 3_000);
    for boot in 2..12 {
        let mut rival = Node::new("b", boot);
        rival.run(&mut store, 3_000);
        let owned = rival.claims.owned();
        assert_eq!(owned.len(), 16);
        let next = node.now.mono.as_millis() + 300;
        node.hear("b", owned);
        // The rival falls silent, so this instance is preferred for every partition again.
        node.run(&mut store, next + 6_000);
    }
    let taken = node.steps("partition.owned");
    assert!((16..=16 * 6).contains(&taken), "{taken} takeovers in 63 s");
    assert!(node.steps("partition.fenced") >= 16);
}

/// Guards against a refusal that comes late or is untrue while the store is down.
#[test]
fn store_outage_is_answered_within_a_second() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.run(&mut store, 3_000);
    store.down = true;
    let token = node.ask(&mut store, claim("r", "a"));
    node.run(&mut store, 4_050);
    assert_eq!(node.answers[&token], PeerReply::LedgerUnavailable);
    store.down = false;
    node.run(&mut store, 6_000);
    let id = RequestId::from("r");
    let status = node.ask(&mut store, PeerRequest::ClaimStatus { id });
    assert_eq!(
        node.answers[&status],
        PeerReply::ClaimState(ClaimState::Absent)
    );
}

/// Guards against a draining instance that keeps its partitions or drops an open claim.
#[test]
fn draining_finishes_claims_and_stops_owning() {
    let mut store = Store::default();
    let mut node = Node::new("a", 1);
    node.run(&mut store, 3_000);
    let first = node.ask(&mut store, claim("r", "a"));
    let second = node.ask(&mut store, claim("s", "a"));
    node.shared.draining = true;
    node.run(&mut store, 3_500);
    for token in [first, second] {
        assert_eq!(node.answers[&token], PeerReply::Claimed);
    }
    assert!(node.claims.owned().is_empty());
    assert!(node.claims.is_idle());
    node.run(&mut store, 9_000);
    assert!(node.claims.owned().is_empty());
    let refused = node.ask(&mut store, claim("t", "a"));
    assert!(matches!(node.answers[&refused], PeerReply::NotOwner { .. }));
}

/// Guards against an error state that fills the timeline.
#[test]
fn unreadable_partition_is_recorded_once() {
    let mut store = Store::default();
    let head = Entry {
        key: keys::head(Partition(5)),
        value: "?".to_owned(),
        revision: Revision(1),
    };
    store.map.insert(head.key.clone(), head.clone());
    let mut node = Node::new("a", 1);
    node.run(&mut store, 300_000);
    assert_eq!(node.claims.owned().len(), 15);
    assert_eq!(node.steps("partition.unreadable"), 1);
    assert_eq!(store.map[&head.key], head);
}
