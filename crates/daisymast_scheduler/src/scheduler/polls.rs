//! Polling of workers, which renews their leases and reads their running and ended runs.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::lease;
use crate::report;
use crate::steps;
use crate::worker;

impl Scheduler {
    /// Sends the polls that are due.
    pub(super) fn poll_workers(&mut self, now: time::Monotonic) {
        let is_open_initial_poll =
            |worker: &&worker::Worker| worker.polling && is_initial_poll(worker);
        let max_lease = self.max_lease;
        let mut initial_polls = self.fleet.iter().filter(is_open_initial_poll).count();
        for worker_index in 0..self.fleet.len() {
            let worker = self.fleet.at_mut(worker_index);
            if worker.polling || now < worker.next_poll || !needs_poll(worker, now) {
                continue;
            }
            if is_initial_poll(worker) {
                if initial_polls >= constants::MAX_INITIAL_POLLS {
                    continue;
                }
                initial_polls += 1;
            }
            let Some(target) = worker.target(worker_index) else {
                continue;
            };
            let idle = worker.runs.is_empty();
            // A poll that is not answered may still arrive. It must not renew the lease of a lost
            // worker, or the tasks there would never start elsewhere.
            let deadline_ms = if idle || worker.missed_replies > 0 {
                None
            } else {
                worker.extend_lease(now, max_lease)
            };
            let has_unstored_run_ends = worker.stored_end < worker.handled_end;
            let may_wait = worker.reconciled
                && worker.missed_replies == 0
                && !idle
                && !worker.poll_now
                && !has_unstored_run_ends;
            let acked_end = worker.take_ack(now);
            worker.polling = true;
            worker.last_poll = now;
            worker.poll_now = false;
            self.actions.push(action::Action::PollWorker {
                target,
                deadline_ms,
                acked_end,
                wait: if may_wait {
                    constants::POLL_WAIT
                } else {
                    std::time::Duration::ZERO
                },
            });
        }
    }

    /// Handles the outcome of a poll.
    pub fn on_poll_outcome(
        &mut self,
        worker_index: usize,
        outcome: report::PollOutcome,
        now: time::Monotonic,
    ) {
        let worker = self.fleet.at_mut(worker_index);
        worker.polling = false;
        match outcome {
            report::PollOutcome::Report(report) => self.on_report(worker_index, &report, now),
            report::PollOutcome::Fenced => self.actions.push(action::Action::Deposed),
            report::PollOutcome::WrongWorker | report::PollOutcome::Failed => {
                if outcome == report::PollOutcome::WrongWorker {
                    // Another worker has the address, so this worker and all its runs have ended.
                    worker.lease_end = now;
                    for run in worker.runs.values_mut() {
                        run.lease_end = now;
                    }
                }
                worker.acked_end = 0;
                let is_first_miss = worker.missed_replies == 0;
                worker.missed_replies += 1;
                if is_first_miss {
                    self.on_suspected(worker_index, now);
                }
                self.fleet.at_mut(worker_index).next_poll = now + constants::POLL_RETRY_DELAY;
            }
        }
    }

    /// Suspects a worker that did not answer an order: nothing is placed there until a poll
    /// succeeds.
    pub(super) fn suspect(&mut self, worker_index: usize, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        if worker.missed_replies > 0 {
            return;
        }
        worker.missed_replies = 1;
        // The open poll may take long; its answer still counts when it arrives.
        worker.polling = false;
        worker.next_poll = now;
        self.on_suspected(worker_index, now);
    }

    fn on_suspected(&mut self, worker_index: usize, now: time::Monotonic) {
        let worker = self.fleet.at(worker_index);
        let suspected = decision::Decision::WorkerSuspected {
            worker: worker.id.clone(),
            runs: worker.runs.len(),
        };
        let zone = worker
            .registration
            .as_ref()
            .map(|registration| registration.zone.clone());
        self.log(suspected);
        let Some(zone) = zone else {
            return;
        };
        let in_zone = |worker: &worker::Worker| {
            worker.registered
                && worker
                    .registration
                    .as_ref()
                    .is_some_and(|registration| registration.zone == zone)
        };
        let suspects = self
            .fleet
            .iter()
            .filter(|worker| in_zone(worker) && worker.missed_replies > 0);
        let suspects = suspects.count();
        // The zone may be cut off, which the open polls of its other workers would show only much
        // later. The first suspect leads to immediate polls of some of them, the second stops
        // placement on all.
        let probe_count = match suspects {
            1 => constants::ZONE_PROBE_WORKERS,
            constants::ZONE_SUSPECT_THRESHOLD => usize::MAX,
            _ => return,
        };
        let others = self
            .fleet
            .iter_mut()
            .filter(|worker| in_zone(worker) && worker.missed_replies == 0);
        for worker in others.take(probe_count) {
            worker.poll_now = true;
            worker.polling = false;
            worker.next_poll = now;
            if suspects == constants::ZONE_SUSPECT_THRESHOLD {
                worker.missed_replies = 1;
            }
        }
    }

