//! Behaviour of the simulated workers.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_scheduler::{action, lease, report};

use super::{
    CLOCK_STEP_MS, Delivery, GANG_TIMEOUT_MS, MAX_LEASE, Message, ORDER_TIMEOUT_MS, ObservedStart,
    POLL_TIMEOUT_MARGIN_MS, Poll, Rig, Run,
};

impl Rig {
    pub(super) fn handle_poll(&mut self, poll: Poll) {
        let Poll {
            ref target,
            number,
            reached,
            deadline,
            acked_end,
            wait,
            since,
        } = poll;
        let token = target.fence;
        let is_current = self.is_current(target);
        let started_at = self.workers[number].started_at;
        let is_silent = reached.is_some_and(|reached| reached != started_at);
        if is_silent || self.is_unreachable(number) {
            if self.now < since + wait + POLL_TIMEOUT_MARGIN_MS {
                let again = Message::Poll(Poll {
                    deadline: None,
                    acked_end: 0,
                    ..poll
                });
                self.send(CLOCK_STEP_MS, again);
            } else if is_current {
                let failed = report::PollOutcome::Failed;
                self.send(0, Message::PollReply(poll.target, failed));
            }
            return;
        }
        if !self.take_poll(number, token, deadline, acked_end) {
            if is_current {
                let fenced = report::PollOutcome::Fenced;
                self.send_answer(Message::PollReply(poll.target, fenced));
            }
            return;
        }
        let worker = &self.workers[number];
        if worker.ended.is_empty() && self.now < since + wait {
            let again = Message::Poll(Poll {
                deadline: None,
                reached: Some(started_at),
                ..poll
            });
            self.send(CLOCK_STEP_MS, again);
            return;
        }
        if is_current {
            let outcome = report::PollOutcome::Report(self.report(number));
            self.send_answer(Message::PollReply(poll.target, outcome));
        }
    }

    /// Renews the lease of a worker and lets it forget ended runs. Returns whether the worker takes
    /// calls with the fencing token.
    pub(super) fn take_poll(
        &mut self,
        number: usize,
        token: u64,
        deadline: Option<u64>,
        acked_end: u64,
    ) -> bool {
        let worker = &mut self.workers[number];
        if token < worker.token {
            return false;
        }
        worker.token = token;
        self.note_ends(number, acked_end);
        if let Some(deadline) = deadline {
            self.extend_lease(number, deadline);
        }
        true
    }

    /// Extends the lease of a worker to a time on its clock, at most by the longest lease.
    fn extend_lease(&mut self, number: usize, deadline: u64) {
        let longest = self.clock(number) + lease::millis(MAX_LEASE);
        let worker = &mut self.workers[number];
        worker.lease_end = worker.lease_end.max(deadline.min(longest));
    }

    fn report(&self, number: usize) -> report::Report {
        let worker = &self.workers[number];
        let running = worker.runs.iter().map(|(&task, run)| {
            let part = (self.now - run.started_at_ms) * 100 / run.own_work_ms.max(1);
            let percent = match run {
                _ if worker.hangs => 0,
                run if run.is_lasting && run.fails => 0,
                run if run.is_lasting => 100,
                _ => part.min(99),
            };
            report::Running {
                task,
                run: run.run,
                checkpoint: None,
                percent: u8::try_from(percent).expect("a percentage"),
            }
        });
        report::Report {
            clock_ms: self.clock(number),
            started_at: Some(worker.started_at),
            is_partial: false,
            running: running.collect(),
            ended: worker.ended.clone(),
        }
    }

    /// Carries out a stop. Returns `None` if it does not reach the worker.
    pub(super) fn handle_stop(
        &mut self,
        number: usize,
        token: u64,
        task: spec::TaskId,
        run: u32,
        delivery: Delivery,
    ) -> Option<report::OrderOutcome> {
        if self.loses_order(number, delivery) {
            return None;
        }
        let clock = self.clock(number);
        let worker = &mut self.workers[number];
        if token < worker.token {
            let fenced = report::Refusal::Fenced;
            return Some(report::OrderOutcome::Refused(fenced, Some(clock)));
        }
        worker.token = token;
        let finished = worker.finished_runs.entry(task).or_default();
        *finished = (*finished).max(run);
        if worker.runs.get(&task).is_some_and(|at| at.run == run) {
            self.end(number, task, report::End::Stopped);
            self.break_gang(task, run);
        }
        Some(report::OrderOutcome::Accepted(clock))
    }

