//! Admission of new tasks and requests: lease and deadline checks, and when the work ends.

use std::time::Duration;

use daisymast_protocol::task::{Kind, TaskSpec, TaskState};
use daisymast_protocol::worker::{LeaseStamp, Refusal, ServeRequest, WorkerMillis};
use daisymast_types::time::Monotonic;

use super::log::LogEvent;
use super::tasks::TaskEnd;
use super::{ExchangeId, WorkerModel, worker_millis};

/// Time after which a task or request that is chosen to fail ends, unless it ends earlier anyway.
pub const FAILURE_DELAY: Duration = Duration::from_millis(50);

impl WorkerModel {
    pub(super) fn start(
        &mut self,
        now: Monotonic,
        permit: (LeaseStamp, WorkerMillis),
        task: TaskSpec,
    ) -> Result<(), Refusal> {
        self.check_new_work(now, permit)?;
        let fails = self.draw_failure();
        let end = self.planned_end(now, &task, fails);
        self.tasks.start(now, task, end, &mut self.log)
    }

    pub(super) fn serve(
        &mut self,
        now: Monotonic,
        exchange: ExchangeId,
        permit: (LeaseStamp, WorkerMillis),
        request: ServeRequest,
    ) -> Result<(), Refusal> {
        self.check_new_work(now, permit)?;
        self.requests.check_new(&request.id)?;
        if !self.tasks.has_replica(&request.service) {
            return Err(Refusal::NoReplica);
        }
        if self.open_exchanges() >= self.settings.connections {
            return Err(Refusal::NoSlot);
        }
        let fails = self.draw_failure();
        let time = self.scale_duration(Duration::from_millis(self.settings.service_ms));
        let end = now + if fails { time.min(FAILURE_DELAY) } else { time };
        let end = (end, fails);
        self.requests
            .serve(now, exchange, request, end, &mut self.log)
    }

    fn check_new_work(
        &mut self,
        now: Monotonic,
        (stamp, not_after): (LeaseStamp, WorkerMillis),
    ) -> Result<(), Refusal> {
        let checked = self.check_lease(now, stamp).and_then(|()| {
            if worker_millis(now) >= not_after {
                Err(Refusal::Late)
            } else if self.settings.faults.leaving {
                Err(Refusal::Leaving)
            } else {
                Ok(())
            }
        });
        if let Err(reason) = checked {
            let epoch = stamp.epoch;
            self.log.add(now, LogEvent::WorkRefused { epoch, reason });
        }
        checked
    }

    pub(super) fn check_lease(&self, now: Monotonic, stamp: LeaseStamp) -> Result<(), Refusal> {
        if self.settings.faults.ignore_fencing {
            return Ok(());
        }
        self.lease.verify(now, stamp)
    }

    /// Returns when and how a task ends by itself. `None` for a service replica that does not fail:
    /// it runs until it is stopped.
    fn planned_end(&self, now: Monotonic, task: &TaskSpec, fails: bool) -> Option<TaskEnd> {
        let time = self.scale_duration(Duration::from_millis(task.run_ms));
        match (task.kind, fails) {
            (Kind::Service, false) => None,
            (Kind::Service, true) => Some((now + FAILURE_DELAY, TaskState::Failed)),
            (_, true) => Some((now + time.min(FAILURE_DELAY), TaskState::Failed)),
            (_, false) => Some((now + time, TaskState::Succeeded)),
        }
    }

    fn scale_duration(&self, time: Duration) -> Duration {
        let seconds = time.as_secs_f64() / self.settings.faults.speed;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn draw_failure(&mut self) -> bool {
        self.random.f64() < self.settings.faults.failure_rate
    }

    pub(super) fn open_exchanges(&self) -> usize {
        self.renewals.len() + self.requests.active_count()
    }
}
