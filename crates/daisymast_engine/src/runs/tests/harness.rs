//! An instance's claims and runs, and the instance that holds all workers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use daisymast_manifest::manifest::{Batch, GangJob, Manifest};
use daisymast_membership::view::View;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{Heartbeat, PeerReply, PeerRequest, WorkerCapacity};
use daisymast_protocol::task::{TaskReport, TaskSpec, TaskState};
use daisymast_protocol::worker::{Fate, Refusal};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{
    BootId, Generation, InstanceId, JobName, Rack, Release, RunKey, TaskKey, Team, WorkerId, Zone,
};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Timestamp;

use crate::claims::Claims;
use crate::claims::tests::Store;
use crate::config::InstanceConfig;
use crate::effects::{Effects, Step};
use crate::event::{Action, Event};
use crate::runs::Runs;
use crate::shared::{Context, KnownWorker, Shared};

/// A multiple of the period of [`batch`], so that a run is due at the start of each test.
pub(crate) const WALL: u64 = 1_780_002_000_000;
pub(crate) const SIZE: Resources = Resources::new(1_000, 1_024, 0);

/// How a call to the holder goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    Good,
    /// The call takes effect and its reply is lost.
    LosesReplies,
    /// The call takes no effect, which the caller cannot know.
    LosesCalls,
}

/// The instance that holds all workers, with the tasks on them.
pub(crate) struct Holder {
    pub(crate) workers: BTreeMap<WorkerId, Resources>,
    /// Workers that the holder lost: it answers as if it never held them.
    pub(crate) gone: BTreeSet<WorkerId>,
    pub(crate) tasks: BTreeMap<TaskKey, (WorkerId, TaskReport)>,
    tombstones: BTreeSet<TaskKey>,
    pub(crate) reserved: BTreeMap<(WorkerId, RunKey), Resources>,
    /// Workers that refuse reservations and starts.
    pub(crate) full: BTreeSet<WorkerId>,
    pub(crate) starts: Vec<(u64, TaskKey, WorkerId)>,
    pub(crate) stops: Vec<TaskKey>,
    pub(crate) reserves: Vec<WorkerId>,
    pub(crate) polls: Vec<u64>,
    pub(crate) start_link: Link,
}

impl Holder {
    pub(crate) fn new(workers: u32) -> Self {
        let capacity = Resources::new(8_000, 16 * 1_024, 0);
        Self {
            workers: (1..=workers)
                .map(|number| (WorkerId::from(format!("w-{number}")), capacity))
                .collect(),
            gone: BTreeSet::new(),
            tasks: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            reserved: BTreeMap::new(),
            full: BTreeSet::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            reserves: Vec::new(),
            polls: Vec::new(),
            start_link: Link::Good,
        }
    }

    pub(crate) fn held(&self) -> Vec<WorkerId> {
        let held = self.workers.keys().filter(|one| !self.gone.contains(*one));
        held.cloned().collect()
    }

    /// Ends all running tasks.
    pub(crate) fn end_all(&mut self, state: TaskState) {
        for (_, report) in self.tasks.values_mut() {
            if report.state == TaskState::Running {
                report.state = state;
            }
        }
    }

    pub(crate) fn running(&self) -> usize {
        let running = |one: &&(WorkerId, TaskReport)| one.1.state == TaskState::Running;
        self.tasks.values().filter(running).count()
    }

    fn free(&self, worker: &WorkerId) -> Resources {
        let running = self
            .tasks
            .values()
            .filter(|(on, report)| on == worker && report.state == TaskState::Running)
            .map(|(_, report)| report.spec.size);
        let reserved = self.reserved.iter().filter(|((on, _), _)| on == worker);
        let used = running
            .chain(reserved.map(|(_, size)| *size))
            .fold(Resources::ZERO, |sum, size| sum + size);
        self.workers[worker].saturating_sub(used)
    }

    fn call(&mut self, now: Timestamp, request: PeerRequest) -> Outcome<PeerReply> {
        let is_start = matches!(request, PeerRequest::Start { .. });
        let link = if is_start {
            self.start_link
        } else {
            Link::Good
        };
        if let PeerRequest::Start { worker, task } = &request {
            let start = (now.mono.as_millis(), task.key, worker.clone());
            self.starts.push(start);
        }
        let lost = Outcome::Unknown(CallError::new("call", "holder", "deadline passed"));
        match link {
            Link::Good => Outcome::Done(self.answer(now, request)),
            Link::LosesReplies => {
                let _ = self.answer(now, request);
                lost
            }
            Link::LosesCalls => lost,
        }
    }

