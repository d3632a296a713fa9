//! Jobs and faults of a soak run, generated from a seed.

use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_stand_in::{fixtures, store};

use crate::{recut, relay};

/// Number of nodes of a cell.
pub const NODES: usize = 5;
/// Number of workers of a cell.
pub const WORKERS: usize = 9;
/// Names of the queues, in order of decreasing priority.
pub const QUEUES: [&str; 3] = ["quotes", "surveys", "invoices"];

/// Kind of injected fault, with its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node is killed and restarted.
    Kill {
        /// Position of the node.
        node: usize,
        /// Whether to target the scheduler instead, if one is known.
        leader: bool,
    },
    /// A node is suspended with SIGSTOP and later resumed.
    Pause {
        /// Position of the node.
        node: usize,
        /// Whether to target the scheduler instead, if one is known.
        leader: bool,
    },
    /// A node is terminated with SIGTERM and restarted.
    Terminate {
        /// Position of the node.
        node: usize,
        /// Whether to target the scheduler instead, if one is known.
        leader: bool,
    },
    /// All nodes are killed and restarted.
    KillAll,
    /// The store is unavailable.
    StoreOutage(store::Outage),
    /// Responses of the store are delayed.
    StoreDelay(Duration),
    /// Some transactions of the store take effect but get no response.
    LostStoreResponses,
    /// The store compacts its history, so that watches have to list their keys again.
    CompactStoreHistory,
    /// The link from a node to the store changes its mode.
    StoreLink(usize, relay::Mode),
    /// The link from other nodes to a node changes its mode.
    PeerLink(usize, relay::Mode),
    /// The link to a worker changes its mode.
    WorkerLink(usize, relay::Mode),
    /// A worker crashes and restarts under the same ID.
    WorkerCrash(usize),
    /// Orders to a worker get no response and are executed late.
    DelayedOrders(usize),
    /// Every run on a worker fails.
    FailingRuns(usize),
    /// A disturbance around restarts under the same ID.
    Recut(recut::Disturbance),
    /// A new configuration version is written.
    ConfigurationChange,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Start time, relative to the start of the traffic.
    pub at: Duration,
    /// Duration of the fault; zero for faults that take effect once.
    pub duration: Duration,
    /// Kind of fault.
    pub fault: Fault,
}

/// A job and the requests that its caller sends for it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Submission time, relative to the start of the traffic.
    pub at: Duration,
    /// Job ID, chosen by the caller.
    pub id: spec::JobId,
    /// Name of the queue.
    pub queue: &'static str,
    /// Steps, which run one after another.
    pub steps: Vec<fixtures::Step>,
    /// Whether the job is submitted again after it was accepted.
    pub resubmit: bool,
    /// Time from acceptance (from the resubmission, if there is one) to the cancel request; `None`
    /// if the job is not cancelled.
    pub cancel_after: Option<Duration>,
}

impl Job {
    /// A small job whose acceptance shows that a cell works.
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

/// Jobs and faults of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Jobs in order of submission time.
    pub jobs: Vec<Job>,
    /// Faults in order of start time.
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
    /// Generates the plan of a seed. The same seed and traffic duration give the same plan.
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
