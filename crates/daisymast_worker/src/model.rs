//! State machine of a worker, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisymast_protocol::worker::{Grant, Refusal, WorkerMillis, WorkerReply, WorkerRequest};
use daisymast_types::ids::{BootId, InstanceId};
use daisymast_types::quantities::Resources;
use daisymast_types::time::Monotonic;

use crate::settings::{Faults, ModelSettings};
use lease::{AcquireResult, Lease};
use log::{Log, LogEvent as Event};
use renewals::Renewal;
use requests::Requests;
use tasks::Tasks;

mod admission;
mod history;
mod lease;
mod log;
mod renewals;
mod requests;
mod tasks;

pub use admission::FAILURE_DELAY;
pub use history::FINISHED_TTL;
pub use lease::TTL_MAX;
pub use log::{LOG_ENTRIES, LogEntry, LogEvent};
pub use renewals::RENEW_WAIT_MAX;
pub use requests::answer;

/// Interval between two measurements of resource usage. The reported usage lags by up to this much.
pub const USAGE_PERIOD: Duration = Duration::from_secs(1);

/// ID of a message that is answered later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId(pub u64);

/// Immediate result of one message.
#[must_use = "the sender waits for the reply"]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelReply {
    /// The message was handled; this is the reply.
    Answer(WorkerReply),
    /// The reply comes from a later [`WorkerModel::on_tick`].
    Deferred(ExchangeId),
    /// The worker is unreachable for the caller. The message takes no effect and gets no reply.
    Unreachable,
}

/// State of a worker: its control lease, tasks and requests.
///
/// All times are on the worker's own monotonic clock. Each message first ends the tasks and
/// requests that are due, so it never sees a task that should have ended before.
///
/// ```
/// use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
/// use daisymast_types::ids::BootId;
/// use daisymast_types::time::Monotonic;
/// use daisymast_worker::{model, settings};
///
/// let mut worker = model::WorkerModel::new(settings::ModelSettings::default(), BootId(7));
/// let acquire = WorkerRequest::Acquire { holder: "i-1".into(), ttl_ms: 3_000 };
/// let reply = worker.on_request(Monotonic::ZERO, acquire);
/// assert!(matches!(reply, model::ModelReply::Answer(WorkerReply::Granted(_))));
/// ```
#[derive(Clone, Debug)]
pub struct WorkerModel {
    settings: ModelSettings,
    lease: Lease,
    tasks: Tasks,
    requests: Requests,
    renewals: BTreeMap<ExchangeId, Renewal>,
    /// Messages that arrived while the worker was frozen, in order of arrival.
    buffered: VecDeque<(ExchangeId, WorkerRequest)>,
    frozen_since: Option<Monotonic>,
    /// Deferred replies that the next tick returns.
    ready_replies: Vec<(ExchangeId, WorkerReply)>,
    next_exchange: u64,
    /// Whether a shutdown has begun; renewals then do not wait for changes.
    stopping: bool,
    usage: Resources,
    usage_measured_at: Option<Monotonic>,
    random: fastrand::Rng,
    log: Log,
}

impl WorkerModel {
    /// Creates a worker without tasks. `boot` must differ between starts of the same worker. It
    /// also seeds the random failures.
    pub fn new(settings: ModelSettings, boot: BootId) -> Self {
        let slots = usize::try_from(settings.slots).unwrap_or(usize::MAX);
        Self {
            lease: Lease::new(boot),
            tasks: Tasks::new(settings.capacity, settings.remembered_ids),
            requests: Requests::new(slots, settings.remembered_ids),
            renewals: BTreeMap::new(),
            buffered: VecDeque::new(),
            frozen_since: settings.faults.freeze.then_some(Monotonic::ZERO),
            ready_replies: Vec::new(),
            next_exchange: 0,
            stopping: false,
            usage: Resources::ZERO,
            usage_measured_at: None,
            random: fastrand::Rng::with_seed(boot.0),
            log: Log::default(),
            settings,
        }
    }

