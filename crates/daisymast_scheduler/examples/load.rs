//! Measures the processor time of the scheduler under the load of a large cluster, without a
//! network.
//!
//! `cargo run --release -p daisymast_scheduler --example load -- WORKERS FACTOR` prints, for each
//! second of a virtual clock, the time spent in the scheduler, the number of calls of `tick` and
//! `run_pass`, and the number of waiting steps. FACTOR multiplies the usual arrival rates.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_jobs::{job_table, queue, spec};
use daisymast_scheduler::{action, config, report, scheduler, worker};
use daisymast_types::{collections, quantities, time};

/// Start of the virtual clock, in milliseconds.
const START_MS: u64 = 100_000;
/// Longest lease that a worker accepts.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// Duration of the simulation, in milliseconds.
const RUN_MS: u64 = 20_000;
/// Duration of a call to a worker, in milliseconds.
const ROUND_TRIP_MS: u64 = 2;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 15;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Number of nodes that send advice requests.
const NODES: usize = 39;

/// A type of job with its arrival rate.
struct JobKind {
    name: &'static str,
    /// Jobs per second on 350 workers, in thousandths.
    rate: u64,
    tasks: u32,
    millicores: u32,
    work_ms: u32,
    gang: bool,
    /// Share of workers that the advice service allows, in percent.
    allowed: u64,
    terms: queue::Queue,
}

fn kind(
    name: &'static str,
    priority: u32,
    (rate, tasks, millicores, work_ms): (u64, u32, u32, u32),
    (decide_ms, per_worker_ms, allowed): (f64, f64, u64),
) -> JobKind {
    JobKind {
        name,
        rate,
        tasks,
        millicores,
        work_ms,
        gang: priority == 1,
        allowed,
        terms: queue::Queue {
            name: name.into(),
            host: "h".to_owned(),
            prefix: format!("/{name}/"),
            service: "s".into(),
            priority,
            attempts: 4,
            stretch: 2.0,
            latency_ms: 500.0,
            advice: Some(queue::Advice {
                decide_ms,
                per_worker_ms,
                valid_ms: 2_500.0,
            }),
            public: false,
        },
    }
}

fn kinds() -> Vec<JobKind> {
    vec![
        kind("quotes", 0, (72_500, 3, 5_000, 1_000), (12.0, 0.17, 70)),
        kind("surveys", 1, (4_680, 20, 9_000, 5_000), (410.0, 5.9, 35)),
        kind("invoices", 2, (9_700, 25, 3_500, 3_400), (82.0, 1.2, 45)),
    ]
}

/// An event for the scheduler or a worker at a point in time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Committed,
    Started(action::Target, spec::TaskId, u32),
    PollReply(action::Target),
    Advice(u64, Vec<(String, String)>),
}

struct Worker {
    running: Vec<(spec::TaskId, u32, u64)>,
    ended: Vec<report::Ended>,
    last_end: u64,
    /// The poll that waits for a run to end.
    open_poll: Option<action::Target>,
}

struct Simulation {
    now: u64,
    kinds: Vec<JobKind>,
    scheduler: scheduler::Scheduler,
    workers: Vec<Worker>,
    names: collections::FastMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    jobs: u64,
    work_ms_by_job: collections::FastMap<spec::JobId, u64>,
    scheduler_time: Duration,
    calls: u64,
}

fn mono(now: u64) -> time::Monotonic {
    time::Monotonic::from_millis(now)
}

fn timestamp(now: u64) -> time::Timestamp {
    time::Timestamp::new(now, now)
}

fn worker_id(worker_index: usize) -> String {
    format!("i-{worker_index:010x}")
}

impl Simulation {
    fn new(count: usize) -> Self {
        let kinds = kinds();
        let config = Arc::new(config::Configuration {
            version: 1,
            queues: kinds.iter().map(|kind| kind.terms.clone()).collect(),
            services: Vec::new(),
            organisations: None,
        });
        let now = START_MS;
        let mut scheduler = scheduler::Scheduler::resume(
            config,
            job_table::JobTable::default(),
            scheduler::Term {
                number: 1,
                orders_end: mono(now),
                max_lease: MAX_LEASE,
            },
            timestamp(now),
        );
        let nodes: Vec<_> = (0..NODES)
            .map(|node| format!("n{node}").as_str().into())
            .collect();
        scheduler.set_advice_nodes(&nodes);
        for worker_index in 0..count {
            let registration = worker::Registration {
                id: worker_id(worker_index).as_str().into(),
                service: "s".into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: ["a", "b", "c"][worker_index % 3].into(),
                capacity: quantities::Resources::new(32_000, 131_072, 0),
                rack: None,
                labels: Vec::new(),
                draining: false,
                started_at: Some(1),
            };
            scheduler.on_worker_registered(registration, mono(now));
        }
        let worker = || Worker {
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            open_poll: None,
        };
        Self {
            now,
            kinds,
            scheduler,
            workers: (0..count).map(|_| worker()).collect(),
            names: (0..count)
                .map(|worker_index| (worker_id(worker_index), worker_index))
                .collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: 0,
            work_ms_by_job: collections::FastMap::default(),
            scheduler_time: Duration::ZERO,
            calls: 0,
        }
    }

