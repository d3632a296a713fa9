//! Test harness that runs an instance on a virtual clock with fake workers and peers.

use std::collections::BTreeMap;
use std::time::Duration;

use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Heartbeat, PeerReply, PeerRequest};
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::ids::{BootId, CallId, InstanceId, Rack, TaskKey, Token, WorkerId, Zone};
use daisymast_types::time::Timestamp;

use crate::config::{InstanceConfig, Seed, WorkerSeed};
use crate::event::{Action, Event};
use crate::instance::Instance;

mod fakes;

pub(crate) use fakes::*;

/// Wall-clock time at the start of a test, in milliseconds since the Unix epoch.
pub(crate) const WALL_START_MS: u64 = 1_780_000_000_000;
/// Milliseconds by which the workers' clocks are ahead of the instance's monotonic clock.
pub(crate) const WORKER_CLOCK_OFFSET_MS: u64 = 5_000_000;
pub(crate) const TICK_MS: u64 = 50;
/// Boot id of all fake workers.
pub(crate) const WORKER_BOOT: BootId = BootId(1);

/// An open call to a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCall {
    pub(crate) call: CallId,
    pub(crate) worker: WorkerId,
    pub(crate) request: WorkerRequest,
    pub(crate) timeout: Duration,
    pub(crate) sent: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct PeerCall {
    pub(crate) call: CallId,
    pub(crate) to: InstanceId,
    pub(crate) request: PeerRequest,
}

/// An instance, its fake workers, and its open calls and answers.
pub(crate) struct TestHarness {
    pub(crate) instance: Instance,
    pub(crate) now: u64,
    pub(crate) workers: BTreeMap<WorkerId, FakeWorker>,
    /// Peers that send a heartbeat every 500 ms.
    pub(crate) live_peers: Vec<Heartbeat>,
    pub(crate) worker_calls: Vec<WorkerCall>,
    pub(crate) peer_calls: Vec<PeerCall>,
    pub(crate) member_list_calls: Vec<CallId>,
    pub(crate) answers: Vec<(Token, PeerReply)>,
    /// Step and subject of each timeline event.
    pub(crate) records: Vec<(String, String)>,
    pub(crate) is_stopped: bool,
    next_token: u64,
}

pub(crate) const OWN_INSTANCE: &str = "entry-1";

impl TestHarness {
    /// Creates an instance in the zone Austin with `workers` in that zone and `peers`, given by
    /// name and zone, as seeds.
    pub(crate) fn new(workers: &[&str], peers: &[(&str, &str)]) -> Self {
        let seeds = peers.iter().map(|(peer, zone)| Seed {
            instance: InstanceId::from(*peer),
            zone: Zone::from(*zone),
            address: format!("{peer}:1"),
        });
        let known = workers.iter().map(|worker| WorkerSeed {
            worker: WorkerId::from(*worker),
            zone: Zone::from("Austin"),
            rack: Rack::from("r-1"),
            address: format!("{worker}:1"),
        });
        let config = InstanceConfig::builder(
            InstanceId::from(OWN_INSTANCE),
            Zone::from("Austin"),
            BootId(7),
        )
        .address("entry-1:1")
        .seeds(seeds.collect())
        .workers(known.collect())
        .build();
        let fakes = workers
            .iter()
            .map(|worker| (WorkerId::from(*worker), FakeWorker::default()));
        Self {
            instance: Instance::new(config),
            now: 0,
            workers: fakes.collect(),
            live_peers: Vec::new(),
            worker_calls: Vec::new(),
            peer_calls: Vec::new(),
            member_list_calls: Vec::new(),
            answers: Vec::new(),
            records: Vec::new(),
            is_stopped: false,
            next_token: 1,
        }
    }

    pub(crate) fn event(&mut self, event: Event) {
        let now = Timestamp::new(self.now, WALL_START_MS + self.now);
        for action in self.instance.on_event(now, event) {
            match action {
                Action::CallWorker {
                    call,
                    worker,
                    request,
                    timeout,
                    ..
                } => self.worker_calls.push(WorkerCall {
                    call,
                    worker,
                    request,
                    timeout,
                    sent: self.now,
                }),
                Action::CallPeer {
                    call,
                    instance: to,
                    request,
                    ..
                } => self.peer_calls.push(PeerCall { call, to, request }),
                Action::CallStore { call, request, .. } => {
                    if request == daisymast_protocol::store::StoreRequest::Members {
                        self.member_list_calls.push(call);
                    }
                }
                Action::AnswerPeer { token, reply } => self.answers.push((token, reply)),
                Action::Record(event) => self.records.push((event.step, event.subject)),
                Action::Stopped => self.is_stopped = true,
                Action::AnswerCaller { .. } | Action::AnswerOperator { .. } => {}
            }
        }
    }

