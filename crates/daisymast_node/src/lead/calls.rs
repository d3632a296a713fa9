//! Calls that the scheduler asks for: to workers, to the advice service, and answers to callers.

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
use crate::lead::Lead;
use crate::peers;

/// Carries out one action; calls run in tasks of their own.
pub(super) fn carry_out(context: &Arc<context::Context>, lead: &Arc<Lead>, action: action::Action) {
    match action {
        action::Action::Answer { .. } => lead.deliver(action),
        action::Action::Deposed => lead.depose(),
        action::Action::Log(decision) => context.decisions.record(lead.term, &decision),
        action => {
            let call = call(Arc::clone(context), Arc::clone(lead), action);
            context.executor.spawn(call).detach();
        }
    }
}

async fn call(context: Arc<context::Context>, lead: Arc<Lead>, action: action::Action) {
    match action {
        action::Action::PollWorker {
            target,
            deadline_ms,
            acked_end,
            wait,
        } => {
            let hold = workers::Hold {
                deadline_ms,
                token: lead.term,
                noted: acked_end,
                wait_ms: lease::millis(wait),
            };
            let timeout = wait + constants::LOOK_TIMEOUT;
            let outcome = workers::hold(&context.workers, worker(&target), hold, timeout).await;
            let now = clock::now();
            let answered = matches!(outcome, report::PollOutcome::Report(_));
            context
                .metrics
                .call("worker_look", done_or_failed(answered));
            lead.update(|scheduler| scheduler.on_poll_outcome(target.index, outcome, now));
        }
        action::Action::Start(start) => {
            let order = workers::Start {
                task: start.task,
                run: start.run,
                payload: &start.spec.payload,
                deadline_ms: start.deadline_ms,
                token: lead.term,
                checkpoint: start.checkpoint.as_deref(),
                ticket: start.ticket.as_deref(),
            };
            let target = worker(&start.target);
            let outcome =
                workers::start(&context.workers, target, &order, constants::ORDER_TIMEOUT).await;
            let now = clock::now();
            let taken = matches!(outcome, report::OrderOutcome::Accepted(_));
            context.metrics.call("worker_start", done_or_failed(taken));
            let place = start.target.index;
            lead.update(|scheduler| {
                scheduler.on_start(place, start.task, start.run, outcome, now);
            });
        }
        action::Action::Stop { target, task, run } => {
            let order = workers::stop(
                &context.workers,
                worker(&target),
                task,
                run,
                lead.term,
                constants::ORDER_TIMEOUT,
            );
            let outcome = order.await;
            let now = clock::now();
            lead.update(|scheduler| scheduler.on_stop(target.index, task, run, outcome, now));
        }
        action::Action::RequestAdvice {
            call,
            node,
            step,
            workers,
            timeout,
        } => {
            let answer = ask(&context, &lead, &node, step, workers, timeout).await;
            let now = clock::now();
            context
                .metrics
                .call("advice", done_or_failed(answer.is_some()));
            lead.update(|scheduler| scheduler.on_advice(call, answer, now));
        }
        action::Action::Answer { .. } | action::Action::Deposed | action::Action::Log(_) => {}
    }
}

fn done_or_failed(done: bool) -> &'static str {
    if done { "done" } else { "failed" }
}

fn worker(target: &action::Target) -> workers::Target<'_> {
    workers::Target {
        id: &target.id,
        address: target.address,
    }
}

async fn ask(
    context: &context::Context,
    lead: &Lead,
    advisor: &ids::InstanceId,
    step: spec::StepId,
    workers: Vec<String>,
    timeout: Duration,
) -> Option<Vec<(String, String)>> {
    if *advisor == lead.me.id {
        return peers::ask(context, step, &workers, timeout).await;
    }
    let address = {
        let alive = lock(&lead.alive);
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
