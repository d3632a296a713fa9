//! Logging setup: JSON lines on standard error or standard output.

use std::path::Path;

use anyhow::Context;
use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

/// Logs messages of `level` and above to standard error, one JSON object per line. Standard output
/// is reserved for the results of commands.
///
/// # Errors
/// Returns an error if a logger is already set.
pub fn start(level: LevelFilter) -> anyhow::Result<()> {
    start_with_output(level, Output::Error)
}

/// Destination of log messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output, for daemons without other output on it.
    Standard,
    /// Standard error.
    Error,
}

/// Logs messages of `level` and above to `output`, one JSON object per line.
///
/// # Errors
/// Returns an error if a logger is already set.
pub fn start_with_output(level: LevelFilter, output: Output) -> anyhow::Result<()> {
    log4rs::init_config(config_with_output(level, output)?).context("start logging")?;
    Ok(())
}

/// Logs according to a log4rs configuration file in JSON.
///
/// # Errors
/// Returns an error if the file cannot be read or is not a valid configuration, or if a logger is
/// already set.
pub fn start_from_file(file: &Path) -> anyhow::Result<()> {
    log4rs::init_file(file, log4rs::config::Deserializers::default())
        .with_context(|| format!("read the log configuration {}", file.display()))
}

/// Returns the log4rs configuration that [`start`] uses.
///
/// # Errors
/// Returns an error if log4rs rejects the configuration, which does not happen as the names of
/// appenders are fixed.
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
