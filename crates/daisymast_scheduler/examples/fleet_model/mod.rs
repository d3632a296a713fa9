//! Model of a fleet of unlike workers and of the jobs that arrive there.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::{job, job_table, spec};
use daisymast_scheduler::{action, config, locality, report, scheduler, worker};
use daisymast_types::{collections, ids, quantities, time};

mod jobs;
mod summary;
mod workers;

pub(crate) use jobs::Mix;
use jobs::{Job, Kind, Random, whole};
use summary::Summary;
use workers::{Run, Worker};

/// Start of the virtual clock, in milliseconds.
const START_MS: u64 = 100_000;
/// Longest lease that a worker accepts.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// Time in which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 36_000;
/// Time after the last arrival, in milliseconds.
const SETTLING_MS: u64 = 14_000;
/// Begin and end of a burst, in milliseconds after the start.
const BURST_MS: std::ops::Range<u64> = 3_400..9_600;
/// Duration of a call to a worker, in milliseconds.
const ROUND_TRIP_MS: u64 = 4;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 15;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// Difference between the seeds of arrivals and of the outcomes of runs.
const OUTCOME_SEED: u64 = 1_000;
/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 12;

/// Size and load of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) mix: Mix,
    pub(crate) workers: usize,
    /// Arrivals, in percent of the usual ones.
    pub(crate) load_percent: u64,
    /// Arrivals of the least urgent kind during the burst, in percent of the usual ones.
    pub(crate) burst_percent: u64,
    /// Share of the jobs that name the rack of their data, and of the gangs that are faster on one
    /// rack, in percent.
    pub(crate) near_percent: u64,
    /// Factor by which other places make them slower.
    pub(crate) far_factor: f64,
    /// How it is decided whether they wait for a near place.
    pub(crate) policy: locality::Policy,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            mix: Mix::default(),
            workers: 540,
            load_percent: 100,
            burst_percent: 250,
            near_percent: 0,
            far_factor: 1.0,
            policy: locality::Policy::Weighed,
        }
    }
}

/// An event for the scheduler or a worker at a point in time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Committed,
    Started(action::Target, spec::TaskId, u32),
    PollReply(action::Target),
    Advice(u64, Vec<(String, String)>),
}

/// The scheduler with a modelled fleet.
pub(crate) struct Simulation {
    scenario: Scenario,
    now: u64,
    kinds: Vec<Kind>,
    random: Random,
    /// Numbers for the outcomes of runs, so that the arrivals do not depend on the order of work.
    outcomes: Random,
    next_arrival: Vec<f64>,
    scheduler: scheduler::Scheduler,
    workers: Vec<Worker>,
    names: collections::FastMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    jobs: Vec<Job>,
    gangs: collections::FastMap<(spec::StepId, u32), Vec<(usize, spec::TaskId)>>,
    /// Runs of tasks that name a rack, and how many of them run there.
    named_runs: u64,
    near_runs: u64,
    /// Gangs that are faster on one rack, and how many of them run on one.
    named_gangs: u64,
    near_gangs: u64,
    /// Processor time that running tasks occupied while jobs arrived, in core-milliseconds.
    occupied: f64,
}

fn mono(now: u64) -> time::Monotonic {
    time::Monotonic::from_millis(now)
}

fn timestamp(now: u64) -> time::Timestamp {
    time::Timestamp::new(now, now)
}

fn rack_name(rack: usize) -> ids::WorkerLabel {
    format!("r{rack}").as_str().into()
}

fn worker_id(index: usize) -> String {
    format!("i-{index:010x}")
}

