//! Simulated worker processes.

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
use crate::world::{LATENCY_MS, ScheduledEvent, TICK_MS, World};

/// A simulated worker process, running or crashed.
#[derive(Clone)]
pub struct WorkerProcess {
    pub(super) zone: Zone,
    settings: ModelSettings,
    model: Option<WorkerModel>,
    boot: u64,
    started: u64,
    waiting: FastMap<ExchangeId, Message>,
    specs: FastMap<TaskKey, TaskSpec>,
    /// Number of log entries that have been copied to the trace.
    traced_entries: usize,
}

impl WorkerProcess {
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
            traced_entries: 0,
        }
    }

    /// Resources used by the running tasks.
    pub fn used(&self) -> Resources {
        self.model
            .as_ref()
            .map_or(Resources::ZERO, WorkerModel::used)
    }
}

impl World {
    pub(super) fn arrive_at_worker(&mut self, worker: &WorkerId, message: Message) {
        let now = self.now;
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        let Body::Worker(request) = message.body.clone() else {
            return;
        };
        let Some(model) = process.model.as_mut() else {
            self.refuse_connection(&message.call);
            return;
        };
        if let WorkerRequest::Start { task, .. } = &request {
            process.specs.insert(task.key, task.clone());
        }
        let reply = model.on_request(Monotonic::from_millis(now - process.started), request);
        match reply {
            ModelReply::Answer(reply) => {
                self.copy_log_to_trace(worker);
                self.send_reply(message, Body::WorkerReply(reply));
            }
            ModelReply::Deferred(exchange) => {
                process.waiting.insert(exchange, message);
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
        self.schedule(self.now + TICK_MS, ScheduledEvent::TickWorkers);
    }

    fn tick_worker(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(model) = process.model.as_mut() else {
            return;
        };
        let replies: Vec<(Message, WorkerReply)> = model
            .on_tick(Monotonic::from_millis(now - process.started))
            .into_iter()
            .filter_map(|(exchange, reply)| Some((process.waiting.remove(&exchange)?, reply)))
            .collect();
        self.copy_log_to_trace(worker);
        for (message, reply) in replies {
            self.send_reply(message, Body::WorkerReply(reply));
        }
    }

    /// Copies new entries of the worker's log to the trace.
    fn copy_log_to_trace(&mut self, worker: &WorkerId) {
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(model) = process.model.as_ref() else {
            return;
        };
        let entries: Vec<_> = model.log().skip(process.traced_entries).cloned().collect();
        process.traced_entries += entries.len();
        for entry in entries {
            let seen = match entry.event {
                LogEvent::TaskStarted { task, .. } => {
                    process.specs.get(&task).map(|spec| Seen::TaskStarted {
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
                self.trace
                    .push(process.started + entry.at.as_millis(), seen);
            }
        }
    }

    /// Crashes a worker process, which ends its tasks.
    pub(super) fn kill_worker(&mut self, worker: &WorkerId) {
        self.copy_log_to_trace(worker);
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        if process.model.take().is_none() {
            return;
        }
        let waiting = std::mem::take(&mut process.waiting);
        self.record_line(&format!("{worker} dies"));
        self.trace.push(
            self.now,
            Seen::WorkerDied {
                worker: worker.clone(),
            },
        );
        for message in waiting.into_values() {
            let at = self.now + LATENCY_MS;
            self.schedule(at, ScheduledEvent::Deadline(message.call, message.to));
        }
        self.schedule(
            self.now + REPLACED_AFTER_MS,
            ScheduledEvent::ReplaceWorker(worker.clone()),
        );
    }

    pub(super) fn replace_worker(&mut self, worker: &WorkerId) {
        let now = self.now;
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        process.boot += 1;
        process.started = now;
        process.traced_entries = 0;
        process.model = Some(WorkerModel::new(
            process.settings.clone(),
            BootId(process.boot),
        ));
    }

    pub(super) fn pause_worker(&mut self, worker: &WorkerId, millis: u64) {
        self.record_line(&format!("{worker} is paused"));
        self.change_worker_faults(worker, |faults| faults.freeze = true);
        self.schedule(
            self.now + millis,
            ScheduledEvent::ResumeWorker(worker.clone()),
        );
    }

    pub(super) fn resume_worker(&mut self, worker: &WorkerId) {
        self.change_worker_faults(worker, |faults| faults.freeze = false);
    }

    pub(super) fn set_task_failures(&mut self, worker: Option<&WorkerId>, fails: bool) {
        if let Some(worker) = worker {
            let rate = if fails { 1.0 } else { 0.0 };
            self.change_worker_faults(worker, |faults| faults.failure_rate = rate);
        }
    }

    /// Makes a worker announce that it is leaving.
    pub fn leave(&mut self, worker: &WorkerId) {
        self.record_line(&format!("{worker} is leaving"));
        self.trace.push(
            self.now,
            Seen::WorkerLeaving {
                worker: worker.clone(),
            },
        );
        self.change_worker_faults(worker, |faults| faults.leaving = true);
    }

    fn change_worker_faults(&mut self, worker: &WorkerId, change: impl FnOnce(&mut Faults)) {
        let now = self.now;
        let Some(process) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(model) = process.model.as_mut() else {
            return;
        };
        let mut faults = model.faults().clone();
        change(&mut faults);
        model.set_faults(Monotonic::from_millis(now - process.started), faults);
    }
}