    /// Handles a message from an unnamed caller.
    pub fn on_request(&mut self, now: Monotonic, request: WorkerRequest) -> ModelReply {
        self.on_request_from(now, "", request)
    }

    /// Handles a message from a named caller, to whom [`Faults::refuse`] can apply.
    pub fn on_request_from(
        &mut self,
        now: Monotonic,
        caller: &str,
        request: WorkerRequest,
    ) -> ModelReply {
        if self
            .settings
            .faults
            .refuse
            .iter()
            .any(|name| name == caller)
        {
            return ModelReply::Unreachable;
        }
        let exchange = ExchangeId(self.next_exchange);
        self.next_exchange += 1;
        if self.frozen_since.is_some() {
            if self.buffered.len() >= self.settings.connections {
                return ModelReply::Unreachable;
            }
            self.buffered.push_back((exchange, request));
            return ModelReply::Deferred(exchange);
        }
        self.advance(now);
        match self.handle(now, exchange, request) {
            Some(reply) => ModelReply::Answer(reply),
            None => ModelReply::Deferred(exchange),
        }
    }

    /// Ends the tasks and requests that are due and returns the deferred replies. The caller must
    /// call this after each message and at least every few milliseconds.
    pub fn on_tick(&mut self, now: Monotonic) -> Vec<(ExchangeId, WorkerReply)> {
        if self.frozen_since.is_some() {
            return Vec::new();
        }
        self.advance(now);
        while let Some((exchange, request)) = self.buffered.pop_front() {
            if let Some(reply) = self.handle(now, exchange, request) {
                self.ready_replies.push((exchange, reply));
            }
        }
        self.answer_renewals(now);
        std::mem::take(&mut self.ready_replies)
    }

    /// Discards a renewal whose holder has disconnected. Requests are still served.
    pub fn cancel(&mut self, exchange: ExchangeId) {
        self.renewals.remove(&exchange);
    }

    /// Starts a shutdown: waiting renewals are answered at the next tick, and later ones at once.
    pub fn stop_renewals(&mut self) {
        self.stopping = true;
    }

    /// Replaces all injected faults. After a freeze, the next tick handles the messages that
    /// arrived meanwhile.
    pub fn set_faults(&mut self, now: Monotonic, faults: Faults) {
        match (self.frozen_since, faults.freeze) {
            (None, true) => {
                self.advance(now);
                self.frozen_since = Some(now);
            }
            (Some(since), false) => {
                self.tasks.delay_ends(now - since);
                self.requests.delay_ends(now - since);
                self.frozen_since = None;
            }
            _ => {}
        }
        self.settings.faults = faults;
    }

    /// Returns the injected faults in force.
    pub fn faults(&self) -> &Faults {
        &self.settings.faults
    }

    /// Returns the holder of the control lease, or `None` if the lease is free or expired.
    pub fn holder(&self, now: Monotonic) -> Option<&InstanceId> {
        self.lease.holder(now)
    }

    /// Returns the sum of the sizes of the running tasks.
    pub fn used(&self) -> Resources {
        self.tasks.used()
    }

    /// Returns the number of unanswered messages: renewals, requests and buffered messages.
    pub fn pending(&self) -> usize {
        self.open_exchanges() + self.buffered.len()
    }

    /// Returns the last [`LOG_ENTRIES`] logged events, oldest first.
    pub fn log(&self) -> impl Iterator<Item = &LogEntry> {
        self.log.entries()
    }

    /// Returns the number of entries dropped from the log. A checker that needs the whole log must
    /// fail if this is not zero.
    pub fn log_dropped(&self) -> u64 {
        self.log.dropped()
    }

