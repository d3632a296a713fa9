//! Runs soak tests for a range of seeds:
//! `cargo run -p daisymast_soak --example soak -- [--traffic S] FIRST LAST`.
//! Without seeds, it runs ten random ones.

use std::path::Path;
use std::time::Duration;

use daisymast_cluster::programs;
use daisymast_soak::run;

/// Default traffic duration, in seconds.
const TRAFFIC_S: u64 = 10;
/// Number of random seeds if none are given.
const RANDOM_SEED_COUNT: u64 = 10;

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() -> std::io::Result<()> {
    let mut numbers = Vec::new();
    let mut traffic = Duration::from_secs(TRAFFIC_S);
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        if argument == "--traffic" {
            let seconds = arguments.next().and_then(|text| text.parse().ok());
            traffic = Duration::from_secs(seconds.unwrap_or(TRAFFIC_S));
        } else if let Ok(number) = argument.parse::<u64>() {
            numbers.push(number);
        }
    }
    let seeds: Vec<u64> = match numbers[..] {
        [first, last] => (first..=last).collect(),
        [only] => vec![only],
        _ => (0..RANDOM_SEED_COUNT)
            .map(|_| fastrand::u64(..1 << 32))
            .collect(),
    };
    let folder = programs::folder().join("daisymast_soak");
    let mut failed = 0;
    for seed in seeds {
        let logs = folder.join(seed.to_string());
        let report = run::run(run::Options { seed, traffic }, &logs)?;
        println!(
            "seed {seed}: {} accepted, {} completed, {} task starts, {} store calls, {} bytes in the store, {} violations",
            report.accepted,
            report.completed,
            report.starts,
            report.store_calls,
            report.store_bytes,
            report.violations.len()
        );
        if report.violations.is_empty() {
            remove_logs(&logs)?;
        } else {
            failed += 1;
            for line in report.violations.iter().take(12) {
                println!("  {line}");
            }
            println!("  logs in {}", logs.display());
        }
    }
    println!("{failed} seeds with violations");
    if failed > 0 {
        std::process::exit(1);
    }
    Ok(())
}

fn remove_logs(folder: &Path) -> std::io::Result<()> {
    std::fs::remove_dir_all(folder)
}
