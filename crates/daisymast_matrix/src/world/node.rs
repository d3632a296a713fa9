//! Simulated processes of entry instances: running, paused or crashed.

use std::collections::BTreeMap;
use std::time::Instant;

use daisymast_engine::config::InstanceConfig;
use daisymast_engine::event::{Action, Event};
use daisymast_engine::instance::Instance;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, CallId, Generation, InstanceId, RequestId, Token};

use crate::fault::REPLACED_AFTER_MS;
use crate::meter;
use crate::network::{Body, CallRef, Message, Party};
use crate::trace::Seen;
use crate::world::{LATENCY_MS, ScheduledEvent, TICK_MS, World};

/// The simulated process of an entry instance, with its open calls and requests.
#[derive(Clone)]
pub struct InstanceProcess {
    pub(super) config: InstanceConfig,
    pub(super) instance: Option<Instance>,
    pub(super) boot: u64,
    pub(super) started: u64,
    pub(super) paused: bool,
    pub(super) buffered: Vec<Event>,
    pub(super) calls: FastMap<CallId, Party>,
    pub(super) callers: BTreeMap<Token, RequestId>,
    pub(super) peers: FastMap<Token, Message>,
    pub(super) generation: Generation,
    pub(super) drained: bool,
}

impl InstanceProcess {
    /// A process that starts at virtual time `started`, in milliseconds.
    pub(super) fn new(config: InstanceConfig, boot: u64, started: u64) -> Self {
        let mut config = config;
        config.boot = BootId(boot * 1_000 + 7);
        Self {
            instance: Some(Instance::new(config.clone())),
            config,
            boot,
            started,
            paused: false,
            buffered: Vec::new(),
            calls: FastMap::default(),
            callers: BTreeMap::new(),
            peers: FastMap::default(),
            generation: Generation::default(),
            drained: false,
        }
    }

    /// ID of the instance.
    pub fn id(&self) -> &InstanceId {
        &self.config.instance
    }

    /// The state machine of the instance, or `None` if the process does not run.
    pub fn instance(&self) -> Option<&Instance> {
        self.instance.as_ref()
    }

    /// Whether the process runs; a paused process counts as running.
    pub fn is_running(&self) -> bool {
        self.instance.is_some()
    }

    /// Generation of the manifest that is in force at the instance.
    pub fn generation(&self) -> Generation {
        self.generation
    }
}

