//! Sends calls to workers through relays, and makes those itself that no relay serves.

use std::sync::Arc;

use daisymast_protocol::outcome;
use daisymast_relay::{direct, link, wire};
use daisymast_scheduler::{action, report, scheduler};
use daisymast_types::{ids, time};
use futures_lite::future;
use smol::Timer;

use crate::clock;
use crate::context::{self, lock};
use crate::leadership::{Leadership, calls};
use crate::peers;

/// Adapts the relays to the live nodes, and makes the calls itself whose outcome is overdue.
pub(super) fn update(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    now: time::Monotonic,
) {
    let members = leadership.members(now);
    let undelivered = {
        let scheduler = lock(&leadership.scheduler);
        let mut relays = lock(&leadership.relays);
        let mut undelivered = relays.update(&members, scheduler.fleet(), now, new_session);
        undelivered.extend(relays.take_overdue(now));
        undelivered
    };
    call_directly(context, leadership, undelivered);
}

fn new_session() -> u64 {
    fastrand::u64(1..)
}

/// Sends a call to a worker through its relay, or directly if it has none.
pub(super) fn dispatch(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    action: action::Action,
) {
    let relay = {
        let mut relays = lock(&leadership.relays);
        let relay = relays.relay_of(&action).cloned();
        match relay.and_then(|relay| Some((relay.clone(), relays.link_mut(&relay)?))) {
            Some((relay, link)) => {
                link.push(action);
                relay
            }
            None => {
                drop(relays);
                let call = direct::DirectCall::requested(action);
                make_calls(context, leadership, [call]);
                return;
            }
        }
    };
    wake_link(context, leadership, &relay);
}

/// Wakes the task that serves a relay's link, and starts it if there is none.
fn wake_link(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    relay: &ids::InstanceId,
) {
    let mut wakers = lock(&leadership.link_wakers);
    if let Some(waker) = wakers.get(relay) {
        // A full channel means that a wake-up is already pending.
        let _ = waker.try_send(());
        return;
    }
    let (waker, receiver) = async_channel::bounded(1);
    wakers.insert(relay.clone(), waker);
    let serve = serve_link(
        Arc::clone(context),
        Arc::clone(leadership),
        relay.clone(),
        receiver,
    );
    context.executor.spawn(serve).detach();
}

/// Starts the exchanges with one relay when they are due, until the term ends or the node is no
/// relay any more.
async fn serve_link(
    context: Arc<context::Context>,
    leadership: Arc<Leadership>,
    relay: ids::InstanceId,
    waker: async_channel::Receiver<()>,
) {
    loop {
        // The leader lease is checked for each exchange: a process that was paused must not send
        // orders after its lease has ended.
        if !leadership.may_act(clock::now()) {
            break;
        }
        let now = clock::now();
        let (expired, next) = {
            let mut relays = lock(&leadership.relays);
            (relays.take_expired(&relay, now), relays.next(&relay, now))
        };
        make_calls(&context, &leadership, expired);
        let until = match next {
            None => break,
            Some(link::Next::Send(sending)) => {
                let exchange = exchange(
                    Arc::clone(&context),
                    Arc::clone(&leadership),
                    relay.clone(),
                    sending,
                );
                context.executor.spawn(exchange).detach();
                continue;
            }
            Some(link::Next::WaitUntil(at)) => Some(at),
            Some(link::Next::Idle) => None,
        };
        let woken = async { waker.recv().await.is_ok() };
        let is_open = match until {
            Some(at) => {
                let due = async {
                    Timer::after(at - clock::now()).await;
                    true
                };
                future::or(woken, due).await
            }
            None => woken.await,
        };
        if !is_open {
            break;
        }
    }
    lock(&leadership.link_wakers).remove(&relay);
}

