//! Executable of the open-loop load generator for entry instances on loopback addresses.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use daisymast_load::load::{drive, plan, plot, report};
use lexopt::prelude::Long;

const HELP: &str = "\
daisymast-load: open-loop load on entry instances on loopback

Usage: daisymast-load --plan FILE [--svg FILE] [--check]

  --plan FILE  kinds, rates, floods and instances as JSON
  --svg FILE   plot of the waiting times
  --check      read the plan and stop
  --help       print this text
  --version    print the version
";

fn main() -> anyhow::Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let (mut settings, mut svg, mut is_check) = (None, None, false);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("plan") => settings = Some(PathBuf::from(arguments.value()?)),
            Long("check") => is_check = true,
            Long("help") => return print(HELP),
            Long("version") => {
                return print(concat!("daisymast-load ", env!("CARGO_PKG_VERSION"), "\n"));
            }
            Long("svg") => svg = Some(PathBuf::from(arguments.value()?)),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let path = settings.context("usage: daisymast-load --plan FILE [--svg FILE]")?;
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let plan = plan::Plan::parse(&text)?;
    if is_check {
        return Ok(());
    }
    let completed = drive::run(&plan)?;
    if let Some(svg) = svg {
        plot::write(&svg, &plan, &completed)?;
    }
    let reports = report::summarize(&plan, &completed)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string_pretty(&reports)?)?;
    Ok(())
}

fn print(text: &str) -> anyhow::Result<()> {
    write!(std::io::stdout().lock(), "{text}").context("print")
}
