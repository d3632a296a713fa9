//! Command-line arguments of the operator command.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::ValueExt;

/// Help text printed by `--help`.
pub const HELP: &str = "\
Operator command of the daisymast cluster scheduler.

Usage: daisymast [OPTIONS] COMMAND

Commands:
  validate FILE                 check a manifest without sending it
  diff FILE                     compare a manifest with the one in force
  submit FILE [--expected N]    replace the manifest if generation N is in force; without
                                --expected, the generation that is in force now
  retire JOB                    submit the manifest in force without this job
  status                        show the status of each instance
  timeline [--follow]           show the events of all instances, ordered by time;
                                --follow goes on for the time that --for names
  request SERVICE BODY          send one caller request and show its answer
  result ID                     ask what became of a request

Options:
  --settings FILE    JSON file with operators, callers and operator_key (daisymast.json)
  --instance ADDRESS use this listener instead of those of the settings; may be repeated
  --json             print JSON
  --for SECONDS      time to follow the timeline, from 1 to 3600 (60)
  --id ID            id of the request; without it, a new UUID of version 7
  --idempotent       the request may be repeated
  --timeout-ms N     time for the answer, from 1 to 60000 (5000)
  --help             print this text and exit
  --version          print the version and exit

Exit codes: 0 done, 1 failure or refusal, 2 wrong arguments, 3 faulty settings, 4 outcome unknown.
";

/// Maximum value of `--for`, in seconds.
const FOLLOW_MAX_S: u64 = 3_600;
/// Maximum value of `--timeout-ms`.
const TIMEOUT_MAX_MS: u64 = 60_000;

/// Parsed command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Command with its arguments and options.
    pub command: Command,
    /// Path of the settings file; `daisymast.json` if not given.
    pub settings: PathBuf,
    /// Listener addresses that replace those of the settings; empty if `--instance` is absent.
    pub instances: Vec<SocketAddr>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Command of the operator command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Validate a manifest file locally.
    Validate(PathBuf),
    /// Compare a manifest file with the manifest in force.
    Diff(PathBuf),
    /// Replace the manifest in force.
    Submit {
        /// Path of the new manifest.
        file: PathBuf,
        /// Generation that must be in force; the current one if `None`.
        expected: Option<u64>,
    },
    /// Submit the manifest in force without the job of this name.
    Retire(String),
    /// Show the status of each instance.
    Status,
    /// Show the events of all instances.
    Timeline {
        /// How long to show new events; `None` prints the present events and exits.
        follow: Option<Duration>,
    },
    /// Send a caller request.
    Request(RequestOptions),
    /// Query the result of the request with this id.
    Result(String),
    /// Print this number of free ports, for scripts that write settings before the processes start.
    Ports(u16),
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
}

/// Arguments and options of the `request` command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOptions {
    /// Name of the service to call.
    pub service: String,
    /// Request body passed to the service.
    pub body: String,
    /// Request id; a new UUID of version 7 if `None`.
    pub id: Option<String>,
    /// Whether the request may safely be executed more than once.
    pub idempotent: bool,
    /// Time within which the caller needs the reply, in milliseconds.
    pub timeout_ms: u64,
}

/// Option values before the command is known. A command takes its options from here; any that
/// remain are rejected.
#[derive(Debug, Default)]
struct Options {
    settings: Option<PathBuf>,
    instances: Vec<SocketAddr>,
    json: bool,
    expected: Option<u64>,
    follow: bool,
    follow_seconds: Option<u64>,
    id: Option<String>,
    idempotent: bool,
    timeout_ms: Option<u64>,
    positional: Vec<OsString>,
    help_or_version: Option<Command>,
}

/// Parses the command-line arguments, which must not include the program name.
///
/// # Errors
/// Fails if an argument is unknown, out of range, missing, or not accepted by the command.
///
/// ```
/// use daisymast_cli::command;
/// let arguments = command::parse(["retire", "route-survey", "--json"])?;
/// assert_eq!(arguments.command, command::Command::Retire("route-survey".to_owned()));
/// assert!(command::parse(["status", "--expected", "3"]).is_err());
/// # Ok::<(), lexopt::Error>(())
/// ```
pub fn parse<I>(arguments: I) -> Result<Arguments, lexopt::Error>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut options = read(lexopt::Parser::from_args(arguments))?;
    let command = match options.help_or_version.take() {
        Some(command) => command,
        None => options.command()?,
    };
    Ok(Arguments {
        command,
        settings: options.settings.unwrap_or_else(|| "daisymast.json".into()),
        instances: options.instances,
        json: options.json,
    })
}

