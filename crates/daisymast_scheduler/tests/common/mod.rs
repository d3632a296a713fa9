//! Test rig: a scheduler and simulated workers on a virtual clock.
//!
//! The workers follow the platform's contract: they obey the highest fencing token, start whatever
//! they are told to, stop all runs when their lease expires, and report run ends until these are
//! acknowledged. They do not detect faults of the scheduler; the checks read only the state of the
//! workers.
#![allow(dead_code, reason = "each test file uses a part of the rig")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::{job, job_table, queue, record, spec};
use daisymast_scheduler::{action, config, report, scheduler, worker};
use daisymast_types::{quantities, time};

/// One-way network delay, in milliseconds.
const NETWORK_DELAY_MS: u64 = 1;
/// Longest additional delay of a worker's answer where answers may overtake each other, in
/// milliseconds.
const MAX_ANSWER_DELAY_MS: u64 = 100;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 8;
/// Every n-th batch is replaced by a checkpoint, so that takeovers also start from checkpoints.
const CHECKPOINT_BATCHES: u64 = 7;
/// How long a gang member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Step of the virtual clock, in milliseconds.
const CLOCK_STEP_MS: u64 = 5;

pub(crate) const QUICK: &str = "quick";
pub(crate) const GANGS: &str = "gangs";
pub(crate) const BATCH: &str = "batch";

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) run: u32,
    pub(crate) ends_at: u64,
    pub(crate) size: quantities::Resources,
    pub(crate) fails: bool,
    pub(crate) started_at_ms: u64,
    /// Run time on this worker without waiting for others, in milliseconds.
    pub(crate) own_work_ms: u64,
    /// Whether the run waits for other members of its gang to start.
    pub(crate) is_waiting_for_gang: bool,
    /// Whether the task runs until its job is cancelled.
    pub(crate) is_lasting: bool,
}

/// A simulated worker that starts whatever it is told to.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) zone: &'static str,
    pub(crate) started_at: u64,
    pub(crate) token: u64,
    pub(crate) runs: BTreeMap<spec::TaskId, Run>,
    /// Highest run number that was stopped or has ended, by task.
    pub(crate) finished_runs: BTreeMap<spec::TaskId, u32>,
    pub(crate) ended: Vec<report::Ended>,
    pub(crate) last_end: u64,
    pub(crate) lease_end: u64,
    /// No message to or from the worker arrives, but its runs continue.
    pub(crate) is_disconnected: bool,
    /// Whether the worker is switched off.
    pub(crate) is_down: bool,
    /// Orders are executed this much later and are not answered; 0 for normal operation.
    pub(crate) order_delay_ms: u64,
    /// Whether all runs that the worker starts fail.
    pub(crate) fails_all_tasks: bool,
    /// Whether runs on the worker make no progress.
    pub(crate) hangs: bool,
    /// Speed in percent.
    pub(crate) speed: u64,
    pub(crate) draining: bool,
}

/// A poll of a worker.
#[derive(Clone, Copy)]
struct Poll {
    worker_index: usize,
    token: u64,
    deadline: Option<u64>,
    acked_end: u64,
    wait: u64,
    since: u64,
}

/// A message in transit.
enum Message {
    Poll(Poll),
    Start {
        token: u64,
        start: Box<action::Start>,
        is_answered: bool,
    },
    Stop {
        worker_index: usize,
        token: u64,
        task: spec::TaskId,
        run: u32,
    },
    PollReply(usize, report::PollOutcome),
    StartReply(usize, spec::TaskId, u32, report::OrderOutcome),
    StopReply(usize, spec::TaskId, u32, report::OrderOutcome),
    Advice(u64, Vec<(String, String)>),
    Committed(Vec<record::Record>),
}

/// The start of a run, as a worker observed it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedStart {
    pub(crate) task: spec::TaskId,
    pub(crate) run: u32,
    pub(crate) worker: usize,
    pub(crate) started_at: u64,
    /// When the run ended, if it has.
    pub(crate) ended_at: Option<u64>,
    pub(crate) done: bool,
}