async fn exchange(
    context: Arc<context::Context>,
    leadership: Arc<Leadership>,
    relay: ids::InstanceId,
    sending: link::Sending,
) {
    let (lane, number) = (sending.lane, sending.number);
    let fence = sending.exchange.term;
    let request = peers::Request::Relay(sending.exchange);
    // `None` if the term has ended meanwhile.
    let send_by = leadership.lease_end().unwrap_or(time::Monotonic::ZERO);
    let answer = peers::call_before(
        &context,
        sending.address,
        &request,
        sending.timeout,
        Some(send_by),
    );
    let answer = answer.await;
    let now = clock::now();
    context.metrics.count_call(
        "relay",
        match &answer {
            outcome::Outcome::Done(peers::Reply::Relayed(_)) => "done",
            _ => "failed",
        },
    );
    match answer {
        outcome::Outcome::Done(peers::Reply::Relayed(reply)) => {
            let outcomes = match lock(&leadership.relays).link_mut(&relay) {
                Some(link) => link.on_reply(lane, number, reply, now),
                None => link::Outcomes::default(),
            };
            deliver(&leadership, outcomes.delivered, now);
            call_directly(&context, &leadership, outcomes.undelivered);
        }
        // A later exchange with a higher token has overtaken this one.
        outcome::Outcome::Done(peers::Reply::NotLeader)
            if is_superseded(&leadership, &relay, fence) =>
        {
            let failure = link::Failure::NoEffect;
            fail(&context, &leadership, &relay, (lane, number), failure);
        }
        outcome::Outcome::Done(peers::Reply::NotLeader) => {
            log::info!(
                "relay {relay} knows of a later term than {}",
                leadership.term
            );
            leadership.depose();
        }
        outcome::Outcome::NoEffect(_) => {
            fail(
                &context,
                &leadership,
                &relay,
                (lane, number),
                link::Failure::NoEffect,
            );
        }
        outcome::Outcome::Done(_) | outcome::Outcome::Unknown(_) => {
            fail(
                &context,
                &leadership,
                &relay,
                (lane, number),
                link::Failure::Unknown,
            );
        }
    }
    wake_link(&context, &leadership, &relay);
}

/// Whether the calls to a relay have a higher fencing token than an exchange.
fn is_superseded(leadership: &Leadership, relay: &ids::InstanceId, fence: u64) -> bool {
    lock(&leadership.relays)
        .link_mut(relay)
        .is_some_and(|link| link.fence() > fence)
}

fn fail(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    relay: &ids::InstanceId,
    sending: (link::Lane, u64),
    failure: link::Failure,
) {
    let undelivered =
        lock(&leadership.relays).on_failure(relay, sending, failure, new_session(), clock::now());
    if !undelivered.is_empty() {
        log::warn!(
            "relay {relay} did not answer; making its {} calls directly",
            undelivered.len()
        );
    }
    call_directly(context, leadership, undelivered);
}

/// Passes the outcomes of relayed calls to the scheduler.
fn deliver(leadership: &Leadership, delivered: Vec<link::Delivered>, now: time::Monotonic) {
    if delivered.is_empty() {
        return;
    }
    leadership.update(|scheduler| {
        for delivered in delivered {
            apply(scheduler, delivered, now);
        }
    });
}

fn apply(scheduler: &mut scheduler::Scheduler, delivered: link::Delivered, now: time::Monotonic) {
    let link::Delivered { action, outcome } = delivered;
    match (action, outcome) {
        (action::Action::PollWorker { target, .. }, wire::Outcome::Report(report)) => {
            let outcome = report::PollOutcome::Report(report.into());
            scheduler.on_poll_outcome(&target, outcome, now);
        }
        (action::Action::PollWorker { target, .. }, wire::Outcome::NoReport(failure)) => {
            scheduler.on_poll_outcome(&target, failure.into(), now);
        }
        (action::Action::PollWorker { target, .. }, _) => {
            scheduler.on_poll_outcome(&target, report::PollOutcome::Failed, now);
        }
        (action::Action::Start(start), outcome) => {
            let outcome = order_outcome(&outcome);
            scheduler.on_start(&start.target, start.task, start.run, outcome, now);
        }
        (action::Action::Stop { target, task, run }, outcome) => {
            scheduler.on_stop(&target, task, run, order_outcome(&outcome), now);
        }
        _ => {}
    }
}

fn order_outcome(outcome: &wire::Outcome) -> report::OrderOutcome {
    match outcome {
        wire::Outcome::Order(outcome) => *outcome,
        // A relay that answers an order with a report is of an unknown release.
        _ => report::OrderOutcome::Unknown,
    }
}

/// Makes calls directly that a relay did not make, or whose outcome it did not return.
fn call_directly(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    undelivered: Vec<link::Undelivered>,
) {
    let now = clock::now();
    if undelivered.is_empty() || !leadership.may_act(now) {
        return;
    }
    for call in &undelivered {
        if call.may_have_been_sent
            && let action::Action::Start(start) = &call.action
        {
            let (target, task, run) = (&start.target, start.task, start.run);
            leadership.update(|scheduler| scheduler.on_start_repeated(target, task, run, now));
        }
    }
    let passed_on = |call| direct::DirectCall::passed_on(call, now);
    make_calls(context, leadership, undelivered.into_iter().map(passed_on));
}

fn make_calls(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    direct_calls: impl IntoIterator<Item = direct::DirectCall>,
) {
    for call in direct_calls {
        let call = calls::call(Arc::clone(context), Arc::clone(leadership), call);
        context.executor.spawn(call).detach();
    }
}
