//! Execution of the commands.

use std::io::{self, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use daisymast_http::executor;
use daisymast_manifest::diff;
use daisymast_manifest::manifest::Manifest;
use daisymast_manifest::parse;
use daisymast_protocol::caller::{CallerReply, CallerRequest};
use daisymast_protocol::operator::{OperatorReply, OperatorRequest};
use daisymast_protocol::outcome::Outcome;
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_settings::operator;
use daisymast_types::ids::{Generation, JobName, RequestId};
use serde::Serialize;
use smol::Timer;

use crate::client::Instances;
use crate::command::{self, Arguments, Command, RequestOptions};
use crate::{output, retire, timeline};

/// Polling interval of `timeline --follow`.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of ports that one call of `ports` prints.
const PORTS_MAX: u16 = 1_000;

/// Exit status of a command; the discriminants are the exit codes of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed or was rejected.
    Failed = 1,
    /// The command-line arguments are invalid.
    Usage = 2,
    /// The settings are invalid.
    Settings = 3,
    /// It is unknown whether the command took effect.
    Unknown = 4,
}

/// Entry point of the executable: parses the process arguments and runs the command.
#[expect(clippy::print_stderr, reason = "errors go to standard error")]
pub fn main() -> ExitCode {
    let exit = match command::parse(std::env::args_os().skip(1)) {
        Ok(arguments) => match run(&arguments, &mut io::stdout().lock()) {
            Ok(exit) => exit,
            Err(error) => {
                eprintln!("daisymast: {error:#}");
                Exit::Failed
            }
        },
        Err(error) => {
            eprintln!("daisymast: {error}; --help lists the commands");
            Exit::Usage
        }
    };
    ExitCode::from(exit as u8)
}

/// Runs one command and writes its result to `output`.
///
/// # Errors
/// Fails if a file cannot be read, an instance cannot be queried, or the output cannot be written.
pub fn run(arguments: &Arguments, output: &mut impl Write) -> anyhow::Result<Exit> {
    match &arguments.command {
        Command::Help => write!(output, "{}", command::HELP)?,
        Command::Version => writeln!(output, "daisymast {}", env!("CARGO_PKG_VERSION"))?,
        Command::Ports(count) => ports(*count, output)?,
        Command::Validate(file) => return validate(arguments, file, output),
        remote => {
            let text = std::fs::read_to_string(&arguments.settings).with_context(|| {
                format!("cannot read settings {}", arguments.settings.display())
            })?;
            let settings = match operator::parse(&text) {
                Ok(settings) => settings,
                Err(faults) => {
                    writeln!(output, "{}:\n{faults}", arguments.settings.display())?;
                    return Ok(Exit::Settings);
                }
            };
            return executor::run(1, async |executor| {
                let instances = Instances::new(executor, &settings, &arguments.instances)?;
                let mut remote_command = RemoteCommand {
                    instances,
                    json: arguments.json,
                    output,
                };
                remote_command.run(remote).await
            });
        }
    }
    Ok(Exit::Done)
}

/// Prints free ports, one per line. All are bound before the first is printed, so that no port is
/// printed twice.
fn ports(count: u16, output: &mut impl Write) -> anyhow::Result<()> {
    anyhow::ensure!(
        count <= PORTS_MAX,
        "ports = {count}: at most {PORTS_MAX} are allowed"
    );
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()?;
    for listener in &listeners {
        writeln!(output, "{}", listener.local_addr()?.port())?;
    }
    Ok(())
}

fn read(file: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

fn validate(arguments: &Arguments, file: &Path, output: &mut impl Write) -> anyhow::Result<Exit> {
    match parse::parse(&read(file)?) {
        Ok(manifest) if arguments.json => {
            writeln!(output, "{}", serde_json::to_string(&manifest)?)?;
        }
        Ok(manifest) => writeln!(output, "valid: {}", summary(&manifest))?,
        Err(faults) => {
            let reply = OperatorReply::Invalid {
                faults: faults.lines(),
            };
            write!(
                output,
                "{}",
                render(arguments.json, &reply, output::operator)?
            )?;
            return Ok(Exit::Failed);
        }
    }
    Ok(Exit::Done)
}

fn summary(manifest: &Manifest) -> String {
    format!(
        "release {}, {} teams, {} services, {} batches, {} gang jobs",
        manifest.release,
        manifest.teams.len(),
        manifest.services.len(),
        manifest.batches.len(),
        manifest.gang_jobs.len()
    )
}

fn render<T: Serialize>(
    json: bool,
    value: &T,
    text: impl Fn(&T) -> String,
) -> anyhow::Result<String> {
    if json {
        return Ok(format!("{}\n", serde_json::to_string(value)?));
    }
    Ok(text(value))
}

/// Context of a command that sends requests to instances.
struct RemoteCommand<'a, W> {
    instances: Instances,
    json: bool,
    output: &'a mut W,
}

