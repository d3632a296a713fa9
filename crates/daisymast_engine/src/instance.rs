//! The state machine of an entry instance, which routes events to its components.

#[cfg(test)]
use std::sync::Arc;

#[cfg(test)]
use daisymast_manifest::manifest::Manifest;
use daisymast_membership::view::View;
use daisymast_protocol::operator::Status;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Heartbeat, PeerReply, PeerRequest};
use daisymast_protocol::store::StoreReply;
use daisymast_protocol::worker::WorkerReply;
use daisymast_types::collections::FastMap;
#[cfg(test)]
use daisymast_types::ids::WorkerId;
use daisymast_types::ids::{CallId, Generation, InstanceId, Token};
use daisymast_types::time::Timestamp;

use crate::config::InstanceConfig;
use crate::configuration::Configuration;
use crate::control::Control;
use crate::event::{Action, Event};
use crate::heartbeat::Heartbeats;
use crate::operator;
use crate::outbox::{Outbox, PendingCall};
use crate::partitions::LedgerPartitions;
use crate::requests::Requests;
use crate::runs::Runs;
use crate::services::Services;
use crate::shared::{Context, KnownWorker, Shared};

/// Builds the [`Context`] that is passed to every component.
macro_rules! context {
    ($self:ident, $now:expr) => {
        Context {
            now: $now,
            config: &$self.config,
            shared: &mut $self.shared,
            outbox: &mut $self.outbox,
        }
    };
}

/// One entry instance. The daemon and the fault matrix run the same type.
#[derive(Clone, Debug)]
pub struct Instance {
    config: InstanceConfig,
    shared: Shared,
    outbox: Outbox,
    heartbeats: Heartbeats,
    configuration: Configuration,
    control: Control,
    services: Services,
    partitions: LedgerPartitions,
    runs: Runs,
    requests: Requests,
}

impl Instance {
    /// Creates an instance that knows only its configuration and has no manifest yet.
    pub fn new(config: InstanceConfig) -> Self {
        let own = Heartbeat {
            instance: config.instance.clone(),
            boot: config.boot,
            zone: config.zone.clone(),
            address: config.address.clone(),
            generation: Generation(0),
            draining: false,
            weight: config.weight,
            partitions: Vec::new(),
            workers: Vec::new(),
        };
        let instances = config
            .seeds
            .iter()
            .map(|seed| {
                (
                    seed.instance.clone(),
                    (seed.zone.clone(), seed.address.clone()),
                )
            })
            .collect();
        let workers = config
            .workers
            .iter()
            .map(|seed| {
                let known = KnownWorker {
                    zone: seed.zone.clone(),
                    rack: seed.rack.clone(),
                    address: seed.address.clone(),
                    leaving: false,
                };
                (seed.worker.clone(), known)
            })
            .collect::<FastMap<_, _>>();
        Self {
            shared: Shared {
                view: View::new(own),
                instances,
                workers,
                generation: Generation(0),
                manifest: None,
                draining: false,
            },
            outbox: Outbox::new(config.instance.clone(), config.boot),
            heartbeats: Heartbeats::default(),
            configuration: Configuration::default(),
            control: Control::default(),
            services: Services::default(),
            partitions: LedgerPartitions::new(&config),
            runs: Runs::default(),
            requests: Requests::default(),
            config,
        }
    }

