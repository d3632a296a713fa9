//! Feeds events to the instance, one at a time, and carries out its actions.

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
use crate::inbox::{Request, Submitted};
use crate::labels;

/// Time between two updates of the gauges and two searches for abandoned exchanges.
const UPKEEP: Duration = Duration::from_millis(500);

/// What the driver shares with the listeners.
#[derive(Debug)]
pub(crate) struct Board {
    timeline: Mutex<Timeline>,
    /// Time of the driver's last turn, from which the health check tells a stuck process.
    last_turn: Mutex<Instant>,
}

impl Board {
    pub(crate) fn new() -> Self {
        Self {
            timeline: Mutex::default(),
            last_turn: Mutex::new(Instant::now()),
        }
    }

    pub(crate) fn events_after(&self, number: u64) -> Vec<(u64, TimelineEvent)> {
        lock(&self.timeline).after(number)
    }

    pub(crate) fn idle_for(&self) -> Duration {
        lock(&self.last_turn).elapsed()
    }
}

/// Both values are replaced as a whole, so they are usable after a panic elsewhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Channel of the one answer of an open exchange.
#[derive(Debug)]
enum Answer {
    Caller(Sender<CallerReply>),
    Operator(Sender<OperatorReply>),
    Peer(Sender<PeerReply>),
}

/// Owner of the instance.
pub(crate) struct Driver {
    pub(crate) instance: Instance,
    pub(crate) clock: Clock,
    pub(crate) calls: Calls,
    pub(crate) board: Arc<Board>,
    pub(crate) metrics: Metrics,
    /// Replies of calls, and the request to drain. They come before new requests.
    pub(crate) replies: Receiver<Event>,
    pub(crate) requests: Receiver<Submitted>,
    /// Gets one message when the instance has drained.
    pub(crate) stopped: Sender<()>,
}

/// Exchanges by token, with the time after which nobody waits.
#[derive(Debug, Default)]
struct Exchanges {
    open: FastMap<Token, (Answer, Instant)>,
    last: u64,
}

enum Input {
    Event(Event),
    Request(Submitted),
    TickDue,
    Closed,
}

impl Driver {
    /// Runs until the channel of replies is closed.
    pub(crate) async fn run(mut self) {
        let mut exchanges = Exchanges::default();
        let mut next_tick = Instant::now();
        let mut next_upkeep = next_tick;
        loop {
            let now = Instant::now();
            *lock(&self.board.last_turn) = now;
            if now >= next_tick {
                // Ticks that were missed while the process was paused are not made up for.
                next_tick = now + TICK_INTERVAL;
                self.feed(&mut exchanges, Event::Tick);
            }
            if now >= next_upkeep {
                next_upkeep = now + UPKEEP;
                self.upkeep(&mut exchanges, now);
            }
            match self.next(next_tick).await {
                Input::Event(event) => self.feed(&mut exchanges, event),
                Input::Request(submitted) => {
                    let event = exchanges.open(submitted);
                    self.metrics.open_exchanges.set(exchanges.len());
                    self.feed(&mut exchanges, event);
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
                Ok(submitted) => Input::Request(submitted),
                // All listeners are gone; calls in flight still get their replies.
                Err(_) => future::pending().await,
            }
        };
        let tick = async {
            Timer::at(next_tick).await;
            Input::TickDue
        };
        future::or(reply, future::or(request, tick)).await
    }

    fn feed(&mut self, exchanges: &mut Exchanges, event: Event) {
        self.metrics.count_event(labels::event(&event));
        for action in self.instance.on_event(self.clock.now(), event) {
            self.metrics.count_action(labels::action(&action));
            self.carry_out(exchanges, action);
        }
        self.metrics.ready.set(i64::from(self.instance.is_ready()));
    }

    fn carry_out(&self, exchanges: &mut Exchanges, action: Action) {
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
            // Repeated while the process ends; one message is enough.
            Action::Stopped => drop(self.stopped.try_send(())),
        }
    }

    fn record(&self, event: TimelineEvent) {
        log::debug!("{} {} {}", event.step, event.subject, event.detail);
        self.metrics.timeline_events.inc();
        lock(&self.board.timeline).push(event);
    }

    fn upkeep(&self, exchanges: &mut Exchanges, now: Instant) {
        for _ in 0..exchanges.drop_abandoned(now) {
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

    fn open(&mut self, submitted: Submitted) -> Event {
        self.last += 1;
        let token = Token(self.last);
        let (answer, event) = match submitted.request {
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
        let end = Instant::now() + submitted.wait;
        self.open.insert(token, (answer, end));
        event
    }

    // A closed channel below means that the client has gone; the answer has no other taker.

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

    /// Drops exchanges that the instance has not answered in time. Returns their number.
    fn drop_abandoned(&mut self, now: Instant) -> usize {
        let before = self.open.len();
        self.open.retain(|_, (_, end)| *end > now);
        before - self.open.len()
    }
}