    fn loses_order(&self, number: usize, delivery: Delivery) -> bool {
        let worker = &self.workers[number];
        worker.is_down || (worker.is_disconnected && !delivery.is_late)
    }

    pub(super) fn handle_start(&mut self, start: &action::Start, delivery: Delivery) {
        let number = self.number(start.target.id.as_str());
        let reply =
            |outcome| Message::StartReply(start.target.clone(), start.task, start.run, outcome);
        let is_answered = delivery.is_answered && self.is_current(&start.target);
        if self.loses_order(number, delivery) {
            if is_answered {
                self.send(ORDER_TIMEOUT_MS, reply(report::OrderOutcome::Unknown));
            }
            return;
        }
        let outcome = self.take_start(number, start);
        if is_answered {
            self.send_answer(reply(outcome));
        }
    }

    /// Carries out a start. One that is refused for another reason than its fencing token renews the
    /// lease nevertheless.
    fn take_start(&mut self, number: usize, start: &action::Start) -> report::OrderOutcome {
        let clock = self.clock(number);
        let refused = |refusal| report::OrderOutcome::Refused(refusal, Some(clock));
        let worker = &mut self.workers[number];
        if start.target.fence < worker.token {
            return refused(report::Refusal::Fenced);
        }
        worker.token = start.target.fence;
        self.extend_lease(number, start.deadline_ms);
        let worker = &self.workers[number];
        let finished = worker.finished_runs.get(&start.task);
        if finished.is_some_and(|&finished| start.run <= finished) {
            return refused(report::Refusal::OldRun);
        }
        if start.deadline_ms <= clock {
            return refused(report::Refusal::Expired);
        }
        if worker.runs.get(&start.task).map(|run| run.run) != Some(start.run) {
            self.begin(number, start);
        }
        report::OrderOutcome::Accepted(clock)
    }

    fn begin(&mut self, number: usize, start: &action::Start) {
        let task = start.task;
        let size = start.spec.steps[usize::from(task.step.step)].size;
        let step_spec = &start.spec.steps[usize::from(task.step.step)];
        let rack = self.workers[number].rack;
        let is_near = step_spec.rack.as_ref().is_none_or(|at| at.as_str() == rack);
        let factor = if is_near {
            1.0
        } else {
            self.locality.far_factor()
        };
        let work = Duration::from_millis(self.work_ms[&(task.step.job, task.step.step)])
            .mul_f64(factor * 100.0 / self.workers[number].speed as f64);
        let work = lease::millis(work);
        let fails = self.failing_jobs.contains(&task.step.job);
        self.check_start(number, task, &start.spec);
        self.check_cap(task, size);
        let worker = &mut self.workers[number];
        let fails = fails || worker.fails_all_tasks;
        let ends_at = if worker.hangs {
            u64::MAX
        } else if fails {
            self.now + work / 4
        } else {
            self.now + work
        };
        worker.runs.insert(
            task,
            Run {
                run: start.run,
                ends_at,
                size,
                fails,
                started_at_ms: self.now,
                own_work_ms: work,
                is_waiting_for_gang: false,
                is_lasting: start.spec.steps[usize::from(task.step.step)].lasting,
            },
        );
        if start.spec.steps[usize::from(task.step.step)].gang && !fails {
            self.join_gang(
                task,
                start.run,
                start.spec.steps[usize::from(task.step.step)].tasks,
            );
        }
        self.starts.push(ObservedStart {
            task,
            run: start.run,
            worker: number,
            started_at: self.now,
            ended_at: None,
            done: false,
            is_noted: false,
        });
    }

    /// Lets the members of a gang wait until all are present. From then on they work, and end
    /// together with the slowest one.
    fn join_gang(&mut self, task: spec::TaskId, run: u32, size: u32) {
        let now = self.now;
        let work = self.work_ms[&(task.step.job, task.step.step)];
        let mut members = Vec::new();
        for (number, worker) in self.workers.iter_mut().enumerate() {
            for (member, at) in &mut worker.runs {
                if member.step == task.step && at.run == run {
                    at.ends_at = now + GANG_TIMEOUT_MS;
                    at.is_waiting_for_gang = true;
                    members.push((number, *member));
                }
            }
        }
        if members.len() < size as usize {
            return;
        }
        let slowest = members
            .iter()
            .map(|(number, _)| self.workers[*number].speed)
            .min();
        let ends_at = now + work * 100 / slowest.expect("a member");
        for (number, member) in members {
            let speed = self.workers[number].speed;
            let at = self.workers[number]
                .runs
                .get_mut(&member)
                .expect("a member");
            at.ends_at = ends_at;
            at.is_waiting_for_gang = false;
            at.started_at_ms = now;
            at.own_work_ms = work * 100 / speed;
        }
    }

