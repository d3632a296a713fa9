//! Drives the claims and runs components of one instance on a virtual clock.

use std::sync::Arc;

use daisymast_manifest::manifest::{Batch, GangJob, Manifest};
use daisymast_membership::view::View;
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::peer::{Heartbeat, PeerReply};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{
    BootId, Generation, InstanceId, JobName, Rack, Release, Team, WorkerId, Zone,
};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Timestamp;

use crate::config::InstanceConfig;
use crate::event::{Action, Event};
use crate::outbox::{Outbox, PendingCall};
use crate::partitions::LedgerPartitions;
use crate::partitions::tests::Store;
use crate::runs::Runs;
use crate::runs::tests::holder::Holder;
use crate::shared::{Context, KnownWorker, Shared};

/// A multiple of the period of [`batch`], so that a run is due at the start of each test.
pub(crate) const WALL: u64 = 1_780_002_000_000;
pub(crate) const SIZE: Resources = Resources::new(1_000, 1_024, 0);

/// The claims and runs of one instance.
pub(crate) struct TestInstance {
    config: InstanceConfig,
    pub(crate) shared: Shared,
    outbox: Outbox,
    pub(crate) partitions: LedgerPartitions,
    pub(crate) runs: Runs,
    pub(crate) now: Timestamp,
    pub(crate) recorded: Vec<(String, String)>,
}

fn heartbeat(name: &str, workers: Vec<WorkerId>) -> Heartbeat {
    Heartbeat {
        instance: InstanceId::from(name),
        boot: BootId(1),
        zone: Zone::from("Waco"),
        address: "127.0.0.1:1".to_owned(),
        generation: Generation(1),
        // The holder takes no partitions in these tests.
        draining: name == "holder",
        weight: 1,
        partitions: Vec::new(),
        workers,
    }
}

impl TestInstance {
    pub(crate) fn new(name: &str, boot: u64, holder: &Holder, manifest: Manifest) -> Self {
        Self::with_silent_peers(name, boot, holder, manifest, &[])
    }

    /// An instance that knows of peers from which it receives no heartbeats.
    pub(crate) fn with_silent_peers(
        name: &str,
        boot: u64,
        holder: &Holder,
        manifest: Manifest,
        silent_peers: &[&str],
    ) -> Self {
        let id = InstanceId::from(name);
        let zone = Zone::from("Waco");
        let config = InstanceConfig::builder(id.clone(), zone.clone(), BootId(boot)).build();
        let known = |worker: &WorkerId| {
            let known = KnownWorker {
                zone: zone.clone(),
                rack: Rack::from("r-1"),
                address: String::new(),
                leaving: false,
            };
            (worker.clone(), known)
        };
        let address = (zone.clone(), "127.0.0.1:2".to_owned());
        let mut instances = FastMap::default();
        instances.insert(InstanceId::from("holder"), address);
        instances.extend(silent_peers.iter().map(|peer| {
            let address = (zone.clone(), "127.0.0.1:3".to_owned());
            (InstanceId::from(*peer), address)
        }));
        Self {
            shared: Shared {
                view: View::new(heartbeat(name, Vec::new())),
                instances,
                workers: holder.workers.keys().map(known).collect(),
                generation: Generation(1),
                manifest: Some(Arc::new(manifest)),
                draining: false,
            },
            outbox: Outbox::new(id, BootId(boot)),
            partitions: LedgerPartitions::new(&config),
            runs: Runs::default(),
            config,
            now: Timestamp::new(0, WALL),
            recorded: Vec::new(),
        }
    }

    pub(crate) fn set_manifest(&mut self, manifest: Manifest) {
        self.shared.generation = self.shared.generation.next();
        self.shared.manifest = Some(Arc::new(manifest));
    }

    /// Advances the clock to `until_ms` in ticks of 50 ms.
    pub(crate) fn run(&mut self, store: &mut Store, holder: &mut Holder, until_ms: u64) {
        while self.now.mono.as_millis() < until_ms {
            let next = self.now.mono.as_millis() + 50;
            self.now = Timestamp::new(next, WALL + next);
            holder.tick(self.now);
            let received = heartbeat("holder", holder.held());
            self.shared.view.record(self.now.mono, received);
            self.outbox.begin_event(self.now);
            self.outbox.expire_local();
            self.with_context(|partitions, _, cx| partitions.on_tick(cx));
            self.with_context(|partitions, runs, cx| runs.on_tick(cx, partitions));
            self.drain_effects(store, holder);
        }
    }