    fn answer(&mut self, now: Timestamp, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Capacity => PeerReply::Capacity(
                self.held()
                    .into_iter()
                    .map(|worker| WorkerCapacity {
                        capacity: self.workers[&worker],
                        free: self.free(&worker),
                        open: true,
                        worker,
                    })
                    .collect(),
            ),
            PeerRequest::Start { worker, task } => self.start(worker, task),
            PeerRequest::PollRuns { runs, recorded, .. } => {
                self.polls.push(now.mono.as_millis());
                for task in recorded {
                    self.tasks.remove(&task);
                }
                let gone = &self.gone;
                let listed = self.tasks.values().filter(|(worker, report)| {
                    runs.contains(&report.spec.key.run) && !gone.contains(worker)
                });
                PeerReply::Runs(listed.cloned().collect())
            }
            PeerRequest::ResolveTask { worker, task } => self.resolve(&worker, task),
            PeerRequest::Stop { task, .. } => {
                self.stops.push(task);
                if let Some((_, report)) = self.tasks.get_mut(&task) {
                    report.state = TaskState::Stopped;
                }
                PeerReply::Ok
            }
            PeerRequest::Reserve { worker, run, size } => {
                self.reserves.push(worker.clone());
                if self.full.contains(&worker) || !size.fits_in(self.free(&worker)) {
                    return PeerReply::Refused(Refusal::NoCapacity);
                }
                self.reserved.insert((worker, run), size);
                PeerReply::Ok
            }
            PeerRequest::Unreserve { worker, run } => {
                self.reserved.remove(&(worker, run));
                PeerReply::Ok
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn start(&mut self, worker: WorkerId, spec: TaskSpec) -> PeerReply {
        if self.gone.contains(&worker) {
            return PeerReply::NotHolder { holder: None };
        }
        if self.tasks.contains_key(&spec.key) || self.tombstones.contains(&spec.key) {
            return PeerReply::Refused(Refusal::Duplicate);
        }
        if let Some(reserved) = self.reserved.get_mut(&(worker.clone(), spec.key.run)) {
            *reserved -= spec.size;
        }
        if self.full.contains(&worker) || !spec.size.fits_in(self.free(&worker)) {
            return PeerReply::Refused(Refusal::NoCapacity);
        }
        let twice = self.tasks.values().any(|(_, report)| {
            let key = report.spec.key;
            report.state == TaskState::Running
                && (key.run, key.index) == (spec.key.run, spec.key.index)
        });
        assert!(!twice, "{} runs in two places", spec.key);
        let report = TaskReport {
            state: TaskState::Running,
            elapsed_ms: 0,
            spec,
        };
        self.tasks.insert(report.spec.key, (worker, report));
        PeerReply::Ok
    }

    fn resolve(&mut self, worker: &WorkerId, task: TaskKey) -> PeerReply {
        if self.gone.contains(worker) {
            return PeerReply::NotHolder { holder: None };
        }
        PeerReply::Fate(match self.tasks.get(&task) {
            None => {
                self.tombstones.insert(task);
                Fate::NeverRan
            }
            Some((_, report)) if report.state == TaskState::Running => Fate::Running,
            Some((_, report)) => Fate::Ended {
                report: report.clone(),
            },
        })
    }
}

/// The claims and runs of one instance.
pub(crate) struct Node {
    config: InstanceConfig,
    pub(crate) shared: Shared,
    fx: Effects,
    pub(crate) claims: Claims,
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

impl Node {
    pub(crate) fn new(name: &str, boot: u64, holder: &Holder, manifest: Manifest) -> Self {
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
        Self {
            shared: Shared {
                view: View::new(heartbeat(name, Vec::new())),
                instances,
                workers: holder.workers.keys().map(known).collect(),
                generation: Generation(1),
                manifest: Some(Arc::new(manifest)),
                draining: false,
            },
            fx: Effects::new(id, BootId(boot)),
            claims: Claims::new(&config),
            runs: Runs::default(),
            config,
            now: Timestamp::new(0, WALL),
            recorded: Vec::new(),
        }
    }

    pub(crate) fn declare(&mut self, manifest: Manifest) {
        self.shared.generation = self.shared.generation.next();
        self.shared.manifest = Some(Arc::new(manifest));
    }

    /// Lets time pass in ticks until `until_ms`.
    pub(crate) fn run(&mut self, store: &mut Store, holder: &mut Holder, until_ms: u64) {
        while self.now.mono.as_millis() < until_ms {
            let next = self.now.mono.as_millis() + 50;
            self.now = Timestamp::new(next, WALL + next);
            let heard = heartbeat("holder", holder.held());
            self.shared.view.record(self.now.mono, heard);
            self.fx.begin(self.now);
            self.fx.expire_local();
            self.with(|claims, _, cx| claims.on_tick(cx));
            self.with(|claims, runs, cx| runs.on_tick(cx, claims));
            self.settle(store, holder);
        }
    }

    fn with(&mut self, act: impl FnOnce(&mut Claims, &mut Runs, &mut Context<'_>)) {
        let mut cx = Context {
            now: self.now,
            config: &self.config,
            shared: &mut self.shared,
            fx: &mut self.fx,
        };
        act(&mut self.claims, &mut self.runs, &mut cx);
    }

    /// Carries out all actions and local exchanges until none is left.
    fn settle(&mut self, store: &mut Store, holder: &mut Holder) {
        loop {
            let mut idle = true;
            while let Some(event) = self.fx.next_local() {
                idle = false;
                match event {
                    Event::PeerReply { call, outcome } => self.reply(call, outcome),
                    // The instance holds no workers itself.
                    Event::Peer { token, .. } => {
                        self.fx.answer_peer(token, PeerReply::Capacity(Vec::new()));
                    }
                    other => panic!("unexpected {other:?}"),
                }
            }
            for action in self.fx.take_actions() {
                idle = false;
                self.act(store, holder, action);
            }
            if idle {
                return;
            }
        }
    }

    fn act(&mut self, store: &mut Store, holder: &mut Holder, action: Action) {
        match action {
            Action::CallStore { call, request, .. } => {
                let outcome = store.call(&request);
                let Some(Step::Claims(step)) = self.fx.take_step(call) else {
                    panic!("step of the call is missing");
                };
                self.with(|claims, _, cx| claims.on_store(cx, step, outcome));
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
        let Some(Step::Runs(step)) = self.fx.take_step(call) else {
            panic!("step of the call is missing");
        };
        self.with(|claims, runs, cx| runs.on_peer_reply(cx, step, outcome, claims));
    }

    pub(crate) fn steps(&self, step: &str) -> usize {
        self.recorded.iter().filter(|(one, _)| one == step).count()
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
    }
}
