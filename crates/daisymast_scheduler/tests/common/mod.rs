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
use daisymast_scheduler::{action, config, locality, report, scheduler, worker};
use daisymast_types::{quantities, time};

mod checks;
mod late_calls;
pub(crate) mod organisations;
pub(crate) mod series;
mod workers;

/// One-way network delay, in milliseconds.
const NETWORK_DELAY_MS: u64 = 1;
/// Longest additional delay of a worker's answer where answers may overtake each other, in
/// milliseconds.
const DEFAULT_ANSWER_DELAY_MS: u64 = 100;
/// Time after which an order without an answer counts as unanswered, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 250;
/// Time beyond its wait after which a poll without an answer counts as failed, in milliseconds.
const POLL_TIMEOUT_MARGIN_MS: u64 = 500;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 8;
/// Age of placements whose starts may not have been answered when a scheduler is replaced, in
/// milliseconds.
pub(crate) const RECENT_MS: u64 = 300;
/// Time without a commit after which the scheduler's term is renewed, in milliseconds.
const RENEWAL_MS: u64 = 300;
/// Every n-th batch is replaced by a checkpoint, so that takeovers also start from checkpoints.
const CHECKPOINT_BATCHES: u64 = 7;
/// How long a gang member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Longest lease that a worker accepts.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// How long a scheduler that was replaced may still act.
const LEADER_LEASE: Duration = Duration::from_secs(7);
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
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) started_at: u64,
    pub(crate) token: u64,
    pub(crate) runs: BTreeMap<spec::TaskId, Run>,
    /// Highest run number that was stopped or has ended, by task.
    pub(crate) finished_runs: BTreeMap<spec::TaskId, u32>,
    pub(crate) ended: Vec<report::Ended>,
    pub(crate) last_end: u64,
    pub(crate) lease_end: u64,
    /// When the worker last had no lease.
    pub(crate) lapsed_at: u64,
    /// No message to or from the worker arrives, but its runs continue.
    pub(crate) is_disconnected: bool,
    /// Whether the worker is switched off.
    pub(crate) is_down: bool,
    /// Orders are executed this much later and are not answered; 0 for normal operation.
    pub(crate) order_delay_ms: u64,
    /// Polls are carried out this much later and are not answered; 0 for normal operation.
    pub(crate) poll_delay_ms: u64,
    /// Share of calls, in percent, that are not answered and carried out late, each by a random time.
    pub(crate) late_percent: u64,
    /// Whether the answers to orders are lost.
    pub(crate) loses_answers: bool,
    /// Whether all runs that the worker starts fail.
    pub(crate) fails_all_tasks: bool,
    /// Whether runs on the worker make no progress.
    pub(crate) hangs: bool,
    /// Speed in percent.
    pub(crate) speed: u64,
    /// Rate of the clock in percent.
    pub(crate) clock_rate: u64,
    pub(crate) draining: bool,
    pub(crate) rack: &'static str,
}

/// A poll of a worker.
#[derive(Clone)]
struct Poll {
    target: action::Target,
    number: usize,
    /// Start time of the process that the poll has reached. Its connection stays silent if that
    /// process ends.
    reached: Option<u64>,
    deadline: Option<u64>,
    acked_end: u64,
    wait: u64,
    since: u64,
}

/// How an order reaches its worker.
#[derive(Clone, Copy)]
struct Delivery {
    /// Whether the answer arrives.
    is_answered: bool,
    /// Whether the order reaches the worker at once and is carried out later, also if the worker is
    /// cut off or has started again meanwhile.
    is_late: bool,
}

/// A message in transit.
enum Message {
    Poll(Poll),
    /// A poll that is not answered and carried out late, by the process that uses the ID then.
    LatePoll(Poll),
    Start {
        start: Box<action::Start>,
        delivery: Delivery,
    },
    Stop {
        target: action::Target,
        number: usize,
        task: spec::TaskId,
        run: u32,
        delivery: Delivery,
    },
    PollReply(action::Target, report::PollOutcome),
    StartReply(action::Target, spec::TaskId, u32, report::OrderOutcome),
    StopReply(action::Target, spec::TaskId, u32, report::OrderOutcome),
    Advice(u64, Vec<(String, String)>),
    Committed(Vec<record::Record>, u64),
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
    /// Whether the scheduler has acknowledged the end.
    pub(crate) is_noted: bool,
}

