//! HTTP daemon that serves one or more worker models.

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

/// Path to which [`Faults`] are posted. The reply is the faults in force.
pub const FAULTS_PATH: &str = "/v1/faults";
/// Path that returns the log of the model as a [`LogReply`].
pub const LOG_PATH: &str = "/v1/log";
/// Interval between two ticks of a model. It bounds how late a task or a request ends.
const TICK: Duration = Duration::from_millis(5);
/// Connections beyond those of the settings, so that faults can be set while all of those are in
/// use.
const SPARE_CONNECTIONS: usize = 4;

/// Log of one worker, as [`LOG_PATH`] returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReply {
    /// Number of messages that the worker has not answered yet.
    pub pending: usize,
    /// Number of older entries that were dropped because the log was full.
    pub dropped: u64,
    /// Logged events, oldest first.
    pub entries: Vec<LogEntry>,
}

/// Name and address of a worker, as the daemon prints them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// Worker ID.
    pub worker: WorkerId,
    /// Address that the worker listens on.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Worker {
    name: WorkerId,
    server: Server,
    handler: Arc<Handler>,
}

/// Running workers, each with its own listener and model.
#[derive(Debug)]
pub struct Daemon {
    workers: Vec<Worker>,
    _ticker: smol::Task<()>,
}

impl Daemon {
    /// Binds an address for each worker and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound. In that case no worker keeps running.
    pub async fn start(executor: &Executor, settings: &Settings) -> anyhow::Result<Self> {
        let mut workers = Vec::new();
        for index in 0..settings.count {
            let address = settings
                .address(index)
                .context("listen: port number exceeds 65535")?;
            let worker = start_worker(executor, &settings.worker, address)
                .await
                .with_context(|| format!("listen on {address}"))?;
            let (server, handler) = worker;
            workers.push(Worker {
                name: settings.worker_name(index).into(),
                server,
                handler,
            });
        }
        let handlers: Vec<Arc<Handler>> = workers
            .iter()
            .map(|worker| Arc::clone(&worker.handler))
            .collect();
        let ticker = executor.spawn(async move {
            loop {
                Timer::after(TICK).await;
                for handler in &handlers {
                    handler.lock().tick(handler.now());
                }
            }
        });
        Ok(Self {
            workers,
            _ticker: ticker,
        })
    }

    /// Returns the names and addresses of the workers, ordered by index.
    pub fn listening(&self) -> Vec<Listening> {
        let listening = self.workers.iter().map(|worker| Listening {
            worker: worker.name.clone(),
            address: worker.server.address(),
        });
        listening.collect()
    }

    /// Answers all waiting renewals, stops accepting connections, and returns once all requests in
    /// flight are answered.
    pub async fn shutdown(self) {
        for worker in &self.workers {
            worker.handler.lock().model.stop_renewals();
        }
        for worker in self.workers {
            worker.server.shutdown().await;
        }
    }
}

async fn start_worker(
    executor: &Executor,
    settings: &ModelSettings,
    address: SocketAddr,
) -> std::io::Result<(Server, Arc<Handler>)> {
    let listener = TcpListener::bind(address).await?;
    let handler = Arc::new(Handler::new(settings.clone()));
    let limits = Limits::default()
        .with_connections(settings.connections.saturating_add(SPARE_CONNECTIONS))
        .with_body_bytes(PEER_BODY_BYTES);
    let server_handler = Arc::clone(&handler);
    let server = Server::start(executor, listener, limits, move |request| {
        let handler = Arc::clone(&server_handler);
        async move { handler.handle(request).await }
    })?;
    Ok((server, handler))
}

#[derive(Debug)]
struct Handler {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    model: WorkerModel,
    reply_senders: FastMap<ExchangeId, async_channel::Sender<WorkerReply>>,
}

impl State {
    /// Advances the model and sends the deferred replies that are due.
    fn tick(&mut self, now: Monotonic) {
        for (id, reply) in self.model.on_tick(now) {
            if let Some(sender) = self.reply_senders.remove(&id) {
                // The channel has room for its single reply. Sending fails only if the holder has
                // disconnected.
                drop(sender.try_send(reply));
            }
        }
    }
}

impl Handler {
    fn new(settings: ModelSettings) -> Self {
        let boot = BootId(fastrand::u64(..));
        let state = State {
            model: WorkerModel::new(settings, boot),
            reply_senders: FastMap::default(),
        };
        Self {
            start: Instant::now(),
            state: Mutex::new(state),
        }
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", WORKER_PATH) => match json::decode_request(&request.body) {
                Ok(message) => {
                    self.handle_message(request.query_value("caller"), message)
                        .await
                }
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

    async fn handle_message(&self, caller: &str, message: WorkerRequest) -> Response {
        let (reply, pending) = self.start_exchange(caller, message);
        let reply = match (reply, pending) {
            (_, Some(pending)) => pending.reply.recv().await.ok(),
            (ModelReply::Answer(reply), None) => Some(reply),
            (ModelReply::Deferred(_) | ModelReply::Unreachable, None) => None,
        };
        reply.map_or_else(Response::abort, |reply| json::encode_response(&reply))
    }

    fn start_exchange(
        &self,
        caller: &str,
        message: WorkerRequest,
    ) -> (ModelReply, Option<PendingExchange<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        let reply = state.model.on_request_from(now, caller, message);
        let pending = match reply {
            ModelReply::Deferred(id) => {
                let (sender, reply) = async_channel::bounded(1);
                state.reply_senders.insert(id, sender);
                Some(PendingExchange {
                    handler: self,
                    id,
                    reply,
                })
            }
            _ => None,
        };
        state.tick(now);
        (reply, pending)
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

    /// Locks the state. Poisoning is ignored: the model validates a message before it changes any
    /// state, so after a panic the state is the one before the message.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A message that the model answers later. Dropping it, for example because the connection closed,
/// cancels the exchange; this discards a renewal, while a request is still served.
struct PendingExchange<'a> {
    handler: &'a Handler,
    id: ExchangeId,
    reply: async_channel::Receiver<WorkerReply>,
}

impl Drop for PendingExchange<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.lock();
        state.reply_senders.remove(&self.id);
        state.model.cancel(self.id);
    }
}
