//! Callers that send requests at a steady pace, whether answers come or not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use daisymast_http::executor::Executor;
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use smol::Timer;

use crate::clients::Clients;

/// Times that the balancer sends one request at most.
const TRIES: usize = 4;

/// How one exchange of a caller ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Answered(CallerReply),
    /// The connection broke after the request was sent.
    Broken(String),
    /// No connection; nothing was sent.
    Refused(String),
    /// Neither an answer nor a broken connection in time.
    Silent,
}

impl End {
    /// Whether the request was served.
    pub fn is_done(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::Done { .. }))
    }

    /// Whether the answer is `not_run`.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Answered(CallerReply::NotRun { .. }))
    }

    /// Whether a balancer may send the request to another instance.
    fn may_move(&self) -> bool {
        match self {
            Self::Answered(CallerReply::NotRun { reason, .. }) => *reason == NotRunReason::Draining,
            Self::Refused(_) => true,
            _ => false,
        }
    }
}

/// One exchange with one instance.
#[derive(Clone, Debug)]
pub struct Try {
    /// The instance.
    pub instance: String,
    /// Time of sending.
    pub asked: Instant,
    /// Time of the end.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// One request with all its exchanges.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub request: CallerRequest,
    /// Its exchanges, at least one unless no instance was a target.
    pub tries: Vec<Try>,
}

impl Record {
    /// How the last exchange ended.
    ///
    /// # Panics
    /// No instance was a target.
    pub fn last(&self) -> &Try {
        self.tries.last().expect("a target for each request")
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
    pub fn has(&self, name: &str) -> bool {
        self.lock().instances.iter().any(|(one, _)| one == name)
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
    pub every: Duration,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Whether a request that was surely not run, because its instance drains or cannot be reached,
    /// goes to another instance.
    pub moves: bool,
}

impl Load {
    /// Quotes at a pace, sent once each.
    pub fn quotes(count: usize, every: Duration) -> Self {
        Self {
            service: "quotes",
            idempotent: true,
            count,
            every,
            timeout: Duration::from_secs(5),
            moves: false,
        }
    }

    /// Invoices at a pace, sent once each.
    pub fn invoices(count: usize, every: Duration) -> Self {
        Self {
            service: "invoices",
            idempotent: false,
            ..Self::quotes(count, every)
        }
    }

    /// Lets a balancer move requests that were surely not run.
    #[must_use]
    pub fn moving(mut self) -> Self {
        self.moves = true;
        self
    }

    /// Starts to send.
    pub(crate) fn start(self, executor: &Executor, clients: &Clients, to: &Balancer) -> Running {
        let (own, clients, to) = (Arc::clone(executor), clients.clone(), to.clone());
        let task = executor.spawn(async move {
            let mut sent = Vec::with_capacity(self.count);
            let start = Instant::now();
            for number in 0..self.count {
                let number = u32::try_from(number).unwrap_or(u32::MAX);
                Timer::at(start + self.every * number).await;
                let (clients, to) = (clients.clone(), to.clone());
                sent.push(own.spawn(self.exchange(number, clients, to)));
            }
            let mut records = Vec::with_capacity(sent.len());
            for one in sent {
                records.push(one.await);
            }
            records
        });
        Running(task)
    }

    async fn exchange(self, number: u32, clients: Clients, to: Balancer) -> Record {
        let request = CallerRequest {
            id: uuid::Uuid::now_v7().to_string().as_str().into(),
            service: self.service.into(),
            idempotent: self.idempotent,
            timeout_ms: u64::try_from(self.timeout.as_millis()).unwrap_or(u64::MAX),
            body: format!("{} {number}", self.service),
        };
        let mut tries = Vec::new();
        while let Some((instance, address)) = to.next() {
            let asked = Instant::now();
            let end = clients.ask(address, &request).await;
            let again = self.moves && end.may_move() && tries.len() + 1 < TRIES;
            tries.push(Try {
                instance,
                asked,
                ended: Instant::now(),
                end,
            });
            if !again {
                break;
            }
        }
        Record { request, tries }
    }
}

/// Requests that are being sent.
#[derive(Debug)]
pub struct Running(smol::Task<Vec<Record>>);

impl Running {
    /// Waits for the ends of all requests; each is bounded by its timeout.
    pub async fn finish(self) -> Vec<Record> {
        self.0.await
    }

    /// Whether all requests have ended.
    pub fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}
