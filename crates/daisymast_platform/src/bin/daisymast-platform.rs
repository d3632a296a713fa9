//! Stand-in for the platform, for tests and experiments.

use std::path::PathBuf;

use anyhow::Context;
use daisymast_http::executor::{self, Executor};
use daisymast_platform::daemon::Daemon;
use daisymast_platform::settings::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use smol::stream::StreamExt;

const HELP: &str = "\
Stand-in for the platform: key-value store and member list.

Usage: daisymast-platform [--settings FILE] [--listen ADDRESS] [--check]

  --settings FILE    read settings from a JSON file
  --listen ADDRESS   listen on this address, overriding the settings; for example 127.0.0.1:0
  --check            validate the settings and exit
  --help             print this text and exit
  --version          print the version and exit

Prints its address to standard output, as one line of JSON.";

enum Command {
    Run(Settings),
    Check,
    Print(String),
}

fn main() -> anyhow::Result<()> {
    match parse_arguments()? {
        Command::Run(settings) => executor::run(settings.threads, async |executor| {
            serve(executor, &settings).await
        }),
        Command::Check => Ok(()),
        Command::Print(text) => {
            print_line(&text);
            Ok(())
        }
    }
}

fn parse_arguments() -> anyhow::Result<Command> {
    use lexopt::prelude::{Long, ValueExt};

    let mut settings = Settings::default();
    let mut listen = None;
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Settings::read(&PathBuf::from(parser.value()?))?,
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("check") => check = true,
            Long("help") => return Ok(Command::Print(HELP.to_owned())),
            Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("daisymast-platform {version}")));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    settings.listen = listen.unwrap_or(settings.listen);
    Ok(if check {
        Command::Check
    } else {
        Command::Run(settings)
    })
}

async fn serve(executor: Executor, settings: &Settings) -> anyhow::Result<()> {
    // Install the signal handlers before printing the address: the reader of the address may send
    // SIGTERM at once.
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("install signal handlers")?;
    let daemon = Daemon::start(&executor, settings)
        .await
        .with_context(|| format!("listen on {}", settings.listen))?;
    print_line(&serde_json::json!({ "listening": daemon.address() }).to_string());
    signals.next().await;
    daemon.shutdown().await;
    Ok(())
}

#[expect(clippy::print_stdout, reason = "the output of the program")]
fn print_line(text: &str) {
    println!("{text}");
}
