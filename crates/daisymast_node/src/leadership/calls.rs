//! Executes the scheduler's actions: calls to workers and to the advice service, and answers to
//! callers.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::workers;
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_relay::{constants as relay_limits, direct};
use daisymast_scheduler::{action, lease, report};
use daisymast_types::{ids, time};

use crate::clock;
use crate::context::{self, lock};
use crate::leadership::{Leadership, relaying};
use crate::peers;

/// Executes one action. Calls run in detached tasks.
pub(super) fn execute(
    context: &Arc<context::Context>,
    leadership: &Arc<Leadership>,
    action: action::Action,
) {
    match action {
        action::Action::Answer { .. } => leadership.deliver(action),
        action::Action::Deposed => leadership.depose(),
        action::Action::Log(decision) => {
            context.metrics.count_place_wait(&decision);
            if let Some(event) = decision.organisation_event() {
                context.metrics.count_organisation(event);
            }
            context.decisions.record(leadership.term, &decision);
        }
        action => relaying::dispatch(context, leadership, action),
    }
}

/// Makes a call and passes its outcome to the scheduler. A call to a worker that is too old, or that
/// the leader may no longer make, is not sent: its process may have been paused since the decision.
pub(super) async fn call(
    context: Arc<context::Context>,
    leadership: Arc<Leadership>,
    call: direct::DirectCall,
) {
    let send_by = call.send_by(leadership.lease_end());
    match &call.action {
        action::Action::PollWorker {
            target,
            deadline_ms,
            acked_end,
            wait,
        } => {
            let hold = workers::Hold {
                deadline_ms: *deadline_ms,
                token: target.fence,
                acked_end: *acked_end,
                wait_ms: lease::millis(*wait),
            };
            poll(&context, &leadership, target, hold, send_by).await;
        }
        action::Action::Start(order) => start(&context, &leadership, &call, order, send_by).await,
        action::Action::Stop { target, task, run } => {
            let outcome = stop(&context, target, (*task, *run), send_by).await;
            let outcome = call.stop_outcome(outcome);
            let now = clock::now();
            leadership.update(|scheduler| scheduler.on_stop(target, *task, *run, outcome, now));
        }
        action::Action::RequestAdvice {
            call,
            node,
            step,
            workers,
            timeout,
        } => {
            let answer =
                request_advice(&context, &leadership, node, *step, workers, *timeout).await;
            let now = clock::now();
            context
                .metrics
                .count_call("advice", outcome_label(answer.is_some()));
            leadership.update(|scheduler| scheduler.on_advice(*call, answer, now));
        }
        action::Action::Answer { .. } | action::Action::Deposed | action::Action::Log(_) => {}
    }
}

async fn poll(
    context: &context::Context,
    leadership: &Leadership,
    target: &action::Target,
    hold: workers::Hold,
    send_by: time::Monotonic,
) {
    let timeout = Duration::from_millis(hold.wait_ms) + relay_limits::POLL_TIMEOUT_MARGIN;
    let target_worker = worker(target, send_by);
    let outcome = workers::hold(&context.workers, target_worker, hold, timeout).await;
    let now = clock::now();
    let answered = matches!(outcome, report::PollOutcome::Report(_));
    context
        .metrics
        .count_call("worker_look", outcome_label(answered));
    leadership.update(|scheduler| scheduler.on_poll_outcome(target, outcome, now));
}

async fn start(
    context: &context::Context,
    leadership: &Leadership,
    call: &direct::DirectCall,
    start: &action::Start,
    send_by: time::Monotonic,
) {
    let order = workers::StartOrder {
        task: start.task,
        run: start.run,
        payload: &start.spec.payload,
        deadline_ms: start.deadline_ms,
        token: start.target.fence,
        checkpoint: start.checkpoint.as_deref(),
        ticket: start.ticket.as_deref(),
    };
    let started = workers::start(
        &context.workers,
        worker(&start.target, send_by),
        &order,
        relay_limits::ORDER_TIMEOUT,
    );
    let outcome = call.start_outcome(started.await);
    let now = clock::now();
    let accepted = matches!(outcome, report::OrderOutcome::Accepted(_));
    context
        .metrics
        .count_call("worker_start", outcome_label(accepted));
    leadership.update(|scheduler| {
        scheduler.on_start(&start.target, start.task, start.run, outcome, now);
    });
}

async fn stop(
    context: &context::Context,
    target: &action::Target,
    (task, run): (spec::TaskId, u32),
    send_by: time::Monotonic,
) -> report::OrderOutcome {
    workers::stop(
        &context.workers,
        worker(target, send_by),
        task,
        run,
        target.fence,
        relay_limits::ORDER_TIMEOUT,
    )
    .await
}

fn outcome_label(done: bool) -> &'static str {
    if done { "done" } else { "failed" }
}

fn worker(target: &action::Target, send_by: time::Monotonic) -> workers::Target<'_> {
    workers::Target {
        id: &target.id,
        address: target.address,
        send_by,
    }
}

async fn request_advice(
    context: &context::Context,
    leadership: &Leadership,
    node: &ids::InstanceId,
    step: spec::StepId,
    workers: &[String],
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    if *node == leadership.me.id {
        return peers::handler::request_advice(context, step, workers, timeout).await;
    }
    let address = {
        let last_pings = lock(&leadership.last_pings);
        last_pings.get(node).map(|(member, _)| member.address)?
    };
    let request = peers::Request::Ask {
        step,
        workers: workers.to_vec(),
        timeout_ms: lease::millis(timeout),
    };
    match peers::call(context, address, &request, timeout).await {
        outcome::Outcome::Done(peers::Reply::Advice(answer)) => answer,
        _ => None,
    }
}
