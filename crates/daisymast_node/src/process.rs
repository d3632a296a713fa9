//! The node process: command line, listeners, signals and graceful shutdown.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use daisymast_adapter::settings;
use daisymast_http::{executor, server};
use daisymast_telemetry::logging;
use futures_lite::future;
use lexopt::ValueExt as _;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::Timer;
use smol::net::TcpListener;

use crate::api;
use crate::configuration;
use crate::confirmation;
use crate::constants;
use crate::context;
use crate::explain;
use crate::follower;
use crate::peers;
use crate::probing;

const HELP: &str = "\
Usage: daisymast-node [--settings FILE] [--listen-peers ADDRESS] [--check]
       daisymast-node explain --help

Accepts requests of callers and, if elected, runs the scheduler.

  --settings FILE  settings file; without it, the environment variable names it
  --listen-peers ADDRESS
                   bind this address for other nodes, if they reach the one in the settings through a proxy
  --check          check the settings and exit
  --help           print this text
  --version        print the version
";

/// Path of the metrics on the readiness listener.
const METRICS_PATH: &str = "/metrics";
/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Maximum size of a request from another node, in bytes.
const PEER_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Interval at which received signals are checked.
const SIGNAL_POLL: Duration = Duration::from_millis(100);

struct Arguments {
    settings: PathBuf,
    /// Address to bind for other nodes, if it differs from the advertised one.
    listen_peers: Option<SocketAddr>,
    check: bool,
}

/// Entry point of the program.
pub fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = std::io::Write::write_all(
                &mut std::io::stderr(),
                format!("daisymast-node: {error:#}\n").as_bytes(),
            );
            ExitCode::FAILURE
        }
    }
}

fn start() -> anyhow::Result<()> {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|name| name == "explain")
    {
        let arguments = lexopt::Parser::from_iter(std::env::args_os().skip(1));
        return explain::run(arguments);
    }
    let Some(arguments) = arguments()? else {
        return Ok(());
    };
    let settings = settings::Settings::read(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    logging::start_with_output(log::LevelFilter::Info, logging::Output::Standard)?;
    log::info!("node {} is starting", settings.instance);
    executor::run(1, async |executor| run(executor, settings, arguments).await)
}

fn arguments() -> anyhow::Result<Option<Arguments>> {
    let mut settings = std::env::var_os(settings::PATH_VARIABLE).map(PathBuf::from);
    let mut check = false;
    let mut listen_peers = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("settings") => settings = Some(parser.value()?.into()),
            lexopt::Arg::Long("listen-peers") => {
                let value = parser.value()?;
                let address = value.parse().context("--listen-peers expects IP:PORT")?;
                listen_peers = Some(address);
            }
            lexopt::Arg::Long("check") => check = true,
            lexopt::Arg::Long("help") => return print(HELP),
            lexopt::Arg::Long("version") => {
                return print(concat!("daisymast-node ", env!("CARGO_PKG_VERSION"), "\n"));
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings
        .with_context(|| format!("--settings or {} is required", settings::PATH_VARIABLE))?;
    Ok(Some(Arguments {
        settings,
        listen_peers,
        check,
    }))
}

fn print(text: &str) -> anyhow::Result<Option<Arguments>> {
    std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes())?;
    Ok(None)
}

