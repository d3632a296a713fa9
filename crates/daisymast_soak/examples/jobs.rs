//! Runs a two-step job and a gang on a cell without faults, through the callers' interface:
//! `cargo run -p daisymast_soak --example jobs`.

use std::time::Duration;

use daisymast_cluster::programs;
use daisymast_jobs::spec;
use daisymast_soak::{plan, run};
use daisymast_stand_in::fixtures;

fn job(id: u64, queue: &'static str, steps: Vec<fixtures::Step>) -> plan::Job {
    plan::Job {
        at: Duration::ZERO,
        id: spec::JobId(id),
        queue,
        steps,
        resubmit: true,
        cancel_after: None,
    }
}

#[expect(clippy::print_stdout, reason = "the output of the example")]
fn main() -> std::io::Result<()> {
    let task = fixtures::Step {
        tasks: 4,
        millicores: 1_000,
        work_ms: 400,
        gang: false,
    };
    let sum = fixtures::Step { tasks: 1, ..task };
    let gang = fixtures::Step { gang: true, ..task };
    let jobs = vec![
        job(2, plan::QUEUES[2], vec![task, sum]),
        job(3, plan::QUEUES[1], vec![gang]),
    ];
    let plan = plan::Plan {
        jobs,
        faults: Vec::new(),
    };
    let folder = programs::folder().join("daisymast_soak").join("jobs");
    let report = run::run_plan(plan, &folder)?;
    for (id, label) in [(2, "a job of two steps"), (3, "a gang of four tasks")] {
        let completed = report.completions.iter().find(|(job, _)| job.0 == id);
        match completed {
            Some((job, Some(elapsed))) => println!("{label}, {job}: completed after {elapsed:?}"),
            _ => println!("{label}: not completed, {:?}", report.violations),
        }
    }
    println!(
        "{} task starts on workers, including the probe job",
        report.starts
    );
    if !report.violations.is_empty() || report.completed < 3 {
        std::process::exit(1);
    }
    Ok(())
}