    fn on_report(&mut self, worker_index: usize, report: &report::Report, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        let Some(restarted) = worker.on_process_reported(report, now) else {
            worker.next_poll = now + constants::POLL_RETRY_DELAY;
            return;
        };
        if restarted && worker.incarnation > 1 {
            // The answers of the advice service were about the former process.
            for step in self.steps.values_mut() {
                step.permissions.remove(&worker_index);
            }
        }
        let worker = self.fleet.at_mut(worker_index);
        if !restarted
            && worker
                .clock
                .is_some_and(|clock| report.clock_ms < clock.reading_ms)
        {
            // A later answer has overtaken this one.
            worker.next_poll = now;
            return;
        }
        worker.update_clock(report.clock_ms, now);
        let was_unknown = worker.missed_replies > 0 || !worker.reconciled;
        worker.missed_replies = 0;
        worker.next_poll = now + constants::MIN_POLL_INTERVAL;
        if was_unknown {
            self.dirty = true;
            let worker_known = decision::Decision::WorkerKnown {
                worker: worker.id.clone(),
                runs: report.running.len(),
                reborn: restarted,
            };
            self.log(worker_known);
        }
        self.handle_run_ends(worker_index, report, now);
        if !report.is_partial {
            self.reconcile(worker_index, report, now);
            self.fleet.at_mut(worker_index).reconciled = true;
            self.stop_strays(worker_index, report, now);
        }
        if restarted {
            self.stop_late_runs(worker_index, now);
        }
        self.stop_hung(worker_index, now);
    }

    fn handle_run_ends(
        &mut self,
        worker_index: usize,
        report: &report::Report,
        now: time::Monotonic,
    ) {
        let handled_end = self.fleet.at(worker_index).handled_end;
        let mut last = handled_end;
        for ended in report
            .ended
            .iter()
            .filter(|ended| ended.number > handled_end)
        {
            self.on_run_end(worker_index, ended, now);
            last = last.max(ended.number);
        }
        if last > handled_end {
            let worker = self.fleet.at_mut(worker_index);
            worker.handled_end = last;
            let incarnation = worker.incarnation;
            let ack = journal::Effect::AckRunEnds {
                worker: worker_index,
                incarnation,
                number: last,
            };
            self.after_commit(ack, now);
        }
    }

