//! Execution of a soak run and its report.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use daisymast_adapter::names;
use daisymast_http::executor;
use daisymast_jobs::spec;
use daisymast_stand_in::worker;
use smol::Timer;

use crate::{cell, check, clients, plan};

/// Interval at which the stand-in workers are advanced.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);
/// Time limit after the last fault for all accepted jobs to end: 14 s from the platform's bounds
/// plus 6 s for the leases of unresponsive workers to expire.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between state queries of a job.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);

/// Parameters of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed that determines jobs and faults.
    pub seed: u64,
    /// Time over which jobs are submitted and faults injected.
    pub traffic: Duration,
}

/// Result of a soak run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs that were reported as completed.
    pub completed: usize,
    /// Number of task starts on workers.
    pub starts: usize,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Total size of all values in the store at the end.
    pub store_bytes: usize,
    /// Time of each job from acceptance to the first response that reported it as completed; `None`
    /// if it was not accepted or not completed.
    pub completions: Vec<(spec::JobId, Option<Duration>)>,
    /// Violated guarantees, one line each.
    pub violations: Vec<String>,
}

/// Runs the plan of a seed. Replaces `folder` and writes settings and logs of the nodes there.
///
/// # Errors
/// No port can be bound, `folder` cannot be written, or the node program cannot be started.
pub fn run(options: Options, folder: &Path) -> std::io::Result<Report> {
    run_plan(plan::Plan::new(options.seed, options.traffic), folder)
}

/// Runs a plan. Replaces `folder` and writes settings and logs of the nodes there.
///
/// # Errors
/// Same as [`run`].
pub fn run_plan(plan: plan::Plan, folder: &Path) -> std::io::Result<Report> {
    let options = cell::Options::default();
    run_plan_with(plan, options, COMPLETION_TIMEOUT, folder)
}

/// As [`run_plan`], with a cell of other options and another time limit, after the last fault, for
/// all accepted jobs to end. Also writes the calls, events and faults of workers to `trace.log`.
///
/// # Errors
/// Same as [`run`].
pub fn run_plan_with(
    plan: plan::Plan,
    options: cell::Options,
    completion_timeout: Duration,
    folder: &Path,
) -> std::io::Result<Report> {
    match std::fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => std::fs::create_dir_all(folder)?,
    }
    let folder = folder.to_owned();
    executor::run(2, async |executor| {
        let cell = Arc::new(cell::Cell::open_with(&executor, &options, &folder).await?);
        execute(cell, plan, completion_timeout, &folder).await
    })
}

async fn execute(
    cell: Arc<cell::Cell>,
    plan: plan::Plan,
    completion_timeout: Duration,
    folder: &Path,
) -> std::io::Result<Report> {
    let executor = Arc::clone(&cell.executor);
    for job in &plan.jobs {
        for (number, step) in (0_u16..).zip(&job.steps) {
            let profile = worker::TaskProfile {
                work_ms: step.work_ms,
                gang: if step.gang { step.tasks } else { 1 },
            };
            worker::lock(&cell.shared.task_profiles).insert((job.id, number), profile);
        }
    }
    let advancing = executor.spawn(advance_workers(Arc::clone(&cell)));
    cell.start_all()?;
    cell.wait_until_ready().await;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for job in plan.jobs.clone() {
        let clients = cell.clients.clone();
        tasks.push(executor.spawn(async move {
            Timer::at(started + job.at).await;
            clients.run(job).await;
        }));
    }
    for scheduled in plan.faults.clone() {
        let cell = Arc::clone(&cell);
        tasks.push(executor.spawn(async move {
            Timer::at(started + scheduled.at).await;
            cell.inject(scheduled).await;
        }));
    }
    let mut queried = plan.jobs.clone();
    queried.push(plan::Job::probe());
    let querying = executor.spawn(query_states(Arc::clone(&cell), queried));
    for task in tasks {
        task.await;
    }
    cell.clear_faults()?;
    let faults_ended = Instant::now();
    while !cell.clients.unfinished_jobs().is_empty() && faults_ended.elapsed() < completion_timeout
    {
        Timer::after(QUERY_INTERVAL).await;
    }
    querying.cancel().await;
    advancing.cancel().await;
    write_trace(&cell, started, folder)?;
    Ok(report(&cell, &plan, faults_ended))
}

/// Writes the calls, events and faults of workers in order, with milliseconds since the start of the
/// traffic and since the Unix epoch, as in the logs of the nodes.
fn write_trace(cell: &cell::Cell, started: Instant, folder: &Path) -> std::io::Result<()> {
    let mut lines = worker::lock(&cell.shared.trace).clone();
    let events = worker::lock(&cell.shared.log).clone();
    lines.extend(events.iter().map(|event| {
        let line = format!(
            "worker {} incarnation {} {:?} {} run {}",
            event.worker,
            event.incarnation,
            event.kind,
            names::task(event.task),
            event.run
        );
        (event.at, line)
    }));
    lines.sort_by_key(|(at, _)| *at);
    let now = Instant::now();
    let unix_now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let mut file = BufWriter::new(File::create(folder.join("trace.log"))?);
    for (at, line) in lines {
        let unix = unix_now.saturating_sub(now.saturating_duration_since(at));
        let offset = at.saturating_duration_since(started);
        writeln!(file, "{} {} {line}", offset.as_millis(), unix.as_millis())?;
    }
    file.flush()
}

async fn advance_workers(cell: Arc<cell::Cell>) {
    loop {
        cell.workers.iter().for_each(worker::Worker::advance);
        Timer::after(ADVANCE_INTERVAL).await;
    }
}

/// Queries the states of all unfinished jobs at a fixed interval, without waiting for responses.
async fn query_states(cell: Arc<cell::Cell>, jobs: Vec<plan::Job>) {
    loop {
        for id in cell.clients.unfinished_jobs() {
            let Some(job) = jobs.iter().find(|job| job.id == id) else {
                continue;
            };
            let (clients, queue) = (cell.clients.clone(), job.queue);
            let query = async move { clients.query_state(id, queue).await };
            cell.executor.spawn(query).detach();
        }
        Timer::after(QUERY_INTERVAL).await;
    }
}

fn report(cell: &cell::Cell, plan: &plan::Plan, faults_ended: Instant) -> Report {
    let events = worker::lock(&cell.shared.log).clone();
    let observations = worker::lock(&cell.clients.observations).clone();
    let delays_orders =
        |scheduled: &plan::ScheduledFault| matches!(scheduled.fault, plan::Fault::DelayedOrders(_));
    let history = check::History {
        events: &events,
        observations: &observations,
        faults_ended,
        delayed_orders: plan.faults.iter().any(delays_orders),
    };
    let is_start = |event: &&worker::Event| event.kind == worker::EventKind::Started;
    Report {
        accepted: observations
            .values()
            .filter(|observed| observed.accepted.is_some())
            .count(),
        completed: observations
            .values()
            .filter(|observed| observed.completed.is_some())
            .count(),
        starts: events.iter().filter(is_start).count(),
        store_calls: cell.store.calls(),
        store_bytes: cell.store.bytes(),
        completions: observations
            .iter()
            .map(|(&id, observed)| (id, completion_time(observed)))
            .collect(),
        violations: check::violations(&history),
    }
}

fn completion_time(observed: &clients::JobObservation) -> Option<Duration> {
    Some(
        observed
            .completed?
            .saturating_duration_since(observed.accepted?),
    )
}
