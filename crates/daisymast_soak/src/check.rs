//! Checks the events on workers and the responses to callers against the guarantees of the design
//! page.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use daisymast_jobs::spec;
use daisymast_stand_in::{fixtures, worker};

use crate::clients;

/// Time after the acknowledgement of a cancellation, or after the last fault if that is later, from
/// which no task of the job may start.
const CANCEL_GRACE: Duration = Duration::from_secs(3);

/// Everything that the checker knows about a soak run.
#[derive(Debug)]
pub struct History<'a> {
    /// Events on workers, in any order.
    pub events: &'a [worker::Event],
    /// Observations of callers, by job.
    pub observations: &'a BTreeMap<spec::JobId, clients::JobObservation>,
    /// Time at which the last fault ended.
    pub faults_ended: Instant,
    /// Whether the faults delayed orders to any worker, which excuses late starts of cancelled
    /// jobs.
    pub delayed_orders: bool,
}

/// Identity of a run on one incarnation of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerRun {
    worker: usize,
    incarnation: u64,
    run: u32,
}

impl WorkerRun {
    fn of(event: &worker::Event) -> Self {
        Self {
            worker: event.worker,
            incarnation: event.incarnation,
            run: event.run,
        }
    }
}

#[derive(Default)]
struct Checker {
    /// Active runs of each task.
    running: BTreeMap<spec::TaskId, Vec<WorkerRun>>,
    /// Completed runs of each task.
    done: BTreeMap<spec::TaskId, Vec<WorkerRun>>,
    /// Completed runs whose end the scheduler acknowledged.
    acknowledged: BTreeSet<(spec::TaskId, WorkerRun)>,
    /// Indexes of completed tasks by step, whether their ends were acknowledged or not.
    done_tasks: BTreeMap<spec::StepId, BTreeSet<u32>>,
    /// Allocated capacity by worker and incarnation.
    used_millicores: BTreeMap<(usize, u64), u32>,
    /// Completed runs after which the task started again. This is a violation if the end was
    /// acknowledged.
    restarted: BTreeSet<(spec::TaskId, WorkerRun)>,
    violations: Vec<String>,
}

/// Returns a one-line description of each violated guarantee.
pub fn violations(history: &History<'_>) -> Vec<String> {
    let mut checker = Checker::default();
    // Workers notice an end some milliseconds late, and log it with its exact time.
    let mut events: Vec<&worker::Event> = history.events.iter().collect();
    events.sort_by_key(|event| event.at);
    for event in events {
        match event.kind {
            worker::EventKind::Started => checker.on_start(event, history),
            worker::EventKind::Done => checker.on_done(event, history),
            worker::EventKind::Failed | worker::EventKind::Ended => checker.on_end(event, history),
            worker::EventKind::Acknowledged => {
                checker
                    .acknowledged
                    .insert((event.task, WorkerRun::of(event)));
            }
        }
    }
    let restarted = checker.restarted.intersection(&checker.acknowledged);
    let restarted: Vec<String> = restarted
        .map(|(task, run)| format!("{task:?} started again after the acknowledged end of {run:?}"))
        .collect();
    checker.violations.extend(restarted);
    check_observations(history, &checker.done_tasks, &mut checker.violations);
    checker.violations
}

fn submitted_step(history: &History<'_>, task: spec::TaskId) -> Option<fixtures::Step> {
    let observed = history.observations.get(&task.step.job)?;
    observed.steps.get(usize::from(task.step.step)).copied()
}

impl Checker {
    fn on_start(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(step) = submitted_step(history, event.task) else {
            self.violations
                .push(format!("{:?} started but was never submitted", event.task));
            return;
        };
        let started = WorkerRun::of(event);
        let runs = self.running.entry(event.task).or_default();
        if let Some(other) = runs.first() {
            self.violations.push(format!(
                "{:?} runs twice at the same time: {other:?} and {started:?}",
                event.task
            ));
        }
        runs.push(started);
        if let Some(done) = self.done.get(&event.task) {
            self.restarted
                .extend(done.iter().map(|&run| (event.task, run)));
        }
        let used_millicores = self
            .used_millicores
            .entry((event.worker, event.incarnation))
            .or_default();
        *used_millicores += step.millicores;
        if *used_millicores > fixtures::WORKER_MILLICORES {
            self.violations.push(format!(
                "worker {} is overcommitted: {used_millicores} millicores allocated",
                event.worker
            ));
        }
        self.check_step_order(event, history);
        self.check_refusal_and_cancel(event, history);
    }

    fn check_step_order(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(previous) = event.task.step.step.checked_sub(1) else {
            return;
        };
        let previous = spec::StepId {
            step: previous,
            ..event.task.step
        };
        let tasks = submitted_step(history, previous.task(0)).map_or(0, |step| step.tasks);
        let done = self.done_tasks.get(&previous).map_or(0, BTreeSet::len);
        if done < tasks as usize {
            let line = format!(
                "{:?} started after {done} of {tasks} tasks of the previous step",
                event.task
            );
            self.violations.push(line);
        }
    }

    fn check_refusal_and_cancel(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(observed) = history.observations.get(&event.task.step.job) else {
            return;
        };
        if observed.refused {
            self.violations.push(format!(
                "{:?} started although its job was refused",
                event.task
            ));
        }
        if let Some(cancelled) = observed.cancelled
            && event.at > cancelled.max(history.faults_ended) + CANCEL_GRACE
            && !history.delayed_orders
        {
            self.violations.push(format!(
                "{:?} started after the cancellation of its job",
                event.task
            ));
        }
    }

    fn on_end(&mut self, event: &worker::Event, history: &History<'_>) {
        let ended = WorkerRun::of(event);
        if let Some(runs) = self.running.get_mut(&event.task)
            && let Some(position) = runs.iter().position(|run| *run == ended)
        {
            runs.remove(position);
            let millicores = submitted_step(history, event.task).map_or(0, |step| step.millicores);
            if let Some(used_millicores) = self
                .used_millicores
                .get_mut(&(event.worker, event.incarnation))
            {
                *used_millicores -= millicores;
            }
        }
    }

    fn on_done(&mut self, event: &worker::Event, history: &History<'_>) {
        self.on_end(event, history);
        let runs = self.done.entry(event.task).or_default();
        runs.push(WorkerRun::of(event));
        let tasks = self.done_tasks.entry(event.task.step).or_default();
        tasks.insert(event.task.index);
        if let Some(step) = submitted_step(history, event.task)
            && step.gang
        {
            // The completion of one member means that the whole gang completed.
            tasks.extend(0..step.tasks);
        }
    }
}

fn check_observations(
    history: &History<'_>,
    done: &BTreeMap<spec::StepId, BTreeSet<u32>>,
    violations: &mut Vec<String>,
) {
    for (&job, observed) in history.observations {
        for unexpected in &observed.unexpected {
            violations.push(format!("{job}: {unexpected}"));
        }
        let Some(accepted) = observed.accepted else {
            continue;
        };
        if observed.completed.is_some() {
            for (step, expected) in (0_u16..).zip(&observed.steps) {
                let id = spec::StepId {
                    job,
                    occurrence: 0,
                    step,
                };
                let count = done.get(&id).map_or(0, BTreeSet::len);
                if count < expected.tasks as usize {
                    violations.push(format!(
                        "{job} was reported completed with {count} tasks of step {step} done"
                    ));
                }
            }
        } else if observed.cancel_sent.is_none() {
            let state = &observed.state;
            let age = accepted.elapsed();
            violations.push(format!(
                "{job} has not completed {age:?} after its acceptance, last known state: {state:?}"
            ));
        }
    }
}
