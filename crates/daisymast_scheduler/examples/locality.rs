//! Compares ways to wait for places near the data of tasks or on one rack for a gang, without a
//! network.
//!
//! `cargo run --release -p daisymast_scheduler --example locality -- [--workers N] [--seeds N]
//! [--load PERCENT] [--near PERCENT] [--far PERCENT] [--mix surveys|nesting|render]` plays the arrivals of the example `overload` on a
//! virtual clock, with the same seeds for each policy: never wait, wait if it pays, always wait.
//! `--near` is the share of jobs that name a rack, `--far` the run time elsewhere.

mod fleet_model;

use daisymast_scheduler::locality::Policy;
use fleet_model::{Mix, Scenario, Simulation};

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() -> Result<(), String> {
    let mut scenario = Scenario {
        workers: 120,
        near_percent: 50,
        far_factor: 1.5,
        burst_percent: 100,
        ..Scenario::default()
    };
    let mut seeds = 3;
    let mut arguments = std::env::args().skip(1);
    while let Some(name) = arguments.next() {
        let text = arguments.next().unwrap_or_default();
        if name == "--mix" {
            scenario.mix = Mix::named(&text).ok_or_else(|| format!("unknown mix {text}"))?;
            continue;
        }
        let value: u64 = text.parse().map_err(|_| format!("{name} needs a number"))?;
        match name.as_str() {
            "--workers" => scenario.workers = usize::try_from(value).unwrap_or(usize::MAX),
            "--seeds" => seeds = value,
            "--load" => scenario.load_percent = value,
            "--near" => scenario.near_percent = value,
            "--far" => scenario.far_factor = value as f64 / 100.0,
            _ => return Err(format!("unknown argument {name}")),
        }
    }
    for policy in [Policy::Never, Policy::Weighed, Policy::Always] {
        let mut total = 0.0;
        for seed in 1..=seeds {
            let scenario = Scenario { policy, ..scenario };
            let mut simulation = Simulation::new(scenario, seed);
            simulation.run();
            let summary = simulation.summary();
            total += summary.share;
            println!("{policy:?}, seed {seed}: {summary}; {}", simulation.waits());
        }
        println!(
            "{policy:?}: mean share of the worth {:.3}",
            total / seeds as f64
        );
    }
    Ok(())
}
