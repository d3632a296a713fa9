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
    log4rs::init_config(config(level)?).context("start logging")?;
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
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .context("configure logging")
}
