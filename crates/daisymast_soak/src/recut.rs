//! Restarts of workers under the same ID that are followed by cuts, while long tasks run.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_stand_in::{fixtures, worker};

use crate::{cell, plan};

mod play;

/// Number of workers of a cell.
pub const WORKERS: usize = 24;
/// Upper bound of the delays of links to workers.
pub const LINK_DELAY: Duration = Duration::from_millis(6);
/// Time over which jobs are submitted and disturbances begin.
pub const TRAFFIC: Duration = Duration::from_secs(24);
/// Time limit after the last fault for all accepted jobs to end: 14 s from the platform's bounds,
/// 6 s for the leases of unresponsive workers, 12 s for calls that are executed late, and 30 s for
/// the longest task.
pub const COMPLETION_TIMEOUT: Duration = Duration::from_secs(62);
/// Latest time, after the start of the traffic, at which a task that is not delayed ends.
const LAST_END_MS: u64 = 38_000;
/// Shortest and longest work of long tasks.
const LONG_WORK_MS: std::ops::Range<u64> = 8_000..30_000;

/// A restart of a worker under the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// Time from the end of the disturbance before it, or from the start of the sequence.
    pub after: Duration,
    /// Time from the crash to the restart.
    pub downtime: Duration,
    /// Whether open calls get no response, as if the machine had crashed. Otherwise their
    /// connections are closed.
    pub silent: bool,
    /// Whether connections from before the restart are reset when a caller uses them next, as
    /// those to a machine are. Otherwise they reach the new process, as through a proxy.
    pub forgets_connections: bool,
    /// Time from the restart to the new registration.
    pub unregistered: Duration,
}

/// One or two restarts of a worker, then a cut in which its runs go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// First restart.
    pub first: Restart,
    /// Second restart, if any.
    pub second: Option<Restart>,
    /// Time from the last restart to the cut.
    pub cut_after: Duration,
    /// Duration of the cut, in which the worker can neither be reached nor respond.
    pub cut: Duration,
    /// Whether the worker cannot reach the store either, so that its registration is removed.
    pub from_store: bool,
    /// Whether the link delivers data after the cut rather than losing it.
    pub delivers_late: bool,
    /// Restart during the cut, if any.
    pub behind: Option<Restart>,
}

/// Choice of the worker of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The worker at a position.
    Position(usize),
    /// The worker that started a run last. The scheduler is likely to choose it for the next one.
    LastStarted,
    /// Any worker with runs of which none is new. The scheduler has no idle connection to it.
    LongRunning,
}

/// A disturbance around restarts under the same ID.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disturbance {
    /// Restarts and a cut of one worker.
    Worker {
        /// Choice of the worker.
        target: Target,
        /// What happens to it.
        sequence: Sequence,
    },
    /// Calls to all workers are late.
    LateCalls(worker::LateCalls),
}

/// Kind of run, with more faults from one to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Restarts, cuts, and sometimes a killed leader.
    Plain,
    /// As `Plain`, with late calls.
    Late,
    /// As `Late`, with paused leaders.
    LatePaused,
}

