//! Event loop that passes events to the instance, one at a time, and executes the resulting
//! actions.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use daisymast_engine::config::TICK_INTERVAL;
use daisymast_engine::event::{Action, Event};
use daisymast_engine::instance::Instance;
use daisymast_protocol::caller::CallerReply;
use daisymast_protocol::operator::OperatorReply;
use daisymast_protocol::peer::PeerReply;
use daisymast_protocol::timeline::TimelineEvent;
use daisymast_telemetry::metrics::Metrics;
use daisymast_telemetry::timeline::Timeline;
use daisymast_types::collections::FastMap;
use daisymast_types::ids::Token;
use futures_lite::future;
use smol::Timer;

use crate::calls::Calls;
use crate::clock::Clock;
use crate::inbox::{QueuedRequest, Request};
use crate::labels;

/// Interval at which gauges are updated and expired exchanges are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// State that the driver shares with the listeners.
#[derive(Debug)]
pub(crate) struct SharedState {
    timeline: Mutex<Timeline>,
    /// Start of the driver's latest loop iteration; the health check uses it to detect a stuck
    /// driver.
    last_iteration: Mutex<Instant>,
}

impl SharedState {
    pub(crate) fn new() -> Self {
        Self {
            timeline: Mutex::default(),
            last_iteration: Mutex::new(Instant::now()),
        }
    }

    pub(crate) fn events_after(&self, number: u64) -> Vec<(u64, TimelineEvent)> {
        lock(&self.timeline).after(number)
    }

    pub(crate) fn time_since_last_iteration(&self) -> Duration {
        lock(&self.last_iteration).elapsed()
    }
}

/// Locks the mutex and ignores poisoning: each value is replaced as a whole, so it stays valid if a
/// thread panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sending side of the one-shot channel for the reply to an open exchange.
#[derive(Debug)]
enum Answer {
    Caller(Sender<CallerReply>),
    Operator(Sender<OperatorReply>),
    Peer(Sender<PeerReply>),
}

/// Owns the instance and runs its event loop.
pub(crate) struct Driver {
    pub(crate) instance: Instance,
    pub(crate) clock: Clock,
    pub(crate) calls: Calls,
    pub(crate) shared_state: Arc<SharedState>,
    pub(crate) metrics: Metrics,
    /// Replies to outgoing calls and the drain event; received before new requests.
    pub(crate) replies: Receiver<Event>,
    pub(crate) requests: Receiver<QueuedRequest>,
    /// Receives one message when the instance has drained.
    pub(crate) stopped: Sender<()>,
}

/// Open exchanges by token, each with the time at which its listener stops waiting.
#[derive(Debug, Default)]
struct Exchanges {
    open: FastMap<Token, (Answer, Instant)>,
    last: u64,
}

enum Input {
    Event(Event),
    Request(QueuedRequest),
    TickDue,
    Closed,
}

impl Driver {
    /// Runs until the reply channel is closed.
    pub(crate) async fn run(mut self) {
        let mut exchanges = Exchanges::default();
        let mut next_tick = Instant::now();
        let mut next_maintenance = next_tick;
        loop {
            let now = Instant::now();
            *lock(&self.shared_state.last_iteration) = now;
            if now >= next_tick {
                // Ticks that were missed while the process was paused are skipped.
                next_tick = now + TICK_INTERVAL;
                self.handle_event(&mut exchanges, Event::Tick);
            }
            if now >= next_maintenance {
                next_maintenance = now + MAINTENANCE_INTERVAL;
                self.maintain(&mut exchanges, now);
            }
            match self.next(next_tick).await {
                Input::Event(event) => self.handle_event(&mut exchanges, event),
                Input::Request(queued) => {
                    let event = exchanges.open(queued);
                    self.metrics.open_exchanges.set(exchanges.len());
                    self.handle_event(&mut exchanges, event);
                }
                Input::TickDue => {}
                Input::Closed => return,
            }
        }
    }

    async fn next(&self, next_tick: Instant) -> Input {
        let reply = async {
            self.replies
                .recv()
                .await
                .map_or(Input::Closed, Input::Event)
        };
        let request = async {
            match self.requests.recv().await {
                Ok(queued) => Input::Request(queued),
                // All listeners have shut down; replies to calls in flight are still processed.
                Err(_) => future::pending().await,
            }
        };
        let tick = async {
            Timer::at(next_tick).await;
            Input::TickDue
        };
        future::or(reply, future::or(request, tick)).await
    }

