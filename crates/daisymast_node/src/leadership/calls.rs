//! Executes the scheduler's actions: calls to workers and to the advice service, and answers to
//! callers.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::workers;
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_scheduler::{action, lease, report};
use daisymast_types::ids;

use crate::clock;
use crate::constants;
use crate::context::{self, lock};
use crate::leadership::Leadership;
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
        action::Action::Log(decision) => context.decisions.record(leadership.term, &decision),
        action => {
            let call = call(Arc::clone(context), Arc::clone(leadership), action);
            context.executor.spawn(call).detach();
        }
    }
}

async fn call(context: Arc<context::Context>, leadership: Arc<Leadership>, action: action::Action) {
    match action {
        action::Action::PollWorker {
            target,
            deadline_ms,
            acked_end,
            wait,
        } => {
            let hold = workers::Hold {
                deadline_ms,
                token: leadership.term,
                acked_end,
                wait_ms: lease::millis(wait),
            };
            let timeout = wait + constants::POLL_TIMEOUT;
            let outcome = workers::hold(&context.workers, worker(&target), hold, timeout).await;
            let now = clock::now();
            let answered = matches!(outcome, report::PollOutcome::Report(_));
            context
                .metrics
                .count_call("worker_look", outcome_label(answered));
            leadership.update(|scheduler| scheduler.on_poll_outcome(target.index, outcome, now));
        }
        action::Action::Start(start) => {
            let order = workers::Start {
                task: start.task,
                run: start.run,
                payload: &start.spec.payload,
                deadline_ms: start.deadline_ms,
                token: leadership.term,
                checkpoint: start.checkpoint.as_deref(),
                ticket: start.ticket.as_deref(),
            };
            let target = worker(&start.target);
            let outcome =
                workers::start(&context.workers, target, &order, constants::ORDER_TIMEOUT).await;
            let now = clock::now();
            let taken = matches!(outcome, report::OrderOutcome::Accepted(_));
            context
                .metrics
                .count_call("worker_start", outcome_label(taken));
            let worker_index = start.target.index;
            leadership.update(|scheduler| {
                scheduler.on_start(worker_index, start.task, start.run, outcome, now);
            });
        }
        action::Action::Stop { target, task, run } => {
            let order = workers::stop(
                &context.workers,
                worker(&target),
                task,
                run,
                leadership.term,
                constants::ORDER_TIMEOUT,
            );
            let outcome = order.await;
            let now = clock::now();
            leadership.update(|scheduler| scheduler.on_stop(target.index, task, run, outcome, now));
        }
        action::Action::RequestAdvice {
            call,
            node,
            step,
            workers,
            timeout,
        } => {
            let answer = request_advice(&context, &leadership, &node, step, workers, timeout).await;
            let now = clock::now();
            context
                .metrics
                .count_call("advice", outcome_label(answer.is_some()));
            leadership.update(|scheduler| scheduler.on_advice(call, answer, now));
        }
        action::Action::Answer { .. } | action::Action::Deposed | action::Action::Log(_) => {}
    }
}

fn outcome_label(done: bool) -> &'static str {
    if done { "done" } else { "failed" }
}

fn worker(target: &action::Target) -> workers::Target<'_> {
    workers::Target {
        id: &target.id,
        address: target.address,
    }
}

async fn request_advice(
    context: &context::Context,
    leadership: &Leadership,
    advisor: &ids::InstanceId,
    step: spec::StepId,
    workers: Vec<String>,
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    if *advisor == leadership.me.id {
        return peers::request_advice(context, step, &workers, timeout).await;
    }
    let address = {
        let alive = lock(&leadership.last_pings);
        alive.get(advisor).map(|(member, _)| member.address)?
    };
    let request = peers::Request::Ask {
        step,
        workers,
        timeout_ms: lease::millis(timeout),
    };
    match peers::call(context, address, &request, timeout).await {
        outcome::Outcome::Done(peers::Reply::Advice(answer)) => answer,
        _ => None,
    }
}
