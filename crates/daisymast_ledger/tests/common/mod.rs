//! In-memory compare-and-swap store with fault injection, and a driver for partitions on a virtual
//! clock.
#![allow(dead_code)]

use std::collections::BTreeMap;

use daisymast_ledger::effect::{Change, Effect, Reply, Ticket};
use daisymast_ledger::partition::Partition;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::ClaimState;
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{BootId, InstanceId, Partition as PartitionId, RequestId, Revision};
use daisymast_types::time::Timestamp;

pub(crate) const WALL_START_MS: u64 = 1_780_000_000_000;

#[derive(Clone, Default)]
pub(crate) struct Store {
    pub map: BTreeMap<String, Entry>,
    pub revision: u64,
    pub writes: u32,
    pub reads: u32,
}

impl Store {
    pub(crate) fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        if request.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        match request {
            StoreRequest::Get { key } => StoreReply::Value {
                entry: self.map.get(key).cloned(),
            },
            StoreRequest::List { prefix } => StoreReply::Entries {
                entries: self
                    .map
                    .values()
                    .filter(|entry| entry.key.starts_with(prefix))
                    .cloned()
                    .collect(),
            },
            StoreRequest::Put { key, value, expect } => self.put(key, value, *expect),
            StoreRequest::Delete { key, expect } => self.delete(key, *expect),
            StoreRequest::Watch { .. } | StoreRequest::Members => panic!("not used"),
        }
    }

    fn put(&mut self, key: &str, value: &str, expect: Revision) -> StoreReply {
        let current = self.map.get(key);
        if current.map_or(Revision(0), |entry| entry.revision) != expect {
            return StoreReply::Conflict {
                entry: current.cloned(),
            };
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

    fn delete(&mut self, key: &str, expect: Revision) -> StoreReply {
        let current = self.map.get(key);
        if current.map_or(Revision(0), |entry| entry.revision) != expect {
            return StoreReply::Conflict {
                entry: current.cloned(),
            };
        }
        self.map.remove(key);
        self.revision += 1;
        StoreReply::Written {
            revision: Revision(self.revision),
        }
    }
}

/// Fault that is injected into one store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The call takes effect, but its reply is lost.
    LostReply,
    /// The call is lost without taking effect, which the sender cannot detect.
    LostCall,
    /// The connection is refused.
    Refused,
    /// The call is delayed and takes effect when [`TestInstance::apply_delayed`] is called.
    Delayed,
    /// The instance crashes before the call is sent.
    CrashBefore,
    /// The instance crashes after the call took effect.
    CrashAfter,
}

pub(crate) fn unknown() -> Outcome<StoreReply> {
    Outcome::Unknown(CallError::new("call", "store", "deadline passed"))
}

pub(crate) fn refused() -> Outcome<StoreReply> {
    Outcome::NoEffect(CallError::new("call", "store", "connection refused"))
}

/// An instance with one partition. It collects the replies and makes the store calls.
pub(crate) struct TestInstance {
    pub partition: Partition,
    pub name: InstanceId,
    pub answers: BTreeMap<Ticket, Reply>,
    pub changes: Vec<Change>,
    pub delayed: Vec<StoreRequest>,
    pub crashed: bool,
    pub calls: usize,
    tickets: u64,
}

impl TestInstance {
    pub(crate) fn new(name: &str, boot: u64) -> Self {
        let name = InstanceId::from(name);
        Self {
            partition: Partition::new(PartitionId(3), name.clone(), "127.0.0.1:1", BootId(boot)),
            name,
            answers: BTreeMap::new(),
            changes: Vec::new(),
            delayed: Vec::new(),
            crashed: false,
            calls: 0,
            tickets: 0,
        }
    }

    pub(crate) fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Collects replies and ownership changes, and returns the store calls.
    pub(crate) fn apply_effects(&mut self, effects: Vec<Effect>) -> Vec<(u64, StoreRequest)> {
        let mut calls = Vec::new();
        for effect in effects {
            match effect {
                Effect::Call { call, request } => calls.push((call, request)),
                Effect::Answer { ticket, reply } => {
                    let previous = self.answers.insert(ticket, reply);
                    assert!(previous.is_none(), "{ticket:?} was answered twice");
                }
                Effect::Changed(change) => self.changes.push(change),
            }
        }
        assert!(calls.len() <= 1, "more than one store call is open");
        calls
    }