    fn handle_event(&mut self, exchanges: &mut Exchanges, event: Event) {
        self.metrics.count_event(labels::event(&event));
        for action in self.instance.on_event(self.clock.now(), event) {
            self.metrics.count_action(labels::action(&action));
            self.execute(exchanges, action);
        }
        self.metrics.ready.set(i64::from(self.instance.is_ready()));
    }

    fn execute(&self, exchanges: &mut Exchanges, action: Action) {
        match action {
            Action::CallStore {
                call,
                request,
                timeout,
            } => self.calls.store(call, request, timeout),
            Action::CallWorker {
                call,
                worker,
                address,
                request,
                timeout,
            } => self.calls.worker(call, worker, address, request, timeout),
            Action::CallPeer {
                call,
                instance,
                address,
                request,
                timeout,
            } => self.calls.peer(call, instance, address, request, timeout),
            Action::AnswerCaller { token, reply } => exchanges.answer_caller(token, reply),
            Action::AnswerOperator { token, reply } => exchanges.answer_operator(token, reply),
            Action::AnswerPeer { token, reply } => exchanges.answer_peer(token, reply),
            Action::Record(event) => self.record(event),
            // The engine repeats this action while the process shuts down; one message is enough.
            Action::Stopped => drop(self.stopped.try_send(())),
        }
    }

    fn record(&self, event: TimelineEvent) {
        log::debug!("{} {} {}", event.step, event.subject, event.detail);
        self.metrics.timeline_events.inc();
        lock(&self.shared_state.timeline).push(event);
    }

    fn maintain(&self, exchanges: &mut Exchanges, now: Instant) {
        for _ in 0..exchanges.remove_expired(now) {
            self.metrics.count_refusal("instance", "unanswered");
        }
        let status = self.instance.status(self.clock.now());
        let count = |length: usize| i64::try_from(length).unwrap_or(i64::MAX);
        self.metrics.open_exchanges.set(exchanges.len());
        self.metrics.held_workers.set(count(status.workers.len()));
        self.metrics
            .owned_partitions
            .set(count(status.partitions.len()));
        let generation = i64::try_from(status.generation.0).unwrap_or(i64::MAX);
        self.metrics.generation.set(generation);
    }
}

impl Exchanges {
    fn len(&self) -> i64 {
        i64::try_from(self.open.len()).unwrap_or(i64::MAX)
    }

    fn open(&mut self, queued: QueuedRequest) -> Event {
        self.last += 1;
        let token = Token(self.last);
        let (answer, event) = match queued.request {
            Request::Caller(request, answer) => {
                (Answer::Caller(answer), Event::Caller { token, request })
            }
            Request::CallerStatus(id, answer) => {
                (Answer::Caller(answer), Event::CallerStatus { token, id })
            }
            Request::Operator(request, answer) => {
                (Answer::Operator(answer), Event::Operator { token, request })
            }
            Request::Peer(from, request, answer) => {
                let event = Event::Peer {
                    token,
                    from,
                    request,
                };
                (Answer::Peer(answer), event)
            }
        };
        let expires_at = Instant::now() + queued.wait;
        self.open.insert(token, (answer, expires_at));
        event
    }

    // In the functions below, a send on a closed channel means that the client has disconnected, so
    // the reply is dropped.

    fn answer_caller(&mut self, token: Token, reply: CallerReply) {
        if let Some((Answer::Caller(answer), _)) = self.open.remove(&token) {
            drop(answer.try_send(reply));
        }
    }

    fn answer_operator(&mut self, token: Token, reply: OperatorReply) {
        if let Some((Answer::Operator(answer), _)) = self.open.remove(&token) {
            drop(answer.try_send(reply));
        }
    }

    fn answer_peer(&mut self, token: Token, reply: PeerReply) {
        if let Some((Answer::Peer(answer), _)) = self.open.remove(&token) {
            drop(answer.try_send(reply));
        }
    }

    /// Removes the exchanges that the instance has not answered in time, and returns their number.
    fn remove_expired(&mut self, now: Instant) -> usize {
        let before = self.open.len();
        self.open.retain(|_, (_, expires_at)| *expires_at > now);
        before - self.open.len()
    }
}
