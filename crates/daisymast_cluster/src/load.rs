//! Open-loop load: callers send requests at a fixed rate, whether or not answers arrive.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::executor::Executor;
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use smol::Timer;

use crate::clients::Clients;

/// Maximum number of times that the balancer sends one request.
const MAX_EXCHANGES: usize = 4;

/// How one exchange between a caller and an instance ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The instance answered.
    Answered(CallerReply),
    /// The request was sent, but no valid answer arrived: the connection was lost or the answer
    /// could not be decoded.
    NoValidReply(String),
    /// No connection was made, so nothing was sent.
    ConnectFailed(String),
    /// Neither an answer nor a connection error arrived in time.
    TimedOut,
}

impl ExchangeEnd {
    /// Whether the request was served.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::Done { .. }))
    }

    /// Whether the answer says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::NotRun { .. }))
    }

    /// Whether the request was certainly not run, so that a balancer may send it to another
    /// instance.
    fn may_fail_over(&self) -> bool {
        match self {
            Self::Answered(CallerReply::NotRun { reason, .. }) => *reason == NotRunReason::Draining,
            Self::ConnectFailed(_) => true,
            _ => false,
        }
    }
}

/// One request sent to one instance, and its end.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Name of the instance.
    pub instance: String,
    /// Time just before the request was sent.
    pub sent_at: Instant,
    /// Time at which the exchange ended, with or without an answer.
    pub ended_at: Instant,
    /// How the exchange ended.
    pub end: ExchangeEnd,
}

/// One request with all its exchanges, in order.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request, which is the same in each exchange.
    pub request: CallerRequest,
    /// The exchanges; empty only if the balancer had no instances.
    pub exchanges: Vec<Exchange>,
}

impl RequestRecord {
    /// The last exchange, which decides the outcome of the request.
    ///
    /// # Panics
    /// The balancer had no instances.
    pub fn last(&self) -> &Exchange {
        self.exchanges.last().expect("at least one exchange")
    }
}

/// Round-robin balancer over the instances that get new requests.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Mutex<Targets>>);

#[derive(Debug, Default)]
struct Targets {
    instances: Vec<(String, SocketAddr)>,
    next: usize,
}

impl Balancer {
    /// Replaces the names and addresses of the instances.
    pub fn set(&self, instances: Vec<(String, SocketAddr)>) {
        self.lock().instances = instances;
    }

    /// Whether an instance gets new requests.
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

    /// Ignores poisoning: each field is replaced as a whole, so both stay valid after a panic.
    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A bounded number of requests to send.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Service that the requests are for.
    pub service: &'static str,
    /// Whether the requests are idempotent, that is, may run more than once.
    pub idempotent: bool,
    /// Total number of requests.
    pub count: usize,
    /// Time between the starts of two requests.
    pub interval: Duration,
    /// Timeout that each request carries.
    pub timeout: Duration,
    /// Whether a request that was certainly not run, because its instance drains or cannot be
    /// reached, is sent to another instance.
    pub fails_over: bool,
}

impl Load {
    /// Idempotent requests to the service `quotes`, without failover.
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

    /// Non-idempotent requests to the service `invoices`, without failover.
    pub fn invoices(count: usize, interval: Duration) -> Self {
        Self {
            service: "invoices",
            idempotent: false,
            ..Self::quotes(count, interval)
        }
    }

    /// Lets the balancer send requests that were certainly not run to other instances.
    #[must_use]
    pub fn with_failover(mut self) -> Self {
        self.fails_over = true;
        self
    }

    /// Spawns a task that sends the requests.
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

/// Load whose requests are being sent.
#[derive(Debug)]
pub struct RunningLoad(smol::Task<Vec<RequestRecord>>);

impl RunningLoad {
    /// Waits until all requests have ended. The timeout of each request bounds the wait.
    pub async fn finish(self) -> Vec<RequestRecord> {
        self.0.await
    }

    /// Whether all requests have ended, without waiting.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}
