//! The checks of worker logs against callers' records.

use std::time::{Duration, Instant};

use daisymast_cluster::checks::{self, WorkerLog};
use daisymast_cluster::load::{Exchange, ExchangeEnd, RequestRecord};
use daisymast_protocol::caller::{CallerReply, CallerRequest, NotRunReason};
use daisymast_types::time::Monotonic;
use daisymast_worker::daemon::LogReply;
use daisymast_worker::model::{LogEntry, LogEvent};

const ID: &str = "0191f2b4-0000-7000-8000-000000000001";

fn request() -> CallerRequest {
    CallerRequest {
        id: ID.into(),
        service: "invoices".into(),
        idempotent: false,
        timeout_ms: 5_000,
        body: "invoices 1".to_owned(),
    }
}

/// Log of a worker whose process started 10.7 ms after the trace and that started the request
/// `at` after that.
fn log(trace_start: Instant, at: Duration) -> WorkerLog {
    WorkerLog {
        worker: "w-1".into(),
        started: trace_start + Duration::from_micros(10_700),
        log: LogReply {
            entries: vec![LogEntry {
                at: Monotonic::ZERO + at,
                event: LogEvent::RequestStarted { id: ID.into() },
            }],
            dropped: 0,
            pending: 0,
        },
    }
}

/// A request that entry-1 refuses while it drains, 100.1 ms after the trace started, and that
/// entry-2 serves.
fn refused_then_served(trace_start: Instant) -> RequestRecord {
    let at = |micros| trace_start + Duration::from_micros(micros);
    let refused = CallerReply::NotRun {
        id: ID.into(),
        reason: NotRunReason::Draining,
        retry_after_ms: Some(100),
    };
    let served = CallerReply::Done {
        id: ID.into(),
        body: format!("invoices:{ID}:invoices 1"),
    };
    let exchange = |instance: &str, sent, ended, reply| Exchange {
        instance: instance.to_owned(),
        sent_at: at(sent),
        ended_at: at(ended),
        end: ExchangeEnd::Answered(reply),
    };
    RequestRecord {
        request: request(),
        exchanges: vec![
            exchange("entry-1", 99_300, 100_100, refused),
            exchange("entry-2", 100_200, 125_000, served),
        ],
    }
}

/// Guards against a check that rounds times to milliseconds before it orders them: the retry of a
/// refused request then seems to start before the refusal.
#[test]
fn a_retry_within_the_millisecond_of_the_refusal_is_no_violation() {
    let trace_start = Instant::now();
    // 10.7 ms + 89.9 ms = 100.6 ms, which adds up to 99 ms if both parts are rounded down.
    let logs = [log(trace_start, Duration::from_micros(89_900))];
    let found = checks::violations(trace_start, &logs, &[refused_then_served(trace_start)]);
    assert!(found.is_empty(), "{found:?}");
}

/// Guards against a check that takes every start near a refusal for a retry.
#[test]
fn a_start_shortly_before_the_refusal_is_a_violation() {
    let trace_start = Instant::now();
    // 10.7 ms + 89.3 ms = 100.0 ms, 0.1 ms before the refusal.
    let logs = [log(trace_start, Duration::from_micros(89_300))];
    let found = checks::violations(trace_start, &logs, &[refused_then_served(trace_start)]);
    assert!(
        found
            .iter()
            .any(|violation| violation.rule == "true not run"),
        "{found:?}"
    );
}