    /// Advances the clock without a tick, as for a paused process.
    pub(crate) fn pause(&mut self, until_ms: u64) {
        self.now = Timestamp::new(until_ms, WALL + until_ms);
    }

    fn with_context(
        &mut self,
        act: impl FnOnce(&mut LedgerPartitions, &mut Runs, &mut Context<'_>),
    ) {
        let mut cx = Context {
            now: self.now,
            config: &self.config,
            shared: &mut self.shared,
            outbox: &mut self.outbox,
        };
        act(&mut self.partitions, &mut self.runs, &mut cx);
    }

    /// Performs all actions and local calls until none is left.
    fn drain_effects(&mut self, store: &mut Store, holder: &mut Holder) {
        loop {
            let mut idle = true;
            while let Some(event) = self.outbox.next_local() {
                idle = false;
                match event {
                    Event::PeerReply { call, outcome } => self.reply(call, outcome),
                    // The instance itself holds no workers.
                    Event::Peer { token, .. } => {
                        self.outbox
                            .answer_peer(token, PeerReply::Capacity(Vec::new()));
                    }
                    other => panic!("unexpected {other:?}"),
                }
            }
            for action in self.outbox.take_actions() {
                idle = false;
                self.perform(store, holder, action);
            }
            if idle {
                return;
            }
        }
    }

    fn perform(&mut self, store: &mut Store, holder: &mut Holder, action: Action) {
        match action {
            Action::CallStore { call, request, .. } => {
                let outcome = store.call(&request);
                let Some(PendingCall::Partitions(step)) = self.outbox.take_pending_call(call)
                else {
                    panic!("step of the call is missing");
                };
                self.with_context(|partitions, _, cx| partitions.on_store(cx, step, outcome));
            }
            Action::CallPeer { call, request, .. } => {
                let outcome = holder.call(self.now, request);
                self.reply(call, outcome);
            }
            Action::Record(event) => self.recorded.push((event.step, event.detail)),
            other => panic!("unexpected {other:?}"),
        }
    }

    fn reply(&mut self, call: daisymast_types::ids::CallId, outcome: Outcome<PeerReply>) {
        let Some(PendingCall::Runs(step)) = self.outbox.take_pending_call(call) else {
            panic!("step of the call is missing");
        };
        self.with_context(|partitions, runs, cx| runs.on_peer_reply(cx, step, outcome, partitions));
    }

    /// All tasks with their phases, for assertion messages.
    pub(crate) fn describe(&self) -> String {
        let runs = self.runs.runs.values().map(|run| {
            let tasks: Vec<_> = run.tasks().collect();
            format!(
                "{} {tasks:?} gang {:?}",
                run.opened.job,
                self.runs.gangs.get(&run.opened.run)
            )
        });
        runs.collect::<Vec<_>>().join("\n")
    }

    /// Number of timeline events of a kind.
    pub(crate) fn event_count(&self, kind: &str) -> usize {
        self.recorded
            .iter()
            .filter(|(recorded, _)| recorded == kind)
            .count()
    }
}

pub(crate) fn manifest(batches: Vec<Batch>, gang_jobs: Vec<GangJob>) -> Manifest {
    Manifest {
        release: Release::from("r1"),
        teams: Vec::new(),
        services: Vec::new(),
        batches,
        gang_jobs,
    }
}

/// A batch that is due once in 2,000 s, at the start of each test.
pub(crate) fn batch(name: &str, tasks: u32) -> Batch {
    Batch {
        name: JobName::from(name),
        team: Team::from("crews"),
        urgency: Urgency::Normal,
        every_s: 2_000,
        offset_s: 0,
        tasks,
        size: SIZE,
        exclusive: true,
        run_s: 60,
        deadline_s: 1_900,
    }
}

pub(crate) fn gang(name: &str, tasks: u32) -> GangJob {
    GangJob {
        name: JobName::from(name),
        team: Team::from("crews"),
        urgency: Urgency::Normal,
        tasks,
        size: SIZE,
        exclusive: true,
        run_s: 60,
        revision: 0,
    }
}
