//! What a seed decides: jobs and faults.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_stand_in::{fixtures, store};

use crate::relay;

/// Nodes of a cell.
pub const NODES: usize = 5;
/// Workers of a cell.
pub const WORKERS: usize = 9;
/// Queues, the most urgent first.
pub const QUEUES: [&str; 3] = ["quotes", "surveys", "invoices"];

/// A fault, and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and started again. The scheduler is hit if `leader`.
    Kill {
        /// The node.
        node: usize,
        /// Whether the node that schedules is meant instead.
        leader: bool,
    },
    /// A node is suspended.
    Pause {
        /// The node.
        node: usize,
        /// Whether the node that schedules is meant instead.
        leader: bool,
    },
    /// A node is asked to end and started again.
    Terminate {
        /// The node.
        node: usize,
        /// Whether the node that schedules is meant instead.
        leader: bool,
    },
    /// All nodes are killed and started again.
    KillAll,
    /// The store is down.
    Outage(store::Outage),
    /// The store is slow.
    Slow(Duration),
    /// Answers of the store are lost.
    Lost,
    /// The store forgets its history.
    Forget,
    /// The link of a node to the store.
    StoreLink(usize, relay::Mode),
    /// The link of other nodes to one.
    PeerLink(usize, relay::Mode),
    /// The link to a worker.
    WorkerLink(usize, relay::Mode),
    /// A worker crashes and starts again under its id.
    Crash(usize),
    /// Orders to a worker are not answered and are carried out late.
    Late(usize),
    /// A worker fails all that it starts.
    Failing(usize),
    /// The configuration changes.
    Configure,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug)]
pub struct Timed {
    /// Time from the begin of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// A job that a caller submits.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time from the begin of the traffic.
    pub at: Duration,
    /// Its id.
    pub id: spec::JobId,
    /// Its queue.
    pub queue: &'static str,
    /// Its steps, one after another.
    pub steps: Vec<fixtures::Step>,
    /// Whether it is submitted again after it was accepted.
    pub again: bool,
    /// Time from its acceptance to its cancel, if it is cancelled.
    pub cancel: Option<Duration>,
}

impl Job {
    /// A small job that shows that a cell is at work.
    pub fn first() -> Self {
        Self {
            at: Duration::ZERO,
            id: spec::JobId(1),
            queue: QUEUES[0],
            steps: vec![fixtures::Step {
                tasks: 1,
                millicores: 1_000,
                work_ms: 100,
                gang: false,
            }],
            again: false,
            cancel: None,
        }
    }
}

/// All that happens.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Jobs in the order of their times.
    pub jobs: Vec<Job>,
    /// Faults in the order of their times.
    pub faults: Vec<Timed>,
}

fn millis(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn link(rng: &mut fastrand::Rng) -> relay::Mode {
    match rng.u8(0..4) {
        0 => relay::Mode::Silent,
        1 => relay::Mode::Deaf,
        2 => relay::Mode::Reset,
        _ => relay::Mode::Delayed(millis(rng, 20, 300)),
    }
}

fn fault(rng: &mut fastrand::Rng) -> (Fault, Duration) {
    let node = rng.usize(0..NODES);
    let worker = rng.usize(0..WORKERS);
    let leader = rng.bool();
    match rng.u8(0..16) {
        0 | 1 => (Fault::Kill { node, leader }, millis(rng, 100, 1_500)),
        2 | 3 => (Fault::Pause { node, leader }, millis(rng, 300, 5_000)),
        4 => (Fault::Terminate { node, leader }, Duration::ZERO),
        5 => (Fault::KillAll, millis(rng, 50, 1_000)),
        6 => {
            let outage = match rng.u8(0..3) {
                0 => store::Outage::Busy,
                1 => store::Outage::Reset,
                _ => store::Outage::Silent,
            };
            (Fault::Outage(outage), millis(rng, 300, 4_000))
        }
        7 => (Fault::Slow(millis(rng, 20, 300)), millis(rng, 500, 4_000)),
        8 => (Fault::Lost, millis(rng, 500, 4_000)),
        9 => (Fault::Forget, Duration::ZERO),
        10 => (Fault::StoreLink(node, link(rng)), millis(rng, 300, 5_000)),
        11 => (Fault::PeerLink(node, link(rng)), millis(rng, 300, 5_000)),
        12 => (
            Fault::WorkerLink(worker, link(rng)),
            millis(rng, 300, 5_000),
        ),
        13 => (Fault::Crash(worker), millis(rng, 300, 4_000)),
        14 if leader => (Fault::Late(worker), millis(rng, 500, 4_000)),
        14 => (Fault::Failing(worker), millis(rng, 500, 4_000)),
        _ => (Fault::Configure, Duration::ZERO),
    }
}

fn job(rng: &mut fastrand::Rng, at: Duration) -> Job {
    let (queue, steps) = match rng.u8(0..10) {
        0..6 => {
            let quote = fixtures::Step {
                tasks: rng.u32(1..4),
                millicores: 1_000,
                work_ms: rng.u64(100..600),
                gang: false,
            };
            (QUEUES[0], vec![quote])
        }
        6..8 => {
            let survey = fixtures::Step {
                tasks: rng.u32(2..5),
                millicores: 2_500,
                work_ms: rng.u64(300..900),
                gang: true,
            };
            (QUEUES[1], vec![survey])
        }
        _ => {
            let invoice = fixtures::Step {
                tasks: rng.u32(2..8),
                millicores: 1_500,
                work_ms: rng.u64(200..800),
                gang: false,
            };
            let sum = fixtures::Step {
                tasks: 1,
                ..invoice
            };
            (QUEUES[2], vec![invoice, sum])
        }
    };
    Job {
        at,
        id: spec::JobId(rng.u64(1..)),
        queue,
        steps,
        again: rng.u8(0..10) == 0,
        cancel: (rng.u8(0..12) == 0).then(|| millis(rng, 0, 1_500)),
    }
}

impl Plan {
    /// The plan of a seed, with traffic for a time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use daisymast_soak::plan;
    /// let plan = plan::Plan::new(7, Duration::from_secs(10));
    /// assert!(plan.faults.len() >= 6);
    /// let again = plan::Plan::new(7, Duration::from_secs(10));
    /// assert_eq!(plan.jobs[3].id, again.jobs[3].id);
    /// ```
    pub fn new(seed: u64, traffic: Duration) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let span = u64::try_from(traffic.as_millis()).unwrap_or(u64::MAX);
        let mut jobs = Vec::new();
        let mut at = Duration::ZERO;
        while at < traffic {
            at += millis(&mut rng, 20, 180);
            jobs.push(job(&mut rng, at));
        }
        let count = rng.u64(6..12) * span / 10_000;
        let mut faults: Vec<Timed> = (0..count.max(3))
            .map(|_| {
                let (fault, lasts) = fault(&mut rng);
                Timed {
                    at: millis(&mut rng, 300, span.max(301)),
                    lasts,
                    fault,
                }
            })
            .collect();
        faults.sort_by_key(|timed| timed.at);
        Self { jobs, faults }
    }
}