    /// Compares the runs that are assigned to a worker with its report, and releases those that
    /// have certainly ended.
    fn reconcile(&mut self, worker_index: usize, report: &report::Report, now: time::Monotonic) {
        for running in &report.running {
            if let Some(checkpoint) = &running.checkpoint
                && self.is_expected(worker_index, running)
            {
                self.save_checkpoint(running.task, checkpoint);
            }
            let worker = self.fleet.at_mut(worker_index);
            let incarnation = worker.incarnation;
            let Some(run) = worker.runs.get_mut(&running.task) else {
                continue;
            };
            if run.run != running.run {
                continue;
            }
            if matches!(
                run.state,
                worker::RunState::Inherited | worker::RunState::Starting
            ) {
                run.state = worker::RunState::Running {
                    since: report.clock_ms,
                };
                run.confirmed_by = incarnation;
                run.last_progress = now;
                self.mark_start_confirmed(running.task.step.job);
            }
            self.record_progress(worker_index, running, now);
            self.check_lasting_run(worker_index, running.task, now);
        }
        if report.ended.len() >= report::MAX_RUN_ENDS_PER_REPORT {
            return;
        }
        let worker = self.fleet.at(worker_index);
        let is_absent = |task: &spec::TaskId, run: &worker::Run| {
            let mut running = report.running.iter();
            !running.any(|running| running.task == *task && running.run == run.run)
        };
        let absent: Vec<spec::TaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                is_absent(task, run)
                    && has_certainly_ended(run, report.clock_ms, worker.incarnation)
            })
            .map(|(&task, _)| task)
            .collect();
        for task in absent {
            self.release_absent(worker_index, task, now);
        }
    }

    /// Releases a run that has ended with its process. If a start of it may still be carried out late,
    /// the present process is told to refuse it first.
    fn release_absent(&mut self, worker_index: usize, task: spec::TaskId, now: time::Monotonic) {
        let worker = self.fleet.at_mut(worker_index);
        let incarnation = worker.incarnation;
        if let Some(run) = worker.runs.get_mut(&task)
            && run.has_unanswered_start()
            && run.confirmed_by < incarnation
            && run.state != worker::RunState::Inherited
        {
            run.state = worker::RunState::Stopping { accepted_at: None };
            run.retry_at = now;
            return;
        }
        self.release(worker_index, task, now);
    }

    /// Takes a task of a long-running step that works as proof that its worker is sound. Such tasks
    /// never complete.
    fn check_lasting_run(&mut self, worker_index: usize, task: spec::TaskId, now: time::Monotonic) {
        let is_lasting = self
            .steps
            .get(&task.step)
            .is_some_and(|step| step.step_spec().lasting);
        let worker = self.fleet.at_mut(worker_index);
        let Some(run) = worker.runs.get(&task) else {
            return;
        };
        if is_lasting && !run.is_trial(now) && worker.health.is_newer_than_failures(run.placed_at) {
            worker.health.on_success();
        }
    }

    fn is_expected(&self, worker_index: usize, running: &report::Running) -> bool {
        self.fleet
            .at(worker_index)
            .runs
            .get(&running.task)
            .is_some_and(|run| run.run == running.run)
    }

    /// Stops runs that are not assigned to the worker. They occupy resources until they have ended.
    fn stop_strays(&mut self, worker_index: usize, report: &report::Report, now: time::Monotonic) {
        for running in &report.running {
            let known = self.fleet.at(worker_index).runs.get(&running.task);
            if known.is_none_or(|run| run.run < running.run) {
                self.stop_stray(worker_index, running.task, running.run, now);
            }
        }
    }

    /// Tells a process that was started under the same ID to refuse starts that were meant for the
    /// former one and may be carried out late.
    fn stop_late_runs(&mut self, worker_index: usize, now: time::Monotonic) {
        for (task, run) in self.fleet.at_mut(worker_index).take_late_runs(now) {
            self.stop_stray(worker_index, task, run, now);
        }
    }

    fn stop_stray(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        let size = self
            .job_table
            .job(task.step.job)
            .and_then(|job| job.step(task.step))
            .map_or(self.fleet.at(worker_index).capacity(), steps::task_size);
        let mut stray = worker::Run::new(run, size, now);
        stray.state = worker::RunState::Stopping { accepted_at: None };
        let worker = self.fleet.at_mut(worker_index);
        worker.insert(task, stray);
        let stopping = decision::Decision::Stopping {
            job: task.step.job,
            step: task.step.step,
            task: task.index,
            run,
            worker: worker.id.clone(),
            reason: decision::StopReason::Stray,
            others: 0,
        };
        self.log(stopping);
        self.send_stop(worker_index, task, now);
    }
}

/// Whether a worker needs a poll: its runs are unknown, it has active runs, it was suspected, the
/// reading of its clock is old, or it has to be told which ended runs are stored. While ended runs are not stored yet, each poll would
/// return at once with the same ones, so polls are limited to the rate that keeps the lease.
fn needs_poll(worker: &worker::Worker, now: time::Monotonic) -> bool {
    if !worker.registered && worker.runs.is_empty() {
        return false;
    }
    let active = worker
        .runs
        .values()
        .any(|run| run.state != worker::RunState::Journaling);
    if worker.stored_end < worker.handled_end {
        return active && now >= worker.last_poll + constants::UNSTORED_RUN_ENDS_POLL_INTERVAL;
    }
    worker.poll_now
        || !worker.reconciled
        || active
        || worker.acked_end < worker.stored_end
        || worker.missed_replies > 0
        || worker.has_old_clock(now)
}

/// Whether this is the first poll of a worker in this term. A worker that did not answer does not
/// count, as its polls are spaced by the retry delay.
fn is_initial_poll(worker: &worker::Worker) -> bool {
    worker.incarnation == 0 && worker.missed_replies == 0
}

/// Whether a run that a report does not list has certainly ended, because the worker answered its
/// last order before it made the report.
///
/// If an earlier process was known when the answer arrived, either that one or the present process
/// gave it. If its reading is at most [`constants::MAX_ANSWER_AGE`] ahead of the report, the present
/// process may have answered after it made the report, which arrived late. Any other reading ahead of
/// the report is one of the former process, whose runs have ended.
fn has_certainly_ended(run: &worker::Run, clock_ms: u64, incarnation: u32) -> bool {
    match run.state {
        worker::RunState::Journaling | worker::RunState::Starting => false,
        worker::RunState::Stopping { accepted_at: None } => false,
        worker::RunState::Inherited => true,
        worker::RunState::Running { since }
        | worker::RunState::Stopping {
            accepted_at: Some(since),
        } => {
            let max_age_ms = lease::millis(constants::MAX_ANSWER_AGE);
            let is_from_former = run.confirmed_by < incarnation;
            since < clock_ms || (is_from_former && since > clock_ms.saturating_add(max_age_ms))
        }
    }
}