pub(crate) struct Rig {
    pub(crate) now: u64,
    pub(crate) scheduler: scheduler::Scheduler,
    pub(crate) token: u64,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_numbers: BTreeMap<String, usize>,
    pub(crate) starts: Vec<ObservedStart>,
    pub(crate) answers: BTreeMap<u64, action::Answer>,
    pub(crate) deposed: bool,
    pub(crate) journal: Vec<record::Record>,
    batches: u64,
    /// Workers that the advice service allows; empty if it allows all.
    pub(crate) allowed: BTreeSet<String>,
    pub(crate) store_down: bool,
    pub(crate) polls: u64,
    pub(crate) log: Vec<daisymast_scheduler::decision::Decision>,
    /// Workers that each advice request named, with the job of its step.
    pub(crate) advice_requests: Vec<(spec::JobId, Vec<String>)>,
    messages: Vec<(u64, u64, Message)>,
    sequence: u64,
    pub(crate) work_ms: BTreeMap<(spec::JobId, u16), u64>,
    next_tick: u64,
    /// Jobs whose runs all fail.
    pub(crate) failing_jobs: BTreeSet<spec::JobId>,
    /// Source of the delays of workers' answers; without it, answers arrive in order.
    pub(crate) answer_delays: Option<fastrand::Rng>,
}

