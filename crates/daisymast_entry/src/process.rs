//! Lifecycle of an entry instance: starts its listeners and driver, and drains them on shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use async_channel::{Receiver, Sender};
use daisymast_engine::config::{InstanceConfig, Seed, WorkerSeed};
use daisymast_engine::event::Event;
use daisymast_engine::instance::Instance;
use daisymast_http::auth::Key;
use daisymast_http::executor::Executor;
use daisymast_http::server::{Limits, Server};
use daisymast_protocol::limits;
use daisymast_settings::Secret;
use daisymast_settings::entry::EntrySettings;
use daisymast_telemetry::metrics::Metrics;
use daisymast_types::ids::{BootId, InstanceId};
use futures_lite::future;
use serde::Serialize;
use smol::Timer;
use smol::net::TcpListener;

use crate::calls::{Calls, CallsDependencies};
use crate::clock::Clock;
use crate::driver::{Driver, SharedState};
use crate::inbox::Inbox;
use crate::listeners::metrics::Health;
use crate::listeners::operators::Operators;
use crate::listeners::peers::Peers;
use crate::listeners::{callers, operators, peers};

/// Maximum time from the drain request to the end of the process.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Part of [`DRAIN_LIMIT`] that is reserved for shutting down the listeners.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the channel for replies to the driver. When it is full, a call waits until it can
/// deliver its reply.
const REPLY_QUEUE_CAPACITY: usize = 1_024;

/// Bound listener addresses, printed if the settings contain port 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for other instances.
    pub peers: SocketAddr,
    /// Address of the listener for metrics and health checks.
    pub metrics: SocketAddr,
}

/// Running entry instance with its listeners.
#[derive(Debug)]
pub struct Process {
    executor: Executor,
    addresses: Addresses,
    metrics: Metrics,
    replies: Sender<Event>,
    stopped: Receiver<()>,
    /// Servers for callers, operators and other instances. They shut down after the instance has
    /// drained, and before the health server.
    servers: Vec<Server>,
    health: Server,
    _driver_task: smol::Task<()>,
}

/// Listening sockets that are bound but do not accept connections yet.
struct BoundListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

impl Process {
    /// Binds all listeners and starts the instance.
    ///
    /// # Errors
    /// Fails if a listener cannot be bound or a key is invalid.
    pub async fn start(executor: &Executor, settings: &EntrySettings) -> anyhow::Result<Self> {
        let listeners = BoundListeners {
            callers: bind("listen.callers", settings.listen.callers).await?,
            operators: bind("listen.operators", settings.listen.operators).await?,
            peers: bind("listen.peers", settings.listen.peers).await?,
            metrics: bind("listen.metrics", settings.listen.metrics).await?,
        };
        let addresses = Addresses {
            instance: settings.instance.clone(),
            callers: listeners.callers.local_addr()?,
            operators: listeners.operators.local_addr()?,
            peers: listeners.peers.local_addr()?,
            metrics: listeners.metrics.local_addr()?,
        };
        let metrics = Metrics::default();
        let shared_state = Arc::new(SharedState::new());
        let (inbox, requests) = Inbox::new(metrics.clone());
        let (replies, reply_queue) = async_channel::bounded(REPLY_QUEUE_CAPACITY);
        let (stop, stopped) = async_channel::bounded(1);
        let driver = Driver {
            instance: Instance::new(instance_config(settings, addresses.peers)),
            clock: Clock::start(),
            calls: calls(executor, settings, &replies, &metrics)?,
            shared_state: Arc::clone(&shared_state),
            metrics: metrics.clone(),
            replies: reply_queue,
            requests,
            stopped: stop,
        };
        let (servers, health) = serve(
            executor,
            settings,
            listeners,
            &inbox,
            &metrics,
            &shared_state,
        )?;
        log::info!(
            "instance {} is listening for callers on {}",
            addresses.instance,
            addresses.callers
        );
        Ok(Self {
            executor: Arc::clone(executor),
            addresses,
            metrics,
            replies,
            stopped,
            servers,
            health,
            _driver_task: executor.spawn(driver.run()),
        })
    }

    /// Bound addresses, with the actual ports where the settings contain port 0.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Completes if the driver stops without a drain request, which only a bug can cause.
    pub async fn failed(&self) {
        while self.stopped.recv().await.is_ok() {}
    }