fn read(mut parser: lexopt::Parser) -> Result<Options, lexopt::Error> {
    use lexopt::Arg::{Long, Short, Value};

    let mut options = Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => options.settings = Some(parser.value()?.into()),
            Long("instance") => options.instances.push(parser.value()?.parse()?),
            Long("json") => options.json = true,
            Long("expected") => options.expected = Some(parser.value()?.parse()?),
            Long("follow") => options.follow = true,
            Long("for") => {
                options.follow_seconds =
                    Some(parse_in_range(parser.value()?, "--for", FOLLOW_MAX_S)?);
            }
            Long("id") => options.id = Some(parser.value()?.string()?),
            Long("idempotent") => options.idempotent = true,
            Long("timeout-ms") => {
                let value = parse_in_range(parser.value()?, "--timeout-ms", TIMEOUT_MAX_MS)?;
                options.timeout_ms = Some(value);
            }
            Long("help") | Short('h') => options.help_or_version = Some(Command::Help),
            Long("version") => options.help_or_version = Some(Command::Version),
            Value(word) => options.positional.push(word),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn parse_in_range(value: OsString, name: &str, max: u64) -> Result<u64, lexopt::Error> {
    let number: u64 = value.parse()?;
    if (1..=max).contains(&number) {
        return Ok(number);
    }
    Err(format!("{name} = {number}: must be from 1 to {max}").into())
}

impl Options {
    fn command(&mut self) -> Result<Command, lexopt::Error> {
        let mut positional = std::mem::take(&mut self.positional).into_iter();
        let name = positional.next().ok_or("a command is required")?.string()?;
        let mut next_argument = |name_in_help: &str| {
            let found = positional.next();
            found.ok_or_else(|| lexopt::Error::from(format!("{name} needs {name_in_help}")))
        };
        let command = match name.as_str() {
            "validate" => Command::Validate(next_argument("FILE")?.into()),
            "diff" => Command::Diff(next_argument("FILE")?.into()),
            "submit" => Command::Submit {
                file: next_argument("FILE")?.into(),
                expected: self.expected.take(),
            },
            "retire" => Command::Retire(next_argument("JOB")?.string()?),
            "status" => Command::Status,
            "timeline" => self.timeline()?,
            "request" => {
                let (service, body) = (
                    next_argument("SERVICE")?.string()?,
                    next_argument("BODY")?.string()?,
                );
                self.request(service, body)
            }
            "result" => Command::Result(next_argument("ID")?.string()?),
            "ports" => Command::Ports(next_argument("N")?.parse()?),
            _ => return Err(format!("unknown command {name:?}").into()),
        };
        if let Some(extra) = positional.next() {
            return Err(format!("{name}: unexpected argument {extra:?}").into());
        }
        match self.unused_option() {
            Some(option) => Err(format!("{option} does not belong to {name}").into()),
            None => Ok(command),
        }
    }

    fn timeline(&mut self) -> Result<Command, lexopt::Error> {
        let seconds = self.follow_seconds.take();
        if !std::mem::take(&mut self.follow) {
            if seconds.is_some() {
                return Err("--for needs --follow".into());
            }
            return Ok(Command::Timeline { follow: None });
        }
        let follow = Some(Duration::from_secs(seconds.unwrap_or(60)));
        Ok(Command::Timeline { follow })
    }

    fn request(&mut self, service: String, body: String) -> Command {
        Command::Request(RequestOptions {
            service,
            body,
            id: self.id.take(),
            idempotent: std::mem::take(&mut self.idempotent),
            timeout_ms: self.timeout_ms.take().unwrap_or(5_000),
        })
    }

    /// Name of the first option that was given but is not accepted by the command.
    fn unused_option(&self) -> Option<&'static str> {
        let options = [
            ("--expected", self.expected.is_some()),
            ("--follow", self.follow),
            ("--for", self.follow_seconds.is_some()),
            ("--id", self.id.is_some()),
            ("--idempotent", self.idempotent),
            ("--timeout-ms", self.timeout_ms.is_some()),
        ];
        options
            .iter()
            .find(|(_, is_set)| *is_set)
            .map(|(name, _)| *name)
    }
}
