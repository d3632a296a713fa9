//! Collects the actions that result from an event and routes replies to the calling component.

use std::collections::VecDeque;
use std::time::Duration;

use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::StoreRequest;
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_protocol::worker::WorkerRequest;
use daisymast_types::collections::FastMap;
use daisymast_types::hashing;
use daisymast_types::ids::{BootId, CallId, InstanceId, Nonce, Token, WorkerId};
use daisymast_types::time::{Monotonic, Timestamp};

use crate::event::{Action, Event};
use crate::shared::Shared;
use crate::{configuration, control, heartbeat, partitions, requests, runs, services};

/// Bit that is set in tokens of exchanges between components of the same instance.
const LOCAL_TOKEN_BIT: u64 = 1 << 63;

/// Context of an open call: the component that made it and how that component handles the reply.
#[derive(Clone, Debug)]
pub(crate) enum PendingCall {
    Heartbeat(heartbeat::PendingCall),
    Configuration(configuration::PendingCall),
    Control(control::PendingCall),
    Services(services::PendingCall),
    Partitions(partitions::PendingCall),
    Runs(runs::PendingCall),
    Requests(requests::PendingCall),
}

/// Actions of the current event, open calls, and messages between local components.
#[derive(Clone, Debug)]
pub struct Outbox {
    instance: InstanceId,
    boot: BootId,
    now: Timestamp,
    counter: u64,
    actions: Vec<Action>,
    pending_calls: FastMap<CallId, PendingCall>,
    local_queue: VecDeque<Event>,
    local_calls: FastMap<Token, (CallId, Monotonic)>,
}

impl Outbox {
    pub(crate) fn new(instance: InstanceId, boot: BootId) -> Self {
        Self {
            instance,
            boot,
            now: Timestamp::default(),
            counter: 0,
            actions: Vec::new(),
            pending_calls: FastMap::default(),
            local_queue: VecDeque::new(),
            local_calls: FastMap::default(),
        }
    }

    pub(crate) fn begin_event(&mut self, now: Timestamp) {
        self.now = now;
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn next_local(&mut self) -> Option<Event> {
        self.local_queue.pop_front()
    }

    /// Removes and returns an open call. A second reply to the same call finds none and is dropped.
    pub(crate) fn take_pending_call(&mut self, call: CallId) -> Option<PendingCall> {
        self.pending_calls.remove(&call)
    }

    /// Returns a number that differs for each call and each start of the process.
    pub(crate) fn nonce(&mut self) -> Nonce {
        let count = self.next_count();
        Nonce(hashing::stable_hash_pair(
            &self.boot.0.to_le_bytes(),
            &count.to_le_bytes(),
        ))
    }

    /// Returns a pseudo-random duration in `0..limit`, which spreads the retries of several
    /// instances.
    pub(crate) fn jitter(&mut self, limit: Duration) -> Duration {
        let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX).max(1);
        Duration::from_millis(self.nonce().0 % limit_ms)
    }

    /// Calls the store.
    pub(crate) fn call_store(
        &mut self,
        pending: PendingCall,
        request: StoreRequest,
        timeout: Duration,
    ) {
        let call = self.register_call(pending);
        self.actions.push(Action::CallStore {
            call,
            request,
            timeout,
        });
    }

    /// Calls a worker at its known address. A call to an unknown worker fails without effect.
    pub(crate) fn call_worker(
        &mut self,
        shared: &Shared,
        pending: PendingCall,
        worker: &WorkerId,
        request: WorkerRequest,
        timeout: Duration,
    ) {
        let call = self.register_call(pending);
        let Some(known) = shared.workers.get(worker) else {
            let error = CallError::new("find address", worker.as_str(), "worker is not known");
            let outcome = Outcome::NoEffect(error);
            self.local_queue
                .push_back(Event::WorkerReply { call, outcome });
            return;
        };
        let (worker, address) = (worker.clone(), known.address.clone());
        self.actions.push(Action::CallWorker {
            call,
            worker,
            address,
            request,
            timeout,
        });
    }

    /// Calls an instance at its known address. A call to this instance itself is queued locally,
    /// and one to an unknown instance fails without effect.
    pub(crate) fn call_peer(
        &mut self,
        shared: &Shared,
        pending: PendingCall,
        instance: &InstanceId,
        request: PeerRequest,
        timeout: Duration,
    ) {
        let call = self.register_call(pending);
        if *instance == self.instance {
            let token = Token(LOCAL_TOKEN_BIT | self.next_count());
            self.local_calls
                .insert(token, (call, self.now.mono + timeout));
            let from = self.instance.clone();
            self.local_queue.push_back(Event::Peer {
                token,
                from,
                request,
            });
            return;
        }
        let Some((_, address)) = shared.instances.get(instance) else {
            let error = CallError::new("find address", instance.as_str(), "instance is not known");
            let outcome = Outcome::NoEffect(error);
            self.local_queue
                .push_back(Event::PeerReply { call, outcome });
            return;
        };
        let (instance, address) = (instance.clone(), address.clone());
        self.actions.push(Action::CallPeer {
            call,
            instance,
            address,
            request,
            timeout,
        });
    }

    /// Answers a request from a peer or from a component of this instance.
    pub(crate) fn answer_peer(&mut self, token: Token, reply: PeerReply) {
        if token.0 < LOCAL_TOKEN_BIT {
            self.actions.push(Action::AnswerPeer { token, reply });
        } else if let Some((call, _)) = self.local_calls.remove(&token) {
            let outcome = Outcome::Done(reply);
            self.local_queue
                .push_back(Event::PeerReply { call, outcome });
        }
    }

    /// Fails local calls whose deadline has passed, as the driver does for remote calls.
    pub(crate) fn expire_local(&mut self) {
        let now = self.now.mono;
        let mut expired: Vec<Token> = self
            .local_calls
            .iter()
            .filter(|(_, (_, deadline))| *deadline <= now)
            .map(|(token, _)| *token)
            .collect();
        expired.sort_unstable();
        for token in expired {
            if let Some((call, _)) = self.local_calls.remove(&token) {
                let peer = self.instance.as_str();
                let error = CallError::new("call own instance", peer, "deadline passed");
                let outcome = Outcome::Unknown(error);
                self.local_queue
                    .push_back(Event::PeerReply { call, outcome });
            }
        }
    }

    /// Adds an action that has no reply.
    pub(crate) fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Records an event on the timeline.
    pub(crate) fn record(&mut self, step: &str, subject: &str, detail: String) {
        self.actions.push(Action::Record(TimelineEvent {
            at: self.now.wall,
            source: self.instance.as_str().to_owned(),
            step: step.to_owned(),
            subject: subject.to_owned(),
            detail,
        }));
    }

    fn register_call(&mut self, pending: PendingCall) -> CallId {
        let call = CallId(self.next_count());
        self.pending_calls.insert(call, pending);
        call
    }

    fn next_count(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }
}