    /// Drains the instance, then shuts down the listeners.
    ///
    /// # Errors
    /// Fails if the instance or a listener did not finish in time; work in flight may have been
    /// aborted.
    pub async fn drain(self) -> anyhow::Result<()> {
        log::info!("instance {} is draining", self.addresses.instance);
        // Readiness is cleared first, so that the load balancer stops sending new requests.
        self.metrics.ready.set(0);
        self.replies
            .send(Event::Drain)
            .await
            .context("send the drain event to the driver")?;
        let drained = with_timeout(DRAIN_LIMIT - SHUTDOWN_TIMEOUT, self.stopped.recv()).await;
        let drained = matches!(drained, Some(Ok(())));
        let executor = Arc::clone(&self.executor);
        let closing = async {
            // All shutdowns are started before the first is awaited, so that they run concurrently.
            let servers = self.servers.into_iter();
            let closing: Vec<_> = servers.map(|s| executor.spawn(s.shutdown())).collect();
            for server in closing {
                server.await;
            }
            self.health.shutdown().await;
        };
        let closed = with_timeout(SHUTDOWN_TIMEOUT, closing).await.is_some();
        anyhow::ensure!(
            drained,
            "the instance did not drain within {:?}",
            DRAIN_LIMIT - SHUTDOWN_TIMEOUT
        );
        anyhow::ensure!(
            closed,
            "the listeners did not shut down within {SHUTDOWN_TIMEOUT:?}"
        );
        log::info!("instance {} has drained", self.addresses.instance);
        Ok(())
    }
}

async fn with_timeout<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(work.await) }, expired).await
}

async fn bind(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("{field}: cannot listen on {address}"))
}

fn key(field: &str, secret: &Secret) -> anyhow::Result<Key> {
    secret
        .expose()
        .parse()
        .with_context(|| format!("{field}: invalid key"))
}

fn calls(
    executor: &Executor,
    settings: &EntrySettings,
    replies: &Sender<Event>,
    metrics: &Metrics,
) -> anyhow::Result<Calls> {
    Ok(Calls::new(CallsDependencies {
        executor: Arc::clone(executor),
        platform: settings.platform,
        instance: settings.instance.clone(),
        peer_key: key("peer_key", &settings.peer_key)?,
        replies: replies.clone(),
        metrics: metrics.clone(),
    }))
}

fn instance_config(settings: &EntrySettings, peers: SocketAddr) -> InstanceConfig {
    let seeds = settings
        .seeds
        .iter()
        .filter(|seed| seed.instance != settings.instance);
    let seeds = seeds.map(|seed| Seed {
        instance: seed.instance.clone(),
        zone: seed.zone.clone(),
        address: seed.address.to_string(),
    });
    let workers = settings.workers.iter().map(|worker| WorkerSeed {
        worker: worker.worker.clone(),
        zone: worker.zone.clone(),
        rack: worker.rack.clone(),
        address: worker.address.to_string(),
    });
    let boot = BootId(fastrand::u64(1..));
    let address = settings.advertise.unwrap_or(peers);
    InstanceConfig::builder(settings.instance.clone(), settings.zone.clone(), boot)
        .address(&address.to_string())
        .weight(settings.weight)
        .seeds(seeds.collect())
        .workers(workers.collect())
        .drain_limit(DRAIN_LIMIT - SHUTDOWN_TIMEOUT)
        .build()
}

fn serve(
    executor: &Executor,
    settings: &EntrySettings,
    listeners: BoundListeners,
    inbox: &Inbox,
    metrics: &Metrics,
    shared_state: &Arc<SharedState>,
) -> anyhow::Result<(Vec<Server>, Server)> {
    let (caller_inbox, caller_metrics) = (inbox.clone(), metrics.clone());
    let caller_server = Server::start(
        executor,
        listeners.callers,
        Limits::default(),
        move |request| callers::handle(caller_inbox.clone(), caller_metrics.clone(), request),
    )?;
    let large = Limits::default().with_body_bytes(limits::PEER_BODY_BYTES);
    let handler = Arc::new(Operators {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        shared_state: Arc::clone(shared_state),
        key: key("operator_key", &settings.operator_key)?,
    });
    let operator_server = Server::start(executor, listeners.operators, large, move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    })?;
    let handler = Arc::new(Peers {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        key: key("peer_key", &settings.peer_key)?,
    });
    let peer_server = Server::start(executor, listeners.peers, large, move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    })?;
    let handler = Arc::new(Health {
        metrics: metrics.clone(),
        shared_state: Arc::clone(shared_state),
        listeners: vec![
            (callers::NAME, Arc::clone(caller_server.counters())),
            (operators::NAME, Arc::clone(operator_server.counters())),
            (peers::NAME, Arc::clone(peer_server.counters())),
        ],
    });
    let health = Server::start(
        executor,
        listeners.metrics,
        Limits::default(),
        move |request| {
            let handler = Arc::clone(&handler);
            async move { handler.handle(&request) }
        },
    )?;
    Ok((vec![caller_server, operator_server, peer_server], health))
}