impl World {
    /// Delivers an event to an instance, or buffers it while the process is paused.
    pub(super) fn deliver_event(&mut self, instance: &InstanceId, event: Event) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.paused {
            node.buffered.push(event);
            return;
        }
        let now = daisymast_types::time::Timestamp::new(
            self.now - node.started,
            super::WALL_START_MS + self.now,
        );
        let Some(running) = node.instance.as_mut() else {
            return;
        };
        let metered = self.meter.is_some().then(|| meter::event_name(&event));
        let before = Instant::now();
        let actions = running.on_event(now, event);
        if let (Some(meter), Some(name)) = (self.meter.as_mut(), metered) {
            meter.event(instance, name, before.elapsed());
        }
        let generation = running.generation();
        if generation != node.generation {
            node.generation = generation;
            let seen = Seen::InForce {
                instance: instance.clone(),
                generation,
            };
            self.trace.push(self.now, seen);
        }
        let boot = node.boot;
        for action in actions {
            self.perform(instance, boot, action);
        }
    }

    fn perform(&mut self, instance: &InstanceId, boot: u64, action: Action) {
        // A fault injected at an earlier action of the same event may have crashed the process.
        if self
            .nodes
            .get(instance)
            .is_none_or(|node| !node.is_running() || node.boot != boot)
        {
            return;
        }
        match action {
            Action::CallStore {
                call,
                request,
                timeout,
            } => {
                self.call(
                    instance,
                    call,
                    Party::Platform,
                    Body::Store(request),
                    timeout,
                );
            }
            Action::CallWorker {
                call,
                worker,
                request,
                timeout,
                ..
            } => {
                let to = Party::Worker(worker);
                self.call(instance, call, to, Body::Worker(request), timeout);
            }
            Action::CallPeer {
                call,
                instance: peer,
                request,
                timeout,
                ..
            } => {
                let to = Party::Instance(peer);
                self.call(instance, call, to, Body::Peer(request), timeout);
            }
            Action::AnswerPeer { token, reply } => {
                let node = self.nodes.get_mut(instance);
                if let Some(request) = node.and_then(|node| node.peers.remove(&token)) {
                    self.send_reply(request, Body::PeerReply(reply));
                }
            }
            Action::AnswerCaller { token, reply } => {
                let node = self.nodes.get_mut(instance);
                let Some(id) = node.and_then(|node| node.callers.remove(&token)) else {
                    return;
                };
                let name = format!("{reply:?}");
                let end = name.find([' ', '{']).unwrap_or(name.len());
                self.record_line(&format!("{instance} -> caller: {id} {}", &name[..end]));
                let seen = Seen::CallerAnswered {
                    instance: instance.clone(),
                    id,
                    reply,
                };
                self.trace.push(self.now, seen);
            }
            Action::AnswerOperator { token, reply } => {
                self.replies.insert((instance.clone(), token), reply);
            }
            Action::Record(event) => {
                if let Some(meter) = self.meter.as_mut() {
                    meter.record(instance);
                }
                self.record_line(&format!(
                    "{} {} {}",
                    event.source, event.step, event.subject
                ));
            }
            Action::Stopped => self.mark_drained(instance),
        }
    }

    fn call(
        &mut self,
        instance: &InstanceId,
        call: CallId,
        to: Party,
        body: Body,
        timeout: std::time::Duration,
    ) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        node.calls.insert(call, to.clone());
        let call = CallRef {
            instance: instance.clone(),
            boot: node.boot,
            call,
        };
        let timeout = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let deadline = self.now.saturating_add(timeout);
        self.schedule(deadline, ScheduledEvent::Deadline(call.clone(), to.clone()));
        let from = Party::Instance(instance.clone());
        self.transmit(Message {
            from,
            to,
            call,
            deadline,
            body,
        });
    }

    /// Sends the reply to a request back to the calling instance.
    pub(super) fn send_reply(&mut self, request: Message, body: Body) {
        let Message {
            from,
            to,
            call,
            deadline,
            ..
        } = request;
        self.transmit(Message {
            from: to,
            to: from,
            call,
            deadline,
            body,
        });
    }

    /// Ends a call at its deadline. Its outcome is unknown, unless a reply has arrived before.
    pub(super) fn expire_call(&mut self, call: &CallRef, to: &Party) {
        let error = CallError::new("wait for reply", &format!("{to:?}"), "deadline passed");
        self.complete_call(call, |party| match party {
            Party::Platform => Event::StoreReply {
                call: call.call,
                outcome: Outcome::Unknown(error),
            },
            Party::Worker(_) => Event::WorkerReply {
                call: call.call,
                outcome: Outcome::Unknown(error),
            },
            Party::Instance(_) => Event::PeerReply {
                call: call.call,
                outcome: Outcome::Unknown(error),
            },
        });
    }

    /// Ends a call whose connection was refused, and which therefore had no effect.
    pub(super) fn refuse_connection(&mut self, call: &CallRef) {
        let error = CallError::new("connect", "peer", "connection refused");
        self.complete_call(call, |party| match party {
            Party::Platform => Event::StoreReply {
                call: call.call,
                outcome: Outcome::NoEffect(error),
            },
            Party::Worker(_) => Event::WorkerReply {
                call: call.call,
                outcome: Outcome::NoEffect(error),
            },
            Party::Instance(_) => Event::PeerReply {
                call: call.call,
                outcome: Outcome::NoEffect(error),
            },
        });
    }

    /// Ends a call with the event returned by `event`, unless the call has ended already.
    pub(super) fn complete_call(&mut self, call: &CallRef, event: impl FnOnce(Party) -> Event) {
        let Some(node) = self.nodes.get_mut(&call.instance) else {
            return;
        };
        if node.boot != call.boot || !node.is_running() {
            return;
        }
        if let Some(party) = node.calls.remove(&call.call) {
            let event = event(party);
            self.deliver_event(&call.instance, event);
        }
    }

    pub(super) fn tick_instance(&mut self, instance: &InstanceId, boot: u64) {
        let Some(node) = self.nodes.get(instance) else {
            return;
        };
        if node.boot != boot || !node.is_running() {
            return;
        }
        if !node.paused {
            self.deliver_event(instance, Event::Tick);
        }
        self.schedule(
            self.now + TICK_MS,
            ScheduledEvent::TickInstance(instance.clone(), boot),
        );
    }

    /// Crashes a process, which closes the connections of its callers.
    pub(super) fn kill_instance(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.instance.take().is_none() {
            return;
        }
        let callers = std::mem::take(&mut node.callers);
        let peers = std::mem::take(&mut node.peers);
        node.calls.clear();
        node.buffered.clear();
        node.paused = false;
        for id in callers.into_values() {
            self.trace.push(
                self.now,
                Seen::CallerCutOff {
                    instance: instance.clone(),
                    id,
                },
            );
        }
        self.trace.push(
            self.now,
            Seen::InstanceRestarted {
                instance: instance.clone(),
            },
        );
        self.record_line(&format!("{instance} dies"));
        // The connections of open peer requests are closed, so their outcome is unknown without
        // waiting for the deadline.
        for request in peers.into_values() {
            let at = self.now + LATENCY_MS;
            self.schedule(at, ScheduledEvent::Deadline(request.call, request.to));
        }
        self.schedule(
            self.now + REPLACED_AFTER_MS,
            ScheduledEvent::Replace(instance.clone()),
        );
    }

    /// Crashes an instance. A new process replaces it after [`REPLACED_AFTER_MS`].
    pub fn crash(&mut self, instance: &InstanceId) {
        self.kill_instance(instance);
    }

    pub(super) fn replace(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.is_running() || node.drained {
            return;
        }
        let boot = node.boot + 1;
        *node = InstanceProcess::new(node.config.clone(), boot, self.now);
        self.schedule(
            self.now + 1,
            ScheduledEvent::TickInstance(instance.clone(), boot),
        );
    }

    pub(super) fn pause(&mut self, instance: &InstanceId, millis: u64) {
        if let Some(node) = self.nodes.get_mut(instance) {
            node.paused = true;
            self.record_line(&format!("{instance} is paused"));
            self.schedule(self.now + millis, ScheduledEvent::Resume(instance.clone()));
        }
    }

    pub(super) fn resume(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        node.paused = false;
        for event in std::mem::take(&mut node.buffered) {
            self.deliver_event(instance, event);
        }
    }

    fn mark_drained(&mut self, instance: &InstanceId) {
        let Some(node) = self.nodes.get_mut(instance) else {
            return;
        };
        if node.drained {
            return;
        }
        node.drained = true;
        node.instance = None;
        self.record_line(&format!("{instance} has drained"));
        self.trace.push(
            self.now,
            Seen::Drained {
                instance: instance.clone(),
            },
        );
    }
}
