//! Drives an instance on a virtual clock, with a store of one key.

use std::time::Duration;

use daisymast_manifest::record::{self, Record};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{Heartbeat, PeerReply, PeerRequest};
use daisymast_protocol::store::{Entry, StoreReply, StoreRequest};
use daisymast_types::ids::{
    BootId, CallId, Generation, InstanceId, Nonce, Release, Revision, Token, Zone,
};
use daisymast_types::time::Timestamp;

use crate::config::{InstanceConfig, Seed, TICK_INTERVAL};
use crate::event::{Action, Event};
use crate::instance::Instance;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    Up,
    /// Refuses connections.
    Down,
    /// Applies writes, but loses their replies.
    LosesReplies,
    /// Loses writes before they arrive.
    LosesWrites,
    /// Answers reads, but fails watches.
    NoWatches,
}

/// A store of one key with compare-and-swap. Counts the calls.
pub(super) struct Store {
    pub(super) mode: Mode,
    pub(super) entry: Option<Entry>,
    pub(super) writes: u32,
    pub(super) watches: u32,
    pub(super) reads: u32,
}

impl Store {
    pub(super) fn new(mode: Mode) -> Self {
        Self {
            mode,
            entry: None,
            writes: 0,
            watches: 0,
            reads: 0,
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.entry
            .as_ref()
            .map_or(Revision(0), |entry| entry.revision)
    }

    pub(super) fn set(&mut self, generation: u64, release: &str, revision: u64) {
        let record = Record {
            generation: Generation(generation),
            nonce: Nonce(generation),
            release: Release::from(release),
            body: body(release),
        };
        self.entry = Some(Entry {
            key: "manifest".to_owned(),
            value: record.to_value().expect("a small record"),
            revision: Revision(revision),
        });
    }

    pub(super) fn put(&mut self, value: String, expect: Revision) -> StoreReply {
        if expect != self.revision() {
            let entry = self.entry.clone();
            return StoreReply::Conflict { entry };
        }
        self.writes += 1;
        let revision = self.revision().next();
        self.entry = Some(Entry {
            key: "manifest".to_owned(),
            value,
            revision,
        });
        StoreReply::Written { revision }
    }

    /// The outcome of a call, or `None` while a watch waits.
    pub(super) fn call(&mut self, request: StoreRequest) -> Option<Outcome<StoreReply>> {
        let error = CallError::new("call store", "store", "test");
        if self.mode == Mode::Down {
            return Some(Outcome::NoEffect(error));
        }
        match request {
            // Other components read the list of members and the ledger, which this store does not
            // have.
            ref other if !is_manifest(other) => {
                let error = CallError::new("read", "platform", "not part of this store");
                Some(Outcome::NoEffect(error))
            }
            StoreRequest::Put { value, expect, .. } => Some(match self.mode {
                Mode::LosesWrites => Outcome::Unknown(error),
                Mode::LosesReplies => {
                    let _ = self.put(value, expect);
                    Outcome::Unknown(error)
                }
                _ => Outcome::Done(self.put(value, expect)),
            }),
            StoreRequest::Watch { .. } if self.mode == Mode::NoWatches => {
                self.watches += 1;
                Some(Outcome::Unknown(error))
            }
            StoreRequest::Watch { seen, .. } if seen == self.revision() => None,
            _ => {
                self.reads += 1;
                let entry = self.entry.clone();
                Some(Outcome::Done(StoreReply::Value { entry }))
            }
        }
    }
}

fn is_manifest(request: &StoreRequest) -> bool {
    match request {
        StoreRequest::Get { key }
        | StoreRequest::Put { key, .. }
        | StoreRequest::Delete { key, .. }
        | StoreRequest::Watch { key, .. } => key == record::KEY,
        StoreRequest::List { .. } | StoreRequest::Members => false,
    }
}

pub(super) fn body(release: &str) -> String {
    format!("{{\"release\": \"{release}\"}}")
}

/// One instance with its clock and the actions that it emitted.
pub(super) struct ConfigHarness {
    pub(super) instance: Instance,
    pub(super) now: u64,
    pub(super) answers: Vec<(Token, OperatorReply)>,
    pub(super) peer_answers: Vec<PeerReply>,
    pub(super) events: Vec<(String, String)>,
    pub(super) watches: Vec<(CallId, Revision, u64)>,
    pub(super) fetches: Vec<(CallId, InstanceId)>,
}

impl ConfigHarness {
    pub(super) fn new(name: &str) -> Self {
        let seeds = ["entry-1", "entry-2", "entry-3"].map(|seed| Seed {
            instance: InstanceId::from(seed),
            zone: Zone::from("Waco"),
            address: format!("{seed}:1"),
        });
        let (instance, zone) = (InstanceId::from(name), Zone::from("Waco"));
        let boot = BootId(u64::from(name.as_bytes()[name.len() - 1]));
        let config = InstanceConfig::builder(instance, zone, boot)
            .seeds(seeds.to_vec())
            .build();
        Self {
            instance: Instance::new(config),
            now: 0,
            answers: Vec::new(),
            peer_answers: Vec::new(),
            events: Vec::new(),
            watches: Vec::new(),
            fetches: Vec::new(),
        }
    }

