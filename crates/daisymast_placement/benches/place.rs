//! Cost of one placement in a steady state: each placement is preceded by the end of an older task.
//!
//! Workers have 32 cores and 128 GB, eight per rack. The pool holds 26 tasks per worker, which is
//! 21,000 tasks on 800 workers. The first-fit baseline runs in the same process.

use std::collections::VecDeque;

use daisymast_placement::baseline::FirstFit;
use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;
use divan::{Bencher, black_box};

const WORKERS: [u32; 4] = [50, 200, 800, 3_200];
const TASKS_PER_WORKER: u32 = 26;

fn main() {
    divan::main();
}

fn machine(number: u32) -> Machine {
    let capacity = Resources::new(32_000, 128 * 1024, 0);
    let rack = number / 8;
    Machine {
        worker: WorkerId::from(format!("w-{number}")),
        zone: Zone::from(format!("zone-{}", rack % 5)),
        rack: Rack::from(format!("rack-{rack}")),
        capacity,
        free: capacity,
        schedulable: true,
    }
}

/// Task sizes of which 26 fill about four fifths of a worker.
fn size(random: &mut fastrand::Rng) -> Resources {
    let shapes = [
        (500, 1_024),
        (1_000, 6_144),
        (2_000, 2_048),
        (1_000, 2_048),
        (500, 8_192),
    ];
    let (millicores, memory) = shapes[random.usize(..shapes.len())];
    Resources::new(millicores, memory, 0)
}

fn demand(random: &mut fastrand::Rng, policy: Policy) -> Demand {
    Demand {
        run: RunKey(random.u64(..400)),
        policy,
        size: size(random),
        excluded: Vec::new(),
    }
}

fn steady_state(bencher: Bencher<'_, '_>, workers: u32, policy: Policy) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut pool = Pool::default();
    for number in 0..workers {
        pool.update(machine(number));
    }
    let mut tasks = VecDeque::new();
    for _ in 0..workers * TASKS_PER_WORKER {
        let demand = demand(&mut random, Policy::Pack);
        if let Ok(worker) = pool.place(&demand) {
            tasks.push_back((worker, demand.size));
        }
    }
    bencher.bench_local(|| {
        if let Some((worker, size)) = tasks.pop_front() {
            pool.release(&worker, size);
        }
        let demand = demand(&mut random, policy);
        let placed = black_box(pool.place(&demand));
        if let Ok(worker) = placed {
            tasks.push_back((worker, demand.size));
        }
    });
}

#[divan::bench(args = WORKERS, sample_count = 1_000, sample_size = 20)]
fn pack(bencher: Bencher<'_, '_>, workers: u32) {
    steady_state(bencher, workers, Policy::Pack);
}

#[divan::bench(args = WORKERS, sample_count = 1_000, sample_size = 20)]
fn spread(bencher: Bencher<'_, '_>, workers: u32) {
    steady_state(bencher, workers, Policy::Spread);
}

#[divan::bench(args = WORKERS, sample_count = 1_000, sample_size = 20)]
fn first_fit(bencher: Bencher<'_, '_>, workers: u32) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut pool = FirstFit::default();
    for number in 0..workers {
        pool.update(machine(number));
    }
    let mut tasks = VecDeque::new();
    for _ in 0..workers * TASKS_PER_WORKER {
        let demand = demand(&mut random, Policy::Pack);
        if let Ok(worker) = pool.place(&demand) {
            tasks.push_back((worker, demand.size));
        }
    }
    bencher.bench_local(|| {
        if let Some((worker, size)) = tasks.pop_front() {
            pool.release(&worker, size);
        }
        let demand = demand(&mut random, Policy::Pack);
        let placed = black_box(pool.place(&demand));
        if let Ok(worker) = placed {
            tasks.push_back((worker, demand.size));
        }
    });
}

#[divan::bench(args = WORKERS, sample_count = 200, sample_size = 5)]
fn gang_of_40(bencher: Bencher<'_, '_>, workers: u32) {
    let mut pool = Pool::default();
    for number in 0..workers {
        pool.update(machine(number));
    }
    let demand = Demand {
        run: RunKey(1),
        policy: Policy::Gang,
        size: Resources::new(2_000, 4_096, 0),
        excluded: Vec::new(),
    };
    bencher.bench_local(|| {
        let placed = black_box(pool.place_gang(&demand, 40));
        for worker in placed.into_iter().flatten() {
            pool.release(&worker, demand.size);
        }
    });
}
