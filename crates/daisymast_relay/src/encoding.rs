//! Encoding of the scheduler's calls to workers for an exchange with a relay.

use std::sync::Arc;
use std::time::Duration;

use daisymast_jobs::spec;
use daisymast_scheduler::action;
use daisymast_scheduler::lease;

use crate::constants;
use crate::wire;

/// Payloads of one exchange, each listed once.
#[derive(Default)]
pub(crate) struct Payloads {
    specs: Vec<Arc<spec::JobSpec>>,
    pub(crate) texts: Vec<Arc<str>>,
}

impl Payloads {
    /// Returns the position of a job's payload. Tasks of a step are started one after another, so
    /// only the last job is compared.
    fn position(&mut self, spec: &Arc<spec::JobSpec>) -> usize {
        if self
            .specs
            .last()
            .is_none_or(|last| !Arc::ptr_eq(last, spec))
        {
            self.specs.push(Arc::clone(spec));
            self.texts.push(Arc::from(spec.payload.as_str()));
        }
        self.texts.len() - 1
    }
}

/// Encodes a call to a worker, `None` if the action is none.
pub(crate) fn encode(
    action: &action::Action,
    number: u64,
    payloads: &mut Payloads,
) -> Option<wire::Call> {
    let (target, operation) = match action {
        action::Action::PollWorker {
            target,
            deadline_ms,
            acked_end,
            wait,
        } => {
            let operation = wire::Operation::Poll {
                deadline_ms: *deadline_ms,
                acked_end: *acked_end,
                wait_ms: lease::millis(*wait),
            };
            (target, operation)
        }
        action::Action::Start(start) => {
            let operation = wire::Operation::Start {
                task: start.task.into(),
                run: start.run,
                payload: payloads.position(&start.spec),
                deadline_ms: start.deadline_ms,
                checkpoint: start.checkpoint.clone(),
                ticket: start.ticket.clone(),
            };
            (&start.target, operation)
        }
        action::Action::Stop { target, task, run } => {
            let operation = wire::Operation::Stop {
                task: (*task).into(),
                run: *run,
            };
            (target, operation)
        }
        action::Action::RequestAdvice { .. }
        | action::Action::Answer { .. }
        | action::Action::Deposed
        | action::Action::Log(_) => return None,
    };
    Some(wire::Call(
        number,
        target.id.clone(),
        target.address,
        operation,
    ))
}

/// Timeout of a call at the relay.
pub(crate) fn timeout(action: &action::Action) -> Duration {
    match action {
        action::Action::PollWorker { wait, .. } => *wait + constants::POLL_TIMEOUT_MARGIN,
        _ => constants::ORDER_TIMEOUT,
    }
}
