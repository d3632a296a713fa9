//! Runs soak tests of restarts under the same ID and cuts, for a range of seeds.

use std::path::PathBuf;
use std::process::ExitCode;

use daisymast_cluster::programs;
use daisymast_soak::recut;

const HELP: &str = "\
usage: cargo run --release -p daisymast_soak --example recut -- FIRST LAST [late|paused] [OPTIONS]

Plays long tasks on 24 workers that restart under their IDs and are cut off soon after.
`late` adds calls to workers (starts, stops and polls) that get no response and are executed 2 to
12 s later, by whatever process runs then. `paused` adds paused leaders to that.

options:
  --node PATH    program of the nodes, to play the same seeds on another build; by default the
                 daisymast-node of this source, which is built first
  --logs FOLDER  where the folders of seeds with violations are kept, each with the logs of the
                 nodes and `trace.log` (calls, events and faults of the workers)
  --keep         keep the folders of all seeds";

struct Arguments {
    seeds: std::ops::RangeInclusive<u64>,
    variant: recut::Variant,
    node: Option<PathBuf>,
    logs: PathBuf,
    keep: bool,
}

fn parse() -> Option<Arguments> {
    let mut numbers = Vec::new();
    let mut variant = recut::Variant::Plain;
    let (mut node, mut logs, mut keep) = (None, None, false);
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        match argument.as_str() {
            "late" => variant = recut::Variant::Late,
            "paused" => variant = recut::Variant::LatePaused,
            "--node" => node = Some(PathBuf::from(arguments.next()?)),
            "--logs" => logs = Some(PathBuf::from(arguments.next()?)),
            "--keep" => keep = true,
            number => numbers.push(number.parse().ok()?),
        }
    }
    let &[first, last] = numbers.as_slice() else {
        return None;
    };
    Some(Arguments {
        seeds: first..=last,
        variant,
        node,
        logs: logs.unwrap_or_else(|| programs::folder().join("daisymast_soak").join("recut")),
        keep,
    })
}

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() -> std::io::Result<ExitCode> {
    let Some(arguments) = parse() else {
        println!("{HELP}");
        return Ok(ExitCode::FAILURE);
    };
    let variant = arguments.variant;
    let mut failed = 0;
    for seed in arguments.seeds {
        let folder = arguments.logs.join(format!("{variant:?}-{seed}"));
        let report = recut::run(seed, variant, arguments.node.clone(), &folder)?;
        let violations = &report.violations;
        println!(
            "{variant:?} seed {seed}: {} accepted, {} completed, {} task starts, {} violations",
            report.accepted,
            report.completed,
            report.starts,
            violations.len()
        );
        for line in violations.iter().take(20) {
            println!("  {line}");
        }
        if !violations.is_empty() {
            failed += 1;
            println!("  logs in {}", folder.display());
        } else if !arguments.keep {
            std::fs::remove_dir_all(&folder)?;
        }
    }
    println!("{failed} seeds with violations");
    Ok(if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}
