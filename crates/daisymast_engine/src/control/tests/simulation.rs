//! Simulation of several instances that compete for the leases of one zone's workers, with message
//! delays, pauses and crashes.

use std::collections::BTreeMap;

use daisymast_membership::assignment;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::PeerRequest;
use daisymast_protocol::worker::{
    Grant, LeaseStamp, Refusal, WorkerMillis, WorkerReply as Reply, WorkerRequest,
};
use daisymast_types::hashing;
use daisymast_types::ids::{BootId, CallId, Epoch, InstanceId, Rack, Token, WorkerId, Zone};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Timestamp;
use proptest::proptest;

use crate::config::{InstanceConfig, Seed, WorkerSeed};
use crate::event::{Action, Event};
use crate::instance::Instance;
use crate::testing::{TICK_MS, WALL_START_MS, WORKER_CLOCK_OFFSET_MS, call_error};

/// A worker that enforces its lease by its own clock.
#[derive(Default)]
struct SimulatedWorker {
    epoch: u64,
    holder: Option<InstanceId>,
    until: u64,
    /// Number of requests whose stamp was not the current one.
    stale_requests: usize,
}

impl SimulatedWorker {
    fn stamp(&self) -> LeaseStamp {
        LeaseStamp {
            boot: BootId(1),
            epoch: Epoch(self.epoch),
        }
    }

    fn acquire(&mut self, now: u64, holder: &InstanceId, ttl_ms: u64) -> Reply {
        let current = self.holder.clone().filter(|_| now < self.until);
        if let Some(other) = current.clone().filter(|other| other != holder) {
            return Reply::Held {
                holder: other,
                remaining_ms: self.until - now,
            };
        }
        if current.is_none() {
            self.epoch += 1;
        }
        self.holder = Some(holder.clone());
        self.until = now + ttl_ms;
        Reply::Granted(Grant {
            stamp: self.stamp(),
            clock: WorkerMillis(WORKER_CLOCK_OFFSET_MS + now),
            ttl_ms,
            capacity: Resources::new(8_000, 8_000, 0),
            slots: 8,
            seq: 0,
            tasks: Vec::new(),
            leaving: false,
        })
    }

    fn handle(&mut self, now: u64, request: &WorkerRequest) -> Reply {
        let clock = WorkerMillis(WORKER_CLOCK_OFFSET_MS + now);
        let is_held = self.holder.is_some() && now < self.until;
        match request {
            WorkerRequest::Acquire { holder, ttl_ms } => self.acquire(now, holder, *ttl_ms),
            WorkerRequest::Renew { stamp, .. } if is_held && *stamp == self.stamp() => {
                self.until = now + 3_000;
                Reply::Renewed {
                    clock,
                    seq: 0,
                    changes: Vec::new(),
                    usage: Resources::ZERO,
                    leaving: false,
                }
            }
            WorkerRequest::Release { stamp } if is_held && *stamp == self.stamp() => {
                self.holder = None;
                Reply::Ok
            }
            _ => {
                self.stale_requests += 1;
                Reply::Refused {
                    reason: Refusal::StaleLease,
                }
            }
        }
    }
}

/// Message that arrives at a later time. The `usize` values are positions of instances.
enum Delivery {
    Event(usize, Event),
    WorkerCall(usize, CallId, WorkerId, WorkerRequest),
    PeerCall(usize, CallId, usize, PeerRequest),
}

struct Simulation {
    now: u64,
    instances: Vec<Option<Instance>>,
    /// Time until which each instance handles no events.
    paused_until: Vec<u64>,
    workers: BTreeMap<WorkerId, SimulatedWorker>,
    queue: BTreeMap<(u64, u64), Delivery>,
    /// Caller of each open exchange between instances.
    exchanges: BTreeMap<Token, (usize, CallId)>,
    counter: u64,
    seed: u64,
}

fn instance_id(at: usize) -> InstanceId {
    InstanceId::from(format!("entry-{at}"))
}