fn millis(rng: &mut fastrand::Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

fn random_restart(rng: &mut fastrand::Rng) -> Restart {
    Restart {
        after: millis(rng, 200..1_500),
        downtime: match rng.u8(..4) {
            0 => millis(rng, 150..4_000),
            1 => millis(rng, 150..1_200),
            _ => millis(rng, 150..500),
        },
        silent: rng.u8(..4) > 0,
        forgets_connections: rng.bool(),
        unregistered: match rng.u8(..3) {
            0 => millis(rng, 0..2_000),
            _ => Duration::ZERO,
        },
    }
}

fn random_sequence(rng: &mut fastrand::Rng, variant: Variant) -> Sequence {
    Sequence {
        first: Restart {
            after: Duration::ZERO,
            ..random_restart(rng)
        },
        second: (rng.u8(..5) == 0).then(|| random_restart(rng)),
        // Most cuts come soon, when the lease of the new process has seldom been renewed.
        cut_after: match rng.u8(..3) {
            0 => millis(rng, 200..3_000),
            _ => millis(rng, 200..1_000),
        },
        cut: millis(rng, 3_000..14_000),
        from_store: rng.bool(),
        delivers_late: rng.bool() && variant != Variant::Plain,
        behind: (rng.u8(..6) == 0).then(|| Restart {
            downtime: millis(rng, 150..1_200),
            silent: true,
            ..random_restart(rng)
        }),
    }
}

fn random_sequences(
    rng: &mut fastrand::Rng,
    variant: Variant,
    faults: &mut Vec<plan::ScheduledFault>,
) {
    let mut at = millis(rng, 1_500..3_000);
    while at < TRAFFIC {
        let target = match rng.u8(..6) {
            0 => Target::Position(rng.usize(..WORKERS)),
            1..4 => Target::LastStarted,
            _ => Target::LongRunning,
        };
        let sequence = random_sequence(rng, variant);
        let disturbance = Disturbance::Worker { target, sequence };
        faults.push(scheduled(at, Duration::ZERO, disturbance));
        at += millis(rng, 400..1_200);
    }
}

fn scheduled(at: Duration, duration: Duration, disturbance: Disturbance) -> plan::ScheduledFault {
    plan::ScheduledFault {
        at,
        duration,
        fault: plan::Fault::Recut(disturbance),
    }
}

/// Rate and size of jobs.
struct Load {
    interval_ms: std::ops::Range<u64>,
    tasks: std::ops::Range<u32>,
    millicores: u32,
}

impl Load {
    /// With few starts, none is open while a worker is down, so that the next one is the first call
    /// that reaches the new process. Small tasks are packed on few workers.
    fn of(seed: u64) -> Self {
        let (interval_ms, tasks) = if seed.is_multiple_of(2) {
            (150..600, 1..3)
        } else {
            (60..160, 1..6)
        };
        Self {
            interval_ms,
            tasks,
            millicores: if seed % 4 == 2 { 2_000 } else { 200 },
        }
    }
}

fn random_job(rng: &mut fastrand::Rng, at: Duration, load: &Load) -> plan::Job {
    let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
    let long = rng.u8(..5) > 0;
    let work_ms = if long {
        let longest = LAST_END_MS
            .saturating_sub(at_ms)
            .clamp(LONG_WORK_MS.start + 1, LONG_WORK_MS.end);
        rng.u64(LONG_WORK_MS.start..longest)
    } else {
        rng.u64(100..800)
    };
    let step = fixtures::Step {
        tasks: rng.u32(load.tasks.clone()),
        millicores: load.millicores,
        work_ms,
        gang: false,
    };
    plan::Job {
        at,
        id: spec::JobId(rng.u64(1..)),
        queue: plan::QUEUES[rng.usize(..plan::QUEUES.len())],
        steps: vec![step],
        resubmit: rng.u8(..20) == 0,
        cancel_after: None,
    }
}

/// Faults of nodes: sometimes a killed leader, and paused ones in the last variant.
fn node_faults(rng: &mut fastrand::Rng, variant: Variant, faults: &mut Vec<plan::ScheduledFault>) {
    let (node, leader) = (0, true);
    if rng.bool() {
        faults.push(plan::ScheduledFault {
            at: millis(rng, 4_000..20_000),
            duration: millis(rng, 100..1_500),
            fault: plan::Fault::Kill { node, leader },
        });
    }
    if variant == Variant::LatePaused {
        for _ in 0..rng.u8(2..5) {
            faults.push(plan::ScheduledFault {
                at: millis(rng, 3_000..22_000),
                duration: millis(rng, 300..5_000),
                fault: plan::Fault::Pause { node, leader },
            });
        }
    }
}

/// Generates the plan of a seed. The same seed and variant give the same plan, and the variants of a
/// seed share their jobs. Odd seeds have many starts, even ones few; every second even one has tasks
/// that spread over all workers.
///
/// ```
/// use daisymast_soak::recut;
/// let plan = recut::plan(2, recut::Variant::Plain);
/// let late = recut::plan(2, recut::Variant::Late);
/// assert_eq!(plan.jobs.len(), late.jobs.len());
/// assert!(plan.faults.len() > 15);
/// ```
pub fn plan(seed: u64, variant: Variant) -> plan::Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    let load = Load::of(seed);
    while at < TRAFFIC {
        at += millis(&mut rng, load.interval_ms.clone());
        jobs.push(random_job(&mut rng, at, &load));
    }
    let mut faults = Vec::new();
    random_sequences(&mut rng, variant, &mut faults);
    node_faults(&mut rng, variant, &mut faults);
    if variant != Variant::Plain {
        let late_calls = worker::LateCalls {
            percent: rng.u8(3..15),
            shortest: Duration::from_secs(2),
            longest: Duration::from_secs(12),
        };
        let late_calls = Disturbance::LateCalls(late_calls);
        faults.push(scheduled(Duration::from_secs(1), TRAFFIC, late_calls));
    }
    faults.sort_by_key(|scheduled| scheduled.at);
    plan::Plan { jobs, faults }
}

/// Runs the plan of a seed on a cell for it.
///
/// # Errors
/// No port can be bound, `folder` cannot be written, or the node program cannot be started.
pub fn run(
    seed: u64,
    variant: Variant,
    program: Option<std::path::PathBuf>,
    folder: &std::path::Path,
) -> std::io::Result<crate::run::Report> {
    let options = cell::Options {
        workers: WORKERS,
        worker_link_delay: LINK_DELAY,
        program,
    };
    crate::run::run_plan_with(plan(seed, variant), options, COMPLETION_TIMEOUT, folder)
}
