//! Utilization of a fleet at the first refused placement, and latency of a decision.
//!
//! Three kinds of fleet with 48 and with 800 workers. Tasks of mixed sizes are placed until one is
//! refused, either into an initially empty fleet without departures or with a departure after every
//! tenth placement on average. The bound treats the fleet as one large worker. Figures are medians
//! (minimum to maximum) over nine seeds.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

use std::time::Instant;

use daisymast_placement::baseline::FirstFit;
use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;

/// Disjoint from the seeds that the score of the policy was fitted on.
const SEEDS: [u64; 9] = [101, 102, 103, 104, 105, 106, 107, 108, 109];
const FLEETS: [&str; 3] = ["32 cores, 128 GB", "32 cores, 64 GB", "mixed"];

#[derive(Clone, Copy, PartialEq)]
enum Method {
    Policy,
    FirstFit,
    Bound,
}

enum Placer {
    Policy(Box<Pool>),
    FirstFit(FirstFit),
    Bound(Resources),
}

/// Utilization in percent at the first refusal, with the latency of each decision.
struct Filled {
    tasks: usize,
    cpu_percent: f64,
    memory_percent: f64,
    nanos: Vec<u128>,
}

fn capacity(fleet: usize, number: u32) -> Resources {
    match (fleet, number % 4) {
        (0, _) | (2, 1) => Resources::new(32_000, 128 * 1024, 0),
        (1, _) | (2, 0) => Resources::new(32_000, 64 * 1024, 0),
        (_, 2) => Resources::new(16_000, 64 * 1024, 0),
        _ => Resources::new(48_000, 96 * 1024, 2),
    }
}

fn fleet(kind: usize, workers: u32) -> Vec<Machine> {
    (0..workers)
        .map(|number| Machine {
            worker: WorkerId::from(format!("w-{number}")),
            zone: Zone::from(format!("zone-{}", (number / 8) % 3)),
            rack: Rack::from(format!("rack-{}", number / 8)),
            capacity: capacity(kind, number),
            free: capacity(kind, number),
            schedulable: true,
        })
        .collect()
}

/// Task sizes of which some are skewed towards one quantity. The mean memory per core matches the
/// fleet, so that CPU and memory run out together.
fn size(random: &mut fastrand::Rng, per_core: u32) -> Resources {
    let cores = match random.u32(..100) {
        0..50 => random.u32(250..1_000),
        50..85 => random.u32(1_000..4_000),
        _ => random.u32(4_000..12_000),
    };
    let percent = match random.u32(..10) {
        0..4 => random.u32(20..60),
        4..8 => random.u32(60..140),
        _ => random.u32(140..400),
    };
    let memory = u64::from(cores) * u64::from(per_core) / 1_000 * u64::from(percent) / 100;
    Resources::new(
        cores,
        u32::try_from(memory).unwrap_or(u32::MAX).min(60 * 1024),
        0,
    )
}

impl Placer {
    fn new(method: Method, machines: &[Machine]) -> Self {
        match method {
            Method::Policy => {
                let mut pool = Pool::default();
                machines
                    .iter()
                    .cloned()
                    .for_each(|machine| pool.update(machine));
                Self::Policy(Box::new(pool))
            }
            Method::FirstFit => {
                let mut pool = FirstFit::default();
                machines
                    .iter()
                    .cloned()
                    .for_each(|machine| pool.update(machine));
                Self::FirstFit(pool)
            }
            Method::Bound => Self::Bound(total(machines)),
        }
    }

    fn place(&mut self, demand: &Demand) -> Option<WorkerId> {
        match self {
            Self::Policy(pool) => pool.place(demand).ok(),
            Self::FirstFit(pool) => pool.place(demand).ok(),
            Self::Bound(free) => demand.size.fits_in(*free).then(|| {
                *free -= demand.size;
                WorkerId::from("all")
            }),
        }
    }