    fn send(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        let row = (self.now + after, self.sequence, event);
        self.events.push(Reverse(row));
    }

    /// Calls the scheduler and adds up the time that it takes.
    fn timed(&mut self, call: impl FnOnce(&mut scheduler::Scheduler)) {
        let call_started = Instant::now();
        call(&mut self.scheduler);
        self.scheduler_time += call_started.elapsed();
    }

    fn submit(&mut self, kind_index: usize) {
        let kind = &self.kinds[kind_index];
        self.jobs += 1;
        let job = spec::JobId(self.jobs);
        let step = spec::Step {
            tasks: kind.tasks,
            size: quantities::Resources::new(kind.millicores, 1_024, 0),
            estimate_ms: kind.work_ms,
            gang: kind.gang,
            ..spec::Step::default()
        };
        let job_spec = spec::JobSpec {
            payload: "p".repeat(200),
            steps: vec![step],
            schedule: None,
        };
        self.work_ms_by_job.insert(job, u64::from(kind.work_ms));
        let queue = kind.name.into();
        let (token, now) = (self.jobs, timestamp(self.now));
        let submission = scheduler::Submission::new(job, queue, job_spec);
        self.timed(|scheduler| scheduler.submit(token, submission, now));
    }

    fn handle(&mut self, event: Event) {
        let now = mono(self.now);
        match event {
            Event::Arrival(kind_index) => {
                self.submit(kind_index);
            }
            Event::Committed => self.timed(|scheduler| scheduler.committed(now)),
            Event::Started(target, task, run) => {
                let work = self
                    .work_ms_by_job
                    .get(&task.step.job)
                    .copied()
                    .unwrap_or(1);
                self.workers[target.index]
                    .running
                    .push((task, run, self.now + work));
                let outcome = report::OrderOutcome::Accepted(self.now);
                self.timed(|scheduler| scheduler.on_start(&target, task, run, outcome, now));
            }
            Event::PollReply(target) => self.answer_poll(&target),
            Event::Advice(call, allowed) => {
                self.timed(|scheduler| scheduler.on_advice(call, Some(allowed), now));
            }
        }
    }

