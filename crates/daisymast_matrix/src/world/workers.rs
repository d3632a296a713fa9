//! Workers in the world.

use daisymast_engine::config::WorkerSeed;
use daisymast_protocol::task::TaskSpec;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, TaskKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;
use daisymast_worker::model::{ExchangeId, LogEvent, ModelReply, WorkerModel};
use daisymast_worker::settings::{Faults, ModelSettings};

use crate::fault::REPLACED_AFTER_MS;
use crate::network::{Body, Message};
use crate::trace::Seen;
use crate::world::{Due, LATENCY_MS, TICK_MS, World};

/// A worker process, running or dead.
#[derive(Clone)]
pub struct Host {
    pub(super) zone: Zone,
    settings: ModelSettings,
    model: Option<WorkerModel>,
    boot: u64,
    started: u64,
    waiting: FastMap<ExchangeId, Message>,
    specs: FastMap<TaskKey, TaskSpec>,
    /// Log entries that are in the trace already.
    traced: usize,
}

impl Host {
    pub(super) fn new(seed: &WorkerSeed, capacity: Resources) -> Self {
        let settings = ModelSettings {
            capacity,
            ..ModelSettings::default()
        };
        Self {
            zone: seed.zone.clone(),
            model: Some(WorkerModel::new(settings.clone(), BootId(1))),
            settings,
            boot: 1,
            started: 0,
            waiting: FastMap::default(),
            specs: FastMap::default(),
            traced: 0,
        }
    }

    /// Sum of the sizes of the running tasks.
    pub fn used(&self) -> Resources {
        self.model
            .as_ref()
            .map_or(Resources::ZERO, WorkerModel::used)
    }
}

impl World {
    pub(super) fn arrive_at_worker(&mut self, worker: &WorkerId, message: Message) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let Body::Worker(request) = message.body.clone() else {
            return;
        };
        let Some(model) = host.model.as_mut() else {
            self.refuse(&message.call);
            return;
        };
        if let WorkerRequest::Start { task, .. } = &request {
            host.specs.insert(task.key, task.clone());
        }
        let reply = model.on_request(Monotonic::from_millis(now - host.started), request);
        match reply {
            ModelReply::Answer(reply) => {
                self.trace_log(worker);
                self.reply(message, Body::WorkerReply(reply));
            }
            ModelReply::Deferred(exchange) => {
                host.waiting.insert(exchange, message);
            }
            ModelReply::Unreachable => {}
        }
        self.tick_worker(worker);
    }

    pub(super) fn tick_workers(&mut self) {
        for worker in self.worker_ids() {
            self.tick_worker(&worker);
        }
        self.resolve_watches();
        self.schedule(self.now + TICK_MS, Due::TickWorkers);
    }

    fn tick_worker(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let Some(model) = host.model.as_mut() else {
            return;
        };
        let replies: Vec<(Message, WorkerReply)> = model
            .on_tick(Monotonic::from_millis(now - host.started))
            .into_iter()
            .filter_map(|(exchange, reply)| Some((host.waiting.remove(&exchange)?, reply)))
            .collect();
        self.trace_log(worker);
        for (message, reply) in replies {
            self.reply(message, Body::WorkerReply(reply));
        }
    }

    /// Copies what the worker logged since the last time into the trace.
    fn trace_log(&mut self, worker: &WorkerId) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let Some(model) = host.model.as_ref() else {
            return;
        };
        let entries: Vec<_> = model.log().skip(host.traced).cloned().collect();
        host.traced += entries.len();
        for entry in entries {
            let seen = match entry.event {
                LogEvent::TaskStarted { task, .. } => {
                    host.specs.get(&task).map(|spec| Seen::TaskStarted {
                        worker: worker.clone(),
                        spec: spec.clone(),
                    })
                }
                LogEvent::TaskEnded { task, state } => Some(Seen::TaskEnded {
                    worker: worker.clone(),
                    key: task,
                    state,
                }),
                LogEvent::RequestStarted { id } => Some(Seen::RequestStarted {
                    worker: worker.clone(),
                    id,
                }),
                LogEvent::Granted { .. }
                | LogEvent::RequestEnded { .. }
                | LogEvent::WorkRefused { .. } => None,
            };
            if let Some(seen) = seen {
                self.trace.push(host.started + entry.at.as_millis(), seen);
            }
        }
    }

    /// Ends a worker process, and its tasks with it.
    pub(super) fn kill_worker(&mut self, worker: &WorkerId) {
        self.trace_log(worker);
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        if host.model.take().is_none() {
            return;
        }
        let waiting = std::mem::take(&mut host.waiting);
        self.line(&format!("{worker} dies"));
        self.trace.push(
            self.now,
            Seen::WorkerDied {
                worker: worker.clone(),
            },
        );
        for message in waiting.into_values() {
            let at = self.now + LATENCY_MS;
            self.schedule(at, Due::Deadline(message.call, message.to));
        }
        self.schedule(
            self.now + REPLACED_AFTER_MS,
            Due::ReplaceWorker(worker.clone()),
        );
    }

    pub(super) fn replace_worker(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        host.boot += 1;
        host.started = now;
        host.traced = 0;
        host.model = Some(WorkerModel::new(host.settings.clone(), BootId(host.boot)));
    }

    pub(super) fn pause_worker(&mut self, worker: &WorkerId, millis: u64) {
        self.line(&format!("{worker} is paused"));
        self.set_worker(worker, |faults| faults.freeze = true);
        self.schedule(self.now + millis, Due::ResumeWorker(worker.clone()));
    }

    pub(super) fn resume_worker(&mut self, worker: &WorkerId) {
        self.set_worker(worker, |faults| faults.freeze = false);
    }

    pub(super) fn set_failing(&mut self, worker: Option<&WorkerId>, fails: bool) {
        if let Some(worker) = worker {
            let rate = if fails { 1.0 } else { 0.0 };
            self.set_worker(worker, |faults| faults.failure_rate = rate);
        }
    }

    /// Lets a worker tell that it is leaving.
    pub fn leave(&mut self, worker: &WorkerId) {
        self.line(&format!("{worker} is leaving"));
        self.trace.push(
            self.now,
            Seen::WorkerLeaving {
                worker: worker.clone(),
            },
        );
        self.set_worker(worker, |faults| faults.leaving = true);
    }

    fn set_worker(&mut self, worker: &WorkerId, change: impl FnOnce(&mut Faults)) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let Some(model) = host.model.as_mut() else {
            return;
        };
        let mut faults = model.faults().clone();
        change(&mut faults);
        model.set_faults(Monotonic::from_millis(now - host.started), faults);
    }
}
