//! Callers that send requests at a steady pace, whether answers come or not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::executor::Executor;
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use smol::Timer;

use crate::clients::Clients;

/// Times that the balancer sends one request at most.
const MAX_EXCHANGES: usize = 4;

/// How one exchange of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// With an answer.
    Answered(CallerReply),
    /// The connection broke after the request was sent.
    NoValidReply(String),
    /// No connection; nothing was sent.
    ConnectFailed(String),
    /// Neither an answer nor a broken connection in time.
    TimedOut,
}

impl ExchangeEnd {
    /// Whether the request was served.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::Done { .. }))
    }

    /// Whether the answer is `not_run`.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::NotRun { .. }))
    }

    /// Whether a balancer may send the request to another instance.
    fn may_fail_over(&self) -> bool {
        match self {
            Self::Answered(CallerReply::NotRun { reason, .. }) => *reason == NotRunReason::Draining,
            Self::ConnectFailed(_) => true,
            _ => false,
        }
    }
}

/// One exchange with one instance.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The instance.
    pub instance: String,
    /// Time of sending.
    pub sent_at: Instant,
    /// Time of the end.
    pub ended_at: Instant,
    /// How it ended.
    pub end: ExchangeEnd,
}

/// One request with all its exchanges.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: CallerRequest,
    /// Its exchanges, at least one unless no instance was a target.
    pub exchanges: Vec<Exchange>,
}

impl RequestRecord {
    /// How the last exchange ended.
    ///
    /// # Panics
    /// No instance was a target.
    pub fn last(&self) -> &Exchange {
        self.exchanges.last().expect("a target for each request")
    }
}

/// Instances that take new requests, in turn.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Mutex<Targets>>);

#[derive(Debug, Default)]
struct Targets {
    instances: Vec<(String, SocketAddr)>,
    next: usize,
}

impl Balancer {
    /// Replaces the instances.
    pub fn set(&self, instances: Vec<(String, SocketAddr)>) {
        self.lock().instances = instances;
    }

    /// Whether an instance takes requests.
    pub fn contains(&self, name: &str) -> bool {
        self.lock()
            .instances
            .iter()
            .any(|(instance, _)| instance == name)
    }

    fn next(&self) -> Option<(String, SocketAddr)> {
        let mut targets = self.lock();
        targets.next += 1;
        let count = targets.instances.len();
        let index = targets.next.checked_rem(count)?;
        targets.instances.get(index).cloned()
    }

    /// Both fields are replaced as a whole, so they are usable after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bounded number of requests to send.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Service that is asked.
    pub service: &'static str,
    /// Whether a repeat is harmless.
    pub idempotent: bool,
    /// Requests in all.
    pub count: usize,
    /// Time between two requests.
    pub interval: Duration,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Whether a request that was surely not run, because its instance drains or cannot be reached,
    /// goes to another instance.
    pub fails_over: bool,
}

impl Load {
    /// Quotes at a pace, sent once each.
    pub fn quotes(count: usize, interval: Duration) -> Self {
        Self {
            service: "quotes",
            idempotent: true,
            count,
            interval,
            timeout: Duration::from_secs(5),
            fails_over: false,
        }
    }

    /// Invoices at a pace, sent once each.
    pub fn invoices(count: usize, interval: Duration) -> Self {
        Self {
            service: "invoices",
            idempotent: false,
            ..Self::quotes(count, interval)
        }
    }

    /// Lets a balancer move requests that were surely not run.
    #[must_use]
    pub fn with_failover(mut self) -> Self {
        self.fails_over = true;
        self
    }

    /// Starts to send.
    pub(crate) fn start(
        self,
        executor: &Executor,
        clients: &Clients,
        balancer: &Balancer,
    ) -> RunningLoad {
        let (spawner, clients, balancer) =
            (Arc::clone(executor), clients.clone(), balancer.clone());
        let task = executor.spawn(async move {
            let mut tasks = Vec::with_capacity(self.count);
            let start = Instant::now();
            for number in 0..self.count {
                let number = u32::try_from(number).unwrap_or(u32::MAX);
                Timer::at(start + self.interval * number).await;
                let (clients, balancer) = (clients.clone(), balancer.clone());
                tasks.push(spawner.spawn(self.exchange(number, clients, balancer)));
            }
            let mut records = Vec::with_capacity(tasks.len());
            for task in tasks {
                records.push(task.await);
            }
            records
        });
        RunningLoad(task)
    }

    async fn exchange(self, number: u32, clients: Clients, balancer: Balancer) -> RequestRecord {
        let request = CallerRequest {
            id: uuid::Uuid::now_v7().to_string().as_str().into(),
            service: self.service.into(),
            idempotent: self.idempotent,
            timeout_ms: u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX),
            body: format!("{} {number}", self.service),
        };
        let mut exchanges = Vec::new();
        while let Some((instance, address)) = balancer.next() {
            let sent_at = Instant::now();
            let end = clients.send_request(address, &request).await;
            let fail_over =
                self.fails_over && end.may_fail_over() && exchanges.len() + 1 < MAX_EXCHANGES;
            exchanges.push(Exchange {
                instance,
                sent_at,
                ended_at: Instant::now(),
                end,
            });
            if !fail_over {
                break;
            }
        }
        RequestRecord { request, exchanges }
    }
}

/// Requests that are being sent.
#[derive(Debug)]
pub struct RunningLoad(smol::Task<Vec<RequestRecord>>);

impl RunningLoad {
    /// Waits for the ends of all requests; each is bounded by its timeout.
    pub async fn finish(self) -> Vec<RequestRecord> {
        self.0.await
    }

    /// Whether all requests have ended.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}
