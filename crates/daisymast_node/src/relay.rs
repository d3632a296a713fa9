//! Makes calls to workers on behalf of the leader.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daisymast_adapter::workers;
use daisymast_relay::{constants as limits, session, wire};
use daisymast_scheduler::report;
use daisymast_types::collections;
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::context::{self, lock};
use crate::peers;

/// Calls that this node makes for the leader, and exchanges that wait for their outcomes.
#[derive(Debug)]
pub struct Relay {
    sessions: Mutex<session::Sessions>,
    /// Whether [`tick`] runs.
    ticking: AtomicBool,
    /// Wakes the exchanges that wait for outcomes, by session; the latest last.
    waiting: Mutex<collections::FastMap<u64, Vec<async_channel::Sender<()>>>>,
}

impl Relay {
    /// Creates the relay of a process.
    pub fn new(process: u64) -> Self {
        Self {
            sessions: Mutex::new(session::Sessions::new(process)),
            ticking: AtomicBool::new(false),
            waiting: Mutex::default(),
        }
    }
}

/// Handles an exchange with the leader: starts the calls that it brings, and returns outcomes.
pub async fn serve(context: &Arc<context::Context>, exchange: wire::Exchange) -> peers::Reply {
    let now = clock::now();
    let known_term = context
        .candidate()
        .elected()
        .map_or(0, |elected| elected.term);
    let session = exchange.session;
    let wait = Duration::from_millis(exchange.wait_ms).min(limits::COLLECT_HOLD);
    let accepted = lock(&context.relay.sessions).accept(exchange, known_term, now);
    let accepted = match accepted {
        Ok(accepted) => accepted,
        Err(superseded) => {
            log::info!(
                "rejected calls of a leader that term {} replaced",
                superseded.by
            );
            return peers::Reply::NotLeader;
        }
    };
    if !context.relay.ticking.swap(true, Ordering::Relaxed) {
        context.executor.spawn(tick(Arc::clone(context))).detach();
    }
    for call in accepted {
        let make_call = make_call(Arc::clone(context), call);
        context.executor.spawn(make_call).detach();
    }
    wait_for_outcomes(&context.relay, session, wait).await;
    peers::Reply::Relayed(wire::ExchangeReply {
        process: context.incarnation,
        draining: context.is_draining(),
        outcomes: lock(&context.relay.sessions).take_outcomes(session),
        clock_ms: Some(clock::now().as_millis()),
    })
}

/// Lets the sessions notice a pause of the process, for as long as exchanges arrive.
async fn tick(context: Arc<context::Context>) {
    while lock(&context.relay.sessions).on_tick(clock::now()) {
        Timer::after(limits::TICK_INTERVAL).await;
    }
    context.relay.ticking.store(false, Ordering::Relaxed);
}

async fn wait_for_outcomes(relay: &Relay, session: u64, wait: Duration) {
    let (sender, receiver) = async_channel::bounded(1);
    {
        let mut waiting = lock(&relay.waiting);
        waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        waiting.entry(session).or_default().push(sender);
    }
    if lock(&relay.sessions).has_outcomes(session) {
        return;
    }
    future::or(
        async {
            let _ = receiver.recv().await;
        },
        async {
            Timer::after(wait).await;
        },
    )
    .await;
}

async fn make_call(context: Arc<context::Context>, accepted: session::AcceptedCall) {
    let wire::Call(number, worker, address, operation) = &accepted.call;
    let target = workers::Target {
        id: worker,
        address: *address,
        send_by: accepted.send_by(),
    };
    let outcome = if accepted.may_send(clock::now()) {
        send(&context, target, operation, &accepted).await
    } else {
        wire::Outcome::NotSent
    };
    let relay = &context.relay;
    lock(&relay.sessions).complete(accepted.session, *number, outcome);
    wake(relay, accepted.session);
}

/// Wakes the latest exchange that waits for outcomes. An older one goes on waiting: it is answered
/// with the outcomes that no later exchange takes.
fn wake(relay: &Relay, session: u64) {
    let mut waiting = lock(&relay.waiting);
    let Some(senders) = waiting.get_mut(&session) else {
        return;
    };
    while let Some(sender) = senders.pop() {
        if !sender.is_closed() {
            let _ = sender.try_send(());
            return;
        }
    }
}

async fn send(
    context: &context::Context,
    target: workers::Target<'_>,
    operation: &wire::Operation,
    accepted: &session::AcceptedCall,
) -> wire::Outcome {
    match operation {
        wire::Operation::Poll {
            deadline_ms,
            acked_end,
            wait_ms,
        } => {
            let hold = workers::Hold {
                deadline_ms: *deadline_ms,
                token: accepted.term,
                acked_end: *acked_end,
                wait_ms: *wait_ms,
            };
            let timeout = Duration::from_millis(*wait_ms) + limits::POLL_TIMEOUT_MARGIN;
            let outcome = workers::hold(&context.workers, target, hold, timeout).await;
            poll_outcome(context, target, accepted.session, *wait_ms, outcome)
        }
        wire::Operation::Start {
            task,
            run,
            deadline_ms,
            checkpoint,
            ticket,
            payload: _,
        } => {
            let Some(payload) = accepted.payload.as_deref() else {
                return wire::Outcome::NotSent;
            };
            let order = workers::StartOrder {
                task: (*task).into(),
                run: *run,
                payload,
                deadline_ms: *deadline_ms,
                token: accepted.term,
                checkpoint: checkpoint.as_deref(),
                ticket: ticket.as_deref(),
            };
            let started = workers::start(&context.workers, target, &order, limits::ORDER_TIMEOUT);
            wire::Outcome::Order(started.await)
        }
        wire::Operation::Stop { task, run } => {
            let stopped = workers::stop(
                &context.workers,
                target,
                (*task).into(),
                *run,
                accepted.term,
                limits::ORDER_TIMEOUT,
            );
            wire::Outcome::Order(stopped.await)
        }
    }
}

fn poll_outcome(
    context: &context::Context,
    target: workers::Target<'_>,
    session: u64,
    wait_ms: u64,
    outcome: report::PollOutcome,
) -> wire::Outcome {
    match outcome {
        report::PollOutcome::Report(report) => {
            let is_full = lock(&context.relay.sessions).needs_full_report(
                session,
                target.id,
                wait_ms,
                clock::now(),
            );
            wire::Outcome::Report(wire::Report::new(report, is_full))
        }
        report::PollOutcome::Fenced => wire::Outcome::NoReport(wire::PollFailure::Fenced),
        report::PollOutcome::WrongWorker => wire::Outcome::NoReport(wire::PollFailure::WrongWorker),
        report::PollOutcome::Failed => wire::Outcome::NoReport(wire::PollFailure::Failed),
    }
}
