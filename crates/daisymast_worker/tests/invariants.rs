//! Property tests: random sequences of messages and delays never break an invariant of the worker.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use std::collections::{HashMap, HashSet};

use common::{
    TestHarness, acquire, batch, exclusive, forget, key, renew, replica, request, resolve,
    resolve_task, stop,
};
use daisymast_protocol::task::TaskSpec;
use daisymast_protocol::worker::{
    Fate, LeaseStamp, Refusal, WorkerMillis, WorkerReply, WorkerRequest,
};
use daisymast_types::ids::RequestId;
use daisymast_types::quantities::Resources;
use daisymast_worker::model::{ExchangeId, LogEvent, ModelReply};
use daisymast_worker::settings::ModelSettings;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

const CAPACITY: Resources = Resources::new(4_000, 4_096, 1);

/// One step of a sequence. The first field of `Send` is the age of the stamp: 0 for the one that
/// was granted last, 1 for the one before it, and so on.
#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    Freeze(bool),
    Acquire(u8),
    Send(u8, Message),
    Resolve(u8),
    ResolveTask(u64),
}

/// A message to send. The last field of `Start` and `Serve` is the time until its `not_after`
/// deadline, in milliseconds; a negative one has passed.
#[derive(Clone, Debug)]
enum Message {
    Renew,
    Release,
    Start(TaskSpec, i64),
    Serve(u8, i64),
    Stop(u64),
    Throttle(u64, u32),
    Forget(u64),
}

fn any_task() -> impl Strategy<Value = TaskSpec> {
    let size = (1..3_000_u32, 1..3_000_u32, 0..2_u16);
    (0..12_u64, 0..3_u8, size).prop_map(|(run, kind, (cores, memory, accelerators))| TaskSpec {
        size: Resources::new(cores, memory, accelerators),
        ..match kind {
            0 => replica(run),
            1 => batch(run, 700),
            _ => exclusive(run, 20_000),
        }
    })
}

fn any_message() -> impl Strategy<Value = Message> {
    let margin = -300..1_000_i64;
    prop_oneof![
        2 => Just(Message::Renew),
        1 => Just(Message::Release),
        5 => (any_task(), margin.clone()).prop_map(|(task, margin)| Message::Start(task, margin)),
        5 => (0..8_u8, margin).prop_map(|(id, margin)| Message::Serve(id, margin)),
        1 => (0..12_u64).prop_map(Message::Stop),
        4 => (0..12_u64, 0..4_000_u32).prop_map(|(run, cores)| Message::Throttle(run, cores)),
        2 => (0..12_u64).prop_map(Message::Forget),
    ]
}

/// Mostly the last stamp, so that many messages pass the lease check.
fn any_stamp_age() -> impl Strategy<Value = u8> {
    prop_oneof![3 => Just(0), 1 => 1..4_u8]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..1_500_u64).prop_map(Step::AdvanceClock),
        1 => prop::bool::weighted(0.2).prop_map(Step::Freeze),
        3 => (0..3_u8).prop_map(Step::Acquire),
        16 => (any_stamp_age(), any_message()).prop_map(|(age, message)| Step::Send(age, message)),
        2 => (0..8_u8).prop_map(Step::Resolve),
        2 => (0..12_u64).prop_map(Step::ResolveTask),
    ]
}

/// The worker, and what the test has derived from its replies alone.
struct Simulation {
    harness: TestHarness,
    /// All stamps that were granted, oldest first.
    granted: Vec<LeaseStamp>,
    /// Current stamp and its expiry on the virtual clock, in milliseconds.
    current_lease: Option<(LeaseStamp, u64)>,
    frozen: bool,
    /// Messages that were sent while the worker was frozen and that it has not handled yet.
    buffered: HashMap<ExchangeId, WorkerRequest>,
    /// Requests and task attempts that were reported as never run.
    never_ran: HashSet<String>,
}

/// Time to live of each acquired lease, in milliseconds.
const TTL_MS: u64 = 2_000;

