//! One entry instance as a running process: listeners, driver, drain.

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

use crate::calls::{Calls, Parts};
use crate::clock::Clock;
use crate::driver::{Board, Driver};
use crate::inbox::Inbox;
use crate::listeners::metrics::Health;
use crate::listeners::operators::Operators;
use crate::listeners::peers::Peers;
use crate::listeners::{callers, operators, peers};

/// Time from the request to drain until the process ends, at the latest.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Part of it that is left for closing the listeners.
const CLOSING: Duration = Duration::from_secs(5);
/// Replies that wait for the driver; further calls wait with theirs.
const REPLIES: usize = 1_024;

/// Bound addresses, printed when the kernel chose a port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// The instance.
    pub instance: InstanceId,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for other instances.
    pub peers: SocketAddr,
    /// Listener for metrics and health checks.
    pub metrics: SocketAddr,
}

/// A running instance.
#[derive(Debug)]
pub struct Process {
    executor: Executor,
    addresses: Addresses,
    metrics: Metrics,
    replies: Sender<Event>,
    stopped: Receiver<()>,
    /// Servers that are shut down when the instance has drained.
    servers: Vec<Server>,
    health: Server,
    _driver: smol::Task<()>,
}

/// Listeners that are bound but not served yet.
struct Bound {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

impl Process {
    /// Binds all listeners and starts the instance.
    ///
    /// # Errors
    /// A listener cannot be bound, or a key is unusable.
    pub async fn start(executor: &Executor, settings: &EntrySettings) -> anyhow::Result<Self> {
        let bound = Bound {
            callers: bind("listen.callers", settings.listen.callers).await?,
            operators: bind("listen.operators", settings.listen.operators).await?,
            peers: bind("listen.peers", settings.listen.peers).await?,
            metrics: bind("listen.metrics", settings.listen.metrics).await?,
        };
        let addresses = Addresses {
            instance: settings.instance.clone(),
            callers: bound.callers.local_addr()?,
            operators: bound.operators.local_addr()?,
            peers: bound.peers.local_addr()?,
            metrics: bound.metrics.local_addr()?,
        };
        let metrics = Metrics::default();
        let board = Arc::new(Board::new());
        let (inbox, requests) = Inbox::new(metrics.clone());
        let (replies, reply_queue) = async_channel::bounded(REPLIES);
        let (stop, stopped) = async_channel::bounded(1);
        let driver = Driver {
            instance: Instance::new(instance_config(settings, addresses.peers)),
            clock: Clock::start(),
            calls: calls(executor, settings, &replies, &metrics)?,
            board: Arc::clone(&board),
            metrics: metrics.clone(),
            replies: reply_queue,
            requests,
            stopped: stop,
        };
        let (servers, health) = serve(executor, settings, bound, &inbox, &metrics, &board)?;
        log::info!(
            "instance {} serves callers on {}",
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
            _driver: executor.spawn(driver.run()),
        })
    }

    /// Addresses of the listeners.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns when the driver has ended by itself, which only a defect can cause.
    pub async fn failed(&self) {
        while self.stopped.recv().await.is_ok() {}
    }

    /// Drains the instance, then closes the listeners.
    ///
    /// # Errors
    /// The instance or a listener has not ended in time; work in flight may have been cut off.
    pub async fn drain(self) -> anyhow::Result<()> {
        log::info!("instance {} drains", self.addresses.instance);
        // Readiness falls at once, so that the load balancer stops sending.
        self.metrics.ready.set(0);
        self.replies
            .send(Event::Drain)
            .await
            .context("request to drain")?;
        let drained = within(DRAIN_LIMIT - CLOSING, self.stopped.recv()).await;
        let drained = matches!(drained, Some(Ok(())));
        let executor = Arc::clone(&self.executor);
        let closing = async {
            // All shutdowns start before the first is awaited, so that their waits overlap.
            let servers = self.servers.into_iter();
            let closing: Vec<_> = servers.map(|s| executor.spawn(s.shutdown())).collect();
            for server in closing {
                server.await;
            }
            self.health.shutdown().await;
        };
        let closed = within(CLOSING, closing).await.is_some();
        anyhow::ensure!(
            drained,
            "work was in flight after {:?}",
            DRAIN_LIMIT - CLOSING
        );
        anyhow::ensure!(closed, "connections were busy after {CLOSING:?}");
        log::info!("instance {} has drained", self.addresses.instance);
        Ok(())
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}

async fn bind(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("{field}: cannot listen on {address}"))
}

fn key(field: &str, secret: &Secret) -> anyhow::Result<Key> {
    secret
        .expose()
        .parse()
        .with_context(|| format!("{field}: unusable key"))
}

fn calls(
    executor: &Executor,
    settings: &EntrySettings,
    replies: &Sender<Event>,
    metrics: &Metrics,
) -> anyhow::Result<Calls> {
    Ok(Calls::new(Parts {
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
        .drain_limit(DRAIN_LIMIT - CLOSING)
        .build()
}

fn serve(
    executor: &Executor,
    settings: &EntrySettings,
    bound: Bound,
    inbox: &Inbox,
    metrics: &Metrics,
    board: &Arc<Board>,
) -> anyhow::Result<(Vec<Server>, Server)> {
    let (own_inbox, own_metrics) = (inbox.clone(), metrics.clone());
    let for_callers = Server::start(executor, bound.callers, Limits::default(), move |request| {
        callers::handle(own_inbox.clone(), own_metrics.clone(), request)
    })?;
    let large = Limits::default().with_body_bytes(limits::PEER_BODY_BYTES);
    let edge = Arc::new(Operators {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        board: Arc::clone(board),
        key: key("operator_key", &settings.operator_key)?,
    });
    let for_operators = Server::start(executor, bound.operators, large, move |request| {
        let edge = Arc::clone(&edge);
        async move { edge.handle(request).await }
    })?;
    let edge = Arc::new(Peers {
        inbox: inbox.clone(),
        metrics: metrics.clone(),
        key: key("peer_key", &settings.peer_key)?,
    });
    let for_peers = Server::start(executor, bound.peers, large, move |request| {
        let edge = Arc::clone(&edge);
        async move { edge.handle(request).await }
    })?;
    let edge = Arc::new(Health {
        metrics: metrics.clone(),
        board: Arc::clone(board),
        listeners: vec![
            (callers::NAME, Arc::clone(for_callers.counters())),
            (operators::NAME, Arc::clone(for_operators.counters())),
            (peers::NAME, Arc::clone(for_peers.counters())),
        ],
    });
    let health = Server::start(executor, bound.metrics, Limits::default(), move |request| {
        let edge = Arc::clone(&edge);
        async move { edge.handle(&request) }
    })?;
    Ok((vec![for_callers, for_operators, for_peers], health))
}
