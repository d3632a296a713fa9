//! Checks what workers and callers saw against the promises of the design page.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use daisymast_jobs::spec;
use daisymast_stand_in::{fixtures, worker};

use crate::clients;

/// Time after the acknowledgement of a cancel, or the last fault, from which nothing of the job starts.
const CANCEL: Duration = Duration::from_secs(3);

/// What happened in a run.
#[derive(Debug)]
pub struct History<'a> {
    /// What workers did, in order.
    pub events: &'a [worker::Event],
    /// What callers saw.
    pub book: &'a BTreeMap<spec::JobId, clients::Seen>,
    /// When the last fault ended.
    pub calm: Instant,
    /// Whether orders to some worker were carried out late.
    pub late_orders: bool,
}

/// A run on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Live {
    worker: usize,
    life: u64,
    run: u32,
}

impl Live {
    fn of(event: &worker::Event) -> Self {
        Self {
            worker: event.worker,
            life: event.incarnation,
            run: event.run,
        }
    }
}

#[derive(Default)]
struct Checker {
    live: BTreeMap<spec::TaskId, Vec<Live>>,
    /// Done runs of each task, by worker, life and run.
    done: BTreeMap<spec::TaskId, Vec<Live>>,
    noted: BTreeSet<(spec::TaskId, Live)>,
    /// Tasks that are done, noted or not, by step.
    done_tasks: BTreeMap<spec::StepId, BTreeSet<u32>>,
    used: BTreeMap<(usize, u64), u32>,
    /// Done runs after which a task started again; that breaks a promise if such an end is noted.
    repeated: BTreeSet<(spec::TaskId, Live)>,
    broken: Vec<String>,
}

/// Broken promises, one line each.
pub fn broken(history: &History<'_>) -> Vec<String> {
    let mut checker = Checker::default();
    for event in history.events {
        match event.kind {
            worker::EventKind::Started => checker.on_start(event, history),
            worker::EventKind::Done => checker.on_done(event, history),
            worker::EventKind::Failed | worker::EventKind::Ended => checker.on_end(event, history),
            worker::EventKind::Acknowledged => {
                checker.noted.insert((event.task, Live::of(event)));
            }
        }
    }
    let repeated = checker.repeated.intersection(&checker.noted);
    let repeated: Vec<String> = repeated
        .map(|(task, run)| format!("{task:?} started again after the noted end of {run:?}"))
        .collect();
    checker.broken.extend(repeated);
    check_callers(history, &checker.done_tasks, &mut checker.broken);
    checker.broken
}

fn content(history: &History<'_>, task: spec::TaskId) -> Option<fixtures::Step> {
    let seen = history.book.get(&task.step.job)?;
    seen.steps.get(usize::from(task.step.step)).copied()
}

impl Checker {
    fn on_start(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(step) = content(history, event.task) else {
            self.broken
                .push(format!("{:?} was never submitted", event.task));
            return;
        };
        let live = Live::of(event);
        let runs = self.live.entry(event.task).or_default();
        if let Some(other) = runs.first() {
            self.broken.push(format!(
                "{:?} runs twice: {other:?} and {live:?}",
                event.task
            ));
        }
        runs.push(live);
        if let Some(done) = self.done.get(&event.task) {
            self.repeated
                .extend(done.iter().map(|&run| (event.task, run)));
        }
        let used = self
            .used
            .entry((event.worker, event.incarnation))
            .or_default();
        *used += step.millicores;
        if *used > fixtures::WORKER_MILLICORES {
            self.broken.push(format!(
                "worker {} is given {used} millicores",
                event.worker
            ));
        }
        self.check_order(event, history);
        self.check_callers_word(event, history);
    }

    fn check_order(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(before) = event.task.step.step.checked_sub(1) else {
            return;
        };
        let before = spec::StepId {
            step: before,
            ..event.task.step
        };
        let tasks = content(history, before.task(0)).map_or(0, |step| step.tasks);
        let done = self.done_tasks.get(&before).map_or(0, BTreeSet::len);
        if done < tasks as usize {
            let line = format!("{:?} starts after {done} of {tasks} tasks", event.task);
            self.broken.push(line);
        }
    }

    fn check_callers_word(&mut self, event: &worker::Event, history: &History<'_>) {
        let Some(seen) = history.book.get(&event.task.step.job) else {
            return;
        };
        if seen.refused {
            self.broken
                .push(format!("{:?} starts, and its job was refused", event.task));
        }
        if let Some(cancelled) = seen.cancelled
            && event.at > cancelled.max(history.calm) + CANCEL
            && !history.late_orders
        {
            self.broken
                .push(format!("{:?} starts after its cancel", event.task));
        }
    }

    fn on_end(&mut self, event: &worker::Event, history: &History<'_>) {
        let ended = Live::of(event);
        if let Some(runs) = self.live.get_mut(&event.task)
            && let Some(position) = runs.iter().position(|live| *live == ended)
        {
            runs.remove(position);
            let size = content(history, event.task).map_or(0, |step| step.millicores);
            if let Some(used) = self.used.get_mut(&(event.worker, event.incarnation)) {
                *used -= size;
            }
        }
    }

    fn on_done(&mut self, event: &worker::Event, history: &History<'_>) {
        self.on_end(event, history);
        let runs = self.done.entry(event.task).or_default();
        runs.push(Live::of(event));
        let tasks = self.done_tasks.entry(event.task.step).or_default();
        tasks.insert(event.task.index);
        if let Some(step) = content(history, event.task)
            && step.gang
        {
            // One such end stands for the whole gang.
            tasks.extend(0..step.tasks);
        }
    }
}

fn check_callers(
    history: &History<'_>,
    done: &BTreeMap<spec::StepId, BTreeSet<u32>>,
    broken: &mut Vec<String>,
) {
    for (&job, seen) in history.book {
        for wrong in &seen.wrong {
            broken.push(format!("{job}: {wrong}"));
        }
        let Some(accepted) = seen.accepted else {
            continue;
        };
        if seen.completed.is_some() {
            for (step, content) in (0_u16..).zip(&seen.steps) {
                let id = spec::StepId {
                    job,
                    occurrence: 0,
                    step,
                };
                let count = done.get(&id).map_or(0, BTreeSet::len);
                if count < content.tasks as usize {
                    broken.push(format!(
                        "{job} is completed with {count} tasks of step {step} done"
                    ));
                }
            }
        } else if seen.cancel_sent.is_none() {
            let state = &seen.state;
            let age = accepted.elapsed();
            broken.push(format!(
                "{job} is not completed {age:?} after its acceptance: {state:?}"
            ));
        }
    }
}