impl Simulation {
    fn new() -> Self {
        let settings = ModelSettings {
            capacity: CAPACITY,
            slots: 2,
            service_ms: 300,
            ..ModelSettings::default()
        };
        Self {
            harness: TestHarness::new(settings),
            granted: Vec::new(),
            current_lease: None,
            frozen: false,
            buffered: HashMap::new(),
            never_ran: HashSet::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::AdvanceClock(millis) => self.harness.now += millis,
            Step::Freeze(frozen) => {
                self.harness.update_faults(|faults| faults.freeze = frozen);
                self.frozen = frozen;
            }
            Step::Acquire(number) => {
                let request = acquire(&format!("i-{number}"), TTL_MS);
                self.send(request, None, false);
            }
            Step::Send(age, message) => {
                let Some(last) = self.granted.len().checked_sub(1) else {
                    return;
                };
                let stamp = self.granted[last.saturating_sub(usize::from(age))];
                let (request, late) = self.message(stamp, message);
                self.send(request, Some(stamp), late);
            }
            Step::Resolve(id) => self.send(resolve(&format!("r-{id}")), None, false),
            Step::ResolveTask(run) => self.send(resolve_task(run), None, false),
        }
        self.tick();
    }

    /// Ticks the worker and records the replies to buffered messages.
    fn tick(&mut self) {
        for (exchange, reply) in self.harness.model.on_tick(self.harness.time()) {
            if let Some(request) = self.buffered.remove(&exchange) {
                self.record_reply(&request, &reply);
            }
        }
    }

    fn message(&self, stamp: LeaseStamp, message: Message) -> (WorkerRequest, bool) {
        let deadline = |margin: i64| {
            let not_after = self.harness.now.saturating_add_signed(margin);
            (WorkerMillis(not_after), not_after <= self.harness.now)
        };
        match message {
            Message::Renew => {
                // A buffered renewal extends the lease when it is handled. It must be answered
                // then, so that the test learns the time of the extension.
                let wait_ms = if self.frozen { 0 } else { 500 };
                (renew(stamp, &[1, 2], 0, wait_ms), false)
            }
            Message::Release => (WorkerRequest::Release { stamp }, false),
            Message::Start(task, margin) => {
                let (not_after, late) = deadline(margin);
                let request = WorkerRequest::Start {
                    stamp,
                    not_after,
                    task,
                };
                (request, late)
            }
            Message::Serve(id, margin) => {
                let (not_after, late) = deadline(margin);
                let request = WorkerRequest::Serve {
                    stamp,
                    not_after,
                    request: request(&format!("r-{id}")),
                };
                (request, late)
            }
            Message::Stop(run) => (stop(stamp, run), false),
            Message::Throttle(run, millicores) => {
                let request = WorkerRequest::Throttle {
                    stamp,
                    task: key(run),
                    millicores,
                };
                (request, false)
            }
            Message::Forget(run) => (forget(stamp, run), false),
        }
    }

    /// Sends a message. Checks that it is refused without effect if its stamp is stale or its
    /// deadline has passed.
    fn send(&mut self, request: WorkerRequest, stamp: Option<LeaseStamp>, late: bool) {
        // End tasks and requests that are due first, so that the log shows only the effect of the
        // message.
        self.tick();
        let (before, used) = (self.harness.log().len(), self.harness.model.used());
        let reply = self.harness.send(request.clone());
        if self.frozen {
            if let ModelReply::Deferred(exchange) = reply {
                self.buffered.insert(exchange, request);
            }
            return;
        }
        let now = self.harness.now;
        let is_current = |stamp| {
            self.current_lease
                .is_some_and(|(current, expires_at)| current == stamp && now < expires_at)
        };
        let stale = stamp.is_some_and(|stamp| !is_current(stamp));
        if stale || late {
            let reason = if stale {
                Refusal::StaleLease
            } else {
                Refusal::Late
            };
            assert_eq!(
                reply,
                ModelReply::Answer(common::refused(reason)),
                "{request:?}"
            );
            assert_eq!(
                (self.harness.log().len(), self.harness.model.used()),
                (before, used)
            );
            return;
        }
        match (&request, &reply) {
            // A waiting renewal has already extended the lease.
            (WorkerRequest::Renew { stamp, .. }, ModelReply::Deferred(_)) => {
                self.current_lease = Some((*stamp, now + TTL_MS));
            }
            (_, ModelReply::Answer(reply)) => self.record_reply(&request, reply),
            _ => {}
        }
    }

