//! Checks the replies to callers: each request gets exactly one complete answer, its own; a request
//! answered `NotRun` has not been started; a non-idempotent request is started at most once; and a
//! draining instance answers all requests that it has accepted.

use daisymast_protocol::caller::CallerReply;
use daisymast_types::collections::{FastMap, FastSet};
use daisymast_types::ids::{InstanceId, RequestId};

use crate::checkers::Violation;
use crate::trace::{Seen, Trace};

/// Response body that a simulated replica returns for a request.
pub(crate) fn expected_body(service: &str, id: &str, body: &str) -> String {
    format!("{service}:{id}:{body}")
}

#[derive(Default)]
struct RequestHistory {
    asked: usize,
    idempotent: bool,
    expected: String,
    starts: usize,
    done: usize,
    not_run: usize,
}

pub(crate) fn check(trace: &Trace) -> Vec<Violation> {
    let mut histories: FastMap<RequestId, RequestHistory> = FastMap::default();
    let mut unanswered: FastSet<(InstanceId, RequestId)> = FastSet::default();
    let mut found = Vec::new();
    let mut report = |rule, at: u64, detail| found.push(Violation { rule, at, detail });
    let mut last_at = 0;
    for (at, seen) in &trace.seen {
        last_at = *at;
        match seen {
            Seen::CallerAsked {
                instance,
                id,
                service,
                idempotent,
                body,
            } => {
                let history = histories.entry(id.clone()).or_default();
                history.asked += 1;
                history.idempotent = *idempotent;
                history.expected = expected_body(service.as_str(), id.as_str(), body);
                unanswered.insert((instance.clone(), id.clone()));
            }
            Seen::RequestStarted { worker, id } => {
                let history = histories.entry(id.clone()).or_default();
                history.starts += 1;
                if !history.idempotent && history.starts > 1 {
                    report(
                        "at most once",
                        *at,
                        format!("request {id} was started again on {worker}"),
                    );
                }
                // A duplicate of a running request may be answered `NotRun`, because the duplicate
                // itself was not started.
                if history.not_run > 0 && history.asked == history.not_run {
                    report(
                        "true not run",
                        *at,
                        format!("request {id} was started on {worker} after the answer NotRun"),
                    );
                }
            }
            Seen::CallerAnswered {
                instance,
                id,
                reply,
            } => {
                if !unanswered.remove(&(instance.clone(), id.clone())) {
                    report(
                        "one answer",
                        *at,
                        format!("request {id} was answered twice by {instance}"),
                    );
                }
                let history = histories.entry(id.clone()).or_default();
                check_reply(history, id, reply, *at, &mut report);
            }
            Seen::CallerCutOff { instance, id } => {
                unanswered.remove(&(instance.clone(), id.clone()));
            }
            Seen::Drained { instance } => {
                let cut_off = unanswered.iter().filter(|(asked, _)| asked == instance);
                for (_, id) in cut_off {
                    report(
                        "graceful stop",
                        *at,
                        format!("{instance} stopped before it answered request {id}"),
                    );
                }
            }
            _ => {}
        }
    }
    for (instance, id) in &unanswered {
        report(
            "one answer",
            last_at,
            format!("request {id} was never answered by {instance}"),
        );
    }
    found
}

fn check_reply(
    history: &mut RequestHistory,
    id: &RequestId,
    reply: &CallerReply,
    at: u64,
    report: &mut impl FnMut(&'static str, u64, String),
) {
    match reply {
        CallerReply::Done { id: answered, body } => {
            history.done += 1;
            if answered != id || *body != history.expected {
                report(
                    "own answer",
                    at,
                    format!("request {id} got an unexpected answer, for {answered}: {body}"),
                );
            }
            if history.starts == 0 {
                report(
                    "own answer",
                    at,
                    format!("request {id} was answered Done but never started"),
                );
            }
        }
        CallerReply::NotRun { reason, .. } => {
            history.not_run += 1;
            if history.starts > 0 && history.asked == history.not_run {
                report(
                    "true not run",
                    at,
                    format!("request {id} was started but answered NotRun ({reason:?})"),
                );
            }
        }
        CallerReply::Unknown { .. } => {}
    }
}
