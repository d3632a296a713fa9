//! Registration and loss of workers.

use daisymast_jobs::spec;
use daisymast_types::ids;
use daisymast_types::time;

use super::Scheduler;
use crate::constants;
use crate::decision;
use crate::lease;
use crate::run;
use crate::worker;

impl Scheduler {
    /// Handles a new or changed registration of a worker.
    pub fn on_worker_registered(
        &mut self,
        registration: worker::Registration,
        now: time::Monotonic,
    ) {
        let worker_index = self.fleet.index_or_insert(&registration.id);
        let worker = self.fleet.at_mut(worker_index);
        if worker.registration.is_none()
            && let Some(permille) = self.job_table.speed(&registration.id)
        {
            worker.set_speed(f64::from(permille) / 1_000.0);
            worker.stored_speed = worker.speed;
        }
        let restarted = worker.incarnation > 0
            && registration.started_at.is_some()
            && worker.started_at != registration.started_at;
        let moved = worker
            .registration
            .as_ref()
            .is_some_and(|known| known.address != registration.address);
        if restarted || moved || !worker.registered {
            worker.reconciled = false;
            worker.next_poll = now;
            // The poll that is open may have been sent to the former process.
            worker.polling &= !restarted;
        }
        if restarted {
            worker.on_restart_announced(now);
        }
        worker.registered = true;
        worker.registration = Some(registration);
        self.dirty = true;
    }

    /// Handles the removal of a worker's registration. Its runs continue until its lease has
    /// expired. After an outage of the store, live workers register again within two seconds.
    pub fn on_worker_deregistered(&mut self, id: &ids::WorkerId, now: time::Monotonic) {
        if let Some(worker_index) = self.fleet.index_of(id) {
            deregister(self.fleet.at_mut(worker_index), now);
        }
    }

    /// Replaces the set of registered workers after it was read from the store: all others count as
    /// deregistered.
    pub fn retain_workers(&mut self, listed: &[ids::WorkerId], now: time::Monotonic) {
        for worker in self.fleet.iter_mut() {
            if !listed.contains(&worker.id) {
                deregister(worker, now);
            }
        }
    }

    /// Handles the news that the former scheduler certainly sends no orders any more, and that no
    /// earlier one does after `orders_end`. The leases that they gave end no later than the longest
    /// one after that.
    pub fn on_former_scheduler_stopped(&mut self, orders_end: time::Monotonic) {
        let former_late_until = self.former_starts_end();
        self.former_orders_end = self.former_orders_end.min(orders_end);
        let end = orders_end + lease::longest_granted(self.max_lease);
        let late_until = self.former_starts_end();
        for worker in self.fleet.iter_mut() {
            // Polls of this term may have given longer leases since.
            if worker.incarnation == 0 && worker.clock.is_none() {
                worker.lease_end = worker.lease_end.min(end);
            }
            for run in worker.runs.values_mut() {
                // Starts of this term may be carried out later.
                if run.late_until == former_late_until {
                    run.late_until = late_until;
                }
            }
        }
    }

    /// Queues the tasks of workers again whose lease has certainly expired.
    pub(super) fn expire_leases(&mut self, now: time::Monotonic) {
        let longest = lease::longest(self.max_lease);
        let is_over = |run: &run::Run| {
            let lease_end = run.lease_end.max(run.late_lease_end(longest));
            run.state != run::RunState::Journaling && now >= lease_end
        };
        for worker_index in 0..self.fleet.len() {
            let worker = self.fleet.at_mut(worker_index);
            if worker.runs.is_empty() || now < worker.lease_end {
                continue;
            }
            let expired_tasks: Vec<spec::TaskId> = worker
                .runs
                .iter()
                .filter(|(_, run)| is_over(run))
                .map(|(&task, _)| task)
                .collect();
            if expired_tasks.is_empty() {
                continue;
            }
            worker.reconciled = false;
            let expired = decision::Decision::LeaseExpired {
                worker: worker.id.clone(),
                runs: expired_tasks.len(),
                incarnation: worker.incarnation,
                last_call_ms: lease::millis(now - worker.last_lease_call),
                last_answer_ms: worker
                    .clock
                    .map(|clock| lease::millis(now - clock.received_at)),
            };
            self.log(expired);
            for task in expired_tasks {
                self.release(worker_index, task, now);
            }
        }
    }
}

fn deregister(worker: &mut worker::Worker, now: time::Monotonic) {
    if worker.registered {
        worker.registered = false;
        worker.usable_until = now + constants::REREGISTRATION_TIMEOUT;
    }
}
