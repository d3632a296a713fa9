//! Prints the resource usage of an instance as a function of the number of workers and instances.

use std::io::Write;

use anyhow::Context;
use daisymast_load::slopes::{report, sample, scene};
use lexopt::prelude::{Long, ValueExt};

const HELP: &str = "\
daisymast-slopes: cost of an instance by number of workers and instances

Usage: daisymast-slopes [OPTIONS]

  --zones N                              availability zones
  --instances N, --workers N             in each zone
  --starts X, --requests X               each second and worker
  --seconds N                            virtual time that is measured
  --sweep-workers A,B,..                 sizes to compare
  --sweep-instances A,B,..               sizes to compare
  --json FILE                            write the samples
  --help, --version
";

fn main() -> anyhow::Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let mut base = scene::Scene {
        zones: 5,
        instances: 2,
        workers: 40,
        starts: 0.675,
        requests: 0.0,
        seconds: 20,
    };
    let mut sweep: Option<(report::Axis, Vec<usize>)> = None;
    let mut json = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("help") => return print(HELP),
            Long("version") => {
                return print(concat!(
                    "daisymast-slopes ",
                    env!("CARGO_PKG_VERSION"),
                    "\n"
                ));
            }
            Long("zones") => base.zones = arguments.value()?.parse()?,
            Long("instances") => base.instances = arguments.value()?.parse()?,
            Long("workers") => base.workers = arguments.value()?.parse()?,
            Long("starts") => base.starts = arguments.value()?.parse()?,
            Long("requests") => base.requests = arguments.value()?.parse()?,
            Long("seconds") => base.seconds = arguments.value()?.parse()?,
            Long("sweep-workers") => {
                sweep = Some((report::Axis::Workers, list(&arguments.value()?.string()?)?));
            }
            Long("sweep-instances") => {
                sweep = Some((
                    report::Axis::Instances,
                    list(&arguments.value()?.string()?)?,
                ));
            }
            Long("json") => json = Some(arguments.value()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let (axis, sizes) = sweep.unwrap_or((report::Axis::Workers, vec![base.workers]));
    let samples: Vec<_> = sizes
        .into_iter()
        .map(|size| match axis {
            report::Axis::Workers => scene::Scene {
                workers: size,
                ..base
            },
            report::Axis::Instances => scene::Scene {
                instances: size,
                ..base
            },
        })
        .map(sample::measure)
        .collect();
    let rows = report::rows(axis, &samples);
    let title = format!("{base:?}");
    let mut output = std::io::stdout().lock();
    write!(output, "{}", report::table(&title, axis, &samples, &rows))?;
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&(&samples, &rows))?;
        std::fs::write(&path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}

/// Parses comma-separated numbers of workers or instances per availability zone.
fn list(text: &str) -> anyhow::Result<Vec<usize>> {
    text.split(',')
        .map(|part| {
            let number = part.trim().parse();
            number.with_context(|| format!("size: {part:?} is not a whole number"))
        })
        .collect()
}

fn print(text: &str) -> anyhow::Result<()> {
    write!(std::io::stdout().lock(), "{text}").context("print")
}