    /// Runs ticks until `until` milliseconds. Live peers send heartbeats, calls to fake workers are
    /// answered where these answer by themselves, and heartbeats to peers fail.
    pub(crate) fn run_to(&mut self, until: u64) {
        while self.now < until {
            self.now += TICK_MS;
            if self.now.is_multiple_of(500) {
                for heartbeat in self.live_peers.clone() {
                    let from = heartbeat.instance.clone();
                    self.send_as_peer(from.as_str(), PeerRequest::Heartbeat(heartbeat));
                }
                self.answers
                    .retain(|(_, reply)| !matches!(reply, PeerReply::Heartbeat(_)));
            }
            self.event(Event::Tick);
            self.fail_heartbeats();
            self.answer_calls();
        }
    }

    pub(crate) fn run_for(&mut self, span: u64) {
        self.run_to(self.now + span);
    }

    /// Answers the open calls that the fake workers answer by themselves.
    pub(crate) fn answer_calls(&mut self) {
        let mut at = 0;
        while at < self.worker_calls.len() {
            let open = &self.worker_calls[at];
            let now = self.now;
            let worker = self.workers.get_mut(&open.worker);
            let reply = worker.and_then(|worker| worker.respond(now, &open.request));
            match reply {
                Some(reply) => {
                    let call = self.worker_calls.remove(at).call;
                    self.reply(call, Outcome::Done(reply));
                }
                None => at += 1,
            }
        }
    }

    fn fail_heartbeats(&mut self) {
        let calls = std::mem::take(&mut self.peer_calls);
        for open in calls {
            if matches!(open.request, PeerRequest::Heartbeat(_)) {
                self.reply_peer(open.call, Outcome::NoEffect(call_error()));
            } else {
                self.peer_calls.push(open);
            }
        }
    }

    pub(crate) fn reply(&mut self, call: CallId, outcome: Outcome<WorkerReply>) {
        self.event(Event::WorkerReply { call, outcome });
    }

    pub(crate) fn reply_peer(&mut self, call: CallId, outcome: Outcome<PeerReply>) {
        self.event(Event::PeerReply { call, outcome });
    }

    /// Sends a request as the peer `from` and returns the token of its answer.
    pub(crate) fn send_as_peer(&mut self, from: &str, request: PeerRequest) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        self.event(Event::Peer {
            token,
            from: InstanceId::from(from),
            request,
        });
        token
    }

    /// Sends a request as a peer and returns its answer, which must come immediately.
    pub(crate) fn call_as_peer(&mut self, request: PeerRequest) -> PeerReply {
        let token = self.send_as_peer("entry-2", request);
        self.take_answer(token).expect("an immediate answer")
    }

    /// Removes and returns the answer to a request. Panics if there is more than one.
    pub(crate) fn take_answer(&mut self, token: Token) -> Option<PeerReply> {
        let count = self.answers.iter().filter(|(of, _)| *of == token).count();
        assert!(count <= 1, "{count} answers to {token}");
        let at = self.answers.iter().position(|(of, _)| *of == token)?;
        Some(self.answers.remove(at).1)
    }

    /// Removes and returns the first open call to a worker that matches.
    pub(crate) fn take_call(
        &mut self,
        matches: impl Fn(&WorkerRequest) -> bool,
    ) -> Option<WorkerCall> {
        let at = self
            .worker_calls
            .iter()
            .position(|open| matches(&open.request))?;
        Some(self.worker_calls.remove(at))
    }

    pub(crate) fn take_start(&mut self) -> Option<WorkerCall> {
        self.take_call(|request| matches!(request, WorkerRequest::Start { .. }))
    }

    pub(crate) fn take_stop(&mut self) -> Option<TaskKey> {
        let open = self.take_call(|request| matches!(request, WorkerRequest::Stop { .. }))?;
        self.reply(open.call, Outcome::Done(WorkerReply::Ok));
        match open.request {
            WorkerRequest::Stop { task, .. } => Some(task),
            _ => None,
        }
    }

    pub(crate) fn take_peer_call(
        &mut self,
        matches: impl Fn(&PeerRequest) -> bool,
    ) -> Option<PeerCall> {
        let at = self
            .peer_calls
            .iter()
            .position(|open| matches(&open.request))?;
        Some(self.peer_calls.remove(at))
    }

    pub(crate) fn worker(&mut self, name: &str) -> &mut FakeWorker {
        self.workers.get_mut(name).expect("a known worker")
    }

    pub(crate) fn has_record(&self, step: &str) -> bool {
        self.records.iter().any(|(of, _)| of == step)
    }
}