impl Simulation {
    fn new(instances: usize, workers: usize, seed: u64) -> Self {
        let zone = Zone::from("Austin");
        let ids: Vec<WorkerId> = (0..workers)
            .map(|at| WorkerId::from(format!("w-{at}")))
            .collect();
        let known: Vec<WorkerSeed> = ids
            .iter()
            .map(|worker| WorkerSeed {
                worker: worker.clone(),
                zone: zone.clone(),
                rack: Rack::from("r-1"),
                address: "worker:1".to_owned(),
            })
            .collect();
        let seeds: Vec<Seed> = (0..instances)
            .map(|at| Seed {
                instance: instance_id(at),
                zone: zone.clone(),
                address: format!("{at}:1"),
            })
            .collect();
        let made = (0..instances).map(|at| {
            let config = InstanceConfig::builder(instance_id(at), zone.clone(), BootId(at as u64))
                .address(&format!("{at}:1"))
                .seeds(seeds.clone())
                .workers(known.clone())
                .build();
            Some(Instance::new(config))
        });
        Self {
            now: 0,
            instances: made.collect(),
            paused_until: vec![0; instances],
            workers: ids
                .into_iter()
                .map(|id| (id, SimulatedWorker::default()))
                .collect(),
            queue: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            counter: 0,
            seed,
        }
    }

    fn next_count(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    /// Pseudo-random delay of 1 to 20 ms, determined by the seed.
    fn random_delay(&mut self) -> u64 {
        let count = self.next_count();
        1 + hashing::stable_hash_pair(&self.seed.to_le_bytes(), &count.to_le_bytes()) % 20
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        let key = (self.now + delay, self.next_count());
        self.queue.insert(key, delivery);
    }

    fn handle_event(&mut self, at: usize, event: Event) {
        if self.now < self.paused_until[at] {
            let wait = self.paused_until[at] - self.now;
            if !matches!(event, Event::Tick) {
                self.schedule(wait, Delivery::Event(at, event));
            }
            return;
        }
        let now = Timestamp::new(self.now, WALL_START_MS + self.now);
        let Some(instance) = &mut self.instances[at] else {
            return;
        };
        for action in instance.on_event(now, event) {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let delay = self.random_delay();
        match action {
            Action::CallWorker {
                call,
                worker,
                request,
                ..
            } => self.schedule(delay, Delivery::WorkerCall(at, call, worker, request)),
            Action::CallPeer {
                call,
                instance,
                request,
                ..
            } => {
                let to = (0..self.instances.len()).find(|to| instance_id(*to) == instance);
                let to = to.expect("a known instance");
                self.schedule(delay, Delivery::PeerCall(at, call, to, request));
            }
            Action::CallStore { call, timeout, .. } => {
                let outcome = Outcome::NoEffect(call_error());
                let wait = u64::try_from(timeout.as_millis()).unwrap_or(0);
                let event = Event::StoreReply { call, outcome };
                self.schedule(wait, Delivery::Event(at, event));
            }
            Action::AnswerPeer { token, reply } => {
                if let Some((caller, call)) = self.exchanges.remove(&token) {
                    let outcome = Outcome::Done(reply);
                    let event = Event::PeerReply { call, outcome };
                    self.schedule(delay, Delivery::Event(caller, event));
                }
            }
            Action::AnswerCaller { .. }
            | Action::AnswerOperator { .. }
            | Action::Record(_)
            | Action::Stopped => {}
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(at, event) => self.handle_event(at, event),
            Delivery::WorkerCall(at, call, worker, request) => {
                let now = self.now;
                let state = self.workers.get_mut(&worker).expect("a known worker");
                let reply = state.handle(now, &request);
                // A long poll without changes is answered at the end of its wait.
                let wait = match (&request, &reply) {
                    (WorkerRequest::Renew { wait_ms, .. }, Reply::Renewed { .. }) => *wait_ms,
                    _ => 0,
                };
                let outcome = Outcome::Done(reply);
                let delay = self.random_delay() + wait;
                let event = Event::WorkerReply { call, outcome };
                self.schedule(delay, Delivery::Event(at, event));
            }
            Delivery::PeerCall(from, call, to, request) => {
                if self.instances[to].is_none() {
                    let outcome = Outcome::NoEffect(call_error());
                    let event = Event::PeerReply { call, outcome };
                    self.schedule(1, Delivery::Event(from, event));
                    return;
                }
                let token = Token(self.next_count());
                self.exchanges.insert(token, (from, call));
                let from = instance_id(from);
                let event = Event::Peer {
                    token,
                    from,
                    request,
                };
                self.handle_event(to, event);
            }
        }
    }

    /// Runs for `span` milliseconds and checks after each event that no worker has two holders.
    fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let tick = (self.now / TICK_MS + 1) * TICK_MS;
            while let Some(entry) = self.queue.first_entry() {
                let (time, _) = *entry.key();
                if time > tick {
                    break;
                }
                let delivery = entry.remove();
                self.now = self.now.max(time);
                self.deliver(delivery);
                self.assert_single_holders();
            }
            self.now = tick;
            for at in 0..self.instances.len() {
                self.handle_event(at, Event::Tick);
            }
            self.assert_single_holders();
        }
    }