    fn release(&mut self, worker: &WorkerId, size: Resources) {
        match self {
            Self::Policy(pool) => pool.release(worker, size),
            Self::FirstFit(pool) => pool.release(worker, size),
            Self::Bound(free) => *free += size,
        }
    }
}

fn total(machines: &[Machine]) -> Resources {
    machines
        .iter()
        .fold(Resources::ZERO, |sum, machine| sum + machine.capacity)
}

fn fill(method: Method, machines: &[Machine], seed: u64, per_core: u32, churn: bool) -> Filled {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut placer = Placer::new(method, machines);
    let mut tasks: Vec<(WorkerId, Resources)> = Vec::new();
    let mut nanos = Vec::new();
    loop {
        let demand = Demand {
            run: RunKey(random.u64(..400)),
            policy: Policy::Pack,
            size: size(&mut random, per_core),
            excluded: Vec::new(),
        };
        let ends = random.u32(..10) == 0;
        let which = random.f64();
        let before = Instant::now();
        let placed = placer.place(&demand);
        nanos.push(before.elapsed().as_nanos());
        let Some(worker) = placed else {
            break;
        };
        tasks.push((worker, demand.size));
        if churn && ends {
            let (worker, size) = tasks.swap_remove(position(which, tasks.len()));
            placer.release(&worker, size);
        }
    }
    let used = tasks
        .iter()
        .fold(Resources::ZERO, |sum, (_, size)| sum + *size);
    let all = total(machines);
    Filled {
        tasks: tasks.len(),
        cpu_percent: 100.0 * f64::from(used.millicores) / f64::from(all.millicores),
        memory_percent: 100.0 * f64::from(used.memory_mib) / f64::from(all.memory_mib),
        nanos,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a position in a list of tasks"
)]
fn position(part: f64, length: usize) -> usize {
    (part * length as f64) as usize
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (least, middle, most) = (
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    );
    format!("{middle:.1} ({least:.1}-{most:.1})")
}

#[expect(clippy::cast_precision_loss, reason = "times are below a second")]
fn percentile(runs: &[Filled], part: usize) -> f64 {
    let mut nanos: Vec<u128> = runs
        .iter()
        .flat_map(|run| run.nanos.iter().copied())
        .collect();
    nanos.sort_unstable();
    nanos[(nanos.len() - 1) * part / 1_000] as f64 / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn main() {
    println!(
        "| fleet | workers | tasks end | method | tasks | binding quantity % | other % | p50 us | p99 us | p99.9 us |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (workers, churn) in [(48, false), (48, true), (800, false), (800, true)] {
        for (kind, name) in FLEETS.iter().enumerate() {
            let machines = fleet(kind, workers);
            let all = total(&machines);
            let per_core = all.memory_mib / (all.millicores / 1_000);
            for method in [Method::Policy, Method::FirstFit, Method::Bound] {
                let runs: Vec<Filled> = SEEDS
                    .iter()
                    .map(|seed| fill(method, &machines, *seed, per_core, churn))
                    .collect();
                let tasks = spread(runs.iter().map(|run| run.tasks as f64).collect());
                let binding = spread(
                    runs.iter()
                        .map(|run| run.cpu_percent.max(run.memory_percent))
                        .collect(),
                );
                let other = spread(
                    runs.iter()
                        .map(|run| run.cpu_percent.min(run.memory_percent))
                        .collect(),
                );
                let label = match method {
                    Method::Policy => "policy",
                    Method::FirstFit => "first fit",
                    Method::Bound => "bound",
                };
                let ends = if churn { "yes" } else { "no" };
                let times = [500, 990, 999].map(|part| percentile(&runs, part));
                println!(
                    "| {name} | {workers} | {ends} | {label} | {tasks} | {binding} | {other} | {:.2} | {:.2} | {:.2} |",
                    times[0], times[1], times[2]
                );
            }
        }
    }
}
