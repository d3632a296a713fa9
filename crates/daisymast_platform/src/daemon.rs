//! Shell of the stand-in daemon: HTTP around the model.

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
use crate::model::{Faults, ModelReply, PlatformModel, Snapshot, WaiterId};
use crate::settings::Settings;

/// Path of [`FaultRequest`].
pub const FAULTS_PATH: &str = "/v1/faults";
/// Path of [`MemberRequest`].
pub const MEMBERS_PATH: &str = "/v1/members";
/// Path that gives the counts of the model.
pub const COUNTS_PATH: &str = "/v1/counts";
/// Time between two ticks of the model, which bounds how late a watch ends.
const TICK: Duration = Duration::from_millis(10);

/// Changes the faults of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum FaultRequest {
    /// Sets all switches.
    Set(Faults),
    /// Keeps the present keys for a later restore.
    Save,
    /// Sets all keys back to what was saved last, or to none.
    Restore,
}

/// Changes the list of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberRequest {
    /// Adds or changes a member.
    Register {
        /// The member.
        member: Member,
    },
    /// Removes a member.
    Remove {
        /// Its identity.
        who: MemberId,
    },
}

/// A running stand-in.
#[derive(Debug)]
pub struct Daemon {
    server: Server,
    shell: Arc<Shell>,
    _ticker: smol::Task<()>,
}

impl Daemon {
    /// Binds the address of the settings and starts to serve.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(executor: &Executor, settings: &Settings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let shell = Arc::new(Shell::new(settings));
        let limits = Limits::default().with_body_bytes(client::BODY_BYTES);
        let (ticking, serving) = (Arc::clone(&shell), Arc::clone(&shell));
        let server = Server::start(executor, listener, limits, move |request| {
            let shell = Arc::clone(&serving);
            async move { shell.handle(request).await }
        })?;
        let ticker = executor.spawn(async move {
            loop {
                Timer::after(TICK).await;
                ticking.lock().tick(ticking.now());
            }
        });
        Ok(Self {
            server,
            shell,
            _ticker: ticker,
        })
    }

    /// Address that the daemon listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends all watches, stops accepting, and returns when all requests in flight are answered.
    pub async fn shutdown(self) {
        self.shell.lock().model.stop_watches();
        self.server.shutdown().await;
    }
}

#[derive(Debug)]
struct Shell {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    model: PlatformModel,
    waiting: FastMap<WaiterId, async_channel::Sender<ModelReply>>,
    saved: Snapshot,
}

impl State {
    /// Delivers the watches that are resolved.
    fn tick(&mut self, now: Monotonic) {
        for (id, reply) in self.model.on_tick(now) {
            if let Some(waiting) = self.waiting.remove(&id) {
                // The channel has room for its one reply; a closed one means that the caller left.
                drop(waiting.try_send(reply));
            }
        }
    }
}

impl Shell {
    fn new(settings: &Settings) -> Self {
        let mut model = PlatformModel::new(Duration::from_millis(settings.member_lag_ms));
        for member in &settings.members {
            model.register(Monotonic::ZERO, member.clone());
        }
        let state = State {
            model,
            waiting: FastMap::default(),
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
                Ok(store) => self.store(request.query_value("caller"), store).await,
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

    async fn store(&self, caller: &str, request: StoreRequest) -> Response {
        let (reply, waiting) = self.begin(caller, request);
        let reply = match waiting {
            Some(waiting) => waiting
                .answer
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
            ModelReply::Waiting(_) | ModelReply::Lost | ModelReply::Unreachable => {
                Response::abort()
            }
        }
    }

    fn begin(&self, caller: &str, request: StoreRequest) -> (ModelReply, Option<Waiting<'_>>) {
        let now = self.now();
        let mut state = self.lock();
        let reply = state.model.on_request_from(now, caller, request);
        let waiting = match &reply {
            ModelReply::Waiting(id) => {
                let (sender, answer) = async_channel::bounded(1);
                state.waiting.insert(*id, sender);
                Some(Waiting {
                    shell: self,
                    id: *id,
                    answer,
                })
            }
            _ => None,
        };
        state.tick(now);
        (reply, waiting)
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

    /// The model changes nothing before it has validated a request, so the state after a panic is
    /// the state before the request.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A watch in progress. Dropping it, also with its connection, forgets the watch.
struct Waiting<'a> {
    shell: &'a Shell,
    id: WaiterId,
    answer: async_channel::Receiver<ModelReply>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.shell.lock();
        state.waiting.remove(&self.id);
        state.model.cancel(self.id);
    }
}
