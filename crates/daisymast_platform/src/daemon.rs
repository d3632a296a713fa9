//! HTTP daemon that serves a platform model.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::executor::Executor;
use daisymast_http::json;
use daisymast_http::server::{Limits, Request, Response, Server};
use daisymast_protocol::store::{Member, MemberId, StoreRequest};
use daisymast_types::collections::FastMap;
use daisymast_types::time::Monotonic;
use serde::{Deserialize, Serialize};
use smol::Timer;
use smol::net::TcpListener;

use crate::client;
use crate::model::{Faults, ModelReply, PlatformModel, Snapshot, WatchId};
use crate::settings::Settings;

/// Path to which a [`FaultRequest`] is posted. The reply is the faults in force.
pub const FAULTS_PATH: &str = "/v1/faults";
/// Path to which a [`MemberRequest`] is posted.
pub const MEMBERS_PATH: &str = "/v1/members";
/// Path that returns the [`Counts`](crate::model::Counts) of the model.
pub const COUNTS_PATH: &str = "/v1/counts";
/// Interval between two ticks of the model. It bounds how late a watch times out.
const TICK: Duration = Duration::from_millis(10);

/// A request to change the injected faults, or to save or restore the keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum FaultRequest {
    /// Replaces all injected faults.
    Set(Faults),
    /// Saves a copy of all keys for a later `Restore`.
    Save,
    /// Resets all keys to the last saved copy. Deletes them if there is none.
    Restore,
}

/// A request to change the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberRequest {
    /// Adds a member or replaces its entry.
    Register {
        /// New entry of the member.
        member: Member,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member.
        who: MemberId,
    },
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Daemon {
    server: Server,
    handler: Arc<Handler>,
    _ticker: smol::Task<()>,
}

impl Daemon {
    /// Binds the configured address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(executor: &Executor, settings: &Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let handler = Arc::new(Handler::new(settings));
        let limits = Limits::default().with_body_bytes(client::BODY_BYTES);
        let (tick_handler, server_handler) = (Arc::clone(&handler), Arc::clone(&handler));
        let server = Server::start(executor, listener, limits, move |request| {
            let handler = Arc::clone(&server_handler);
            async move { handler.handle(request).await }
        })?;
        let ticker = executor.spawn(async move {
            loop {
                Timer::after(TICK).await;
                tick_handler.lock().tick(tick_handler.now());
            }
        });
        Ok(Self {
            server,
            handler,
            _ticker: ticker,
        })
    }

    /// Returns the address that the daemon listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Answers all watches, stops accepting connections, and returns once all requests in flight
    /// are answered.
    pub async fn shutdown(self) {
        self.handler.lock().model.stop_watches();
        self.server.shutdown().await;
    }
}

#[derive(Debug)]
struct Handler {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    model: PlatformModel,
    reply_senders: FastMap<WatchId, async_channel::Sender<ModelReply>>,
    saved: Snapshot,
}

impl State {
    /// Advances the model and sends the replies to watches that are due.
    fn tick(&mut self, now: Monotonic) {
        for (id, reply) in self.model.on_tick(now) {
            if let Some(sender) = self.reply_senders.remove(&id) {
                // The channel has room for its single reply. Sending fails only if the caller has
                // disconnected.
                drop(sender.try_send(reply));
            }
        }
    }
}

impl Handler {
    fn new(settings: &Settings) -> Self {
        let mut model = PlatformModel::new(Duration::from_millis(settings.member_lag_ms));
        for member in &settings.members {
            model.register(Monotonic::ZERO, member.clone());
        }
        let state = State {
            model,
            reply_senders: FastMap::default(),
            saved: Snapshot::default(),
        };
        Self {
            start: Instant::now(),
            state: Mutex::new(state),
        }
    }

    async fn handle(&self, request: Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", client::STORE_PATH) => match json::decode_request(&request.body) {
                Ok(store_request) => {
                    self.handle_store_request(request.query_value("caller"), store_request)
                        .await
                }
                Err(refusal) => refusal,
            },
            ("POST", FAULTS_PATH) => match json::decode_request(&request.body) {
                Ok(faults) => self.set_faults(faults),
                Err(refusal) => refusal,
            },
            ("POST", MEMBERS_PATH) => match json::decode_request(&request.body) {
                Ok(change) => self.change_members(change),
                Err(refusal) => refusal,
            },
            ("GET", COUNTS_PATH) => json::encode_response(&self.lock().model.counts()),
            (method, path) => Response::text(404, format!("no route {method} {path}")),
        }
    }

    async fn handle_store_request(&self, caller: &str, request: StoreRequest) -> Response {
        let (reply, pending) = self.start_request(caller, request);
        let reply = match pending {
            Some(pending) => pending
                .reply
                .recv()
                .await
                .unwrap_or(ModelReply::Unreachable),
            None => reply,
        };
        match reply {
            ModelReply::Answer { reply, delay } => {
                if !delay.is_zero() {
                    Timer::after(delay).await;
                }
                json::encode_response(&reply)
            }
            ModelReply::Deferred(_) | ModelReply::ReplyLost | ModelReply::Unreachable => {
                Response::abort()
            }
        }
    }

    fn start_request(
        &self,
        caller: &str,
        request: StoreRequest,
    ) -> (ModelReply, Option<PendingWatch<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        let reply = state.model.on_request_from(now, caller, request);
        let pending = match &reply {
            ModelReply::Deferred(id) => {
                let (sender, reply) = async_channel::bounded(1);
                state.reply_senders.insert(*id, sender);
                Some(PendingWatch {
                    handler: self,
                    id: *id,
                    reply,
                })
            }
            _ => None,
        };
        state.tick(now);
        (reply, pending)
    }

    fn set_faults(&self, request: FaultRequest) -> Response {
        let now = self.now();
        let mut state = self.lock();
        match request {
            FaultRequest::Set(faults) => state.model.set_faults(faults),
            FaultRequest::Save => state.saved = state.model.snapshot(),
            FaultRequest::Restore => {
                let saved = state.saved.clone();
                state.model.restore(&saved);
            }
        }
        state.tick(now);
        json::encode_response(state.model.faults())
    }

    fn change_members(&self, request: MemberRequest) -> Response {
        let now = self.now();
        let mut state = self.lock();
        match request {
            MemberRequest::Register { member } => state.model.register(now, member),
            MemberRequest::Remove { who } => state.model.remove(now, who),
        }
        json::encode_response(&"ok")
    }

    fn now(&self) -> Monotonic {
        Monotonic::ZERO + self.start.elapsed()
    }

    /// Locks the state. Poisoning is ignored: the model validates a request before it changes any
    /// state, so after a panic the state is the one before the request.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A watch in progress. Dropping it, for example because the connection closed, cancels the watch.
struct PendingWatch<'a> {
    handler: &'a Handler,
    id: WatchId,
    reply: async_channel::Receiver<ModelReply>,
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        let mut state = self.handler.lock();
        state.reply_senders.remove(&self.id);
        state.model.cancel(self.id);
    }
}
