//! Sends open-loop load to entry instances on loopback.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use daisymast_load::load::{drive, plan, plot, report};
use lexopt::prelude::Long;

fn main() -> anyhow::Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let (mut settings, mut svg) = (None, None);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("plan") => settings = Some(PathBuf::from(arguments.value()?)),
            Long("svg") => svg = Some(PathBuf::from(arguments.value()?)),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let path = settings.context("usage: daisymast-load --plan FILE [--svg FILE]")?;
    let text =
        std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let plan = plan::Plan::parse(&text)?;
    let finished = drive::run(&plan)?;
    if let Some(svg) = svg {
        plot::write(&svg, &plan, &finished)?;
    }
    let reports = report::sum(&plan, &finished)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string_pretty(&reports)?)?;
    Ok(())
}