    pub(super) fn clock(&self, number: usize) -> u64 {
        let worker = &self.workers[number];
        (self.now - worker.started_at) * worker.clock_rate / 100
    }

    pub(super) fn end(&mut self, number: usize, task: spec::TaskId, end: report::End) {
        let now = self.now;
        let worker = &mut self.workers[number];
        let Some(run) = worker.runs.remove(&task) else {
            return;
        };
        worker.last_end += 1;
        let finished = worker.finished_runs.entry(task).or_default();
        *finished = (*finished).max(run.run);
        worker.ended.push(report::Ended {
            number: worker.last_end,
            task,
            run: run.run,
            end,
            checkpoint: None,
        });
        // A former process of the worker may have started the same run.
        let start = self
            .starts
            .iter_mut()
            .rfind(|one| one.task == task && one.run == run.run && one.worker == number);
        if let Some(start) = start {
            start.ended_at = Some(now);
            start.done = end == report::End::Done;
        }
    }

    pub(super) fn advance_workers(&mut self) {
        for number in 0..self.workers.len() {
            if self.workers[number].is_down {
                continue;
            }
            let clock = self.clock(number);
            let now = self.now;
            let worker = &mut self.workers[number];
            if clock >= worker.lease_end {
                worker.lapsed_at = now;
            }
            let lease_expired = !worker.runs.is_empty() && clock >= worker.lease_end;
            let ended: Vec<(spec::TaskId, report::End)> = worker
                .runs
                .iter()
                .filter_map(|(&task, run)| {
                    if lease_expired {
                        Some((task, report::End::Lapsed))
                    } else if self.now < run.ends_at {
                        None
                    } else if run.is_waiting_for_gang {
                        Some((task, report::End::Alone))
                    } else if run.fails {
                        Some((task, report::End::Failed))
                    } else {
                        Some((task, report::End::Done))
                    }
                })
                .collect();
            for (task, end) in ended {
                let run = self.workers[number].runs.get(&task).map(|run| run.run);
                self.end(number, task, end);
                if let Some(run) = run.filter(|_| end != report::End::Done) {
                    self.break_gang(task, run);
                }
            }
        }
    }

    /// Ends all members of a gang after one of them has ended.
    pub(super) fn break_gang(&mut self, task: spec::TaskId, run: u32) {
        let job = self.scheduler.job_table().job(task.step.job);
        if !job
            .and_then(|job| job.step(task.step))
            .is_some_and(|step| step.gang)
        {
            return;
        }
        for number in 0..self.workers.len() {
            let members: Vec<spec::TaskId> = self.workers[number]
                .runs
                .iter()
                .filter(|(member, at)| member.step == task.step && at.run == run)
                .map(|(&member, _)| member)
                .collect();
            for member in members {
                self.end(number, member, report::End::Broken);
            }
        }
    }

    /// Switches the worker off. It loses all its state.
    pub(crate) fn crash(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        worker.is_down = true;
        worker.runs.clear();
        worker.ended.clear();
        worker.finished_runs.clear();
        worker.token = 0;
        worker.lease_end = 0;
        worker.last_end = 0;
    }

    /// Restarts the worker with empty state.
    pub(crate) fn restart(&mut self, number: usize) {
        self.crash(number);
        self.power_on(number);
        self.register(number);
    }

    /// Switches a worker on again that is off. The store does not list its new process yet.
    pub(crate) fn power_on(&mut self, number: usize) {
        self.workers[number].is_down = false;
        self.workers[number].started_at = self.now;
    }

    /// Lets one of the runs in progress fail; `choice` selects it.
    pub(crate) fn fail_run(&mut self, choice: usize) {
        let now = self.now;
        let count = self.running().max(1);
        let runs = self
            .workers
            .iter_mut()
            .flat_map(|worker| worker.runs.values_mut());
        if let Some(run) = runs.into_iter().nth(choice % count) {
            run.fails = true;
            run.ends_at = now;
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs.len()).sum()
    }
}