    /// Makes store calls until none is left. `fault` receives the number of the call, from 0, and
    /// the request.
    pub(crate) fn drive(
        &mut self,
        now: Timestamp,
        store: &mut Store,
        effects: Vec<Effect>,
        fault: &mut dyn FnMut(usize, &StoreRequest) -> Fault,
    ) {
        let mut calls = self.apply_effects(effects);
        while let Some((call, request)) = calls.pop() {
            let injected = fault(self.calls, &request);
            self.calls += 1;
            let outcome = match injected {
                Fault::None => Outcome::Done(store.apply(&request)),
                Fault::LostReply => {
                    let _ = store.apply(&request);
                    unknown()
                }
                Fault::LostCall => unknown(),
                Fault::Refused => refused(),
                Fault::Delayed => {
                    self.delayed.push(request);
                    unknown()
                }
                Fault::CrashAfter => {
                    let _ = store.apply(&request);
                    self.crashed = true;
                    return;
                }
                Fault::CrashBefore => {
                    self.crashed = true;
                    return;
                }
            };
            let effects = self.partition.on_store(now, call, outcome);
            calls = self.apply_effects(effects);
        }
    }

    pub(crate) fn take_over(&mut self, now: Timestamp, store: &mut Store) {
        let effects = self.partition.take_over(now);
        self.drive(now, store, effects, &mut |_, _| Fault::None);
    }

    pub(crate) fn tick(&mut self, now: Timestamp, store: &mut Store) {
        let effects = self.partition.on_tick(now);
        self.drive(now, store, effects, &mut |_, _| Fault::None);
    }

    pub(crate) fn claim_effects(&mut self, now: Timestamp, id: &str) -> (Ticket, Vec<Effect>) {
        let ticket = self.ticket();
        let (request, by) = (RequestId::from(id), self.name.clone());
        let effects = self
            .partition
            .claim(now, ticket, request, "d1".to_owned(), by);
        (ticket, effects)
    }

    pub(crate) fn claim(&mut self, now: Timestamp, store: &mut Store, id: &str) -> Ticket {
        let (ticket, effects) = self.claim_effects(now, id);
        self.drive(now, store, effects, &mut |_, _| Fault::None);
        ticket
    }

    /// Queries the status of a request without faults. Returns the reply if it was immediate.
    pub(crate) fn status(&mut self, now: Timestamp, store: &mut Store, id: &str) -> Option<Reply> {
        let ticket = self.ticket();
        let effects = self.partition.status(now, ticket, RequestId::from(id));
        self.drive(now, store, effects, &mut |_, _| Fault::None);
        self.answers.remove(&ticket)
    }

    pub(crate) fn claim_state(&self, id: &str) -> Option<ClaimState> {
        self.partition.claim_state(&RequestId::from(id))
    }

    /// Applies the delayed calls to the store.
    pub(crate) fn apply_delayed(&mut self, store: &mut Store) {
        for request in std::mem::take(&mut self.delayed) {
            let _ = store.apply(&request);
        }
    }
}

pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::new(millis, WALL_START_MS + millis)
}

/// UUID of version 7 with a timestamp `millis` after [`WALL_START_MS`].
pub(crate) fn uuid_issued_at(millis: u64, number: u64) -> String {
    let time = WALL_START_MS + millis;
    let (high, low) = (time >> 16, time & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

/// Whether a new owner finds a claim of the request. It takes the partition over.
pub(crate) fn is_recorded(store: &mut Store, now: Timestamp, id: &str) -> bool {
    let mut reader = TestInstance::new("reader", 9_999 + store.revision);
    reader.take_over(now, store);
    assert!(reader.partition.epoch().is_some(), "{:?}", reader.changes);
    reader.claim_state(id) != Some(ClaimState::Absent)
}
