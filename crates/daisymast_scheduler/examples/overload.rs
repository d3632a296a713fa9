//! Compares ways to order work on an overloaded fleet, without a network.
//!
//! `cargo run --release -p daisymast_scheduler --example overload -- [--workers N] [--seeds N]
//! [--load PERCENT] [--burst PERCENT] [--mix surveys|nesting|render]` plays arrivals of three kinds of jobs on a virtual clock and
//! prints, for each kind, the share of the worth that was served: wholly within the time objective, a
//! fifth up to three times the objective. `--burst` multiplies the arrivals of the least urgent kind
//! for six seconds.

mod fleet_model;

use fleet_model::{Mix, Scenario, Simulation};

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() -> Result<(), String> {
    let mut scenario = Scenario::default();
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
            "--burst" => scenario.burst_percent = value,
            _ => return Err(format!("unknown argument {name}")),
        }
    }
    let play = move |seed| {
        let mut simulation = Simulation::new(scenario, seed);
        simulation.run();
        simulation.summary()
    };
    let plays: Vec<_> = (1..=seeds)
        .map(|seed| (seed, std::thread::spawn(move || play(seed))))
        .collect();
    let mut total = 0.0;
    for (seed, play) in plays {
        let summary = play.join().map_err(|_| format!("seed {seed} failed"))?;
        total += summary.share;
        println!("seed {seed}: {summary}");
    }
    println!("mean share of the worth: {:.3}", total / seeds as f64);
    Ok(())
}
