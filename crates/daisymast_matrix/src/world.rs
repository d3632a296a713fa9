//! Simulation of several instances, workers and a platform on one virtual clock.
//!
//! The world runs the same [`Instance`] struct as the daemon and performs its actions. Every
//! message between parties passes through [`World::transmit`], which injects the planned faults.

mod build;
mod delivery;
mod faults;
mod node;
mod workers;

use std::collections::BTreeMap;

use daisymast_engine::event::Event;
use daisymast_platform::model::{PlatformModel, WatchId};
use daisymast_protocol::caller::CallerRequest;
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::store::StoreReply;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{Generation, InstanceId, JobName, RequestId, Token, WorkerId};

use crate::fault::PlannedFault;
use crate::meter::Meter;
use crate::network::{Body, CallRef, CutLinks, Message, Party};
use crate::trace::{Seen, Trace};

pub use build::Layout;
pub use node::InstanceProcess;
pub use workers::WorkerProcess;

/// Wall-clock time at virtual time zero: 2026-12-04 00:00 UTC, in milliseconds.
pub const WALL_START_MS: u64 = 1_796_342_400_000;
/// Interval between two ticks of an instance or worker, in milliseconds.
const TICK_MS: u64 = 50;
/// Latency of a message, in milliseconds: the larger of the two latencies given by the users.
const LATENCY_MS: u64 = 1;

/// An event of the simulation, queued for a point in virtual time.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    TickInstance(InstanceId, u64),
    TickWorkers,
    Arrive(Message),
    DelayedStoreReply(Message, StoreReply),
    Deadline(CallRef, Party),
    Resume(InstanceId),
    ResumeWorker(WorkerId),
    Replace(InstanceId),
    ReplaceWorker(WorkerId),
    EndOutages,
}

/// A line of a golden file: a message or a change of state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Virtual time in milliseconds, counted from the start of the session.
    pub at: u64,
    /// Text of the line, without the time.
    pub text: String,
}

/// The simulated system, its faults and what was observed of it.
#[derive(Clone)]
pub struct World {
    now: u64,
    sequence: u64,
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    nodes: BTreeMap<InstanceId, InstanceProcess>,
    workers: BTreeMap<WorkerId, WorkerProcess>,
    platform: PlatformModel,
    /// Requests to the store whose reply is deferred, by the ID of their watch.
    waiting: FastMap<WatchId, Message>,
    cut_links: CutLinks,
    planned_faults: Vec<PlannedFault>,
    /// Number of steps and start time of the session; `None` until recording starts.
    session: Option<(usize, u64)>,
    periodic: bool,
    faults_injected: usize,
    replies: FastMap<(InstanceId, Token), OperatorReply>,
    next_token: u64,
    meter: Option<Box<Meter>>,
    /// Observations so far.
    pub trace: Trace,
    /// Messages and changes of state of the recorded session, as printed in golden files.
    pub lines: Vec<Line>,
    /// Messages of the recorded session, one per step.
    pub sent: Vec<Message>,
}

impl World {
    /// Current virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Number of steps of the recorded session so far.
    pub fn steps(&self) -> usize {
        self.session.map_or(0, |(steps, _)| steps)
    }

    /// Number of planned faults that have been injected.
    pub fn faults_injected(&self) -> usize {
        self.faults_injected
    }

    /// Starts to count steps and plans faults. Periodic messages count as steps only if `periodic`
    /// is set.
    pub fn start_recording(&mut self, planned_faults: Vec<PlannedFault>, periodic: bool) {
        self.session = Some((0, self.now));
        self.planned_faults = planned_faults;
        self.periodic = periodic;
    }

    /// Discards planned faults that have not been injected, and stops counting periodic messages as
    /// steps.
    pub fn stop_recording(&mut self) {
        self.planned_faults.clear();
        self.periodic = false;
    }

    /// Starts to measure messages and processing time, from zero.
    pub fn start_meter(&mut self) {
        self.meter = Some(Box::default());
    }

    /// Stops the measurement and returns its counters, or `None` if none was started.
    pub fn take_meter(&mut self) -> Option<Meter> {
        self.meter.take().map(|meter| *meter)
    }

    /// The simulated platform.
    pub fn platform(&self) -> &PlatformModel {
        &self.platform
    }