    /// Handles a message. Returns `None` if the reply is deferred.
    fn handle(
        &mut self,
        now: Monotonic,
        exchange: ExchangeId,
        request: WorkerRequest,
    ) -> Option<WorkerReply> {
        let result = match request {
            WorkerRequest::Acquire { holder, ttl_ms } => self.acquire(now, holder, ttl_ms),
            WorkerRequest::Renew {
                stamp,
                keep_runs,
                since,
                wait_ms,
            } => match self.lease.renew(now, stamp) {
                Ok(()) => {
                    self.tasks.extend_leases(now, &keep_runs);
                    return self.answer_or_defer_renewal(now, exchange, (stamp, since, wait_ms));
                }
                Err(refusal) => Err(refusal),
            },
            WorkerRequest::Serve {
                stamp,
                not_after,
                request,
            } => match self.serve(now, exchange, (stamp, not_after), request) {
                Ok(()) => return None,
                Err(refusal) => Err(refusal),
            },
            other => self.handle_immediate(now, other),
        };
        Some(result.unwrap_or_else(|reason| WorkerReply::Refused { reason }))
    }

    /// Handles a message whose reply is never deferred.
    fn handle_immediate(
        &mut self,
        now: Monotonic,
        request: WorkerRequest,
    ) -> Result<WorkerReply, Refusal> {
        let done = match request {
            WorkerRequest::Release { stamp } => self.lease.release(now, stamp),
            WorkerRequest::Start {
                stamp,
                not_after,
                task,
            } => self.start(now, (stamp, not_after), task),
            WorkerRequest::Stop { stamp, task, .. } => {
                self.check_lease(now, stamp)?;
                self.tasks.stop(now, task, &mut self.log)
            }
            WorkerRequest::Throttle {
                stamp,
                task,
                millicores,
            } => {
                self.check_lease(now, stamp)?;
                self.tasks.throttle(now, task, millicores)
            }
            WorkerRequest::Forget { stamp, tasks } => {
                self.check_lease(now, stamp)?;
                self.tasks.forget(now, &tasks);
                Ok(())
            }
            WorkerRequest::Resolve { boot, id } => {
                if boot != self.lease.stamp().boot {
                    return Err(Refusal::StaleLease);
                }
                let fate = self.requests.resolve(now, id)?;
                return Ok(WorkerReply::Resolved { fate });
            }
            WorkerRequest::ResolveTask { task } => {
                let fate = self.tasks.resolve(now, task)?;
                return Ok(WorkerReply::Resolved { fate });
            }
            WorkerRequest::Acquire { .. }
            | WorkerRequest::Renew { .. }
            | WorkerRequest::Serve { .. } => Err(Refusal::Invalid),
        };
        done.map(|()| WorkerReply::Ok)
    }

    fn acquire(
        &mut self,
        now: Monotonic,
        holder: InstanceId,
        ttl_ms: u64,
    ) -> Result<WorkerReply, Refusal> {
        let ttl = Duration::from_millis(ttl_ms);
        if ttl.is_zero() || ttl > TTL_MAX {
            return Err(Refusal::Invalid);
        }
        match self.lease.acquire(now, holder.clone(), ttl) {
            AcquireResult::HeldByOther(holder, remaining) => {
                let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
                return Ok(WorkerReply::Held {
                    holder,
                    remaining_ms,
                });
            }
            AcquireResult::Granted => {
                let epoch = self.lease.stamp().epoch;
                self.log.add(now, Event::Granted { holder, epoch });
            }
            AcquireResult::AlreadyHeld => {}
        }
        Ok(WorkerReply::Granted(Grant {
            stamp: self.lease.stamp(),
            clock: worker_millis(now),
            ttl_ms,
            capacity: self.settings.capacity,
            slots: self.settings.slots,
            seq: self.tasks.seq(),
            tasks: self.tasks.changes(now, 0),
            leaving: self.settings.faults.leaving,
        }))
    }

    fn advance(&mut self, now: Monotonic) {
        self.tasks.advance(now, &mut self.log);
        let replies = self.requests.advance(now, &mut self.log);
        self.ready_replies.extend(replies);
        if self
            .usage_measured_at
            .is_none_or(|at| now - at >= USAGE_PERIOD)
        {
            self.usage_measured_at = Some(now);
            self.usage = self.settings.measured_usage(self.tasks.used());
        }
    }
}

fn worker_millis(now: Monotonic) -> WorkerMillis {
    WorkerMillis(now.as_millis())
}
