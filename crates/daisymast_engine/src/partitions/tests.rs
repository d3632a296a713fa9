//! Ownership of partitions and replies to claims, on a virtual clock.

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

use crate::config::InstanceConfig;
use crate::event::Action;
use crate::outbox::{Outbox, PendingCall};
use crate::partitions::LedgerPartitions;
use crate::shared::{Context, Shared};

const START_WALL_MS: u64 = 1_780_000_000_000;

/// In-memory stand-in for the platform's store, with outages.
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

/// The partitions component of one instance, connected to a [`Store`].
struct PartitionsHarness {
    config: InstanceConfig,
    shared: Shared,
    outbox: Outbox,
    partitions: LedgerPartitions,
    now: Timestamp,
    answers: BTreeMap<Token, PeerReply>,
    recorded: Vec<(String, String)>,
    last_token: u64,
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

impl PartitionsHarness {
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
            partitions: LedgerPartitions::new(&config),
            config,
            now: Timestamp::new(0, START_WALL_MS),
            answers: BTreeMap::new(),
            recorded: Vec::new(),
            last_token: 0,
        }
    }

    fn with(
        &mut self,
        store: &mut Store,
        act: impl FnOnce(&mut LedgerPartitions, &mut Context<'_>),
    ) {
        self.outbox.begin_event(self.now);
        let mut cx = Context {
            now: self.now,
            config: &self.config,
            shared: &mut self.shared,
            outbox: &mut self.outbox,
        };
        act(&mut self.partitions, &mut cx);
        loop {
            let actions = self.outbox.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(store, action);
            }
        }
    }

    fn execute(&mut self, store: &mut Store, action: Action) {
        match action {
            Action::CallStore { call, request, .. } => {
                let outcome = store.call(&request);
                let Some(PendingCall::Partitions(pending_call)) =
                    self.outbox.take_pending_call(call)
                else {
                    panic!("the pending call is missing");
                };
                let mut cx = Context {
                    now: self.now,
                    config: &self.config,
                    shared: &mut self.shared,
                    outbox: &mut self.outbox,
                };
                self.partitions.on_store(&mut cx, pending_call, outcome);
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
            self.now = Timestamp::new(next, START_WALL_MS + next);
            self.with(store, LedgerPartitions::on_tick);
        }
    }

    fn send(&mut self, store: &mut Store, request: PeerRequest) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.with(store, |partitions, cx| {
            partitions.on_peer(cx, token, request);
        });
        token
    }

    fn receive_heartbeat(&mut self, name: &str, partitions: Vec<(Partition, Epoch)>) {
        let received = heartbeat(name, partitions);
        self.shared.view.record(self.now.mono, received);
    }

    fn recorded_count(&self, step: &str) -> usize {
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

/// Guards against a takeover by an instance whose view is still incomplete, and against a number of
/// store calls that grows with time.
#[test]
fn takes_over_preferred_partitions_after_delay() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 2_000);
    assert!(harness.partitions.owned().is_empty());
    assert_eq!(store.calls, 0);
    harness.run(&mut store, 2_400);
    assert_eq!(
        harness.partitions.owned().len(),
        usize::from(limits::PARTITION_COUNT)
    );
    let calls = store.calls;
    // Reads and writes the head, reads the segments and the claim files of three hours, writes the
    // next segment.
    assert_eq!(calls, 7 * u32::from(limits::PARTITION_COUNT));
    harness.run(&mut store, 60_000);
    assert_eq!(
        store.calls, calls,
        "an idle owner makes no further store calls"
    );
}