    /// Runs the simulation for `millis` milliseconds of virtual time.
    pub fn run_for(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((&(at, sequence), _)) = self.event_queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.event_queue.remove(&(at, sequence)) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Sends a caller's request to an instance. If it does not run, the request goes to the next
    /// running one, as with a load balancer.
    pub fn ask(&mut self, instance: &InstanceId, request: CallerRequest) {
        let Some(instance) = self.first_running_from(instance) else {
            return;
        };
        let token = self.token();
        self.trace.push(
            self.now,
            Seen::CallerAsked {
                instance: instance.clone(),
                id: request.id.clone(),
                service: request.service.clone(),
                idempotent: request.idempotent,
                body: request.body.clone(),
            },
        );
        self.record_line(&format!("caller -> {instance}: request {}", request.id));
        if let Some(node) = self.nodes.get_mut(&instance) {
            node.callers.insert(token, request.id.clone());
        }
        self.deliver_event(&instance, Event::Caller { token, request });
    }

    /// Sends an operator's request to an instance. The reply is available from
    /// [`World::operator_reply`].
    pub fn operate(&mut self, instance: &InstanceId, request: OperatorRequest) -> Token {
        let token = self.token();
        self.record_line(&format!("operator -> {instance}"));
        self.deliver_event(instance, Event::Operator { token, request });
        token
    }

    /// The reply to an operator's request, or `None` if it has not arrived.
    pub fn operator_reply(&self, instance: &InstanceId, token: Token) -> Option<&OperatorReply> {
        self.replies.get(&(instance.clone(), token))
    }

    /// Adds to the trace that a manifest was accepted, with the names of its jobs.
    pub fn accepted(&mut self, generation: Generation, declared: Vec<JobName>) {
        self.trace.push(
            self.now,
            Seen::Accepted {
                generation,
                declared,
            },
        );
    }

    /// Tells an instance to finish its requests and stop.
    pub fn drain(&mut self, instance: &InstanceId) {
        self.trace.push(
            self.now,
            Seen::Draining {
                instance: instance.clone(),
            },
        );
        self.record_line(&format!("{instance} drains"));
        self.deliver_event(instance, Event::Drain);
    }

    /// IDs of all instances, including those that do not run.
    pub fn instances(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// The process of an instance, or `None` if the ID is unknown.
    pub fn node(&self, instance: &InstanceId) -> Option<&InstanceProcess> {
        self.nodes.get(instance)
    }

    /// IDs of all workers, including those that do not run.
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// The process of a worker, or `None` if the ID is unknown.
    pub fn worker(&self, worker: &WorkerId) -> Option<&WorkerProcess> {
        self.workers.get(worker)
    }

    fn first_running_from(&self, instance: &InstanceId) -> Option<InstanceId> {
        let is_running = |node: &&InstanceProcess| node.is_running();
        let later = self.nodes.range(instance.clone()..).map(|(_, node)| node);
        later
            .chain(self.nodes.values())
            .find(is_running)
            .map(|node| node.id().clone())
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.event_queue
            .insert((at.max(self.now), self.sequence), event);
    }

    fn record_line(&mut self, text: &str) {
        if let Some((_, start)) = self.session {
            let at = self.now - start;
            self.lines.push(Line {
                at,
                text: text.to_owned(),
            });
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TickInstance(instance, boot) => self.tick_instance(&instance, boot),
            ScheduledEvent::TickWorkers => self.tick_workers(),
            ScheduledEvent::Arrive(message) => self.arrive(message),
            ScheduledEvent::DelayedStoreReply(request, reply) => {
                self.send_reply(request, Body::StoreReply(reply));
            }
            ScheduledEvent::Deadline(call, to) => self.expire_call(&call, &to),
            ScheduledEvent::Resume(instance) => self.resume(&instance),
            ScheduledEvent::ResumeWorker(worker) => self.resume_worker(&worker),
            ScheduledEvent::Replace(instance) => self.replace(&instance),
            ScheduledEvent::ReplaceWorker(worker) => self.replace_worker(&worker),
            ScheduledEvent::EndOutages => self.end_outages(),
        }
    }

    /// Callers' requests that have not been answered yet, with the instance that received them.
    pub fn unanswered(&self) -> Vec<(InstanceId, RequestId)> {
        self.nodes
            .values()
            .flat_map(|node| {
                node.callers
                    .values()
                    .map(|id| (node.id().clone(), id.clone()))
            })
            .collect()
    }
}