impl<W: Write> RemoteCommand<'_, W> {
    async fn run(&mut self, command: &Command) -> anyhow::Result<Exit> {
        match command {
            Command::Diff(file) => self.diff(file).await,
            Command::Submit { file, expected } => {
                let expected = match expected {
                    Some(expected) => Generation(*expected),
                    None => self.in_force().await?.0,
                };
                self.submit(expected, read(file)?).await
            }
            Command::Retire(job) => self.retire(&JobName::from(job.as_str())).await,
            Command::Status => self.status().await,
            Command::Timeline { follow } => self.timeline(*follow).await,
            Command::Request(options) => self.request(options).await,
            Command::Result(id) => {
                let answer = self.instances.result(&RequestId::from(id.as_str())).await;
                self.print_reply(answer)
            }
            Command::Validate(_) | Command::Ports(_) | Command::Help | Command::Version => {
                bail!("the command needs no instance")
            }
        }
    }

    /// Fetches the generation and text of the manifest in force.
    async fn in_force(&self) -> anyhow::Result<(Generation, String)> {
        match self
            .instances
            .first_operator(&OperatorRequest::Manifest)
            .await
        {
            Outcome::Done(OperatorReply::Manifest {
                generation,
                manifest,
            }) => Ok((generation, manifest)),
            Outcome::Done(other) => {
                bail!("read the manifest in force: {}", output::operator(&other))
            }
            Outcome::NoEffect(error) | Outcome::Unknown(error) => {
                Err(error).context("read the manifest in force")
            }
        }
    }

    async fn diff(&mut self, file: &Path) -> anyhow::Result<Exit> {
        let new = match parse::parse(&read(file)?) {
            Ok(manifest) => manifest,
            Err(faults) => bail!("{}:\n{faults}", file.display()),
        };
        let (generation, text) = self.in_force().await?;
        let old = if generation == Generation(0) {
            None
        } else {
            Some(parse::parse(&text).context("the manifest in force")?)
        };
        let old = old.unwrap_or_else(|| empty(&new));
        let diff = diff::diff(&old, &new);
        let text = render(self.json, &diff, |diff| {
            if diff.is_empty() {
                format!("no difference from generation {generation}\n")
            } else {
                format!("against generation {generation}:\n{diff}")
            }
        })?;
        write!(self.output, "{text}")?;
        Ok(Exit::Done)
    }

    async fn submit(&mut self, expected: Generation, manifest: String) -> anyhow::Result<Exit> {
        let request = OperatorRequest::Submit { expected, manifest };
        let reply = match self.instances.first_operator(&request).await {
            Outcome::Done(reply) => reply,
            Outcome::NoEffect(error) => OperatorReply::Unavailable {
                reason: error.to_string(),
            },
            Outcome::Unknown(error) => OperatorReply::Unknown {
                reason: error.to_string(),
            },
        };
        write!(
            self.output,
            "{}",
            render(self.json, &reply, output::operator)?
        )?;
        Ok(match reply {
            OperatorReply::Accepted { .. } => Exit::Done,
            OperatorReply::Unknown { .. } => Exit::Unknown,
            _ => Exit::Failed,
        })
    }

    async fn retire(&mut self, job: &JobName) -> anyhow::Result<Exit> {
        let (generation, text) = self.in_force().await?;
        anyhow::ensure!(generation > Generation(0), "no manifest is in force");
        let manifest = parse::parse(&text).context("the manifest in force")?;
        let Some(manifest) = retire::without(manifest, job) else {
            bail!("generation {generation} declares no job {job}");
        };
        self.submit(generation, serde_json::to_string(&manifest)?)
            .await
    }

    async fn status(&mut self) -> anyhow::Result<Exit> {
        let mut exit = Exit::Done;
        for address in self.instances.operators.clone() {
            match self
                .instances
                .operator(address, &OperatorRequest::Status)
                .await
            {
                Outcome::Done(reply) => {
                    write!(
                        self.output,
                        "{}",
                        render(self.json, &reply, output::operator)?
                    )?;
                }
                Outcome::NoEffect(error) | Outcome::Unknown(error) => {
                    exit = Exit::Failed;
                    warn(&error.to_string());
                }
            }
        }
        Ok(exit)
    }

    async fn timeline(&mut self, follow: Option<Duration>) -> anyhow::Result<Exit> {
        let end = Instant::now() + follow.unwrap_or_default();
        let mut last_shown = vec![0; self.instances.operators.len()];
        loop {
            let (events, failed) = self.new_events(&mut last_shown).await;
            for event in &events {
                let text = render(self.json, event, |event| {
                    format!("{}\n", timeline::line(event))
                })?;
                write!(self.output, "{text}")?;
            }
            self.output.flush()?;
            if Instant::now() >= end {
                return Ok(if failed { Exit::Failed } else { Exit::Done });
            }
            Timer::after(FOLLOW_POLL_INTERVAL.min(end - Instant::now())).await;
        }
    }

    /// Fetches from each instance the events after the last one shown, and updates `last_shown`.
    /// The flag is set if an instance failed to reply.
    async fn new_events(&self, last_shown: &mut [u64]) -> (Vec<TimelineEvent>, bool) {
        let (mut pages, mut failed) = (Vec::new(), false);
        for (address, last_shown) in self.instances.operators.iter().zip(last_shown) {
            loop {
                let request = OperatorRequest::Timeline { after: *last_shown };
                match self.instances.operator(*address, &request).await {
                    Outcome::Done(OperatorReply::Timeline { events }) => {
                        let Some((last, _)) = events.last() else {
                            break;
                        };
                        *last_shown = *last;
                        pages.push(events);
                    }
                    Outcome::Done(other) => {
                        failed = true;
                        warn(&output::operator(&other));
                        break;
                    }
                    Outcome::NoEffect(error) | Outcome::Unknown(error) => {
                        failed = true;
                        warn(&error.to_string());
                        break;
                    }
                }
            }
        }
        (timeline::merge(pages), failed)
    }

    async fn request(&mut self, options: &RequestOptions) -> anyhow::Result<Exit> {
        // A UUID of version 7 contains its creation time, which the ledger uses to reject late
        // repeats.
        let id = options
            .id
            .clone()
            .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
        let request = CallerRequest {
            id: RequestId::from(id),
            service: JobName::from(options.service.as_str()),
            idempotent: options.idempotent,
            timeout_ms: options.timeout_ms,
            body: options.body.clone(),
        };
        let answer = self.instances.request(&request).await;
        self.print_reply(answer)
    }

    fn print_reply(&mut self, answer: Outcome<CallerReply>) -> anyhow::Result<Exit> {
        let reply = match answer {
            Outcome::Done(reply) => reply,
            Outcome::NoEffect(error) => return Err(error.into()),
            Outcome::Unknown(error) => {
                warn(&error.to_string());
                return Ok(Exit::Unknown);
            }
        };
        write!(
            self.output,
            "{}",
            render(self.json, &reply, output::caller)?
        )?;
        Ok(match reply {
            CallerReply::Done { .. } => Exit::Done,
            CallerReply::NotRun { .. } => Exit::Failed,
            CallerReply::Unknown { .. } => Exit::Unknown,
        })
    }
}

/// Manifest without teams and jobs, to which the first manifest is compared.
fn empty(new: &Manifest) -> Manifest {
    Manifest {
        release: new.release.clone(),
        teams: Vec::new(),
        services: Vec::new(),
        batches: Vec::new(),
        gang_jobs: Vec::new(),
    }
}

#[expect(
    clippy::print_stderr,
    reason = "standard output is reserved for the result"
)]
fn warn(text: &str) {
    eprintln!("daisymast: {}", text.trim_end());
}