impl Simulation {
    pub(crate) fn new(scenario: Scenario, seed: u64) -> Self {
        let kinds = scenario.mix.kinds();
        let config = Arc::new(config::Configuration {
            version: 1,
            queues: kinds.iter().map(|kind| kind.terms.clone()).collect(),
            services: Vec::new(),
            organisations: None,
        });
        let mut scheduler = scheduler::Scheduler::resume(
            config,
            job_table::JobTable::default(),
            scheduler::Term {
                number: 1,
                orders_end: mono(START_MS),
                max_lease: MAX_LEASE,
            },
            timestamp(START_MS),
        );
        let locality = locality::Locality::new(scenario.far_factor);
        scheduler = scheduler.with_locality(locality.with_policy(scenario.policy));
        let nodes: Vec<_> = (0..scenario.mix.nodes())
            .map(|node| format!("n{node:02}").into())
            .collect();
        scheduler.set_advice_nodes(&nodes);
        for index in 0..scenario.workers {
            let registration = worker::Registration {
                id: worker_id(index).as_str().into(),
                service: "s".into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: ["a", "b", "c", "d", "e"][index % 5].into(),
                capacity: quantities::Resources::new(scenario.mix.millicores(), 131_072, 0),
                rack: Some(rack_name(index / WORKERS_PER_RACK)),
                labels: Vec::new(),
                draining: false,
                started_at: Some(1),
            };
            scheduler.on_worker_registered(registration, mono(START_MS));
        }
        Self {
            scenario,
            now: START_MS,
            next_arrival: vec![0.0; kinds.len()],
            kinds,
            random: Random::new(seed),
            outcomes: Random::new(seed + OUTCOME_SEED),
            scheduler,
            workers: (0..scenario.workers).map(|_| Worker::default()).collect(),
            names: (0..scenario.workers)
                .map(|index| (worker_id(index), index))
                .collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: Vec::new(),
            gangs: collections::FastMap::default(),
            named_runs: 0,
            near_runs: 0,
            named_gangs: 0,
            near_gangs: 0,
            occupied: 0.0,
        }
    }

    /// Plays all arrivals and the time after them.
    pub(crate) fn run(&mut self) {
        for kind in 0..self.kinds.len() {
            for _ in 0..self.kinds[kind].first_jobs {
                self.submit(kind);
            }
        }
        while self.now < START_MS + ARRIVALS_MS + SETTLING_MS {
            self.now += 1;
            self.arrive();
            self.end_runs();
            self.step();
            if self.now < START_MS + ARRIVALS_MS {
                let workers = self.scheduler.fleet().iter();
                let used = workers.map(|worker| f64::from(worker.used.millicores));
                self.occupied += used.sum::<f64>() / 1_000.0;
            }
        }
    }

    fn arrive(&mut self) {
        let elapsed = self.now - START_MS;
        if elapsed >= ARRIVALS_MS {
            return;
        }
        for kind in 0..self.kinds.len() {
            let mut rate = self.kinds[kind].rate * self.scenario.workers as f64 / 540.0;
            rate *= self.scenario.load_percent as f64 / 100.0;
            if kind == self.kinds.len() - 1 && BURST_MS.contains(&elapsed) {
                rate *= self.scenario.burst_percent as f64 / 100.0;
            }
            while self.next_arrival[kind] <= elapsed as f64 {
                self.next_arrival[kind] += -self.random.unit().ln() * 1_000.0 / rate;
                self.submit(kind);
            }
        }
    }

    fn submit(&mut self, index: usize) {
        let kind = &self.kinds[index];
        let random = &mut self.random;
        let tasks = whole(random.around(kind.tasks, 0.8).min(kind.max_tasks));
        let millicores = whole(
            random
                .around(kind.millicores, 0.45)
                .clamp(1_000.0, kind.max_millicores),
        );
        let work_ms = random
            .around(kind.work_ms, 0.5)
            .clamp(50.0, kind.max_work_ms);
        let estimate_ms = random.around(work_ms, kind.estimate_spread);
        let gang = tasks > 1 && random.unit() < kind.gangs;
        let core_seconds = f64::from(tasks) * f64::from(millicores) * work_ms / 1e6;
        let mean = kind.tasks * kind.millicores * kind.work_ms / 1e6;
        let advice = kind
            .terms
            .advice
            .map_or(0.0, |advice| advice.decide_ms + advice.per_worker_ms * 30.0);
        let objective = kind.terms.stretch * (work_ms + advice) + kind.terms.latency_ms;
        // Nothing is drawn where no job names its data, so that the other draws stay the same.
        let near_percent = self.scenario.near_percent as f64;
        let is_near = near_percent > 0.0 && random.unit() * 100.0 < near_percent;
        // Data is skewed: a quarter of the racks holds half of what jobs ask for.
        let racks = (self.scenario.workers / WORKERS_PER_RACK).max(1) as f64;
        let position = if is_near { random.unit().powi(2) } else { 0.0 };
        let rack = whole(position * racks) as usize;
        let step = spec::Step {
            rack: (is_near && !gang).then(|| rack_name(rack)),
            same_rack: is_near && gang,
            tasks,
            size: quantities::Resources::new(millicores, 4_096, 0),
            estimate_ms: whole(estimate_ms),
            gang,
            ..spec::Step::default()
        };
        let job_spec = spec::JobSpec {
            payload: String::new(),
            steps: vec![step],
            schedule: None,
        };
        self.jobs.push(Job {
            kind: index,
            arrived: self.now,
            work_ms: u64::from(whole(work_ms)),
            gang,
            rack: (is_near && !gang).then_some(rack),
            same_rack: is_near && gang,
            tasks,
            worth: kind.worth * (0.3 + 0.7 * core_seconds / mean).min(4.0),
            core_seconds,
            objective_ms: u64::from(whole(objective)),
            completed: None,
        });
        let id = self.jobs.len() as u64;
        let queue = kind.name.into();
        let now = timestamp(self.now);
        self.scheduler.submit(
            id,
            scheduler::Submission::new(spec::JobId(id), queue, job_spec),
            now,
        );
    }

