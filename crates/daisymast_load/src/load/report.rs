//! Outcomes of the requests and statistics for each kind.

use std::collections::BTreeMap;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::plan::Plan;

/// Highest latency that the histogram can represent, in microseconds; higher values are clamped.
const MAX_WAIT_US: u64 = 120_000_000;

/// Outcome of a request, as seen by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Done,
    /// The instance did not run the request, for this reason.
    NotRun(String),
    /// The instance reported an unknown outcome.
    Unknown,
    /// There was no reply, or one that cannot be decoded or belongs to another request.
    NoValidReply,
}

/// Completed request with its latency and outcome.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Index in [`Plan::kinds`].
    pub kind: usize,
    /// Second of the run in which the request was scheduled.
    pub second: u64,
    /// Microseconds from the scheduled send time to the reply.
    pub wait_us: u64,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
}

/// Statistics of one kind over the arrivals that are included.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests served.
    pub done: u64,
    /// Requests served per second.
    pub throughput: f64,
    /// Number of requests that were not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Number of requests with an unknown outcome.
    pub unknown: u64,
    /// Number of requests without a valid reply.
    pub broken: u64,
    /// Median latency of served requests in milliseconds, measured from the scheduled send time.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency.
    pub p999_ms: f64,
}

/// Computes the statistics of each kind, by name.
///
/// # Errors
///
/// Fails if a histogram cannot be created.
#[allow(clippy::cast_precision_loss, reason = "counts below 2^53")]
pub fn summarize(
    plan: &Plan,
    completed: &[CompletedRequest],
) -> anyhow::Result<BTreeMap<String, KindReport>> {
    let mut reports = BTreeMap::new();
    for (index, kind) in plan.kinds.iter().enumerate() {
        let mut waits = Histogram::<u64>::new_with_max(MAX_WAIT_US, 3).context("histogram")?;
        let mut report = KindReport::default();
        let counted = completed
            .iter()
            .filter(|request| request.kind == index && plan.is_counted(request.second));
        for request in counted {
            report.sent += 1;
            match &request.outcome {
                RequestOutcome::Done => {
                    report.done += 1;
                    waits.saturating_record(request.wait_us);
                }
                RequestOutcome::NotRun(reason) => {
                    *report.not_run.entry(reason.clone()).or_default() += 1;
                }
                RequestOutcome::Unknown => report.unknown += 1,
                RequestOutcome::NoValidReply => report.broken += 1,
            }
        }
        let millis = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
        report.throughput = report.done as f64 / plan.counted_seconds() as f64;
        report.p50_ms = millis(0.5);
        report.p99_ms = millis(0.99);
        report.p999_ms = millis(0.999);
        reports.insert(kind.name.clone(), report);
    }
    Ok(reports)
}