    /// Handles one event and returns the resulting actions in order.
    ///
    /// ```
    /// use daisymast_engine::{config, event, instance};
    /// use daisymast_types::{ids, time};
    /// let config = config::InstanceConfig::builder(
    ///     ids::InstanceId::from("entry-1"),
    ///     ids::Zone::from("Austin"),
    ///     ids::BootId(7),
    /// )
    /// .build();
    /// let mut instance = instance::Instance::new(config);
    /// let now = time::Timestamp::new(0, 1_780_000_000_000);
    /// for action in instance.on_event(now, event::Event::Tick) {
    ///     println!("{action:?}");
    /// }
    /// ```
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.outbox.begin_event(now);
        let is_tick = matches!(event, Event::Tick);
        self.dispatch(now, event);
        self.drain_local(now);
        if is_tick {
            // Starts, including those among the local events, are sent before the stops of
            // undeclared tasks, so that a burst of stops delays no start.
            let mut cx = context!(self, now);
            self.control.on_tick_end(&mut cx);
            self.drain_local(now);
        }
        self.outbox.take_actions()
    }

    /// Whether the instance accepts new requests: it has a manifest and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.shared.draining && self.shared.manifest.is_some()
    }

    /// Status that is reported to operators.
    pub fn status(&self, now: Timestamp) -> Status {
        operator::status(&self.shared, now, &self.control, &self.runs)
    }

    /// Generation of the manifest in force at this instance, or 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.shared.generation
    }

    /// Records a heartbeat as if it had been received from its sender.
    #[cfg(test)]
    pub(crate) fn record_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        self.shared.view.record(now.mono, heartbeat);
    }

    fn dispatch(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Tick => self.tick(now),
            Event::Drain => self.shared.draining = true,
            Event::Caller { token, request } => {
                let mut cx = context!(self, now);
                self.requests.on_caller(&mut cx, token, request);
            }
            Event::CallerStatus { token, id } => {
                let mut cx = context!(self, now);
                self.requests.on_status(&mut cx, token, id);
            }
            Event::Operator { token, request } => {
                let status = self.status(now);
                let mut cx = context!(self, now);
                self.configuration
                    .on_operator(&mut cx, token, request, status);
            }
            Event::Peer {
                token,
                from,
                request,
            } => self.peer(now, token, &from, request),
            Event::StoreReply { call, outcome } => self.store_reply(now, call, outcome),
            Event::WorkerReply { call, outcome } => self.worker_reply(now, call, outcome),
            Event::PeerReply { call, outcome } => self.peer_reply(now, call, outcome),
        }
    }

    /// Puts a manifest in force, bypassing the store.
    #[cfg(test)]
    pub(crate) fn set_manifest(&mut self, generation: Generation, manifest: Manifest) {
        self.shared.generation = generation;
        self.shared.manifest = Some(Arc::new(manifest));
    }

    /// Sets the rack of a known worker.
    #[cfg(test)]
    pub(crate) fn set_rack(&mut self, worker: &WorkerId, rack: &str) {
        if let Some(known) = self.shared.workers.get_mut(worker) {
            known.rack = rack.into();
        }
    }

    /// All known workers, sorted.
    #[cfg(test)]
    pub(crate) fn known_workers(&self) -> Vec<WorkerId> {
        let mut known: Vec<WorkerId> = self.shared.workers.keys().cloned().collect();
        known.sort_unstable();
        known
    }

    /// Workers on which the instance may act at `now`, sorted.
    #[cfg(test)]
    pub(crate) fn held(&self, now: Timestamp) -> Vec<WorkerId> {
        self.control.held(now)
    }

    /// Whether the platform's member list marks a worker as leaving.
    #[cfg(test)]
    pub(crate) fn is_listed_leaving(&self, worker: &WorkerId) -> bool {
        let known = self.shared.workers.get(worker);
        known.is_some_and(|known| known.leaving)
    }

    fn drain_local(&mut self, now: Timestamp) {
        while let Some(local) = self.outbox.next_local() {
            self.dispatch(now, local);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.outbox.expire_local();
        let mut cx = context!(self, now);
        self.heartbeats.on_tick(&mut cx);
        self.configuration.on_tick(&mut cx);
        self.partitions.on_tick(&mut cx);
        self.requests.on_tick(&mut cx);
        self.runs.on_tick(&mut cx, &mut self.partitions);
        self.services.on_tick(&mut cx);
        self.control.on_tick(&mut cx);
        let own = self.shared.view.own_mut();
        own.generation = self.shared.generation;
        own.draining = self.shared.draining;
        own.partitions = self.partitions.owned();
        own.workers = self.control.held(now);
        let is_idle =
            self.requests.is_idle() && self.configuration.is_idle() && self.partitions.is_idle();
        let is_done = self.control.is_released() && self.heartbeats.is_drain_announced(now.mono);
        if self.shared.draining && is_idle && is_done {
            self.outbox.emit(Action::Stopped);
        }
    }

    fn peer(&mut self, now: Timestamp, token: Token, from: &InstanceId, request: PeerRequest) {
        let mut cx = context!(self, now);
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                self.heartbeats.on_heartbeat(&mut cx, token, heartbeat);
            }
            PeerRequest::FetchManifest { above } => {
                self.configuration.on_fetch_manifest(&mut cx, token, above);
            }
            PeerRequest::Claim { .. }
            | PeerRequest::Settle { .. }
            | PeerRequest::ClaimStatus { .. } => self.partitions.on_peer(&mut cx, token, request),
            PeerRequest::Forward { request, claimed } => {
                self.requests.on_forward(&mut cx, token, request, claimed);
            }
            PeerRequest::Endpoints { .. }
            | PeerRequest::Serve { .. }
            | PeerRequest::Reclaim { .. }
            | PeerRequest::Resolve { .. }
            | PeerRequest::Start { .. }
            | PeerRequest::Capacity
            | PeerRequest::Replicas { .. }
            | PeerRequest::PollRuns { .. }
            | PeerRequest::Stop { .. }
            | PeerRequest::ResolveTask { .. }
            | PeerRequest::Reserve { .. }
            | PeerRequest::Unreserve { .. }
            | PeerRequest::HandOver { .. } => {
                self.control.on_peer(&mut cx, token, from, request);
            }
        }
    }

    fn store_reply(&mut self, now: Timestamp, call: CallId, outcome: Outcome<StoreReply>) {
        let Some(pending) = self.outbox.take_pending_call(call) else {
            return;
        };
        let mut cx = context!(self, now);
        match pending {
            PendingCall::Heartbeat(call) => self.heartbeats.on_store(&mut cx, call, outcome),
            PendingCall::Configuration(call) => self.configuration.on_store(&mut cx, call, outcome),
            PendingCall::Partitions(call) => self.partitions.on_store(&mut cx, call, outcome),
            PendingCall::Control(_)
            | PendingCall::Services(_)
            | PendingCall::Runs(_)
            | PendingCall::Requests(_) => {}
        }
    }

    fn worker_reply(&mut self, now: Timestamp, call: CallId, outcome: Outcome<WorkerReply>) {
        let Some(pending) = self.outbox.take_pending_call(call) else {
            return;
        };
        let mut cx = context!(self, now);
        match pending {
            PendingCall::Control(call) => self.control.on_worker(&mut cx, call, outcome),
            PendingCall::Heartbeat(_)
            | PendingCall::Configuration(_)
            | PendingCall::Services(_)
            | PendingCall::Partitions(_)
            | PendingCall::Runs(_)
            | PendingCall::Requests(_) => {}
        }
    }

    fn peer_reply(&mut self, now: Timestamp, call: CallId, outcome: Outcome<PeerReply>) {
        let Some(pending) = self.outbox.take_pending_call(call) else {
            return;
        };
        let mut cx = context!(self, now);
        match pending {
            PendingCall::Heartbeat(call) => self.heartbeats.on_peer_reply(&mut cx, call, outcome),
            PendingCall::Configuration(call) => {
                self.configuration.on_peer_reply(&mut cx, call, outcome);
            }
            PendingCall::Control(call) => self.control.on_peer_reply(&mut cx, call, outcome),
            PendingCall::Services(call) => self.services.on_peer_reply(&mut cx, call, outcome),
            PendingCall::Partitions(call) => self.partitions.on_peer_reply(&mut cx, call, outcome),
            PendingCall::Runs(call) => {
                self.runs
                    .on_peer_reply(&mut cx, call, outcome, &mut self.partitions);
            }
            PendingCall::Requests(call) => self.requests.on_peer_reply(&mut cx, call, outcome),
        }
    }
}