    pub(super) fn timestamp(&self) -> Timestamp {
        Timestamp::new(self.now, 1_780_000_000_000 + self.now)
    }

    /// Sends an event to the instance. Returns its calls to the store, which are still unanswered.
    pub(super) fn send(&mut self, event: Event) -> Vec<(CallId, StoreRequest)> {
        let mut calls = Vec::new();
        for action in self.instance.on_event(self.timestamp(), event) {
            match action {
                Action::CallStore { call, request, .. } => calls.push((call, request)),
                Action::AnswerOperator { token, reply } => self.answers.push((token, reply)),
                Action::AnswerPeer { reply, .. } => self.peer_answers.push(reply),
                Action::Record(event) => self.events.push((event.step, event.detail)),
                Action::CallPeer {
                    call,
                    instance,
                    request: PeerRequest::FetchManifest { .. },
                    ..
                } => self.fetches.push((call, instance)),
                _ => {}
            }
        }
        calls
    }

    /// Sends an event to the instance, then the store's replies to all calls that follow.
    pub(super) fn run(&mut self, store: &mut Store, event: Event) {
        let mut calls = self.send(event);
        while let Some((call, request)) = calls.pop() {
            let watch = match &request {
                StoreRequest::Watch { seen, wait_ms, .. } => Some((*seen, self.now + wait_ms)),
                _ => None,
            };
            match (store.call(request), watch) {
                (Some(outcome), _) => calls.extend(self.send(Event::StoreReply { call, outcome })),
                (None, Some((seen, end))) => self.watches.push((call, seen, end)),
                (None, None) => {}
            }
        }
    }

    /// Advances the clock with ticks and with the replies to waiting watches.
    pub(super) fn advance(&mut self, store: &mut Store, span: Duration) {
        let end = self.now + u64::try_from(span.as_millis()).expect("a short span");
        while self.now < end {
            self.now += u64::try_from(TICK_INTERVAL.as_millis()).expect("a short tick");
            let (now, revision, is_down) = (self.now, store.revision(), store.mode == Mode::Down);
            let (ended, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watches)
                .into_iter()
                .partition(|(_, seen, end)| is_down || *seen != revision || now >= *end);
            self.watches = waiting;
            for (call, ..) in ended {
                let outcome = if is_down {
                    Outcome::Unknown(CallError::new("watch", "store", "connection lost"))
                } else {
                    let entry = store.entry.clone();
                    Outcome::Done(StoreReply::Value { entry })
                };
                self.run(store, Event::StoreReply { call, outcome });
            }
            self.run(store, Event::Tick);
        }
    }

    pub(super) fn submit(&mut self, token: u64, expected: u64, release: &str) -> Event {
        Event::Operator {
            token: Token(token),
            request: OperatorRequest::Submit {
                expected: Generation(expected),
                manifest: body(release),
            },
        }
    }

    pub(super) fn record_heartbeat(&mut self, peer: &str, generation: u64) {
        let heartbeat = Heartbeat {
            instance: InstanceId::from(peer),
            boot: BootId(1),
            zone: Zone::from("Waco"),
            address: format!("{peer}:1"),
            generation: Generation(generation),
            draining: false,
            weight: 1,
            partitions: Vec::new(),
            workers: Vec::new(),
        };
        self.instance.record_heartbeat(self.timestamp(), heartbeat);
    }

    pub(super) fn event_count(&self, kind: &str) -> usize {
        self.events
            .iter()
            .filter(|(recorded, _)| recorded == kind)
            .count()
    }

    pub(super) fn generation(&self) -> u64 {
        self.instance.generation().0
    }
}

pub(super) const SECOND: Duration = Duration::from_secs(1);

pub(super) fn accepted(generation: u64) -> OperatorReply {
    OperatorReply::Accepted {
        generation: Generation(generation),
    }
}