async fn run(
    executor: executor::Executor,
    settings: settings::Settings,
    arguments: Arguments,
) -> anyhow::Result<()> {
    let signals = Signals::register()?;
    let context = Arc::new(context::Context::new(Arc::clone(&executor), settings));
    let callers = serve_callers(&context).await?;
    let peers = serve_peers(&context, arguments.listen_peers).await?;
    let readiness = serve_readiness(&context).await?;
    let tasks = [
        executor.spawn(configuration::sync(Arc::clone(&context))),
        executor.spawn(confirmation::run(Arc::clone(&context))),
        executor.spawn(follower::run(Arc::clone(&context))),
        executor.spawn(follower::ping_loop(Arc::clone(&context))),
        executor.spawn(probing::run(Arc::clone(&context))),
    ];
    signals.wait_for_shutdown(&arguments.settings).await;
    log::info!("node {} is draining", context.settings.instance);
    let started = Instant::now();
    context.drain();
    Timer::after(constants::DRAIN_PERIOD).await;
    let grace = Duration::from_millis(context.settings.grace_ms);
    let left = grace
        .saturating_sub(constants::EXIT_MARGIN)
        .saturating_sub(started.elapsed());
    future::or(callers.shutdown(), async {
        Timer::after(left).await;
    })
    .await;
    drop((tasks, peers, readiness));
    log::info!("node {} is stopping", context.settings.instance);
    Ok(())
}

async fn serve_callers(context: &Arc<context::Context>) -> anyhow::Result<server::Server> {
    let shared = Arc::clone(context);
    let handler = move |request| api::serve(Arc::clone(&shared), request);
    let address = context.settings.callers;
    serve(
        context,
        "the listener for callers",
        address,
        limits(),
        handler,
    )
    .await
}

async fn serve_peers(
    context: &Arc<context::Context>,
    address: Option<SocketAddr>,
) -> anyhow::Result<server::Server> {
    let shared = Arc::clone(context);
    let handler = move |request| peers::handler::serve(Arc::clone(&shared), request);
    let address = address.unwrap_or(context.settings.peers);
    let limits = limits().with_body_bytes(PEER_BODY_BYTES);
    serve(
        context,
        "the listener for other nodes",
        address,
        limits,
        handler,
    )
    .await
}

async fn serve_readiness(context: &Arc<context::Context>) -> anyhow::Result<server::Server> {
    let shared = Arc::clone(context);
    let handler = move |request: server::Request| {
        let response = if request.path == METRICS_PATH {
            server::Response::new(200, METRICS_TYPE, shared.metrics.encode())
        } else if shared.is_ready() {
            server::Response::text(200, "ready")
        } else {
            server::Response::text(503, "not ready")
        };
        async move { response }
    };
    let address = context.settings.readiness;
    serve(
        context,
        "the listener for readiness checks",
        address,
        limits(),
        handler,
    )
    .await
}

fn limits() -> server::Limits {
    server::Limits::default().with_header_timeout(constants::CALLER_IDLE_TIMEOUT)
}

async fn serve<F: Future<Output = server::Response> + Send + 'static>(
    context: &context::Context,
    name: &str,
    address: SocketAddr,
    limits: server::Limits,
    handler: impl Fn(server::Request) -> F + Send + Sync + 'static,
) -> anyhow::Result<server::Server> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("bind {name} to {address}"))?;
    let server = server::Server::start(&context.executor, listener, limits, handler)?;
    Ok(server)
}

/// Flags set by signal handlers.
struct Signals {
    shutdown: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    fn register() -> anyhow::Result<Self> {
        let signals = Self {
            shutdown: Arc::default(),
            reload: Arc::default(),
        };
        for (signal, flag) in [
            (SIGTERM, &signals.shutdown),
            (SIGINT, &signals.shutdown),
            (SIGHUP, &signals.reload),
        ] {
            signal_hook::flag::register(signal, Arc::clone(flag))
                .with_context(|| format!("register a handler for signal {signal}"))?;
        }
        Ok(signals)
    }

    /// Waits for SIGTERM or SIGINT. On SIGHUP, checks the settings file; changes take effect at the
    /// next start.
    async fn wait_for_shutdown(&self, path: &std::path::Path) {
        while !self.shutdown.load(Ordering::Relaxed) {
            if self.reload.swap(false, Ordering::Relaxed) {
                match settings::Settings::read(path) {
                    Ok(_) => log::info!("settings file is valid; takes effect at the next start"),
                    Err(error) => log::error!("settings file is invalid: {error:#}"),
                }
            }
            Timer::after(SIGNAL_POLL).await;
        }
    }
}
