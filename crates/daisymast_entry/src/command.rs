//! Command-line interface of the daemon.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use daisymast_http::executor;
use daisymast_settings::entry::{self, EntrySettings};
use daisymast_telemetry::logging;
use futures_lite::{StreamExt, future};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use crate::process::Process;

/// Help text printed by `--help`.
pub const HELP: &str = "\
Entry instance of the daisymast cluster scheduler.

Usage: daisymast-entry --settings FILE [--check]

  --settings FILE  read the settings from a JSON file
  --check          validate the settings and exit
  --help           print this text and exit
  --version        print the version and exit

Where the settings name port 0, the bound addresses are printed as one line of JSON on the standard
output. Logs go to the standard error, one JSON object a line. SIGTERM drains the instance.

Exit codes: 0 done or drained, 1 failure, 2 wrong arguments, 3 faulty settings.
";

/// Exit code for a runtime failure.
const FAILURE: u8 = 1;
/// Exit code for invalid command-line arguments.
const USAGE_ERROR: u8 = 2;
/// Exit code for settings that cannot be read or are invalid.
const SETTINGS_ERROR: u8 = 3;

/// Operation selected by the command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run(PathBuf),
    /// Validate the settings in this file and exit.
    Check(PathBuf),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Parses the command-line arguments, which must not include the program name.
///
/// # Errors
/// Fails if an argument is unknown or lacks its value, or if `--settings` is missing.
///
/// ```
/// use daisymast_entry::command;
/// let parsed = command::parse(["--check", "--settings", "entry.json"])?;
/// assert_eq!(parsed, command::Command::Check("entry.json".into()));
/// # Ok::<(), lexopt::Error>(())
/// ```
pub fn parse<I>(arguments: I) -> Result<Command, lexopt::Error>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut settings, mut check) = (None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Command::Help),
            lexopt::Arg::Long("version") => return Ok(Command::Version),
            other => return Err(other.unexpected()),
        }
    }
    match settings {
        Some(file) if check => Ok(Command::Check(file)),
        Some(file) => Ok(Command::Run(file)),
        None => Err("--settings FILE is required".into()),
    }
}

/// Entry point of the executable: parses the process arguments and runs the selected operation.
pub fn main() -> ExitCode {
    match parse(std::env::args_os().skip(1)) {
        Ok(Command::Help) => print(HELP.trim_end()),
        Ok(Command::Version) => print(concat!("daisymast-entry ", env!("CARGO_PKG_VERSION"))),
        Ok(Command::Check(file)) => match read(&file) {
            Ok(_) => print("settings are valid"),
            Err(error) => fail(SETTINGS_ERROR, &error),
        },
        Ok(Command::Run(file)) => match read(&file) {
            Ok(settings) => match run(&settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => fail(FAILURE, &error),
            },
            Err(error) => fail(SETTINGS_ERROR, &error),
        },
        Err(error) => {
            let error = anyhow::anyhow!("{error}; --help lists the arguments");
            fail(USAGE_ERROR, &error)
        }
    }
}

fn read(file: &Path) -> anyhow::Result<EntrySettings> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("cannot read settings {}", file.display()))?;
    entry::parse(&text).map_err(|faults| anyhow::anyhow!("{}:\n{faults}", file.display()))
}

fn run(settings: &EntrySettings) -> anyhow::Result<()> {
    match &settings.log_config {
        Some(file) => logging::start_from_file(file.as_ref())?,
        None => logging::start(settings.log_level.parse().context("log_level")?)?,
    }
    let threads = usize::try_from(settings.threads).context("threads")?;
    executor::run(threads, async |executor| {
        // Handlers are installed before the addresses are printed, because a supervisor may send
        // SIGTERM as soon as it has read them.
        let mut signals = Signals::new([SIGTERM, SIGINT]).context("install signal handlers")?;
        let process = Process::start(&Arc::clone(&executor), settings).await?;
        let listen = &settings.listen;
        let ports = [
            listen.callers,
            listen.operators,
            listen.peers,
            listen.metrics,
        ];
        if ports.iter().any(|address| address.port() == 0) {
            print(&serde_json::to_string(process.addresses())?);
        }
        let signalled = async { signals.next().await.is_some() };
        let failed = async {
            process.failed().await;
            false
        };
        if !future::or(signalled, failed).await {
            anyhow::bail!("the instance driver stopped unexpectedly");
        }
        process.drain().await
    })
}

#[expect(
    clippy::print_stdout,
    reason = "standard output is the interface of the command"
)]
fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

#[expect(
    clippy::print_stderr,
    reason = "logging has not started yet, or the process is exiting"
)]
fn fail(code: u8, error: &anyhow::Error) -> ExitCode {
    eprintln!("daisymast-entry: {error:#}");
    ExitCode::from(code)
}