pub(crate) fn queue(name: &str, priority: u32, advice: bool) -> queue::Queue {
    queue::Queue {
        name: name.into(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        service: "s".into(),
        priority,
        attempts: 3,
        stretch: 2.0,
        latency_ms: 500.0,
        advice: advice.then_some(queue::Advice {
            decide_ms: 400.0,
            per_worker_ms: 6.0,
            valid_ms: 1_200.0,
        }),
    }
}

pub(crate) fn config() -> Arc<config::Configuration> {
    Arc::new(config::Configuration {
        version: 1,
        queues: vec![
            queue(QUICK, 0, false),
            queue(GANGS, 1, true),
            queue(BATCH, 2, false),
        ],
        services: Vec::new(),
    })
}

/// Builds a step of equal tasks.
pub(crate) fn step(tasks: u32, cores: u32, work_ms: u32) -> spec::Step {
    spec::Step {
        tasks,
        size: quantities::Resources::new(cores * 1_000, 1_024, 0),
        estimate_ms: work_ms,
        ..spec::Step::default()
    }
}

pub(crate) fn gang(tasks: u32, cores: u32, work_ms: u32) -> spec::Step {
    spec::Step {
        gang: true,
        ..step(tasks, cores, work_ms)
    }
}

pub(crate) fn job(steps: Vec<spec::Step>) -> spec::JobSpec {
    spec::JobSpec {
        payload: "p".to_owned(),
        steps,
        schedule: None,
    }
}

impl Rig {
    /// Creates a scheduler and workers of 32 cores in three zones.
    pub(crate) fn new(count: usize) -> Self {
        let zones = ["a", "b", "c"];
        let workers: Vec<Worker> = (0..count)
            .map(|number| Worker {
                id: format!("w{number:02}"),
                zone: zones[number % zones.len()],
                started_at: 1,
                token: 0,
                runs: BTreeMap::new(),
                finished_runs: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                lease_end: 0,
                is_disconnected: false,
                is_down: false,
                order_delay_ms: 0,
                fails_all_tasks: false,
                hangs: false,
                speed: 100,
                draining: false,
            })
            .collect();
        let worker_numbers = workers
            .iter()
            .enumerate()
            .map(|(number, worker)| (worker.id.clone(), number))
            .collect();
        let now = 100_000;
        let mut rig = Self {
            now,
            scheduler: scheduler::Scheduler::resume(
                config(),
                job_table::JobTable::default(),
                time::Monotonic::from_millis(now),
                timestamp(now),
            ),
            token: 1,
            workers,
            worker_numbers,
            starts: Vec::new(),
            answers: BTreeMap::new(),
            deposed: false,
            journal: Vec::new(),
            batches: 0,
            allowed: BTreeSet::new(),
            store_down: false,
            polls: 0,
            log: Vec::new(),
            advice_requests: Vec::new(),
            messages: Vec::new(),
            sequence: 0,
            work_ms: BTreeMap::new(),
            next_tick: 0,
            failing_jobs: BTreeSet::new(),
            answer_delays: None,
        };
        rig.register_all();
        rig.run_ms(100);
        rig
    }

    pub(crate) fn register_all(&mut self) {
        self.scheduler
            .set_advice_nodes(&["n1".into(), "n2".into(), "n3".into()]);
        for number in 0..self.workers.len() {
            self.register(number);
        }
    }

    pub(crate) fn register(&mut self, number: usize) {
        let worker = &self.workers[number];
        let registration = worker::Registration {
            id: worker.id.as_str().into(),
            service: "s".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: worker.zone.into(),
            capacity: capacity(),
            rack: Some("r1".into()),
            labels: Vec::new(),
            draining: worker.draining,
            started_at: Some(worker.started_at),
        };
        self.scheduler
            .on_worker_registered(registration, mono(self.now));
    }

    pub(crate) fn deregister(&mut self, number: usize) {
        let id = self.workers[number].id.as_str().into();
        self.scheduler.on_worker_deregistered(&id, mono(self.now));
    }

    /// Submits a job and records the run time of its tasks.
    pub(crate) fn submit(&mut self, id: u64, queue: &str, spec: spec::JobSpec) {
        let job = spec::JobId(id);
        for (number, step) in (0_u16..).zip(&spec.steps) {
            self.work_ms
                .insert((job, number), u64::from(step.estimate_ms));
        }
        self.scheduler
            .submit(id, job, queue.into(), spec, timestamp(self.now));
    }

    pub(crate) fn state(&self, id: u64) -> Option<job::State> {
        self.scheduler.state(spec::JobId(id))
    }

    /// Replaces the scheduler by a new one that starts from the stored records. Orders of the
    /// former one still arrive.
    pub(crate) fn take_over(&mut self) {
        let mut job_table = job_table::JobTable::default();
        for record in self.journal.clone() {
            job_table.apply(record);
        }
        self.token += 1;
        self.deposed = false;
        // Replies and open commits were addressed to the former scheduler.
        self.messages.retain(|(_, _, message)| {
            matches!(
                message,
                Message::Start { .. } | Message::Stop { .. } | Message::Poll(_)
            )
        });
        self.scheduler = scheduler::Scheduler::resume(
            config(),
            job_table,
            mono(self.now + 13_000),
            timestamp(self.now),
        );
        self.register_all();
    }

    pub(crate) fn run_ms(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += CLOCK_STEP_MS;
            self.advance_workers();
            self.deliver();
            if self.now >= self.next_tick {
                self.next_tick = self.now + 50;
                self.scheduler.tick(timestamp(self.now));
            } else {
                self.scheduler.run_pass(mono(self.now));
            }
            self.carry_out();
            if !self.store_down
                && let Some(batch) = self.scheduler.take_batch()
            {
                self.batches += 1;
                let batch = if self.batches.is_multiple_of(CHECKPOINT_BATCHES) {
                    self.scheduler.checkpoint()
                } else {
                    batch
                };
                self.send(COMMIT_MS, Message::Committed(batch));
            }
        }
    }

    /// Runs until a job has a state, for at most `limit` milliseconds. Returns the time, or `None`
    /// if the limit was reached.
    pub(crate) fn run_until(&mut self, id: u64, state: job::State, limit: u64) -> Option<u64> {
        let end = self.now + limit;
        while self.now < end {
            if self.state(id) == Some(state) {
                return Some(self.now);
            }
            self.run_ms(CLOCK_STEP_MS);
        }
        None
    }

    fn send(&mut self, after: u64, message: Message) {
        self.sequence += 1;
        self.messages
            .push((self.now + after, self.sequence, message));
    }

    /// Sends an answer of a worker. Answers use different connections, so a later one may overtake
    /// an earlier one.
    fn send_answer(&mut self, answer: Message) {
        let delay = self
            .answer_delays
            .as_mut()
            .map_or(0, |delays| delays.u64(0..=MAX_ANSWER_DELAY_MS));
        self.send(NETWORK_DELAY_MS + delay, answer);
    }

    fn carry_out(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                action::Action::PollWorker {
                    target,
                    deadline_ms,
                    acked_end,
                    wait,
                } => {
                    self.polls += 1;
                    let poll = Poll {
                        worker_index: target.index,
                        token: self.token,
                        deadline: deadline_ms,
                        acked_end,
                        wait: millis(wait),
                        since: self.now,
                    };
                    self.send(NETWORK_DELAY_MS, Message::Poll(poll));
                }
                action::Action::Start(start) => {
                    let number = self.number(start.target.id.as_str());
                    let delay = self.workers[number].order_delay_ms;
                    let message = Message::Start {
                        token: self.token,
                        start: Box::new(start.clone()),
                        is_answered: delay == 0,
                    };
                    self.send(NETWORK_DELAY_MS + delay, message);
                    if delay > 0 || self.is_unreachable(number) {
                        let unknown = report::OrderOutcome::Unknown;
                        let reply =
                            Message::StartReply(start.target.index, start.task, start.run, unknown);
                        self.send(250, reply);
                    }
                }
                action::Action::Stop { target, task, run } => {
                    let number = self.number(target.id.as_str());
                    let message = Message::Stop {
                        worker_index: target.index,
                        token: self.token,
                        task,
                        run,
                    };
                    self.send(NETWORK_DELAY_MS, message);
                    if self.is_unreachable(number) {
                        let unknown = report::OrderOutcome::Unknown;
                        self.send(250, Message::StopReply(target.index, task, run, unknown));
                    }
                }
                action::Action::RequestAdvice {
                    call,
                    step,
                    workers,
                    ..
                } => {
                    self.advice_requests.push((step.job, workers.clone()));
                    let takes = 400 + 6 * u64::try_from(workers.len()).expect("a count");
                    let allowed = workers
                        .into_iter()
                        .filter(|id| self.allowed.is_empty() || self.allowed.contains(id))
                        .map(|id| (id, "ticket".to_owned()))
                        .collect();
                    self.send(takes, Message::Advice(call, allowed));
                }
                action::Action::Answer { token, answer } => {
                    self.answers.insert(token, answer);
                }
                action::Action::Deposed => self.deposed = true,
                action::Action::Log(decision) => self.log.push(decision),
            }
        }
    }

    fn number(&self, id: &str) -> usize {
        self.worker_numbers[id]
    }

    fn is_unreachable(&self, number: usize) -> bool {
        self.workers[number].is_disconnected || self.workers[number].is_down
    }

    /// Returns the number of the worker with the given index in the scheduler's fleet.
    fn at(&self, worker_index: usize) -> usize {
        self.number(self.scheduler.fleet().at(worker_index).id.as_str())
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<(u64, u64, Message)> = Vec::new();
        let mut kept = Vec::new();
        for message in self.messages.drain(..) {
            if message.0 <= now {
                due.push(message);
            } else {
                kept.push(message);
            }
        }
        self.messages = kept;
        due.sort_by_key(|(at, sequence, _)| (*at, *sequence));
        for (_, _, message) in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = mono(self.now);
        match message {
            Message::Poll(poll) => self.handle_poll(poll),
            Message::Start {
                token,
                start,
                is_answered,
            } => self.handle_start(token, &start, is_answered),
            Message::Stop {
                worker_index,
                token,
                task,
                run,
            } => {
                let number = self.at(worker_index);
                if self.is_unreachable(number) {
                    return;
                }
                let clock = self.clock(number);
                let worker = &mut self.workers[number];
                let outcome = if token < worker.token {
                    report::OrderOutcome::Refused(report::Refusal::Fenced, Some(clock))
                } else {
                    worker.token = token;
                    let finished = worker.finished_runs.entry(task).or_default();
                    *finished = (*finished).max(run);
                    if worker.runs.get(&task).is_some_and(|at| at.run == run) {
                        self.end(number, task, report::End::Stopped);
                        self.break_gang(task, run);
                    }
                    report::OrderOutcome::Accepted(clock)
                };
                self.send_answer(Message::StopReply(worker_index, task, run, outcome));
            }
            Message::PollReply(worker_index, outcome) => {
                self.scheduler.on_poll_outcome(worker_index, outcome, now);
            }
            Message::StartReply(worker_index, task, run, outcome) => {
                self.scheduler
                    .on_start(worker_index, task, run, outcome, now);
            }
            Message::StopReply(worker_index, task, run, outcome) => {
                self.scheduler
                    .on_stop(worker_index, task, run, outcome, now);
            }
            Message::Advice(call, allowed) => self.scheduler.on_advice(call, Some(allowed), now),
            Message::Committed(batch) => {
                self.journal.extend(batch);
                self.scheduler.committed(now);
            }
        }
    }

    fn handle_poll(&mut self, poll: Poll) {
        let Poll {
            worker_index,
            token,
            deadline,
            acked_end,
            wait,
            since,
        } = poll;
        let number = self.at(worker_index);
        if self.is_unreachable(number) {
            if self.now >= since + wait + 500 {
                self.send(
                    0,
                    Message::PollReply(worker_index, report::PollOutcome::Failed),
                );
            } else {
                let again = Message::Poll(Poll {
                    deadline: None,
                    acked_end: 0,
                    ..poll
                });
                self.send(CLOCK_STEP_MS, again);
            }
            return;
        }
        let clock = self.clock(number);
        let worker = &mut self.workers[number];
        if token < worker.token {
            self.send_answer(Message::PollReply(
                worker_index,
                report::PollOutcome::Fenced,
            ));
            return;
        }
        worker.token = token;
        worker.ended.retain(|ended| ended.number > acked_end);
        if let Some(deadline) = deadline {
            worker.lease_end = worker.lease_end.max(deadline.min(clock + 6_000));
        }
        if worker.ended.is_empty() && self.now < since + wait {
            let again = Message::Poll(Poll {
                deadline: None,
                ..poll
            });
            self.send(CLOCK_STEP_MS, again);
            return;
        }
        let report = self.report(number);
        let outcome = report::PollOutcome::Report(report);
        self.send_answer(Message::PollReply(worker_index, outcome));
    }

    fn report(&self, number: usize) -> report::Report {
        let worker = &self.workers[number];
        let running = worker.runs.iter().map(|(&task, run)| {
            let part = (self.now - run.started_at_ms) * 100 / run.own_work_ms.max(1);
            let percent = match run {
                _ if worker.hangs => 0,
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

    fn handle_start(&mut self, token: u64, start: &action::Start, is_answered: bool) {
        let number = self.number(start.target.id.as_str());
        if self.is_unreachable(number) {
            return;
        }
        let clock = self.clock(number);
        let worker = &mut self.workers[number];
        let refused = |refusal| report::OrderOutcome::Refused(refusal, Some(clock));
        let present = worker.runs.get(&start.task).map(|run| run.run);
        let outcome = if token < worker.token {
            refused(report::Refusal::Fenced)
        } else if worker
            .finished_runs
            .get(&start.task)
            .is_some_and(|&finished| start.run <= finished)
        {
            refused(report::Refusal::OldRun)
        } else if start.deadline_ms <= clock {
            refused(report::Refusal::Expired)
        } else if present == Some(start.run) {
            report::OrderOutcome::Accepted(clock)
        } else {
            worker.token = token;
            worker.lease_end = worker.lease_end.max(start.deadline_ms.min(clock + 6_000));
            self.begin(number, start);
            report::OrderOutcome::Accepted(clock)
        };
        if is_answered {
            let worker_index = start.target.index;
            let reply = Message::StartReply(worker_index, start.task, start.run, outcome);
            self.send_answer(reply);
        }
    }

    fn begin(&mut self, number: usize, start: &action::Start) {
        let task = start.task;
        let size = start.spec.steps[usize::from(task.step.step)].size;
        let work =
            self.work_ms[&(task.step.job, task.step.step)] * 100 / self.workers[number].speed;
        let fails = self.failing_jobs.contains(&task.step.job);
        self.check_start(number, task, size);
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

    /// Checks a start from the workers' view: the capacity is not exceeded, the task does not run
    /// elsewhere, its completion was not acknowledged before, and the previous steps are done.
    fn check_start(&self, number: usize, task: spec::TaskId, size: quantities::Resources) {
        let used = self.workers[number]
            .runs
            .values()
            .fold(size, |sum, run| sum + run.size);
        assert!(
            used.fits_in(capacity()),
            "{} ms: capacity of {} exceeded by {task:?}: {used:?}",
            self.now,
            self.workers[number].id
        );
        for (other, worker) in self.workers.iter().enumerate() {
            assert!(
                worker.is_down || !worker.runs.contains_key(&task),
                "{} ms: {task:?} starts on worker {number} and runs on worker {other}",
                self.now
            );
        }
        let is_acknowledged = |start: &&ObservedStart| {
            start.done
                && !self.workers[start.worker]
                    .ended
                    .iter()
                    .any(|end| end.task == task)
        };
        // Tasks of a long-running step start again however they end.
        let lasting = self
            .scheduler
            .job_table()
            .job(task.step.job)
            .and_then(|job| job.step(task.step))
            .is_some_and(|step| step.lasting);
        assert!(
            lasting
                || !self
                    .starts
                    .iter()
                    .filter(|start| start.task == task)
                    .any(|start| is_acknowledged(&start)),
            "{} ms: {task:?} starts again although its completion was acknowledged",
            self.now
        );
        let job = self
            .scheduler
            .job_table()
            .job(task.step.job)
            .expect("a known job");
        for &before in &job.spec.steps[usize::from(task.step.step)].after {
            let before = spec::StepId {
                step: before,
                ..task.step
            };
            let count = job.tasks(before).map_or(0, |tasks| tasks.tasks.len());
            for index in 0..u32::try_from(count).expect("a count") {
                let done = self
                    .starts
                    .iter()
                    .any(|start| start.task == before.task(index) && start.done);
                assert!(done, "{} ms: {task:?} starts before {before:?}", self.now);
            }
        }
    }

    fn clock(&self, number: usize) -> u64 {
        self.now - self.workers[number].started_at
    }

    fn end(&mut self, number: usize, task: spec::TaskId, end: report::End) {
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
        let start = self
            .starts
            .iter_mut()
            .find(|one| one.task == task && one.run == run.run && one.worker == number);
        if let Some(start) = start {
            start.ended_at = Some(now);
            start.done = end == report::End::Done;
        }
    }

    fn advance_workers(&mut self) {
        for number in 0..self.workers.len() {
            if self.workers[number].is_down {
                continue;
            }
            let clock = self.clock(number);
            let worker = &self.workers[number];
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
    fn break_gang(&mut self, task: spec::TaskId, run: u32) {
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

    /// Returns the tasks whose last run ended more than `limit` milliseconds ago.
    pub(crate) fn waiting_since(&self, limit: u64) -> Vec<spec::TaskId> {
        let mut last_runs: BTreeMap<spec::TaskId, &ObservedStart> = BTreeMap::new();
        for start in &self.starts {
            last_runs.insert(start.task, start);
        }
        last_runs
            .values()
            .filter(|start| start.ended_at.is_some_and(|end| self.now - end > limit))
            .map(|start| start.task)
            .collect()
    }

    pub(crate) fn running(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs.len()).sum()
    }

    pub(crate) fn starts_of(&self, id: u64) -> Vec<&ObservedStart> {
        let job = spec::JobId(id);
        self.starts
            .iter()
            .filter(|start| start.task.step.job == job)
            .collect()
    }
}

pub(crate) fn capacity() -> quantities::Resources {
    quantities::Resources::new(32_000, 64 * 1_024, 0)
}

pub(crate) fn mono(now: u64) -> time::Monotonic {
    time::Monotonic::from_millis(now)
}

pub(crate) fn timestamp(now: u64) -> time::Timestamp {
    time::Timestamp::new(now, 1_700_000_000_000 + now)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a short time")
}