/// Guards against acknowledging one id twice, and against losing the body of an answer.
#[test]
fn resubmitted_claim_returns_recorded_state() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 3_000);
    let first = harness.send(&mut store, claim("r", "a"));
    let second = harness.send(&mut store, claim("r", "b"));
    harness.run(&mut store, 3_500);
    assert_eq!(harness.answers[&first], PeerReply::Claimed);
    assert!(matches!(
        &harness.answers[&second],
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
    let settle = harness.send(&mut store, PeerRequest::Settle { id, result });
    harness.run(&mut store, 4_000);
    assert_eq!(harness.answers[&settle], PeerReply::Ok);
    let id = RequestId::from("r");
    let late = Settlement::NotRun(NotRunReason::NoEndpoint);
    let again = harness.send(&mut store, PeerRequest::Settle { id, result: late });
    let id = RequestId::from("r");
    let status = harness.send(&mut store, PeerRequest::ClaimStatus { id });
    let third = harness.send(&mut store, claim("r", "b"));
    for token in [again, status, third] {
        assert_eq!(
            harness.answers[&token],
            PeerReply::ClaimState(ClaimState::Answered {
                digest: "d".to_owned(),
                answer: Some(answer.clone()),
            })
        );
    }
}

/// Guards against an instance that acknowledges a claim for a partition it does not own.
#[test]
fn non_owner_redirects_to_owner() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    let partition = keys::partition_of_request(&RequestId::from("r"));
    harness.receive_heartbeat("b", vec![(partition, Epoch(4))]);
    for request in [
        claim("r", "a"),
        PeerRequest::ClaimStatus {
            id: RequestId::from("r"),
        },
    ] {
        let token = harness.send(&mut store, request);
        let owner = Some(InstanceId::from("b"));
        assert_eq!(harness.answers[&token], PeerReply::NotOwner { owner });
    }
}

/// Guards against an owner that continues after being fenced, and against two instances that take
/// partitions from each other repeatedly.
#[test]
fn fenced_owner_backs_off_exponentially() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 3_000);
    for boot in 2..12 {
        let mut successor = PartitionsHarness::new("b", boot);
        successor.run(&mut store, 3_000);
        let owned = successor.partitions.owned();
        assert_eq!(owned.len(), 16);
        let next = harness.now.mono.as_millis() + 300;
        harness.receive_heartbeat("b", owned);
        // The other instance stops sending heartbeats, so this one becomes the preferred owner
        // again.
        harness.run(&mut store, next + 6_000);
    }
    let taken = harness.recorded_count("partition.owned");
    assert!((16..=16 * 6).contains(&taken), "{taken} takeovers in 63 s");
    assert!(harness.recorded_count("partition.fenced") >= 16);
}

/// Guards against a refusal that is late or false during a store outage.
#[test]
fn claim_fails_within_a_second_of_store_outage() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 3_000);
    store.down = true;
    let token = harness.send(&mut store, claim("r", "a"));
    harness.run(&mut store, 4_050);
    assert_eq!(harness.answers[&token], PeerReply::LedgerUnavailable);
    store.down = false;
    harness.run(&mut store, 6_000);
    let id = RequestId::from("r");
    let status = harness.send(&mut store, PeerRequest::ClaimStatus { id });
    assert_eq!(
        harness.answers[&status],
        PeerReply::ClaimState(ClaimState::Absent)
    );
}

/// Guards against a draining instance that keeps its partitions or drops a pending claim.
#[test]
fn draining_completes_claims_and_releases_partitions() {
    let mut store = Store::default();
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 3_000);
    let first = harness.send(&mut store, claim("r", "a"));
    let second = harness.send(&mut store, claim("s", "a"));
    harness.shared.draining = true;
    harness.run(&mut store, 3_500);
    for token in [first, second] {
        assert_eq!(harness.answers[&token], PeerReply::Claimed);
    }
    assert!(harness.partitions.owned().is_empty());
    assert!(harness.partitions.is_idle());
    harness.run(&mut store, 9_000);
    assert!(harness.partitions.owned().is_empty());
    let refused = harness.send(&mut store, claim("t", "a"));
    assert!(matches!(
        harness.answers[&refused],
        PeerReply::NotOwner { .. }
    ));
}

/// Guards against recording a persistent error on the timeline repeatedly.
#[test]
fn unreadable_partition_is_recorded_once() {
    let mut store = Store::default();
    let head = Entry {
        key: keys::head(Partition(5)),
        value: "?".to_owned(),
        revision: Revision(1),
    };
    store.map.insert(head.key.clone(), head.clone());
    let mut harness = PartitionsHarness::new("a", 1);
    harness.run(&mut store, 300_000);
    assert_eq!(harness.partitions.owned().len(), 15);
    assert_eq!(harness.recorded_count("partition.unreadable"), 1);
    assert_eq!(store.map[&head.key], head);
}