    fn held(&self, at: usize) -> Vec<WorkerId> {
        let now = Timestamp::new(self.now, WALL_START_MS + self.now);
        let instance = self.instances[at].as_ref();
        instance.map_or_else(Vec::new, |instance| instance.held(now))
    }

    fn assert_single_holders(&self) {
        let mut all: Vec<WorkerId> = (0..self.instances.len())
            .flat_map(|at| self.held(at))
            .collect();
        let count = all.len();
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), count, "two holders at {} ms", self.now);
    }

    fn held_counts(&self) -> Vec<usize> {
        (0..self.instances.len())
            .map(|at| self.held(at).len())
            .collect()
    }
}

/// Guards against workers without a holder and against an instance that holds more than its bound,
/// both after the start and after an instance has crashed.
#[test]
fn every_worker_has_one_holder_within_the_bound() {
    let mut simulation = Simulation::new(4, 40, 1);
    simulation.run_for(10_000);
    let within = |loads: &[usize], alive: u64| {
        let most = assignment::max_workers(40, 1, alive);
        assert_eq!(loads.iter().sum::<usize>(), 40, "{loads:?}");
        assert!(loads.iter().all(|&load| load <= most), "{loads:?}");
    };
    within(&simulation.held_counts(), 4);
    simulation.instances[0] = None;
    simulation.run_for(6_000);
    assert_eq!(simulation.held_counts().iter().sum::<usize>(), 40);
    simulation.run_for(9_000);
    within(&simulation.held_counts(), 3);
    let stale_requests: usize = simulation
        .workers
        .values()
        .map(|worker| worker.stale_requests)
        .sum();
    assert_eq!(stale_requests, 0);
}

/// Guards against leases that change their holder although no instance joined or left.
#[test]
fn leases_do_not_move_while_membership_is_stable() {
    let mut simulation = Simulation::new(4, 40, 2);
    simulation.run_for(10_000);
    let epochs: Vec<u64> = simulation
        .workers
        .values()
        .map(|worker| worker.epoch)
        .collect();
    simulation.run_for(60_000);
    let later: Vec<u64> = simulation
        .workers
        .values()
        .map(|worker| worker.epoch)
        .collect();
    assert_eq!(epochs, later);
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig::with_cases(24))]
    /// Guards against two instances that act on one worker at the same time when instances pause
    /// for less or more than the lease time, and against workers that are left without a holder
    /// afterwards.
    #[test]
    fn paused_instances_never_cause_two_holders(
        seed in 0_u64..1_000_000,
        pauses in proptest::collection::vec((0_usize..3, 100_u64..6_000, 100_u64..3_000), 1..6),
    ) {
        let mut simulation = Simulation::new(3, 12, seed);
        simulation.run_for(5_000);
        for (at, length, next) in pauses {
            simulation.paused_until[at] = simulation.now + length;
            simulation.run_for(next);
        }
        simulation.run_for(15_000);
        assert_eq!(simulation.held_counts().iter().sum::<usize>(), 12);
    }
}
