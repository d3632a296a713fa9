//! Test helpers: a worker model on a virtual clock, and constructors of messages.
#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use daisymast_protocol::task::{Kind, TaskReport, TaskSpec};
use daisymast_protocol::worker::{
    Fate, Grant, LeaseStamp, Refusal, ServeRequest, WorkerMillis, WorkerReply, WorkerRequest,
};
use daisymast_types::ids::{BootId, RunKey, TaskKey};
use daisymast_types::quantities::{Resources, Urgency};
use daisymast_types::time::Monotonic;
use daisymast_worker::model::{ExchangeId, LogEntry, LogEvent, ModelReply, WorkerModel};
use daisymast_worker::settings::{Faults, ModelSettings};

pub(crate) const NO_DEADLINE: WorkerMillis = WorkerMillis(u64::MAX);

/// A worker model and its virtual clock.
pub(crate) struct TestHarness {
    pub(crate) model: WorkerModel,
    /// Current time in milliseconds.
    pub(crate) now: u64,
}

impl TestHarness {
    pub(crate) fn new(settings: ModelSettings) -> Self {
        Self {
            model: WorkerModel::new(settings, BootId(7)),
            now: 0,
        }
    }

    pub(crate) fn time(&self) -> Monotonic {
        Monotonic::from_millis(self.now)
    }

    pub(crate) fn send(&mut self, request: WorkerRequest) -> ModelReply {
        self.model.on_request(self.time(), request)
    }

    /// Sends a message and returns its reply. Panics if the reply is deferred.
    pub(crate) fn call(&mut self, request: WorkerRequest) -> WorkerReply {
        match self.send(request) {
            ModelReply::Answer(reply) => reply,
            other => panic!("expected an immediate reply, got {other:?}"),
        }
    }

    /// Sends a message and returns the ID of the exchange. Panics if the reply is not deferred.
    pub(crate) fn call_deferred(&mut self, request: WorkerRequest) -> ExchangeId {
        match self.send(request) {
            ModelReply::Deferred(exchange) => exchange,
            other => panic!("expected a deferred reply, got {other:?}"),
        }
    }

    /// Sets the clock to `now` and returns the deferred replies that are due.
    pub(crate) fn tick(&mut self, now: u64) -> Vec<(ExchangeId, WorkerReply)> {
        self.now = now;
        self.model.on_tick(self.time())
    }

    pub(crate) fn acquire_lease(&mut self, holder: &str, ttl_ms: u64) -> Grant {
        match self.call(acquire(holder, ttl_ms)) {
            WorkerReply::Granted(grant) => grant,
            other => panic!("expected a grant, got {other:?}"),
        }
    }

    pub(crate) fn lease_stamp(&mut self) -> LeaseStamp {
        self.acquire_lease("i-1", 60_000).stamp
    }

    pub(crate) fn start(&mut self, stamp: LeaseStamp, task: TaskSpec) -> WorkerReply {
        self.call(start(stamp, task))
    }

    /// Returns the last sequence number and the task changes since `since`, read with a renewal
    /// that does not wait.
    pub(crate) fn task_changes(&mut self, stamp: LeaseStamp, since: u64) -> (u64, Vec<TaskReport>) {
        match self.call(renew(stamp, &[], since, 0)) {
            WorkerReply::Renewed { seq, changes, .. } => (seq, changes),
            other => panic!("expected a renewal, got {other:?}"),
        }
    }

    pub(crate) fn update_faults(&mut self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.model.faults().clone();
        change(&mut faults);
        self.model.set_faults(self.time(), faults);
    }

    /// Returns the log without refusals.
    pub(crate) fn log(&self) -> Vec<LogEntry> {
        let mut log = self.log_with_refusals();
        log.retain(|entry| !matches!(entry.event, LogEvent::WorkRefused { .. }));
        log
    }

    pub(crate) fn log_with_refusals(&self) -> Vec<LogEntry> {
        self.model.log().cloned().collect()
    }

    /// Returns the log without refusals and lease grants: only tasks and requests.
    pub(crate) fn work_log(&self) -> Vec<LogEntry> {
        let mut log = self.log();
        log.retain(|entry| !matches!(entry.event, LogEvent::Granted { .. }));
        log
    }
}

pub(crate) fn acquire(holder: &str, ttl_ms: u64) -> WorkerRequest {
    WorkerRequest::Acquire {
        holder: holder.into(),
        ttl_ms,
    }
}

pub(crate) fn renew(
    stamp: LeaseStamp,
    keep_runs: &[u64],
    since: u64,
    wait_ms: u64,
) -> WorkerRequest {
    WorkerRequest::Renew {
        stamp,
        keep_runs: keep_runs.iter().copied().map(RunKey).collect(),
        since,
        wait_ms,
    }
}

pub(crate) fn start(stamp: LeaseStamp, task: TaskSpec) -> WorkerRequest {
    WorkerRequest::Start {
        stamp,
        not_after: NO_DEADLINE,
        task,
    }
}

pub(crate) fn serve(stamp: LeaseStamp, id: &str) -> WorkerRequest {
    WorkerRequest::Serve {
        stamp,
        not_after: NO_DEADLINE,
        request: request(id),
    }
}

pub(crate) fn request(id: &str) -> ServeRequest {
    ServeRequest {
        id: id.into(),
        service: "quotes".into(),
        idempotent: false,
        body: "plaza".to_owned(),
    }
}

pub(crate) fn stop(stamp: LeaseStamp, run: u64) -> WorkerRequest {
    WorkerRequest::Stop {
        stamp,
        task: key(run),
        checkpoint: false,
    }
}

pub(crate) fn resolve(id: &str) -> WorkerRequest {
    resolve_with_boot(BootId(7), id)
}

/// Resolves a request that was sent to the worker process with this boot ID.
pub(crate) fn resolve_with_boot(boot: BootId, id: &str) -> WorkerRequest {
    WorkerRequest::Resolve {
        boot,
        id: id.into(),
    }
}

pub(crate) fn resolve_task(run: u64) -> WorkerRequest {
    WorkerRequest::ResolveTask { task: key(run) }
}

pub(crate) fn forget(stamp: LeaseStamp, run: u64) -> WorkerRequest {
    WorkerRequest::Forget {
        stamp,
        tasks: vec![key(run)],
    }
}

pub(crate) fn key(run: u64) -> TaskKey {
    TaskKey {
        run: RunKey(run),
        index: 0,
        attempt: 1,
    }
}

/// A batch task of 1 core and 1 GiB that is not exclusive.
pub(crate) fn batch(run: u64, run_ms: u64) -> TaskSpec {
    TaskSpec {
        key: key(run),
        job: "survey".into(),
        team: "crews".into(),
        kind: Kind::Batch,
        urgency: Urgency::Normal,
        size: Resources::new(1_000, 1_024, 0),
        exclusive: false,
        run_ms,
    }
}

pub(crate) fn exclusive(run: u64, run_ms: u64) -> TaskSpec {
    TaskSpec {
        exclusive: true,
        ..batch(run, run_ms)
    }
}

/// A replica of the service to which [`request`] is addressed.
pub(crate) fn replica(run: u64) -> TaskSpec {
    TaskSpec {
        job: "quotes".into(),
        kind: Kind::Service,
        ..batch(run, 0)
    }
}

pub(crate) fn refused(reason: Refusal) -> WorkerReply {
    WorkerReply::Refused { reason }
}

pub(crate) fn resolved(fate: Fate) -> WorkerReply {
    WorkerReply::Resolved { fate }
}
