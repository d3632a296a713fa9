//! Log setup: JSON lines on standard error.

use std::path::Path;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Logs from `level` on to standard error, one JSON object a line. Standard output stays free for
/// the results of commands.
///
/// # Errors
/// A logger is set already.
pub fn start(level: LevelFilter) -> anyhow::Result<()> {
    start_on(level, Output::Error)
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, for daemons that print nothing else.
    Standard,
    /// Standard error.
    Error,
}

/// Logs from `level` on to an output, one JSON object a line.
///
/// # Errors
/// A logger is set already.
pub fn start_on(level: LevelFilter, output: Output) -> anyhow::Result<()> {
    log4rs::init_config(config_with_output(level, output)?).context("start logging")?;
    Ok(())
}

/// Logs as a log4rs configuration file in JSON says.
///
/// # Errors
/// The file cannot be read or is no valid configuration, or a logger is set already.
pub fn start_from(file: &Path) -> anyhow::Result<()> {
    log4rs::init_file(file, log4rs::config::Deserializers::default())
        .with_context(|| format!("read the log configuration {}", file.display()))
}

/// The configuration that [`start`] uses.
///
/// # Errors
/// None in practice: names of appenders are fixed.
pub fn config(level: LevelFilter) -> anyhow::Result<Config> {
    config_with_output(level, Output::Error)
}

fn config_with_output(level: LevelFilter, output: Output) -> anyhow::Result<Config> {
    let target = match output {
        Output::Standard => Target::Stdout,
        Output::Error => Target::Stderr,
    };
    let console = ConsoleAppender::builder()
        .target(target)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .context("configure logging")
}
