//! Outgoing calls to the store, workers and other instances. Each call produces exactly one reply
//! event, because the clients enforce one deadline over connecting, sending and reading.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use daisymast_engine::event::Event;
use daisymast_http::auth::Key;
use daisymast_http::client::{Call, Client, Settings};
use daisymast_http::executor::Executor;
use daisymast_http::msgpack;
use daisymast_platform::client::StoreClient;
use daisymast_protocol::outcome::{CallError, Outcome};
use daisymast_protocol::peer::{PeerReply, PeerRequest};
use daisymast_protocol::store::StoreRequest;
use daisymast_protocol::worker::{WorkerReply, WorkerRequest};
use daisymast_telemetry::metrics::Metrics;
use daisymast_types::ids::{CallId, InstanceId, WorkerId};
use daisymast_worker::client::WorkerClient;

use crate::labels;
use crate::listeners::peers::{Envelope, PATH};

/// Clients for the store, workers and other instances.
#[derive(Clone, Debug)]
pub(crate) struct Calls(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    executor: Executor,
    store: StoreClient,
    workers: Arc<Client>,
    peers: Client,
    instance: InstanceId,
    peer_key: Key,
    replies: Sender<Event>,
    metrics: Metrics,
}

/// Constructor arguments of [`Calls`].
#[derive(Debug)]
pub(crate) struct CallsDependencies {
    pub(crate) executor: Executor,
    pub(crate) platform: SocketAddr,
    pub(crate) instance: InstanceId,
    pub(crate) peer_key: Key,
    pub(crate) replies: Sender<Event>,
    pub(crate) metrics: Metrics,
}

impl Calls {
    pub(crate) fn new(dependencies: CallsDependencies) -> Self {
        let client = || Client::new(Arc::clone(&dependencies.executor), Settings::default());
        let (workers, peers) = (client(), client());
        let executor = Arc::clone(&dependencies.executor);
        let store = StoreClient::new(
            executor,
            dependencies.platform,
            dependencies.instance.as_str(),
        );
        Self(Arc::new(Shared {
            executor: dependencies.executor,
            store,
            workers: Arc::new(workers),
            peers,
            instance: dependencies.instance,
            peer_key: dependencies.peer_key,
            replies: dependencies.replies,
            metrics: dependencies.metrics,
        }))
    }

    pub(crate) fn store(&self, call: CallId, request: StoreRequest, timeout: Duration) {
        let shared = Arc::clone(&self.0);
        self.spawn(async move {
            let outcome = shared.store.call(&request, timeout).await;
            shared
                .metrics
                .count_call("store", labels::outcome(&outcome));
            Event::StoreReply { call, outcome }
        });
    }

    pub(crate) fn worker(
        &self,
        call: CallId,
        worker: WorkerId,
        address: String,
        request: WorkerRequest,
        timeout: Duration,
    ) {
        let shared = Arc::clone(&self.0);
        self.spawn(async move {
            let outcome = match parse(&address, worker.as_str()) {
                Ok(address) => {
                    shared
                        .call_worker(&worker, address, &request, timeout)
                        .await
                }
                Err(error) => Outcome::NoEffect(error),
            };
            shared
                .metrics
                .count_call("worker", labels::outcome(&outcome));
            Event::WorkerReply { call, outcome }
        });
    }

    pub(crate) fn peer(
        &self,
        call: CallId,
        instance: InstanceId,
        address: String,
        request: PeerRequest,
        timeout: Duration,
    ) {
        let shared = Arc::clone(&self.0);
        self.spawn(async move {
            let outcome = match parse(&address, instance.as_str()) {
                Ok(address) => shared.call_peer(&instance, address, request, timeout).await,
                Err(error) => Outcome::NoEffect(error),
            };
            shared.metrics.count_call("peer", labels::outcome(&outcome));
            Event::PeerReply { call, outcome }
        });
    }

    fn spawn(&self, reply: impl Future<Output = Event> + Send + 'static) {
        let shared = Arc::clone(&self.0);
        shared.metrics.open_calls.inc();
        let task = async move {
            let event = reply.await;
            shared.metrics.open_calls.dec();
            // Sending fails only during process shutdown, when the driver has closed the channel.
            drop(shared.replies.send(event).await);
        };
        self.0.executor.spawn(task).detach();
    }
}

impl Shared {
    async fn call_peer(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Outcome<PeerReply> {
        let step = peer_step(&request);
        let envelope = Envelope {
            from: self.instance.clone(),
            request,
        };
        let call = Call::new(address, PATH, timeout)
            .with_error_context(step, instance.as_str())
            .signed(Some(&self.peer_key));
        msgpack::post(&self.peers, &call, &envelope).await
    }

    async fn call_worker(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        request: &WorkerRequest,
        timeout: Duration,
    ) -> Outcome<WorkerReply> {
        let client = Arc::clone(&self.workers);
        let client = WorkerClient::new(client, worker, address, self.instance.as_str());
        client.call(request, timeout).await
    }
}

fn parse(address: &str, peer: &str) -> Result<SocketAddr, CallError> {
    address.parse().map_err(|_| {
        let reason = format!("{address:?} is no IP address and port");
        CallError::new("read address", peer, &reason)
    })
}

fn peer_step(request: &PeerRequest) -> &'static str {
    match request {
        PeerRequest::Heartbeat(_) => "send heartbeat",
        PeerRequest::FetchManifest { .. } => "fetch manifest",
        PeerRequest::Claim { .. } => "claim request",
        PeerRequest::Settle { .. } => "settle request",
        PeerRequest::ClaimStatus { .. } => "read claim",
        PeerRequest::Endpoints { .. } => "list endpoints",
        PeerRequest::Serve { .. } => "serve request",
        PeerRequest::Forward { .. } => "forward request",
        PeerRequest::Resolve { .. } => "resolve request",
        PeerRequest::Start { .. } => "start task",
        PeerRequest::Capacity => "read capacity",
        PeerRequest::Replicas { .. } => "read replicas",
        PeerRequest::PollRuns { .. } => "poll runs",
        PeerRequest::Stop { .. } => "stop task",
        PeerRequest::Reclaim { .. } => "reclaim",
        PeerRequest::ResolveTask { .. } => "resolve task",
        PeerRequest::Reserve { .. } => "reserve capacity",
        PeerRequest::Unreserve { .. } => "return reservation",
        PeerRequest::HandOver { .. } => "hand over worker",
        // The name is used only in error messages, so a new request type needs no arm of its own.
        #[allow(
            unreachable_patterns,
            reason = "all current request types have their own arm"
        )]
        _ => "call instance",
    }
}
