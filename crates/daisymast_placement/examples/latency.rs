//! Latency percentiles of placement decisions in a steady state with 26 tasks per worker, which is
//! 21,000 tasks on 800 workers: each placement is preceded by the end of an older task.
//!
//! The methods alternate over five rounds of 20,000 decisions each. Figures are medians (minimum to
//! maximum) over the rounds.

#![expect(clippy::print_stdout, reason = "the program prints a table")]

use std::collections::VecDeque;
use std::time::Instant;

use daisymast_placement::baseline::FirstFit;
use daisymast_placement::pool::{Demand, Machine, Policy, Pool};
use daisymast_types::ids::{Rack, RunKey, WorkerId, Zone};
use daisymast_types::quantities::Resources;

const ROUNDS: usize = 5;
const DECISIONS: usize = 20_000;
const TASKS_PER_WORKER: u32 = 26;

enum Placer {
    Policy(Box<Pool>, Policy),
    FirstFit(FirstFit),
}

struct SteadyState {
    name: &'static str,
    placer: Placer,
    tasks: VecDeque<(WorkerId, Resources)>,
    random: fastrand::Rng,
    rows: Vec<[f64; 4]>,
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

impl SteadyState {
    fn new(name: &'static str, policy: Option<Policy>, workers: u32) -> Self {
        let machines = (0..workers).map(machine);
        let placer = if let Some(policy) = policy {
            let mut pool = Box::new(Pool::default());
            machines.for_each(|machine| pool.update(machine));
            Placer::Policy(pool, policy)
        } else {
            let mut pool = FirstFit::default();
            machines.for_each(|machine| pool.update(machine));
            Placer::FirstFit(pool)
        };
        let mut state = Self {
            name,
            placer,
            tasks: VecDeque::new(),
            random: fastrand::Rng::with_seed(7),
            rows: Vec::new(),
        };
        for _ in 0..workers * TASKS_PER_WORKER {
            state.place();
        }
        state
    }

    /// Places one task and returns the time of the decision in nanoseconds.
    fn place(&mut self) -> u128 {
        let shapes = [
            (500, 1_024),
            (1_000, 6_144),
            (2_000, 2_048),
            (1_000, 2_048),
            (500, 8_192),
        ];
        let (millicores, memory) = shapes[self.random.usize(..shapes.len())];
        let mut demand = Demand {
            run: RunKey(self.random.u64(..400)),
            policy: Policy::Pack,
            size: Resources::new(millicores, memory, 0),
            excluded: Vec::new(),
        };
        let begin = Instant::now();
        let placed = match &mut self.placer {
            Placer::Policy(pool, policy) => {
                demand.policy = *policy;
                pool.place(&demand)
            }
            Placer::FirstFit(pool) => pool.place(&demand),
        };
        let nanos = begin.elapsed().as_nanos();
        if let Ok(worker) = placed {
            self.tasks.push_back((worker, demand.size));
        }
        nanos
    }

    fn release(&mut self) {
        if let Some((worker, size)) = self.tasks.pop_front() {
            match &mut self.placer {
                Placer::Policy(pool, _) => pool.release(&worker, size),
                Placer::FirstFit(pool) => pool.release(&worker, size),
            }
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "times are below a second")]
    fn round(&mut self) {
        let begin = Instant::now();
        let mut nanos: Vec<u128> = (0..DECISIONS)
            .map(|_| {
                self.release();
                self.place()
            })
            .collect();
        let rate = DECISIONS as f64 / begin.elapsed().as_secs_f64();
        nanos.sort_unstable();
        let at = |part: usize| nanos[(DECISIONS - 1) * part / 1_000] as f64 / 1_000.0;
        self.rows.push([at(500), at(990), at(999), rate / 1_000.0]);
    }
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

fn main() {
    println!(
        "| workers | method | tasks | p50 us | p99 us | p99.9 us | thousand decisions a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for workers in [50, 200, 800, 3_200] {
        let mut methods = [
            SteadyState::new("pack", Some(Policy::Pack), workers),
            SteadyState::new("spread", Some(Policy::Spread), workers),
            SteadyState::new("first fit", None, workers),
        ];
        for _ in 0..ROUNDS {
            methods.iter_mut().for_each(SteadyState::round);
        }
        for method in &methods {
            let cell = |column: usize| spread(method.rows.iter().map(|row| row[column]).collect());
            let (name, tasks) = (method.name, method.tasks.len());
            let (half, high, highest, rate) = (cell(0), cell(1), cell(2), cell(3));
            println!("| {workers} | {name} | {tasks} | {half} | {high} | {highest} | {rate} |");
        }
    }
}
