//! One run of a seed.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisymast_http::executor;
use daisymast_jobs::spec;
use daisymast_stand_in::worker;
use smol::Timer;

use crate::{cell, check, clients, plan};

/// Time between two steps of the workers.
const STEP: Duration = Duration::from_millis(5);
/// Time after the last fault within which all accepted jobs come to an end: 14 s from the platform's
/// bounds, and 6 s within which leases of silent workers expire.
const FINISH: Duration = Duration::from_secs(20);
/// Pause between two questions after a job.
const ASK: Duration = Duration::from_millis(400);

/// A seed and how long its traffic lasts.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The seed.
    pub seed: u64,
    /// Length of the traffic.
    pub traffic: Duration,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were seen as completed.
    pub completed: usize,
    /// Starts on workers.
    pub starts: usize,
    /// Calls to the store.
    pub calls: u64,
    /// Bytes in the store at the end.
    pub bytes: usize,
    /// Time from the acceptance of each job to its first showing as completed.
    pub completions: Vec<(spec::JobId, Option<Duration>)>,
    /// Broken promises.
    pub broken: Vec<String>,
}

/// Runs a seed. Logs of the nodes go to `folder`.
///
/// # Errors
/// A port cannot be bound, or a file or program cannot be used.
pub fn run(order: Order, folder: &Path) -> std::io::Result<Report> {
    run_plan(plan::Plan::new(order.seed, order.traffic), folder)
}

/// Runs a plan. Logs of the nodes go to `folder`.
///
/// # Errors
/// As [`run`].
pub fn run_plan(plan: plan::Plan, folder: &Path) -> std::io::Result<Report> {
    match std::fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => std::fs::create_dir_all(folder)?,
    }
    let folder = folder.to_owned();
    executor::run(2, async |executor| play(executor, plan, folder).await)
}

async fn play(
    executor: executor::Executor,
    plan: plan::Plan,
    folder: PathBuf,
) -> std::io::Result<Report> {
    let cell = Arc::new(cell::Cell::open(&executor, &folder).await?);
    for job in &plan.jobs {
        for (number, step) in (0_u16..).zip(&job.steps) {
            let need = worker::TaskProfile {
                work_ms: step.work_ms,
                gang: if step.gang { step.tasks } else { 1 },
            };
            worker::lock(&cell.shared.task_profiles).insert((job.id, number), need);
        }
    }
    let stepping = executor.spawn(step_workers(Arc::clone(&cell)));
    cell.start_all()?;
    cell.settle().await;
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for job in plan.jobs.clone() {
        let clients = cell.clients.clone();
        tasks.push(executor.spawn(async move {
            Timer::at(begun + job.at).await;
            clients.run(job).await;
        }));
    }
    for timed in plan.faults.clone() {
        let cell = Arc::clone(&cell);
        tasks.push(executor.spawn(async move {
            Timer::at(begun + timed.at).await;
            cell.inject(timed).await;
        }));
    }
    let mut asked = plan.jobs.clone();
    asked.push(plan::Job::first());
    let asking = executor.spawn(ask_states(Arc::clone(&cell), asked));
    for task in tasks {
        task.await;
    }
    cell.heal()?;
    let calm = Instant::now();
    while !cell.clients.open().is_empty() && calm.elapsed() < FINISH {
        Timer::after(ASK).await;
    }
    asking.cancel().await;
    stepping.cancel().await;
    Ok(report(&cell, &plan, calm))
}

async fn step_workers(cell: Arc<cell::Cell>) {
    loop {
        cell.workers.iter().for_each(worker::Worker::advance);
        Timer::after(STEP).await;
    }
}

/// Asks for the states of all open jobs in turn.
async fn ask_states(cell: Arc<cell::Cell>, jobs: Vec<plan::Job>) {
    loop {
        for id in cell.clients.open() {
            let Some(job) = jobs.iter().find(|job| job.id == id) else {
                continue;
            };
            let (clients, queue) = (cell.clients.clone(), job.queue);
            let ask = async move { clients.ask(id, queue).await };
            cell.executor.spawn(ask).detach();
        }
        Timer::after(ASK).await;
    }
}

fn report(cell: &cell::Cell, plan: &plan::Plan, calm: Instant) -> Report {
    let events = worker::lock(&cell.shared.log).clone();
    let book = worker::lock(&cell.clients.book).clone();
    let is_late = |timed: &plan::Timed| matches!(timed.fault, plan::Fault::Late(_));
    let history = check::History {
        events: &events,
        book: &book,
        calm,
        late_orders: plan.faults.iter().any(is_late),
    };
    let is_start = |event: &&worker::Event| event.kind == worker::EventKind::Started;
    Report {
        accepted: book.values().filter(|seen| seen.accepted.is_some()).count(),
        completed: book
            .values()
            .filter(|seen| seen.completed.is_some())
            .count(),
        starts: events.iter().filter(is_start).count(),
        calls: cell.store.calls(),
        bytes: cell.store.bytes(),
        completions: book.iter().map(|(&id, seen)| (id, took(seen))).collect(),
        broken: check::broken(&history),
    }
}

fn took(seen: &clients::Seen) -> Option<Duration> {
    Some(seen.completed?.saturating_duration_since(seen.accepted?))
}
