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
    StoreOutage(store::Outage),
    /// The store is slow.
    StoreDelay(Duration),
    /// Answers of the store are lost.
    LostStoreResponses,
    /// The store forgets its history.
    CompactStoreHistory,
    /// The link of a node to the store.
    StoreLink(usize, relay::Mode),
    /// The link of other nodes to one.
    PeerLink(usize, relay::Mode),
    /// The link to a worker.
    WorkerLink(usize, relay::Mode),
    /// A worker crashes and starts again under its id.
    WorkerCrash(usize),
    /// Orders to a worker are not answered and are carried out late.
    DelayedOrders(usize),
    /// A worker fails all that it starts.
    FailingRuns(usize),
    /// The configuration changes.
    ConfigurationChange,
}

/// A fault at a time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Time from the begin of the traffic.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
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
    pub resubmit: bool,
    /// Time from its acceptance to its cancel, if it is cancelled.
    pub cancel_after: Option<Duration>,
}

impl Job {
    /// A small job that shows that a cell is at work.
    pub fn probe() -> Self {
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
            resubmit: false,
            cancel_after: None,
        }
    }
}

/// All that happens.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Jobs in the order of their times.
    pub jobs: Vec<Job>,
    /// Faults in the order of their times.
    pub faults: Vec<ScheduledFault>,
}

fn random_millis(rng: &mut fastrand::Rng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.u64(from..to))
}

fn random_link_mode(rng: &mut fastrand::Rng) -> relay::Mode {
    match rng.u8(0..4) {
        0 => relay::Mode::Silent,
        1 => relay::Mode::ResponsesBlocked,
        2 => relay::Mode::Reset,
        _ => relay::Mode::Delayed(random_millis(rng, 20, 300)),
    }
}

fn random_fault(rng: &mut fastrand::Rng) -> (Fault, Duration) {
    let node = rng.usize(0..NODES);
    let worker = rng.usize(0..WORKERS);
    let leader = rng.bool();
    match rng.u8(0..16) {
        0 | 1 => (Fault::Kill { node, leader }, random_millis(rng, 100, 1_500)),
        2 | 3 => (
            Fault::Pause { node, leader },
            random_millis(rng, 300, 5_000),
        ),
        4 => (Fault::Terminate { node, leader }, Duration::ZERO),
        5 => (Fault::KillAll, random_millis(rng, 50, 1_000)),
        6 => {
            let outage = match rng.u8(0..3) {
                0 => store::Outage::Busy,
                1 => store::Outage::Reset,
                _ => store::Outage::Silent,
            };
            (Fault::StoreOutage(outage), random_millis(rng, 300, 4_000))
        }
        7 => (
            Fault::StoreDelay(random_millis(rng, 20, 300)),
            random_millis(rng, 500, 4_000),
        ),
        8 => (Fault::LostStoreResponses, random_millis(rng, 500, 4_000)),
        9 => (Fault::CompactStoreHistory, Duration::ZERO),
        10 => (
            Fault::StoreLink(node, random_link_mode(rng)),
            random_millis(rng, 300, 5_000),
        ),
        11 => (
            Fault::PeerLink(node, random_link_mode(rng)),
            random_millis(rng, 300, 5_000),
        ),
        12 => (
            Fault::WorkerLink(worker, random_link_mode(rng)),
            random_millis(rng, 300, 5_000),
        ),
        13 => (Fault::WorkerCrash(worker), random_millis(rng, 300, 4_000)),
        14 if leader => (Fault::DelayedOrders(worker), random_millis(rng, 500, 4_000)),
        14 => (Fault::FailingRuns(worker), random_millis(rng, 500, 4_000)),
        _ => (Fault::ConfigurationChange, Duration::ZERO),
    }
}

fn random_job(rng: &mut fastrand::Rng, at: Duration) -> Job {
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
        resubmit: rng.u8(0..10) == 0,
        cancel_after: (rng.u8(0..12) == 0).then(|| random_millis(rng, 0, 1_500)),
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
        let traffic_ms = u64::try_from(traffic.as_millis()).unwrap_or(u64::MAX);
        let mut jobs = Vec::new();
        let mut at = Duration::ZERO;
        while at < traffic {
            at += random_millis(&mut rng, 20, 180);
            jobs.push(random_job(&mut rng, at));
        }
        let count = rng.u64(6..12) * traffic_ms / 10_000;
        let mut faults: Vec<ScheduledFault> = (0..count.max(3))
            .map(|_| {
                let (fault, duration) = random_fault(&mut rng);
                ScheduledFault {
                    at: random_millis(&mut rng, 300, traffic_ms.max(301)),
                    duration,
                    fault,
                }
            })
            .collect();
        faults.sort_by_key(|scheduled| scheduled.at);
        Self { jobs, faults }
    }
}