    fn answer_poll(&mut self, target: &action::Target) {
        let clock = self.now;
        let worker = &mut self.workers[target.index];
        if worker.open_poll.take().is_none() {
            return;
        }
        let running = worker.running.iter().map(|&(task, run, ends)| {
            let left = u8::try_from(ends.saturating_sub(clock).min(9_900) / 100).unwrap_or(99);
            report::Running {
                task,
                run,
                checkpoint: None,
                percent: 99 - left,
            }
        });
        let report = report::Report {
            clock_ms: clock,
            started_at: Some(1),
            is_partial: false,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        let now = mono(self.now);
        let outcome = report::PollOutcome::Report(report);
        self.timed(|scheduler| scheduler.on_poll_outcome(target, outcome, now));
    }

    /// Ends the runs whose time is over, and answers open polls of their workers.
    fn end_tasks(&mut self) {
        for worker_index in 0..self.workers.len() {
            let now = self.now;
            let worker = &mut self.workers[worker_index];
            let before = worker.ended.len();
            let (done, running) = std::mem::take(&mut worker.running)
                .into_iter()
                .partition(|(_, _, ends)| *ends <= now);
            worker.running = running;
            let done: Vec<(spec::TaskId, u32, u64)> = done;
            for (task, run, _) in done {
                worker.last_end += 1;
                worker.ended.push(report::Ended {
                    number: worker.last_end,
                    task,
                    run,
                    end: report::End::Done,
                    checkpoint: None,
                });
            }
            if worker.ended.len() > before
                && let Some(target) = worker.open_poll.clone()
            {
                self.send(ROUND_TRIP_MS, Event::PollReply(target));
            }
        }
    }

    fn carry_out(&mut self, action: action::Action) {
        match action {
            action::Action::Start(start) => {
                let event = Event::Started(start.target, start.task, start.run);
                self.send(ROUND_TRIP_MS, event);
            }
            action::Action::PollWorker {
                target,
                acked_end,
                wait,
                ..
            } => {
                let worker = &mut self.workers[target.index];
                worker.ended.retain(|ended| ended.number > acked_end);
                worker.open_poll = Some(target.clone());
                let wait = u64::try_from(wait.as_millis()).unwrap_or(0);
                let wait = if worker.ended.is_empty() { wait } else { 0 };
                self.send(wait + ROUND_TRIP_MS, Event::PollReply(target));
            }
            action::Action::Stop { target, task, run } => {
                let worker = &mut self.workers[target.index];
                let found = worker.running.iter().position(|row| row.0 == task);
                if let Some(found) = found {
                    worker.running.remove(found);
                    worker.last_end += 1;
                    worker.ended.push(report::Ended {
                        number: worker.last_end,
                        task,
                        run,
                        end: report::End::Stopped,
                        checkpoint: None,
                    });
                }
                let (now, outcome) = (mono(self.now), report::OrderOutcome::Accepted(self.now));
                self.timed(|scheduler| scheduler.on_stop(&target, task, run, outcome, now));
            }
            action::Action::RequestAdvice {
                call,
                step,
                workers,
                timeout,
                ..
            } => {
                let queue = self
                    .scheduler
                    .job_table()
                    .job(step.job)
                    .map(|job| job.queue.clone());
                let kind = self.kinds.iter().find(|kind| {
                    queue
                        .as_ref()
                        .is_some_and(|queue| queue.as_str() == kind.name)
                });
                let Some((kind, advice)) = kind.and_then(|kind| Some((kind, kind.terms.advice?)))
                else {
                    return;
                };
                let allowed: Vec<(String, String)> = workers
                    .iter()
                    .filter(|name| {
                        let worker_index = self.names.get(*name).copied().unwrap_or(0) as u64;
                        (worker_index * 7_919 + step.job.0 * 104_729) % 100 < kind.allowed
                    })
                    .map(|name| (name.clone(), "t".to_owned()))
                    .collect();
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a cast from a float saturates"
                )]
                let took = (advice.decide_ms + advice.per_worker_ms * workers.len() as f64) as u64;
                let limit = u64::try_from(timeout.as_millis()).unwrap_or(0);
                self.send(
                    took.min(limit) + ROUND_TRIP_MS,
                    Event::Advice(call, allowed),
                );
            }
            action::Action::Answer { .. } | action::Action::Deposed | action::Action::Log(_) => {}
        }
    }

    fn step(&mut self) {
        self.now += 1;
        self.end_tasks();
        let mut changed = false;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > self.now {
                break;
            }
            if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle(event);
                changed = true;
            }
        }
        let now = timestamp(self.now);
        if self.now.is_multiple_of(TICK_MS) {
            self.calls += 1;
            self.timed(|scheduler| scheduler.tick(now));
        } else if changed {
            self.calls += 1;
            self.timed(|scheduler| scheduler.run_pass(now.mono));
        }
        for action in self.scheduler.take_actions() {
            self.carry_out(action);
        }
        if self.scheduler.take_batch().is_some() {
            self.send(COMMIT_MS, Event::Committed);
        }
    }
}

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let workers = usize::try_from(arguments.first().copied().unwrap_or(350)).unwrap_or(350);
    let factor = arguments.get(1).copied().unwrap_or(1);
    let mut simulation = Simulation::new(workers);
    let mut arrived = vec![0_u64; simulation.kinds.len()];
    for second in 0..RUN_MS / 1_000 {
        let (scheduler_time, calls) = (simulation.scheduler_time, simulation.calls);
        for _ in 0..1_000 {
            for (kind_index, count) in arrived.iter_mut().enumerate() {
                // Rates are in thousandths per second, and each step is one millisecond.
                let rate = simulation.kinds[kind_index].rate * factor * workers as u64 / 350;
                *count += rate;
                while *count >= 1_000_000 {
                    *count -= 1_000_000;
                    simulation.send(1, Event::Arrival(kind_index));
                }
            }
            simulation.step();
        }
        println!(
            "second {second:2}: {:6.1} ms in the scheduler, {:4} calls, {:4} waiting steps, {} jobs",
            (simulation.scheduler_time - scheduler_time).as_secs_f64() * 1_000.0,
            simulation.calls - calls,
            simulation.scheduler.waiting_steps(),
            simulation.jobs,
        );
    }
}
