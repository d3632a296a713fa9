//! Shell of the stand-in daemon: HTTP around the models.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Context;
use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_http::server::{Limits, Request, Response, Server};
use daisymast_protocol::limits::PEER_BODY_BYTES;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::ids::{BootId, WorkerId};
use daisymast_types::time::Monotonic;
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::TcpListener;

use crate::client::WORKER_PATH;
use crate::model::{ExchangeId, LogEntry, ModelReply, WorkerModel};
use crate::settings::{Faults, ModelSettings, Settings};

/// Path at which [`Faults`] are posted.
pub const FAULTS_PATH: &str = "/v1/faults";
/// Path that gives the log of the model as [`LogReply`].
pub const LOG_PATH: &str = "/v1/log";
/// Time between two ticks of a model, which bounds how late a task or a request ends.
const TICK: Duration = Duration::from_millis(5);
/// Connections beside those of the settings, so that faults can be set when all are in use.
const SPARE_CONNECTIONS: usize = 4;

/// Log of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReply {
    /// Exchanges that are answered later.
    pub pending: usize,
    /// Entries that were dropped before the first one.
    pub dropped: u64,
    /// Starts and ends, oldest first.
    pub entries: Vec<LogEntry>,
}

/// Name and address of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// The worker.
    pub worker: WorkerId,
    /// Address that it listens on.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Worker {
    name: WorkerId,
    server: Server,
    shell: Arc<Shell>,
}

/// Running stand-ins, each with a listener and a model of its own.
#[derive(Debug)]
pub struct Daemon {
    workers: Vec<Worker>,
    _ticker: smol::Task<()>,
}

impl Daemon {
    /// Binds an address for each worker and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound; then no worker stays.
    pub async fn start(executor: &Executor, settings: &Settings) -> anyhow::Result<Self> {
        let mut workers = Vec::new();
        for index in 0..settings.count {
            let address = settings.address(index).context("listen: no port is left")?;
            let worker = start_worker(executor, &settings.worker, address)
                .await
                .with_context(|| format!("listen on {address}"))?;
            let (server, shell) = worker;
            workers.push(Worker {
                name: settings.worker_name(index).into(),
                server,
                shell,
            });
        }
        let shells: Vec<Arc<Shell>> = workers.iter().map(|one| Arc::clone(&one.shell)).collect();
        let ticker = executor.spawn(async move {
            loop {
                Timer::after(TICK).await;
                for shell in &shells {
                    shell.lock().tick(shell.now());
                }
            }
        });
        Ok(Self {
            workers,
            _ticker: ticker,
        })
    }

    /// Names and addresses of the workers, in the order of their index.
    pub fn listening(&self) -> Vec<Listening> {
        let listening = self.workers.iter().map(|one| Listening {
            worker: one.name.clone(),
            address: one.server.address(),
        });
        listening.collect()
    }

    /// Ends all waits of renewals, stops accepting, and returns when all requests in flight are
    /// answered.
    pub async fn shutdown(self) {
        for one in &self.workers {
            one.shell.lock().model.stop_renewals();
        }
        for one in self.workers {
            one.server.shutdown().await;
        }
    }
}

async fn start_worker(
    executor: &Executor,
    settings: &ModelSettings,
    address: SocketAddr,
) -> std::io::Result<(Server, Arc<Shell>)> {
    let listener = TcpListener::bind(address).await?;
    let shell = Arc::new(Shell::new(settings.clone()));
    let limits = Limits::default()
        .with_connections(settings.connections.saturating_add(SPARE_CONNECTIONS))
        .with_body_bytes(PEER_BODY_BYTES);
    let serving = Arc::clone(&shell);
    let server = Server::start(executor, listener, limits, move |request| {
        let shell = Arc::clone(&serving);
        async move { shell.handle(request).await }
    })?;
    Ok((server, shell))
}

#[derive(Debug)]
struct Shell {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    model: WorkerModel,
    waiting: FastMap<ExchangeId, async_channel::Sender<WorkerReply>>,
}

impl State {
    /// Delivers the replies that are due.
    fn tick(&mut self, now: Monotonic) {
        for (id, reply) in self.model.on_tick(now) {
            if let Some(waiting) = self.waiting.remove(&id) {
                // The channel has room for its one reply; a closed one means that the holder left.
                drop(waiting.try_send(reply));
            }
        }
    }
}

impl Shell {
    fn new(settings: ModelSettings) -> Self {
        let boot = BootId(fastrand::u64(..));
        let state = State {
            model: WorkerModel::new(settings, boot),
            waiting: FastMap::default(),
        };
        Self {
            start: Instant::now(),
            state: Mutex::new(state),
        }
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", WORKER_PATH) => match json::decode_request(&request.body) {
                Ok(message) => self.message(request.query_value("caller"), message).await,
                Err(refusal) => refusal,
            },
            ("POST", FAULTS_PATH) => match json::decode_request::<Faults>(&request.body) {
                Ok(faults) => self.set_faults(faults),
                Err(refusal) => refusal,
            },
            ("GET", LOG_PATH) => {
                let state = self.lock();
                json::encode_response(&LogReply {
                    pending: state.model.pending(),
                    dropped: state.model.log_dropped(),
                    entries: state.model.log().cloned().collect(),
                })
            }
            (method, path) => Response::text(404, format!("no route {method} {path}")),
        }
    }

    async fn message(&self, caller: &str, message: WorkerRequest) -> Response {
        let (reply, waiting) = self.begin(caller, message);
        let reply = match (reply, waiting) {
            (_, Some(waiting)) => waiting.reply.recv().await.ok(),
            (ModelReply::Answer(reply), None) => Some(reply),
            (ModelReply::Later(_) | ModelReply::Unreachable, None) => None,
        };
        reply.map_or_else(Response::abort, |reply| json::encode_response(&reply))
    }

    fn begin(&self, caller: &str, message: WorkerRequest) -> (ModelReply, Option<Waiting<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        let reply = state.model.on_request_from(now, caller, message);
        let waiting = match reply {
            ModelReply::Later(id) => {
                let (sender, reply) = async_channel::bounded(1);
                state.waiting.insert(id, sender);
                Some(Waiting {
                    shell: self,
                    id,
                    reply,
                })
            }
            _ => None,
        };
        state.tick(now);
        (reply, waiting)
    }

    fn set_faults(&self, faults: Faults) -> Response {
        if let Err(error) = faults.validate() {
            return Response::text(400, error.to_string());
        }
        let now = self.now();
        let mut state = self.lock();
        state.model.set_faults(now, faults);
        state.tick(now);
        json::encode_response(state.model.faults())
    }

    fn now(&self) -> Monotonic {
        Monotonic::ZERO + self.start.elapsed()
    }

    /// The model changes nothing before it has validated a message, so the state after a panic is
    /// the state before the message.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An exchange in progress. Dropping it, also with its connection, forgets a renewal.
struct Waiting<'a> {
    shell: &'a Shell,
    id: ExchangeId,
    reply: async_channel::Receiver<WorkerReply>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.shell.lock();
        state.waiting.remove(&self.id);
        state.model.cancel(self.id);
    }
}