pub(crate) struct Rig {
    pub(crate) now: u64,
    pub(crate) scheduler: scheduler::Scheduler,
    /// Configuration of the schedulers that take over.
    pub(crate) config: Arc<config::Configuration>,
    /// Organisations of the jobs, for the checks.
    owners: organisations::Owners,
    /// Number of the scheduler's term.
    term: u64,
    /// Revision of the store.
    revision: u64,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_numbers: BTreeMap<String, usize>,
    pub(crate) starts: Vec<ObservedStart>,
    pub(crate) answers: BTreeMap<u64, action::Answer>,
    pub(crate) deposed: bool,
    pub(crate) journal: Vec<record::Record>,
    /// When each record of the journal was committed.
    committed_at: Vec<u64>,
    last_commit: u64,
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
    /// Terms for waiting for near places.
    pub(crate) locality: locality::Locality,
    /// Jobs whose runs all fail.
    pub(crate) failing_jobs: BTreeSet<spec::JobId>,
    /// Source of the choice of late calls and of their lateness.
    late_calls: fastrand::Rng,
    /// Source of the delays of workers' answers; without it, answers arrive in order.
    pub(crate) answer_delays: Option<fastrand::Rng>,
    /// Longest additional delay of a worker's answer, in milliseconds.
    pub(crate) max_answer_delay_ms: u64,
    /// Additional delay of all answers to polls, in milliseconds.
    pub(crate) poll_answer_delay_ms: u64,
    /// Additional delay of all answers to orders, in milliseconds.
    pub(crate) order_answer_delay_ms: u64,
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
        public: false,
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
        organisations: None,
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
        Self::with_clock_rate(count, 100)
    }

    /// Creates the same with workers' clocks that run at a rate in percent.
    pub(crate) fn with_clock_rate(count: usize, clock_rate: u64) -> Self {
        let zones = ["a", "b", "c"];
        let workers: Vec<Worker> = (0..count)
            .map(|number| Worker {
                id: format!("w{number:02}"),
                service: "s",
                zone: zones[number % zones.len()],
                started_at: 1,
                token: 0,
                runs: BTreeMap::new(),
                finished_runs: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                lease_end: 0,
                lapsed_at: 0,
                is_disconnected: false,
                is_down: false,
                order_delay_ms: 0,
                poll_delay_ms: 0,
                late_percent: 0,
                loses_answers: false,
                fails_all_tasks: false,
                hangs: false,
                speed: 100,
                clock_rate,
                draining: false,
                rack: "r1",
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
                scheduler::Term {
                    number: 1,
                    orders_end: time::Monotonic::from_millis(now),
                    max_lease: MAX_LEASE,
                },
                timestamp(now),
            ),
            config: config(),
            owners: organisations::Owners::default(),
            term: 1,
            revision: 1,
            workers,
            worker_numbers,
            starts: Vec::new(),
            answers: BTreeMap::new(),
            deposed: false,
            journal: Vec::new(),
            committed_at: Vec::new(),
            last_commit: 0,
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
            locality: locality::Locality::default(),
            failing_jobs: BTreeSet::new(),
            late_calls: fastrand::Rng::with_seed(0),
            answer_delays: None,
            max_answer_delay_ms: DEFAULT_ANSWER_DELAY_MS,
            poll_answer_delay_ms: 0,
            order_answer_delay_ms: 0,
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
            service: worker.service.into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: worker.zone.into(),
            capacity: capacity(),
            rack: Some(worker.rack.into()),
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
        self.scheduler.submit(
            id,
            scheduler::Submission::new(job, queue.into(), spec),
            timestamp(self.now),
        );
    }

    pub(crate) fn state(&self, id: u64) -> Option<job::State> {
        self.scheduler.state(spec::JobId(id))
    }

    /// Replaces a scheduler that may still act. Its orders still arrive.
    pub(crate) fn take_over(&mut self) {
        self.replace_scheduler(mono(self.now) + LEADER_LEASE);
    }

    /// Replaces a scheduler that may still act by one that starts from other records than those that were
    /// committed.
    pub(crate) fn take_over_from(&mut self, records: Vec<record::Record>) {
        self.committed_at = vec![0; records.len()];
        self.journal = records;
        self.take_over();
    }

    /// Replaces a scheduler that has resigned. Its orders still arrive.
    pub(crate) fn take_over_after_resignation(&mut self) {
        self.replace_scheduler(mono(self.now));
    }

    /// Replaces a scheduler that has resigned by one with another configuration.
    pub(crate) fn take_over_with(&mut self, config: config::Configuration) {
        self.replace_scheduler_with(Arc::new(config), mono(self.now));
    }

    fn replace_scheduler(&mut self, orders_end: time::Monotonic) {
        self.replace_scheduler_with(Arc::clone(&self.config), orders_end);
    }

    /// Replaces the scheduler by a new one that starts from the stored records.
    fn replace_scheduler_with(
        &mut self,
        config: Arc<config::Configuration>,
        orders_end: time::Monotonic,
    ) {
        let mut job_table = job_table::JobTable::default();
        for record in self.journal.clone() {
            job_table.apply(record);
        }
        for (record, &at) in self.journal.iter().zip(&self.committed_at) {
            if let record::Record::Placed { step, run, tasks } = record
                && self.now - at <= RECENT_MS
            {
                job_table.mark_recent_placement(*step, *run, tasks.clone());
            }
        }
        self.revision += 1;
        self.term = self.revision;
        self.deposed = false;
        // Replies and open commits were addressed to the former scheduler.
        self.messages.retain(|(_, _, message)| {
            matches!(
                message,
                Message::Start { .. }
                    | Message::Stop { .. }
                    | Message::Poll(_)
                    | Message::LatePoll(_)
            )
        });
        self.scheduler = scheduler::Scheduler::resume(
            config,
            job_table,
            scheduler::Term {
                number: self.term,
                orders_end,
                max_lease: MAX_LEASE,
            },
            timestamp(self.now),
        )
        .with_locality(self.locality.clone());
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
                self.commit(batch);
            } else if self.now >= self.last_commit + RENEWAL_MS && !self.store_down {
                self.commit(Vec::new());
            }
        }
    }

    fn commit(&mut self, batch: Vec<record::Record>) {
        self.last_commit = self.now;
        self.revision += 1;
        self.send(COMMIT_MS, Message::Committed(batch, self.revision));
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
        let longest = self.max_answer_delay_ms;
        let delay = self
            .answer_delays
            .as_mut()
            .map_or(0, |delays| delays.u64(0..=longest));
        let fixed = match answer {
            Message::PollReply(..) => self.poll_answer_delay_ms,
            _ => self.order_answer_delay_ms,
        };
        self.send(NETWORK_DELAY_MS + delay + fixed, answer);
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
                        number: self.number(target.id.as_str()),
                        target,
                        reached: None,
                        deadline: deadline_ms,
                        acked_end,
                        wait: millis(wait),
                        since: self.now,
                    };
                    self.send_poll(poll);
                }
                action::Action::Start(start) => {
                    let number = self.number(start.target.id.as_str());
                    let delay = self.lateness(number, self.workers[number].order_delay_ms);
                    let delivery = self.delivery(number, delay);
                    let message = Message::Start {
                        start: Box::new(start.clone()),
                        delivery,
                    };
                    self.send(NETWORK_DELAY_MS + delay, message);
                    if !delivery.is_answered {
                        let unknown = report::OrderOutcome::Unknown;
                        let reply =
                            Message::StartReply(start.target, start.task, start.run, unknown);
                        self.send(ORDER_TIMEOUT_MS, reply);
                    }
                }
                action::Action::Stop { target, task, run } => {
                    let number = self.number(target.id.as_str());
                    let delay = self.lateness(number, self.workers[number].order_delay_ms);
                    let delivery = self.delivery(number, delay);
                    let message = Message::Stop {
                        target: target.clone(),
                        number,
                        task,
                        run,
                        delivery,
                    };
                    self.send(NETWORK_DELAY_MS + delay, message);
                    if !delivery.is_answered {
                        let unknown = report::OrderOutcome::Unknown;
                        let reply = Message::StopReply(target, task, run, unknown);
                        self.send(ORDER_TIMEOUT_MS, reply);
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

    /// Whether a call was sent by the present scheduler, which alone gets its answer.
    fn is_current(&self, target: &action::Target) -> bool {
        target.fence >= self.term
    }

    fn number(&self, id: &str) -> usize {
        self.worker_numbers[id]
    }

    /// Returns how an order that is sent now and carried out `delay_ms` late reaches its worker.
    fn delivery(&self, number: usize, delay_ms: u64) -> Delivery {
        let worker = &self.workers[number];
        let is_late = delay_ms > 0 && !self.is_unreachable(number);
        Delivery {
            is_answered: !is_late && !worker.loses_answers && !self.is_unreachable(number),
            is_late,
        }
    }

    fn is_unreachable(&self, number: usize) -> bool {
        self.workers[number].is_disconnected || self.workers[number].is_down
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
            Message::LatePoll(poll) => self.handle_late_poll(&poll),
            Message::Start { start, delivery } => self.handle_start(&start, delivery),
            Message::Stop {
                target,
                number,
                task,
                run,
                delivery,
            } => {
                let outcome = self.handle_stop(number, target.fence, task, run, delivery);
                if delivery.is_answered && self.is_current(&target) {
                    match outcome {
                        Some(outcome) => {
                            self.send_answer(Message::StopReply(target, task, run, outcome));
                        }
                        None => {
                            let unknown = report::OrderOutcome::Unknown;
                            let reply = Message::StopReply(target, task, run, unknown);
                            self.send(ORDER_TIMEOUT_MS, reply);
                        }
                    }
                }
            }
            Message::PollReply(target, outcome) => {
                self.scheduler.on_poll_outcome(&target, outcome, now);
            }
            Message::StartReply(target, task, run, outcome) => {
                self.scheduler.on_start(&target, task, run, outcome, now);
            }
            Message::StopReply(target, task, run, outcome) => {
                self.scheduler.on_stop(&target, task, run, outcome, now);
            }
            Message::Advice(call, allowed) => self.scheduler.on_advice(call, Some(allowed), now),
            Message::Committed(batch, revision) => {
                self.committed_at
                    .extend(std::iter::repeat_n(self.now, batch.len()));
                self.journal.extend(batch.iter().cloned());
                self.scheduler.on_revision(revision);
                if !batch.is_empty() {
                    self.scheduler.committed(now);
                }
            }
        }
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
