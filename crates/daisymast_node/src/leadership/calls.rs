//! Executes the scheduler's actions: calls to workers and to the advice service, and answers to
//! callers.

use std::sync::Arc;
use std::time::Duration;

use daisymast_adapter::workers;
use daisymast_jobs::spec;
use daisymast_protocol::outcome;
use daisymast_relay::constants as relay_limits;
use daisymast_scheduler::{action, lease, report};
use daisymast_types::ids;

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
        action::Action::Log(decision) => context.decisions.record(leadership.term, &decision),
        action => relaying::dispatch(context, leadership, action),
    }
}

/// Makes a call and passes its outcome to the scheduler. `may_have_been_sent` says that a relay may
/// have made the same call before, or may still make it.
pub(super) async fn call(
    context: Arc<context::Context>,
    leadership: Arc<Leadership>,
    action: action::Action,
    may_have_been_sent: bool,
) {
    match action {
        action::Action::PollWorker {
            target,
            deadline_ms,
            acked_end,
            wait,
        } => {
            let hold = workers::Hold {
                deadline_ms,
                token: target.fence,
                acked_end,
                wait_ms: lease::millis(wait),
            };
            let timeout = wait + relay_limits::POLL_TIMEOUT_MARGIN;
            let outcome = workers::hold(&context.workers, worker(&target), hold, timeout).await;
            let now = clock::now();
            let answered = matches!(outcome, report::PollOutcome::Report(_));
            context
                .metrics
                .count_call("worker_look", outcome_label(answered));
            leadership.update(|scheduler| scheduler.on_poll_outcome(&target, outcome, now));
        }
        action::Action::Start(start) => {
            let order = workers::StartOrder {
                task: start.task,
                run: start.run,
                payload: &start.spec.payload,
                deadline_ms: start.deadline_ms,
                token: start.target.fence,
                checkpoint: start.checkpoint.as_deref(),
                ticket: start.ticket.as_deref(),
            };
            let target = worker(&start.target);
            let started = workers::start(
                &context.workers,
                target,
                &order,
                relay_limits::ORDER_TIMEOUT,
            );
            let outcome = repeated_start_outcome(started.await, may_have_been_sent);
            let now = clock::now();
            let accepted = matches!(outcome, report::OrderOutcome::Accepted(_));
            context
                .metrics
                .count_call("worker_start", outcome_label(accepted));
            leadership.update(|scheduler| {
                scheduler.on_start(&start.target, start.task, start.run, outcome, now);
            });
        }
        action::Action::Stop { target, task, run } => {
            let order = workers::stop(
                &context.workers,
                worker(&target),
                task,
                run,
                target.fence,
                relay_limits::ORDER_TIMEOUT,
            );
            let outcome = order.await;
            let now = clock::now();
            leadership.update(|scheduler| scheduler.on_stop(&target, task, run, outcome, now));
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

/// Returns the outcome of a start that a relay may have sent before. Unless the worker says that it
/// knows the run or another leader, the earlier copy may still take effect.
fn repeated_start_outcome(
    outcome: report::OrderOutcome,
    may_have_been_sent: bool,
) -> report::OrderOutcome {
    match outcome {
        report::OrderOutcome::Refused(report::Refusal::Fenced | report::Refusal::OldRun, _)
        | report::OrderOutcome::Accepted(_)
        | report::OrderOutcome::Unknown => outcome,
        report::OrderOutcome::Refused(..) | report::OrderOutcome::NoEffect
            if may_have_been_sent =>
        {
            report::OrderOutcome::Unknown
        }
        report::OrderOutcome::Refused(..) | report::OrderOutcome::NoEffect => outcome,
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
    node: &ids::InstanceId,
    step: spec::StepId,
    workers: Vec<String>,
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    if *node == leadership.me.id {
        return peers::request_advice(context, step, &workers, timeout).await;
    }
    let address = {
        let last_pings = lock(&leadership.last_pings);
        last_pings.get(node).map(|(member, _)| member.address)?
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