    fn record_reply(&mut self, request: &WorkerRequest, reply: &WorkerReply) {
        let expires_at = self.harness.now + TTL_MS;
        match (request, reply) {
            (_, WorkerReply::Granted(grant)) => {
                self.granted.push(grant.stamp);
                self.current_lease = Some((grant.stamp, expires_at));
            }
            (WorkerRequest::Renew { stamp, .. }, WorkerReply::Renewed { .. }) => {
                self.current_lease = Some((*stamp, expires_at));
            }
            (WorkerRequest::Release { .. }, WorkerReply::Ok) => self.current_lease = None,
            (
                WorkerRequest::Resolve { id, .. },
                WorkerReply::Resolved {
                    fate: Fate::NeverRan,
                },
            ) => {
                self.never_ran.insert(id.to_string());
            }
            (
                WorkerRequest::ResolveTask { task },
                WorkerReply::Resolved {
                    fate: Fate::NeverRan,
                },
            ) => {
                self.never_ran.insert(task.to_string());
            }
            _ => {}
        }
    }

    /// Checks that nothing ran twice or after it was reported as never run, and that the running
    /// tasks fit in the capacity.
    fn check_log(&self) {
        let log = self.harness.log();
        let mut used = Resources::ZERO;
        let (mut running, mut started) = (Vec::new(), HashSet::new());
        let mut served: HashSet<RequestId> = HashSet::new();
        for entry in &log {
            match &entry.event {
                LogEvent::TaskStarted { task, size, .. } => {
                    assert!(started.insert(*task), "{task} ran twice");
                    assert!(
                        !self.never_ran.contains(&task.to_string()),
                        "{task} ran after it was reported as never run"
                    );
                    running.push((*task, *size));
                }
                LogEvent::TaskEnded { task, .. } => running.retain(|(other, _)| other != task),
                LogEvent::RequestStarted { id } => {
                    assert!(served.insert(id.clone()), "{id} was served twice");
                    assert!(
                        !self.never_ran.contains(id.as_str()),
                        "{id} ran after it was reported as never run"
                    );
                }
                LogEvent::RequestEnded { .. }
                | LogEvent::Granted { .. }
                | LogEvent::WorkRefused { .. } => {}
            }
        }
        for (_, size) in running {
            used += size;
        }
        assert!(self.harness.model.used().fits_in(used));
        assert!(self.harness.model.used().fits_in(CAPACITY));
    }

    /// Checks that the running tasks that a new holder is told of add up to the used capacity.
    fn check_reported_tasks(&mut self) {
        self.harness.update_faults(|faults| faults.freeze = false);
        self.tick();
        // The tick may have granted a buffered acquisition; let that lease expire.
        self.harness.tick(self.harness.now + TTL_MS);
        let grant = self.harness.acquire_lease("i-9", 1_000);
        let mut used = Resources::ZERO;
        for task in grant.tasks.iter().filter(|task| !task.state.is_ended()) {
            used += task.spec.size;
        }
        assert_eq!(used, self.harness.model.used());
        assert!(used.fits_in(CAPACITY));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 768,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x776f_726b),
        ..ProptestConfig::default()
    })]

    /// Guards against sequences of messages that overload the worker, run an ID twice, let a stale
    /// or late message take effect, or run a request that was reported as never run.
    #[test]
    fn random_message_sequences_keep_the_invariants(steps in prop::collection::vec(any_step(), 1..300)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
            simulation.check_log();
        }
        simulation.check_reported_tasks();
    }
}
