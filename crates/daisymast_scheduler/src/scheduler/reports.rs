//! Reports of workers: running and ended runs, and runs that are missing or not expected.

use daisymast_jobs::spec;
use daisymast_types::time;

use super::Scheduler;
use crate::action;
use crate::constants;
use crate::decision;
use crate::journal;
use crate::lease;
use crate::report;
use crate::run;
use crate::steps;

impl Scheduler {
    /// Handles a report of a worker.
    pub(super) fn on_report(
        &mut self,
        target: &action::Target,
        report: &report::Report,
        now: time::Monotonic,
    ) {
        let worker_index = target.index;
        let max_lease = self.max_lease;
        let worker = self.fleet.at_mut(worker_index);
        let Some(restarted) = worker.on_process_reported(report, target.sent_at, max_lease, now)
        else {
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
        let fenced = worker.on_fence_reported(target.fence, max_lease, now);
        if !fenced && self.fencing.raise_above(worker.call_fence()) {
            worker.next_poll = now;
        }
        if was_unknown && (fenced || restarted) {
            self.dirty = true;
            let worker_known = decision::Decision::WorkerKnown {
                worker: worker.id.clone(),
                runs: report.running.len(),
                reborn: restarted,
                incarnation: worker.incarnation,
                fence: target.fence,
                last_call_ms: lease::millis(now - worker.last_lease_call),
            };
            self.log(worker_known);
        }
        self.handle_run_ends(worker_index, report, now);
        if !report.is_partial {
            self.fleet.at_mut(worker_index).reconciled = fenced;
            self.adopt_running(worker_index, report, now);
            self.release_absent_runs(target, report, now);
            self.stop_strays(worker_index, report, now);
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

    /// Updates the assigned runs that a report lists.
    fn adopt_running(
        &mut self,
        worker_index: usize,
        report: &report::Report,
        now: time::Monotonic,
    ) {
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
            let was_unsettled = run.state == run::RunState::Unsettled;
            if was_unsettled
                || matches!(
                    run.state,
                    run::RunState::Inherited | run::RunState::Starting
                )
            {
                run.on_reported();
                run.state = run::RunState::Running {
                    since: report.clock_ms,
                };
                run.confirmed_by = incarnation;
                run.last_progress = now;
                self.mark_start_confirmed(running.task.step.job);
            }
            if was_unsettled && !self.is_wanted(worker_index, running.task, running.run) {
                let reason = decision::StopReason::Stray;
                self.request_stop(worker_index, running.task, reason, now);
            }
            self.record_progress(worker_index, running, now);
            self.check_lasting_run(worker_index, running.task, now);
        }
    }

    /// Handles the assigned runs that a report does not list: those that have certainly ended, and
    /// those of which no start has taken effect. If the report may leave out run ends, only starts that
    /// the present process has left unanswered are sent again there, which has no effect after an end.
    fn release_absent_runs(
        &mut self,
        target: &action::Target,
        report: &report::Report,
        now: time::Monotonic,
    ) {
        let lists_all_ends = report.ended.len() < report::MAX_RUN_ENDS_PER_REPORT;
        let worker = self.fleet.at(target.index);
        let is_absent = |task: &spec::TaskId, run: &run::Run| {
            let mut running = report.running.iter();
            !running.any(|running| running.task == *task && running.run == run.run)
        };
        let absent_runs = worker
            .runs
            .iter()
            .filter(|(task, run)| is_absent(task, run));
        let mut ended: Vec<spec::TaskId> = Vec::new();
        let mut lost: Vec<spec::TaskId> = Vec::new();
        for (&task, run) in absent_runs {
            let is_idempotent = run.start_order.incarnation == worker.incarnation;
            if run.has_lost_start(target.sent_at) && (lists_all_ends || is_idempotent) {
                lost.push(task);
            } else if lists_all_ends
                && (has_certainly_ended(run, report.clock_ms, worker.incarnation)
                    || run.is_settled(target.sent_at, worker.incarnation))
            {
                ended.push(task);
            }
        }
        for task in ended {
            self.on_absent(target.index, task, now);
        }
        for task in lost {
            self.on_start_lost(target.index, task, now);
        }
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

    fn stop_stray(
        &mut self,
        worker_index: usize,
        task: spec::TaskId,
        run: u32,
        now: time::Monotonic,
    ) {
        let job = self.job_table.job(task.step.job);
        let size = job
            .and_then(|job| job.step(task.step))
            .map_or(self.fleet.at(worker_index).capacity(), steps::task_size);
        let mut stray = run::Run::new(run, size, now);
        stray.charge = job.and_then(|job| run::Charge::of(job, task.step.step));
        stray.state = run::RunState::Stopping { accepted_at: None };
        self.fleet.assign(worker_index, task, stray);
        let worker = self.fleet.at(worker_index);
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

/// Whether a run that a report does not list has certainly ended, because the worker answered its
/// last order before it made the report.
///
/// If an earlier process was known when the answer arrived, either that one or the present process
/// gave it. If its reading is at most [`constants::MAX_ANSWER_AGE`] ahead of the report, the present
/// process may have answered after it made the report, which arrived late. Any other reading ahead of
/// the report is one of the former process, whose runs have ended.
fn has_certainly_ended(run: &run::Run, clock_ms: u64, incarnation: u32) -> bool {
    match run.state {
        run::RunState::Journaling | run::RunState::Starting | run::RunState::Unsettled => false,
        run::RunState::Stopping { accepted_at: None } => false,
        run::RunState::Inherited => true,
        run::RunState::Running { since }
        | run::RunState::Stopping {
            accepted_at: Some(since),
        } => {
            let max_age_ms = lease::millis(constants::MAX_ANSWER_AGE);
            let is_from_former = run.confirmed_by < incarnation;
            since < clock_ms || (is_from_former && since > clock_ms.saturating_add(max_age_ms))
        }
    }
}
