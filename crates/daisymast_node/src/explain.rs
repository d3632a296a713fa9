//! The subcommand `explain`: asks a running cell where a request or a job would go now.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use daisymast_adapter::{callers, settings};
use daisymast_http::{client, executor};
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_scheduler::explanation;
use daisymast_types::ids;
use lexopt::ValueExt as _;
use serde::Serialize;

use crate::peers;

mod text;

const HELP: &str = "\
Usage: daisymast-node explain [--settings FILE | --node ADDRESS] [--json] --job ID
       daisymast-node explain [--settings FILE | --node ADDRESS] [--json]
                              --request FILE --queue NAME [--organisation NAME]

Tells where a job or a request would go now, and why. Nothing is sent to workers, stored or counted.

  --settings FILE  settings file of the node to ask; without it, the environment variable names it
  --node ADDRESS   address for other nodes of the node to ask, as IP:PORT
  --job ID         ID of an accepted job
  --request FILE   body of a submission
  --queue NAME     queue of the request
  --organisation NAME
                   organisation of the request's caller
  --json           print JSON
  --help           print this text
";

/// Time within which a node has to answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of nodes that are asked one after another for the scheduler.
const MAX_HOPS: usize = 3;

/// What a cell answered.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    /// The scheduler of a term has answered.
    Answered {
        term: u64,
        answer: explanation::Answer,
    },
    /// No scheduler is known, or the last known one does not answer: an election may be in progress.
    NoScheduler { last_known: Option<ids::InstanceId> },
}

struct Arguments {
    node: SocketAddr,
    subject: explanation::Subject,
    json: bool,
}

/// Runs the subcommand with the arguments that follow its name.
///
/// # Errors
/// An argument or a file is invalid, or the node does not answer.
pub fn run(parser: lexopt::Parser) -> anyhow::Result<()> {
    let Some(arguments) = arguments(parser)? else {
        return print(HELP);
    };
    let outcome = executor::run(1, async |executor| {
        let settings = client::Settings::default();
        let client = client::Client::new(executor, settings);
        ask(&client, arguments.node, &arguments.subject).await
    })?;
    let output = if arguments.json {
        let mut json = serde_json::to_string_pretty(&outcome)?;
        json.push('\n');
        json
    } else {
        match &outcome {
            Outcome::Answered { term, answer } => text::answer(*term, answer),
            Outcome::NoScheduler { last_known } => text::no_scheduler(last_known.as_ref()),
        }
    };
    print(&output)
}

fn print(text: &str) -> anyhow::Result<()> {
    std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes())?;
    Ok(())
}

fn arguments(mut parser: lexopt::Parser) -> anyhow::Result<Option<Arguments>> {
    let mut settings_path = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let (mut node, mut job, mut request, mut queue, mut organisation) =
        (None, None, None, None, None);
    let mut json = false;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("settings") => settings_path = Some(parser.value()?.into()),
            lexopt::Arg::Long("node") => {
                let address = parser.value()?.parse();
                node = Some(address.context("--node expects IP:PORT")?);
            }
            lexopt::Arg::Long("job") => {
                let id = parser.value()?.string()?;
                let id = spec::JobId::parse(&id);
                job = Some(id.context("--job expects 16 lower-case hexadecimal digits")?);
            }
            lexopt::Arg::Long("request") => request = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Long("queue") => queue = Some(parser.value()?.string()?),
            lexopt::Arg::Long("organisation") => organisation = Some(parser.value()?.string()?),
            lexopt::Arg::Long("json") => json = true,
            lexopt::Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected().into()),
        }
    }
    let subject = match (job, request) {
        (Some(job), None) => explanation::Subject::Job(job),
        (None, Some(path)) => {
            let queue = queue.context("--request needs --queue")?;
            read_request(&path, queue, organisation)?
        }
        _ => anyhow::bail!("either --job or --request is required"),
    };
    let node = match node {
        Some(node) => node,
        None => {
            let path = settings_path.context("--node or --settings is required")?;
            settings::Settings::read(&path)?.peers
        }
    };
    Ok(Some(Arguments {
        node,
        subject,
        json,
    }))
}

/// Reads the file of a request.
fn read_request(
    path: &Path,
    queue: String,
    organisation: Option<String>,
) -> anyhow::Result<explanation::Subject> {
    let body =
        std::fs::read(path).with_context(|| format!("read the request {}", path.display()))?;
    let spec = callers::parse_submission(&body)
        .map_err(|error| anyhow::anyhow!("request {}: {error}", path.display()))?;
    Ok(explanation::Subject::Request {
        queue: queue.into(),
        organisation: organisation.map(Into::into),
        spec,
    })
}

/// Asks a node, and then the scheduler that it knows.
async fn ask(
    client: &client::Client,
    node: SocketAddr,
    subject: &explanation::Subject,
) -> anyhow::Result<Outcome> {
    let request = peers::Request::Explain(subject.clone());
    let mut address = node;
    let mut last_known = None;
    for _ in 0..MAX_HOPS {
        let reply = match peers::post(client, address, &request, (TIMEOUT, None)).await {
            outcome::Outcome::Done(reply) => reply,
            outcome::Outcome::NoEffect(_) | outcome::Outcome::Unknown(_)
                if last_known.is_some() =>
            {
                break;
            }
            outcome::Outcome::NoEffect(error) | outcome::Outcome::Unknown(error) => {
                anyhow::bail!(
                    "{error}; a node of an earlier build cannot decode the request (status 400)"
                );
            }
        };
        match reply {
            peers::Reply::Explained { term, answer } => {
                return Ok(Outcome::Answered { term, answer });
            }
            peers::Reply::LedBy(Some(known)) if !known.leader.resigned => {
                address = known.leader.node.address;
                last_known = Some(known.leader.node.id);
            }
            _ => break,
        }
    }
    Ok(Outcome::NoScheduler { last_known })
}
