//! Each caller gets one whole answer to its own request; "not run" is true; a request that is not
//! idempotent starts at most once; a draining instance answers what it has accepted.

use daisymast_protocol::caller::CallerReply;
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, RequestId};

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

/// The body that a stand-in replica answers with.
pub(crate) fn expected_body(service: &str, id: &str, body: &str) -> String {
    format!("{service}:{id}:{body}")
}

#[derive(Default)]
struct Exchange {
    asked: usize,
    idempotent: bool,
    expected: String,
    starts: usize,
    done: usize,
    not_run: usize,
}

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut exchanges: FastMap<RequestId, Exchange> = FastMap::default();
    let mut open: FastSet<(InstanceId, RequestId)> = FastSet::default();
    let mut found = Vec::new();
    let mut fault = |rule, at: u64, detail| found.push(Violation { rule, at, detail });
    let mut last = 0;
    for (at, seen) in &trace.seen {
        last = *at;
        match seen {
            Seen::CallerAsked {
                instance,
                id,
                service,
                idempotent,
                body,
            } => {
                let exchange = exchanges.entry(id.clone()).or_default();
                exchange.asked += 1;
                exchange.idempotent = *idempotent;
                exchange.expected = expected_body(service.as_str(), id.as_str(), body);
                open.insert((instance.clone(), id.clone()));
            }
            Seen::RequestStarted { worker, id } => {
                let exchange = exchanges.entry(id.clone()).or_default();
                exchange.starts += 1;
                if !exchange.idempotent && exchange.starts > 1 {
                    fault(
                        "at most once",
                        *at,
                        format!("{id} starts again on {worker}"),
                    );
                }
                // A second submission of an id may be refused truthfully while the first one runs.
                if exchange.not_run > 0 && exchange.asked == exchange.not_run {
                    fault(
                        "true not run",
                        *at,
                        format!("{id} starts on {worker} after not run"),
                    );
                }
            }
            Seen::CallerAnswered {
                instance,
                id,
                reply,
            } => {
                if !open.remove(&(instance.clone(), id.clone())) {
                    fault(
                        "one answer",
                        *at,
                        format!("{id} is answered twice by {instance}"),
                    );
                }
                let exchange = exchanges.entry(id.clone()).or_default();
                check_reply(exchange, id, reply, *at, &mut fault);
            }
            Seen::CallerCutOff { instance, id } => {
                open.remove(&(instance.clone(), id.clone()));
            }
            Seen::Drained { instance } => {
                let cut = open.iter().filter(|(asked, _)| asked == instance);
                for (_, id) in cut {
                    fault(
                        "graceful stop",
                        *at,
                        format!("{instance} ends with {id} unanswered"),
                    );
                }
            }
            _ => {}
        }
    }
    for (instance, id) in &open {
        fault(
            "one answer",
            last,
            format!("{id} is never answered by {instance}"),
        );
    }
    found
}

fn check_reply(
    exchange: &mut Exchange,
    id: &RequestId,
    reply: &CallerReply,
    at: u64,
    fault: &mut impl FnMut(&'static str, u64, String),
) {
    match reply {
        CallerReply::Done { id: answered, body } => {
            exchange.done += 1;
            if answered != id || *body != exchange.expected {
                fault("own answer", at, format!("{id} gets {answered}: {body}"));
            }
            if exchange.starts == 0 {
                fault(
                    "own answer",
                    at,
                    format!("{id} is answered but never started"),
                );
            }
        }
        CallerReply::NotRun { reason, .. } => {
            exchange.not_run += 1;
            if exchange.starts > 0 && exchange.asked == exchange.not_run {
                fault(
                    "true not run",
                    at,
                    format!("{id} was started, answered {reason:?}"),
                );
            }
        }
        CallerReply::Unknown { .. } => {}
    }
}