    fn job(&self, task: spec::TaskId) -> &Job {
        let index = usize::try_from(task.step.job.0).unwrap_or(usize::MAX);
        &self.jobs[index - 1]
    }

    fn send(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + after, self.sequence, event)));
    }

    fn step(&mut self) {
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > self.now {
                break;
            }
            if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle(event);
            }
        }
        let now = timestamp(self.now);
        if self.now.is_multiple_of(TICK_MS) {
            self.scheduler.tick(now);
        } else {
            self.scheduler.run_pass(now.mono);
        }
        for action in self.scheduler.take_actions() {
            self.carry_out(action);
        }
        if self.scheduler.take_batch().is_some() {
            self.send(COMMIT_MS, Event::Committed);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = mono(self.now);
        match event {
            Event::Committed => self.scheduler.committed(now),
            Event::Started(target, task, run) => {
                self.begin(target.index, task, run);
                let outcome = report::OrderOutcome::Accepted(self.now);
                self.scheduler.on_start(&target, task, run, outcome, now);
            }
            Event::PollReply(target) => self.answer_poll(&target),
            Event::Advice(call, allowed) => self.scheduler.on_advice(call, Some(allowed), now),
        }
    }

    fn begin(&mut self, index: usize, task: spec::TaskId, run: u32) {
        let (gang, tasks, kind) = {
            let job = self.job(task);
            (job.gang, job.tasks, job.kind)
        };
        let failed = self.outcomes.unit() < self.kinds[kind].errors;
        let end = if failed {
            report::End::Failed
        } else {
            report::End::Done
        };
        let ends_at = (!gang).then(|| self.now + self.duration(index, task));
        let started = Run {
            run,
            started_at: self.now,
            ends_at,
            end,
        };
        self.workers[index].running.insert(task, started);
        if !gang {
            let rack = self.job(task).rack;
            self.near_runs += u64::from(rack == Some(index / WORKERS_PER_RACK));
            self.named_runs += u64::from(rack.is_some());
            return;
        }
        let members = self.gangs.entry((task.step, run)).or_default();
        members.push((index, task));
        if members.len() < tasks as usize {
            return;
        }
        let members = members.clone();
        let slowest = members.iter().map(|&(index, _)| self.duration(index, task));
        let mut took = slowest.max().unwrap_or(0);
        let mut racks = members.iter().map(|&(index, _)| index / WORKERS_PER_RACK);
        let first = racks.next();
        if self.job(task).same_rack {
            let is_together = racks.all(|rack| Some(rack) == first);
            self.named_gangs += 1;
            self.near_gangs += u64::from(is_together);
            if !is_together {
                took = self.far(took);
            }
        }
        let ends_at = self.now + took;
        for (index, member) in members {
            if let Some(at) = self.workers[index].running.get_mut(&member) {
                at.started_at = self.now;
                at.ends_at = Some(ends_at);
                at.end = end;
            }
        }
    }

    fn duration(&self, index: usize, task: spec::TaskId) -> u64 {
        let job = self.job(task);
        let speeds = self.scenario.mix.speeds();
        let took = job.work_ms * 100 / speeds[index % speeds.len()];
        if job.rack.is_none_or(|rack| rack == index / WORKERS_PER_RACK) {
            took
        } else {
            self.far(took)
        }
    }

    /// Returns the run time of a task far from its data or its gang.
    fn far(&self, took: u64) -> u64 {
        u64::from(whole(took as f64 * self.scenario.far_factor))
    }

    /// Returns what came of the waits for near places.
    #[allow(dead_code, reason = "one of the examples with this model prints it")]
    pub(crate) fn waits(&self) -> String {
        let counts = self.scheduler.locality().counts();
        let share = |near: u64, named: u64| near as f64 / named.max(1) as f64;
        format!(
            "near {:.2} of {} runs and {:.2} of {} gangs; {} waits of {:.1} s in all, {} paid, {} lost",
            share(self.near_runs, self.named_runs),
            self.named_runs,
            share(self.near_gangs, self.named_gangs),
            self.named_gangs,
            counts.started,
            counts.waited.as_secs_f64(),
            counts.paid,
            counts.lost,
        )
    }

    fn end_runs(&mut self) {
        for index in 0..self.workers.len() {
            let now = self.now;
            let worker = &mut self.workers[index];
            let due: Vec<(spec::TaskId, Run)> = worker
                .running
                .iter()
                .filter(|(_, run)| run.ends_at.is_some_and(|at| at <= now))
                .map(|(&task, &run)| (task, run))
                .collect();
            for (task, run) in due {
                worker.end(task, run.run, run.end);
            }
            if !worker.ended.is_empty()
                && let Some(target) = worker.open_poll.take()
            {
                self.send(ROUND_TRIP_MS, Event::PollReply(target));
            }
        }
    }

    fn answer_poll(&mut self, target: &action::Target) {
        let clock = self.now;
        let worker = &mut self.workers[target.index];
        worker.open_poll = None;
        let running = worker.running.iter().map(|(&task, run)| report::Running {
            task,
            run: run.run,
            checkpoint: None,
            percent: run.percent(clock),
        });
        let report = report::Report {
            clock_ms: clock,
            started_at: Some(1),
            is_partial: false,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        let outcome = report::PollOutcome::Report(report);
        self.scheduler.on_poll_outcome(target, outcome, mono(clock));
        self.note_completions();
    }

    fn note_completions(&mut self) {
        let now = self.now;
        let scheduler = &self.scheduler;
        for (number, job) in (1_u64..).zip(&mut self.jobs) {
            if job.completed.is_none()
                && scheduler.state(spec::JobId(number)) == Some(job::State::Completed)
            {
                job.completed = Some(now);
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
                let wait = u64::try_from(wait.as_millis()).unwrap_or(0);
                if worker.ended.is_empty() && wait > 0 {
                    worker.open_poll = Some(target.clone());
                    self.send(wait, Event::PollReply(target));
                } else {
                    self.send(ROUND_TRIP_MS, Event::PollReply(target));
                }
            }
            action::Action::Stop { target, task, run } => {
                self.workers[target.index].end(task, run, report::End::Stopped);
                let (now, outcome) = (mono(self.now), report::OrderOutcome::Accepted(self.now));
                self.scheduler.on_stop(&target, task, run, outcome, now);
            }
            action::Action::RequestAdvice {
                call,
                step,
                workers,
                ..
            } => self.advise(call, step, &workers),
            action::Action::Answer { .. } | action::Action::Deposed | action::Action::Log(_) => {}
        }
    }

    fn advise(&mut self, call: u64, step: spec::StepId, workers: &[String]) {
        let kind = &self.kinds[self.job(step.task(0)).kind];
        let Some(advice) = kind.terms.advice else {
            return;
        };
        let allowed: Vec<(String, String)> = workers
            .iter()
            .filter(|name| {
                let index = self.names.get(*name).copied().unwrap_or(0) as u64;
                let hash = (index + 1)
                    .wrapping_mul(0x9E37_79B9_7F4A_7C15)
                    .wrapping_add(step.job.0.wrapping_mul(0xD134_2543_DE82_EF95));
                (hash >> 40) % 100 < kind.allowed
            })
            .map(|name| (name.clone(), "t".to_owned()))
            .collect();
        let took = advice.decide_ms + advice.per_worker_ms * workers.len() as f64;
        self.send(u64::from(whole(took)), Event::Advice(call, allowed));
    }

    /// Returns what was served of what was owed.
    pub(crate) fn summary(&self) -> Summary {
        let cores = f64::from(self.scenario.mix.millicores()) / 1_000.0;
        let core_ms = ARRIVALS_MS as f64 * cores * self.scenario.workers as f64;
        summary::summarize(&self.kinds, &self.jobs, self.occupied / core_ms)
    }
}
